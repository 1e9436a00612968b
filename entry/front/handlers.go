package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/emicklei/go-restful/v3"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/entry/intake"
	"github.com/skylarkpond/skylarkpond/link/engine"
)

// completions serves POST /v1/chat/completions.
func (f *Front) completions(req *restful.Request, resp *restful.Response) {
	f.handle(req.Request, resp.ResponseWriter, (*request).parseCompletion)
}

// services serves any method on /v1/services/{service}/{path}.
func (f *Front) services(req *restful.Request, resp *restful.Response) {
	f.handle(req.Request, resp.ResponseWriter, func(q *request, caller *callerConn) *contract.Problem {
		return q.parseCall(caller, req.PathParameter("service"))
	})
}

// handle serves one request. Every request ends here, either with an answer or with an aborted connection.
func (f *Front) handle(r *http.Request, w http.ResponseWriter, parse func(*request, *callerConn) *contract.Problem) {
	ctx, cancel := f.bound(r.Context())
	defer cancel()
	caller := newCallerConn(ctx, r, w, f.deps.Bodies, f.deps.BodyTimeout)
	defer caller.releaseBody()
	q, p := f.accept(r)
	caller.request = q
	if p == nil {
		p = parse(q, caller)
	}
	f.serve(ctx, q, p, caller)
	caller.end()
}

// accept parses what all requests have in common: the team's key and the idempotency key.
//
// Until a request is classified, a key from the caller makes it a request that may run at most once. Another entry
// with newer settings may know a service that this entry rejects as unknown, and may hold a copy of the request,
// so the rejection has to be sealed like any other.
func (f *Front) accept(r *http.Request) (*request, *contract.Problem) {
	q := &request{id: f.newID(), snapshot: f.deps.Settings()}
	var p *contract.Problem
	if q.team, p = authenticate(q.snapshot, r.Header); p != nil {
		return q, p
	}
	if p = q.parseKey(r.Header); p != nil {
		return q, p
	}
	q.atMostOnce = q.keyFromCaller
	return q, nil
}

// maxBodyBytes bounds the body of any request, whatever its service allows, because a dispatch must fit into one
// message between entries, which is limited to 8 MB.
const maxBodyBytes = 7 << 20

func (q *request) parseCompletion(caller *callerConn) *contract.Problem {
	r := caller.received
	if p := q.readBody(caller, q.maxCompletionBytes()); p != nil {
		return p
	}
	var completion engine.Completion
	if err := json.Unmarshal(q.body, &completion); err != nil {
		return contract.NewRejection(http.StatusBadRequest, contract.CodeBadRequest, "the body is not a completion: "+err.Error(), "mend the body")
	}
	service, ok := q.snapshot.ServiceByModel(completion.Model)
	if !ok {
		return contract.NewRejection(http.StatusNotFound, contract.CodeUnknownModel, "no service has this model", "check the model's name")
	}
	q.service = service
	q.model = completion.Model
	q.stream = completion.Stream
	q.estimatedTokens, q.promptTokens = estimateTokens(completion)
	q.prefixHash = prefixHash(completion)
	q.parts = partsOf(completion)
	q.atMostOnce = !repeatable(service, http.MethodPost, "/v1"+completionsPath)
	if int64(len(q.body)) > service.MaxBodyBytes {
		return bodyTooLarge()
	}
	return q.checkService(r)
}

// maxCompletionBytes returns the most that any language service allows: the service is known only once the body has been read.
func (q *request) maxCompletionBytes() int64 {
	most := int64(0)
	for _, service := range q.snapshot.Services {
		if service.Kind == settings.LanguageService {
			most = max(most, service.MaxBodyBytes)
		}
	}
	if most == 0 {
		return maxBodyBytes // there is no such service, which the answer is to say
	}
	return min(most, maxBodyBytes)
}

func (q *request) parseCall(caller *callerConn, name string) *contract.Problem {
	r := caller.received
	service, ok := q.snapshot.Services[name]
	ok = ok && service.Kind == settings.PlainService
	limit := int64(maxBodyBytes)
	if ok {
		limit = min(limit, service.MaxBodyBytes)
	}
	if p := q.readBody(caller, limit); p != nil {
		return p
	}
	if !ok {
		return contract.NewRejection(http.StatusNotFound, contract.CodeUnknownService, "no such plain service", "check the service's name")
	}
	q.service = service
	callPath := strings.TrimPrefix(r.URL.Path, "/v1/services/"+name)
	if callPath == "" {
		callPath = "/"
	}
	if p := checkCanonicalPath(r, callPath); p != nil {
		return p
	}
	q.atMostOnce = !repeatable(service, r.Method, callPath)
	q.estimatedTokens = 1 + len(q.body)/bytesPerToken
	target := url.URL{Path: callPath, RawQuery: r.URL.RawQuery}
	q.plain = &contract.PlainCall{Method: r.Method, Path: target.RequestURI(), Header: forwardedHeader(r.Header)}
	return q.checkService(r)
}

// checkService performs the checks that need the request's service: whether the team may call it, and the timeout.
func (q *request) checkService(r *http.Request) *contract.Problem {
	if p := authorize(q.team, q.service.Name); p != nil {
		return p
	}
	return q.parseTimeout(r.Header)
}

// readBody reads the body and computes the request's fingerprint.
func (q *request) readBody(caller *callerConn, limit int64) *contract.Problem {
	r := caller.received
	body, err := caller.receive(limit)
	q.body = body
	q.fingerprint = contract.FingerprintWithBody(body, r.Method, r.URL.EscapedPath(), r.URL.RawQuery, r.Header.Get("Content-Type"))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, intake.ErrTooLarge):
		return bodyTooLarge()
	case intake.IsRefusal(err):
		q.givenUp = true
		return contract.NewRetryLater(contract.CodeOverloaded, err.Error(), intake.RetryAfter)
	case errors.Is(err, errStopping):
		return stoppingProblem()
	case errors.Is(err, errBodyLate):
		return contract.NewRejection(http.StatusRequestTimeout, contract.CodeBadRequest, errBodyLate.Error(), "send it again")
	case errors.Is(err, context.Canceled):
		return &contract.Problem{Code: contract.CodeCallerLeft, Message: "the caller closed its side of the connection inside the body"}
	default:
		return contract.NewRejection(http.StatusBadRequest, contract.CodeBadRequest, "the body could not be read", "send it again")
	}
}

func stoppingProblem() *contract.Problem {
	return contract.NewRetryLater(contract.CodeLeaving, errStopping.Error(), outcome.RetryAfterShort)
}

func bodyTooLarge() *contract.Problem {
	return contract.NewRejection(http.StatusRequestEntityTooLarge, contract.CodeBodyTooLarge, "the body is too large", "send less")
}

// bytesPerToken is the usual estimate for text. defaultAnswerTokens is the estimate for an answer if the request
// sets no limit.
const (
	bytesPerToken       = 4
	defaultAnswerTokens = 256
)

// estimateTokens returns the tokens that a completion is charged while it is in progress, and the prompt's part of
// them.
func estimateTokens(c engine.Completion) (work, prompt int) {
	answer := c.MaxTokens
	if answer <= 0 {
		answer = defaultAnswerTokens
	}
	for _, m := range c.Messages {
		prompt += len(m.Content) / bytesPerToken
	}
	return prompt + answer, prompt
}

// prefixHash returns the hash of the model and the first message, which conversations of the same kind share.
func prefixHash(c engine.Completion) uint64 {
	if len(c.Messages) == 0 {
		return 0
	}
	return xxhash.Sum64String(c.Model + "\x00" + c.Messages[0].Content)
}

// maxParts bounds the messages by which a completion is identified: the last ones.
const maxParts = 64

// partsOf identifies each message of a completion.
func partsOf(c engine.Completion) []string {
	messages := c.Messages[max(0, len(c.Messages)-maxParts):]
	parts := make([]string, 0, len(messages))
	for _, m := range messages {
		part := fmt.Sprintf("message-%016x", contract.ShortFingerprint(contract.Fingerprint(m.Role, m.Content)))
		if !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

// strippedHeaders are not forwarded to backend servers: the team's key, hop-by-hop headers, and the headers of
// this API. Idempotency keys are among them because HTTP clients automatically replay requests that carry one.
var strippedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Expect", contract.HeaderIdempotencyKey, "X-Idempotency-Key", contract.HeaderAttempt,
	contract.HeaderRequestTimeout, contract.HeaderRequestID, contract.HeaderOutcome,
}

// forwardedHeader returns a copy of header without hop-by-hop and stripped headers.
func forwardedHeader(header http.Header) http.Header {
	kept := header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		kept.Del(strings.TrimSpace(name))
	}
	for _, name := range strippedHeaders {
		kept.Del(name)
	}
	return kept
}

func (q *request) newDispatch(f *Front, left time.Duration) contract.Dispatch {
	return contract.Dispatch{
		RequestID: q.id, Team: q.team.Name, Service: q.service.Name, Front: f.deps.Self,
		SettingsVersion: q.snapshot.Version, Timeout: left, Priority: q.team.Priority, EstimatedTokens: q.estimatedTokens, PromptTokens: q.promptTokens, PrefixHash: q.prefixHash,
		AtMostOnce: q.atMostOnce, IdempotencyKey: q.key, KeyFromCaller: q.keyFromCaller, AttemptNumber: q.attempt, Fingerprint: q.fingerprint, Parts: q.parts,
		Plain: q.plain, Body: q.body, HLCTime: f.deps.Recorder.Now(),
	}
}
