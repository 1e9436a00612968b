package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// exchange is one caller's request on its way. One goroutine uses it.
type exchange struct {
	relay   *Relay
	writer  http.ResponseWriter
	request *http.Request
	ctx     context.Context
	call    platform.RequestInfo
	arrived time.Time
	// deadline is the caller's or the route's, whichever is first.
	deadline time.Time
	table    *route.Table
	route    *route.Route
	team     string
	priority int
	service  string
	body     []byte
	// fingerprint is alike for requests of one caller with the same path and body.
	fingerprint string
	tried       []backend.ID
	// attempts counts the sends that reached a server; mayHaveRun says that one of them may have run.
	attempts   int
	mayHaveRun bool
	// next is a turn that was taken before the last attempt was given up.
	next *turn.Turn
	// sent is when the present attempt was sent, first what passed until it gave the first part of a stream.
	sent  time.Time
	first time.Duration
	// begun says that a part of the answer has gone out.
	begun bool
	// watch is that over the present attempt.
	watch *watch
	ended Report
}

func newExchange(r *Relay, w http.ResponseWriter, request *http.Request) *exchange {
	return &exchange{
		relay: r, writer: w, request: request, ctx: request.Context(), arrived: time.Now(),
		call: platform.DecodeRequest(request.Header), table: r.deps.Table(),
	}
}

func (e *exchange) run() {
	if !e.admit() || !e.readBody() {
		return
	}
	e.fingerprint = contract.Fingerprint(e.request.Method, e.request.RequestURI, e.call.Key, string(e.body))
	if e.relay.deps.Suspects.Held(e.service, e.fingerprint) {
		e.refuse(HeldBack, http.StatusServiceUnavailable, retryHeld, "requests like this one have crashed servers")
		return
	}
	ctx, cancel := context.WithDeadline(e.request.Context(), e.deadline)
	defer cancel()
	e.ctx = ctx
	defer e.returnNext()
	e.drive()
}

// returnNext gives a turn back that was taken and is of no use any more.
func (e *exchange) returnNext() {
	if t := e.takeNext(); t != nil {
		t.Done(turn.Result{Rejected: true})
	}
}

// admit finds the route and checks the key. A table that is not known yet says nothing about either.
func (e *exchange) admit() bool {
	if e.table == nil {
		return e.refuse(NoConfig, http.StatusServiceUnavailable, retryUnknown, "no configuration yet")
	}
	path, _, _ := strings.Cut(e.request.RequestURI, "?")
	found, ok := e.table.Match(hostOf(e.request.Host), path)
	if !ok {
		return e.refuse(NoRoute, http.StatusNotFound, 0, "no route for this host and path")
	}
	e.route = found
	e.priority = found.Priority
	if e.table.RequiresKey(found) && !e.identify() {
		return e.refuse(NoKey, http.StatusUnauthorized, 0, "no team holds this key")
	}
	e.deadline = e.arrived.Add(found.Timeout)
	if e.call.Remaining > 0 && e.call.Remaining < found.Timeout {
		e.deadline = e.arrived.Add(e.call.Remaining)
	}
	e.service = e.target()
	return true
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func (e *exchange) identify() bool {
	team, ok := e.table.TeamByKey(e.call.Key)
	if !ok {
		return false
	}
	e.team = team.Name
	if team.Priority != nil {
		e.priority = *team.Priority
	}
	return true
}

// target draws the service by the weights of the route's targets.
func (e *exchange) target() string {
	targets := e.route.Targets
	sum := 0.0
	for _, target := range targets {
		sum += target.Weight
	}
	drawn := e.relay.deps.Random() * sum
	for _, target := range targets {
		drawn -= target.Weight
		if drawn < 0 {
			return target.Service
		}
	}
	return targets[len(targets)-1].Service
}

// readBody takes the whole body in. It is sent on with its length, and may have to be sent again.
func (e *exchange) readBody() bool {
	limit := e.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if e.request.ContentLength > limit {
		return e.refuse(TooLarge, http.StatusRequestEntityTooLarge, 0, "body over the limit")
	}
	controller := http.NewResponseController(e.writer)
	_ = controller.SetReadDeadline(e.deadline)
	body, err := io.ReadAll(io.LimitReader(e.request.Body, limit+1))
	if err != nil {
		e.ended.Outcome = CallerLeft
		e.ended.Detail = "reading the body: " + err.Error()
		e.abort()
	}
	if int64(len(body)) > limit {
		return e.refuse(TooLarge, http.StatusRequestEntityTooLarge, 0, "body over the limit")
	}
	_ = controller.SetReadDeadline(time.Time{})
	e.body = body
	return true
}

// defaultBodyBytes bounds a body where the configuration says nothing.
const defaultBodyBytes = 4 << 20

// drive tries servers until one answers, or until the request is given up.
func (e *exchange) drive() {
	for {
		t := e.takeNext()
		if t == nil {
			var refusal *turn.Refusal
			if t, refusal = e.relay.deps.Turns.Acquire(e.ctx, e.ask()); refusal != nil {
				e.giveUp(refusal)
				return
			}
		}
		if e.attempt(t) {
			return
		}
	}
}

// takeNext returns the turn for which a silent server was given up, once.
func (e *exchange) takeNext() *turn.Turn {
	t := e.next
	e.next = nil
	return t
}

func (e *exchange) ask() turn.Request {
	returning := e.attempts > 0
	due, patience := turns.WaitBounds(e.route.LatencyTarget, time.Since(e.arrived), returning)
	ask := turn.Request{
		Service: e.service, Model: e.call.Model, Priority: e.priority, Retry: returning, Tried: e.tried,
		PromptTokens: e.call.PromptTokens, OutputTokens: e.call.ExpectedAnswerTokens(),
		FirstTokenBudget: due, MaxWait: patience, Fingerprint: contract.ShortFingerprint(e.fingerprint),
	}
	if e.attempts > 0 {
		ask.Priority = turn.PriorityRetry // it has spent its time at a server that failed it, and its caller leaves soon
	}
	return ask
}

// attempt sends the request to one server and returns whether the request is over.
func (e *exchange) attempt(t *turn.Turn) bool {
	e.tried = append(e.tried, t.Server.ID)
	if len(e.tried) == 1 {
		e.relay.deps.Retries.FirstTry(e.service)
	}
	answer, err := e.send(t, "")
	if errors.Is(err, upstream.ErrNotSent) {
		t.Done(turn.Result{Unreachable: true})
		return e.overUnsent()
	}
	e.attempts++
	if err != nil {
		t.Done(e.resultOf())
		e.mayHaveRun = true
		e.lost(t, err)
		return e.overBroken("no answer: " + err.Error())
	}
	said := platform.DecodeResponse(answer.Status, answer.Header)
	if said.Load != nil {
		t.ReportLoad(said.Load.Running, said.Load.Waiting, said.Load.Slots)
	}
	if said.NotRun {
		e.rejected(t, answer)
		return e.overRejected(t)
	}
	e.mayHaveRun = true
	if e.route.Kind == route.Streaming && answer.Status == http.StatusOK {
		return e.stream(t, answer)
	}
	return e.whole(t, answer)
}

// rejected ends an attempt that the server did not run.
func (e *exchange) rejected(t *turn.Turn, answer *upstream.Response) {
	_ = answer.Body.Close()
	e.endAttempt()
	t.Done(turn.Result{Rejected: true})
	e.relay.deps.Rejected(Rejection{Request: e.call.ID, Server: t.Server, Status: answer.Status, Basis: t.Basis})
}

// resultOf says how a turn ended whose server gave no answer, or a part of one.
func (e *exchange) resultOf() turn.Result {
	silent := e.next != nil
	return turn.Result{Stalled: silent, Failed: !silent && e.ctx.Err() == nil, TimeToFirstToken: e.first}
}

// send sends the request to one server, under a watch that is over when the attempt is: the caller stops it by endAttempt.
func (e *exchange) send(t *turn.Turn, lastEvent string) (*upstream.Response, error) {
	e.ended.Servers = append(e.ended.Servers, string(t.Server.ID))
	e.sent, e.first = time.Now(), 0
	if e.route.Kind == route.Streaming {
		suspicion := time.AfterFunc(suspectFirst, t.ReportStall)
		defer suspicion.Stop()
	}
	ctx, cancel := context.WithCancelCause(e.ctx)
	e.watch = newWatch(e, cancel)
	answer, err := e.relay.deps.Pool.Send(ctx, upstream.EndpointOf(t.Server), &upstream.Request{
		Method: e.request.Method, Target: e.request.RequestURI, Host: e.request.Host,
		Header: platform.ForwardHeader(e.request.Header, platform.Forward{
			Server: t.Server.ID, Team: e.team, Remaining: time.Until(e.deadline), LastEvent: lastEvent,
		}),
		Body:    e.body,
		Matches: func(header http.Header) bool { return platform.MatchesID(e.call.ID, header) },
	})
	if err != nil {
		e.endAttempt()
		return nil, err
	}
	e.watch.heard()
	return answer, nil
}

// endAttempt ends the watch over an attempt, and keeps the turn for which it was given up.
func (e *exchange) endAttempt() { e.next = e.watch.stop() }

// maxUnreachable bounds the servers that are tried in vain to connect to. Each takes up to 0.4 s.
const maxUnreachable = 3

// overUnsent goes on with another server: nothing was sent, so that no budget is drawn on.
func (e *exchange) overUnsent() bool {
	if e.ctx.Err() != nil || len(e.tried)-e.attempts >= maxUnreachable {
		e.giveUp(&turn.Refusal{Reason: turn.NoServer, RetryAfter: retryUnknown, Detail: "servers can't be reached"})
		return true
	}
	return false
}

// overBroken decides after a send whose outcome is not known.
func (e *exchange) overBroken(detail string) bool {
	if e.next != nil {
		return false
	}
	if e.ctx.Err() != nil || !e.route.Repeatable() || !e.mayTryAgain() {
		e.fail(detail)
		return true
	}
	return false
}

// overRejected decides after a server said that it did not run the request.
func (e *exchange) overRejected(t *turn.Turn) bool {
	if e.next != nil || e.ctx.Err() == nil && e.mayTryAgain() {
		return false
	}
	e.giveUp(&turn.Refusal{Reason: turn.Full, RetryAfter: retryFull, Detail: "rejected by " + string(t.Server.ID)})
	return true
}

// lost has a server looked into that ended its connection in the middle of the request. Silence and the end of the time are no sign of a crash.
func (e *exchange) lost(t *turn.Turn, err error) {
	if e.ctx.Err() != nil || e.next != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	go e.relay.deps.Suspects.Lost(context.WithoutCancel(e.ctx), e.fingerprint, t.Server)
}

func (e *exchange) mayTryAgain() bool {
	return e.attempts < e.route.MaxAttempts && e.relay.deps.Retries.Take(e.service, time.Until(e.deadline))
}

// whole hands back an answer that is not a stream. It is taken in before any of it goes out, so that one that
// breaks off can be replaced.
func (e *exchange) whole(t *turn.Turn, answer *upstream.Response) bool {
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	e.endAttempt()
	if err != nil {
		t.Done(e.resultOf())
		e.lost(t, err)
		return e.overBroken("answer broke off: " + err.Error())
	}
	e.relay.deps.Suspects.Finished(e.service, e.fingerprint)
	failed := answer.Status >= http.StatusInternalServerError
	t.Done(turn.Result{Failed: failed})
	if failed && e.route.Kind == route.Idempotent && e.mayTryAgain() {
		return false
	}
	e.ended.First = time.Since(e.arrived)
	e.answer(answer.Status, platform.ResponseHeader(answer.Header), body)
	e.ended.Outcome = Served
	return true
}
