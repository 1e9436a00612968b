package front

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/emicklei/go-restful/v3"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/link/engine"
)

// completions serves POST /v1/chat/completions.
func (f *Front) completions(req *restful.Request, resp *restful.Response) {
	q, p := f.accept(req.Request)
	if p == nil {
		p = q.parseCompletion(req.Request, resp.ResponseWriter)
	}
	f.serve(q, p, req.Request, resp.ResponseWriter)
}

// services serves any method on /v1/services/{service}/{path}.
func (f *Front) services(req *restful.Request, resp *restful.Response) {
	q, p := f.accept(req.Request)
	if p == nil {
		p = q.parseCall(req.Request, resp.ResponseWriter, req.PathParameter("service"))
	}
	f.serve(q, p, req.Request, resp.ResponseWriter)
}

// accept reads what all requests have.
//
// Until a request is classified, one with a key counts as one that may not be repeated: an entry with
// newer settings may know the service that this one refuses, and hold a copy of the request. The refusal
// is sealed as any other.
func (f *Front) accept(r *http.Request) (*request, *contract.Problem) {
	q := &request{id: f.newID(), snapshot: f.deps.Settings()}
	var p *contract.Problem
	if q.team, p = authenticate(q.snapshot, r.Header); p != nil {
		return q, p
	}
	if p = q.parseKey(r.Header); p != nil {
		return q, p
	}
	q.unrepeatable = q.chosen
	return q, nil
}

// maxBody bounds any body, whatever its service allows: a dispatch must fit into one message between
// entries, of 8 MB.
const maxBody = 7 << 20

func (q *request) parseCompletion(r *http.Request, w http.ResponseWriter) *contract.Problem {
	if p := q.readBody(r, w, maxBody); p != nil {
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
	q.work, q.prompt = estimateWork(completion)
	q.prefix = prefixHash(completion)
	q.unrepeatable = !repeatable(service, http.MethodPost, "/v1"+completionsPath)
	if int64(len(q.body)) > service.MaxBodyBytes {
		return tooLarge()
	}
	return q.admit(r)
}

func (q *request) parseCall(r *http.Request, w http.ResponseWriter, name string) *contract.Problem {
	service, ok := q.snapshot.Services[name]
	ok = ok && service.Kind == settings.PlainService
	limit := int64(maxBody)
	if ok {
		limit = min(limit, service.MaxBodyBytes)
	}
	if p := q.readBody(r, w, limit); p != nil {
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
	if p := cleanPath(r, callPath); p != nil {
		return p
	}
	q.unrepeatable = !repeatable(service, r.Method, callPath)
	q.work = 1 + len(q.body)/bytesPerToken
	target := url.URL{Path: callPath, RawQuery: r.URL.RawQuery}
	q.plain = &contract.PlainCall{Method: r.Method, Path: target.RequestURI(), Header: forwarded(r.Header)}
	return q.admit(r)
}

// admit checks what can be checked once the service is known.
func (q *request) admit(r *http.Request) *contract.Problem {
	if p := allowed(q.team, q.service.Name); p != nil {
		return p
	}
	return q.parseTimeout(r.Header)
}

// bodyTimeout bounds the reading of a request's body: a caller that stops in the middle of it must not
// hold its memory for long.
const bodyTimeout = 30 * time.Second

// readBody reads the body and takes the request's fingerprint.
func (q *request) readBody(r *http.Request, w http.ResponseWriter, limit int64) *contract.Problem {
	control := http.NewResponseController(w)
	// An error here means that the connection has no deadlines, as in a test's recorder.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	q.body = body
	q.fingerprint = contract.Fingerprint(r.Method, r.URL.EscapedPath(), r.URL.RawQuery, r.Header.Get("Content-Type"), string(body))
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return tooLarge()
	}
	if err != nil {
		return contract.NewRejection(http.StatusBadRequest, contract.CodeBadRequest, "the body could not be read", "send it again")
	}
	return nil
}

func tooLarge() *contract.Problem {
	return contract.NewRejection(http.StatusRequestEntityTooLarge, contract.CodeBodyTooLarge, "the body is too large", "send less")
}

// bytesPerToken is the usual rule of thumb for text; defaultTokens stands for an answer of unnamed length.
const (
	bytesPerToken = 4
	defaultTokens = 256
)

// estimateWork returns the work that a completion is charged until it is done, and the prompt's part of it.
func estimateWork(c engine.Completion) (work, prompt int) {
	answer := c.MaxTokens
	if answer <= 0 {
		answer = defaultTokens
	}
	for _, m := range c.Messages {
		prompt += len(m.Content) / bytesPerToken
	}
	return prompt + answer, prompt
}

// prefixHash is the hash of the first message, which is what conversations of one kind share.
func prefixHash(c engine.Completion) uint64 {
	if len(c.Messages) == 0 {
		return 0
	}
	return xxhash.Sum64String(c.Model + "\x00" + c.Messages[0].Content)
}

// withheld headers are not handed to backend servers: the team's key, what holds for one connection
// only, and the key of the request, for which HTTP clients replay requests by themselves.
var withheld = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Expect", contract.HeaderIdempotencyKey, "X-Idempotency-Key", contract.HeaderAttempt,
	contract.HeaderRequestTimeout, contract.HeaderRequestID, contract.HeaderOutcome,
}

func forwarded(header http.Header) http.Header {
	kept := header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		kept.Del(strings.TrimSpace(name))
	}
	for _, name := range withheld {
		kept.Del(name)
	}
	return kept
}

func (q *request) dispatch(f *Front, left time.Duration) contract.Dispatch {
	return contract.Dispatch{
		RequestID: q.id, Team: q.team.Name, Service: q.service.Name, Front: f.deps.Self,
		SettingsVersion: q.snapshot.Version, Timeout: left, Priority: q.team.Priority, EstimatedTokens: q.work, PromptTokens: q.prompt, PrefixHash: q.prefix,
		AtMostOnce: q.unrepeatable, IdempotencyKey: q.key, KeyFromCaller: q.chosen, AttemptNumber: q.attempt, Fingerprint: q.fingerprint,
		Plain: q.plain, Body: q.body, HLCTime: f.deps.Recorder.Now(),
	}
}
