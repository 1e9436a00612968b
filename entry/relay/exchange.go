package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/limits"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// exchange is the processing of one caller's request. One goroutine drives it; the timer of its stallWatch only reads fields that are
// set before the first attempt.
type exchange struct {
	relay   *Relay
	writer  http.ResponseWriter
	request *http.Request
	ctx     context.Context
	call    platform.RequestInfo
	arrived time.Time
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	table    *route.Table
	route    *route.Route
	team     string
	priority int
	service  string
	body     []byte
	// fingerprint is equal for requests of one caller with the same method, path and body. traits is what the request may have in common with
	// others that crash servers.
	fingerprint string
	traits      []string
	// onTrial is set if the request is held back and may be sent once all the same.
	onTrial bool
	// brokeOff is set once a server has closed its connection in the middle of the request.
	brokeOff bool
	// tried are the servers that the request was sent to, or could not be sent to; unreachable counts the latter. peersTried are the entries that
	// it was passed on to.
	tried       []backend.ID
	unreachable int
	peersTried  []string
	// passedOn is set once another entry has taken the request: it makes all attempts that are left.
	passedOn bool
	// attempts counts the attempts that reached a server, those of an entry that passed the request on included; mayHaveRun is set if one of them may have run.
	attempts   int
	mayHaveRun bool
	// nextTurn is a turn that was acquired before the last attempt was abandoned.
	nextTurn *turn.Turn
	// sentAt is when the current attempt was sent, timeToFirstEvent the time from then to the first event of its stream.
	sentAt           time.Time
	timeToFirstEvent time.Duration
	// events counts the events of its stream that were complete.
	events int
	// limitKnown is what was known of the server's limit when the current attempt was sent.
	limitKnown limits.Knowledge
	// headerSent is set once the answer's header has been sent. endsWithConnection is set if it states neither a length nor chunks.
	headerSent         bool
	endsWithConnection bool
	// finished ends the reset of such an answer's connection, once all of it is sent; nil until its header has been sent.
	finished func()
	// watch detects a stall of the current attempt.
	watch   *stallWatch
	summary Report
}

func newExchange(r *Relay, w http.ResponseWriter, request *http.Request) *exchange {
	e := &exchange{
		relay: r, writer: w, request: request, ctx: request.Context(), arrived: time.Now(),
		call: platform.DecodeRequest(request.Header), table: r.awaitTable(request.Context()),
	}
	if e.call.Forwarded != nil {
		e.attempts = e.call.Forwarded.Attempts
		e.summary.Forwarded = true
	}
	return e
}

func (e *exchange) run() {
	if !e.canServePassedOn() || !e.admit() || !e.readBody() {
		return
	}
	if e.call.Forwarded != nil && e.relay.deps.Isolation.Isolated(e.service) {
		e.refuseElsewhere("this entry reaches no server either")
		return
	}
	e.fingerprint = contract.Fingerprint(e.request.Method, e.request.RequestURI, e.call.Key, string(e.body))
	e.traits = suspects.Traits(e.fingerprint, e.call.PromptParts)
	if e.heldBack(nil) {
		return
	}
	ctx, cancel := context.WithDeadline(e.request.Context(), e.deadline)
	defer cancel()
	e.ctx = ctx
	defer e.releaseNextTurn()
	e.sendUntilDone()
}

// releaseNextTurn gives back a turn that was acquired and is no longer needed.
func (e *exchange) releaseNextTurn() {
	if t := e.takeNextTurn(); t != nil {
		t.Done(turn.Result{Rejected: true, Unsent: true})
	}
}

// admit matches the route and checks the key. Without a configuration it can decide neither, and refuses the request with 503.
func (e *exchange) admit() bool {
	if e.table == nil {
		return e.refuse(NoConfig, http.StatusServiceUnavailable, retryAfterUnavailable, "no configuration yet")
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
	e.service = e.pickService()
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

// pickService draws a service at random by the weights of the route's targets.
func (e *exchange) pickService() string {
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

// readBody reads the whole body, because it is forwarded with its length and may have to be sent again.
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
		e.summary.Outcome = CallerLeft
		e.summary.Detail = "reading the body: " + err.Error()
		e.abort()
	}
	if int64(len(body)) > limit {
		return e.refuse(TooLarge, http.StatusRequestEntityTooLarge, 0, "body over the limit")
	}
	_ = controller.SetReadDeadline(time.Time{})
	e.body = body
	return true
}

// defaultBodyBytes is the body limit if the configuration sets none.
const defaultBodyBytes = 4 << 20

// sendUntilDone tries servers until one answers or the request is abandoned.
func (e *exchange) sendUntilDone() {
	for {
		t := e.takeNextTurn()
		if t == nil {
			var refusal *turn.Refusal
			if t, refusal = e.acquireTurn(e.turnRequest()); refusal != nil {
				if t = e.lastPeerTurn(); t == nil {
					e.endWithoutTurn(refusal)
					return
				}
			}
		}
		if e.attempt(t) {
			return
		}
	}
}

// takeNextTurn returns and clears the turn for which a stalled attempt was abandoned.
func (e *exchange) takeNextTurn() *turn.Turn {
	t := e.nextTurn
	e.nextTurn = nil
	return t
}

func (e *exchange) turnRequest() turn.Request {
	retrying := e.attempts > 0
	firstTokenBudget, maxWait := turns.WaitBounds(e.route.LatencyTarget, time.Since(e.arrived), retrying)
	request := turn.Request{
		Service: e.service, Model: e.call.Model, Priority: e.priority, Retry: retrying, Tried: e.tried,
		PromptTokens: e.call.PromptTokens, OutputTokens: e.call.ExpectedAnswerTokens(),
		FirstTokenBudget: firstTokenBudget, MaxWait: maxWait, Fingerprint: contract.ShortFingerprint(e.fingerprint),
	}
	if e.attempts > 0 {
		request.Priority = turn.PriorityRetry // it lost time at a server that failed, and its caller leaves soon
	}
	return request
}

// attempt sends the request to one server and reports whether the request is done.
func (e *exchange) attempt(t *turn.Turn) bool {
	if t.Peer {
		return e.attemptAtPeer(t)
	}
	if e.heldBack(t) {
		return true
	}
	if returnExpired(t) {
		return false
	}
	e.tried = append(e.tried, t.Server.ID)
	answer, err := e.send(t, "")
	if errors.Is(err, upstream.ErrNotPermitted) {
		t.Done(turn.Result{Rejected: true, Unsent: true})
		return false
	}
	if errors.Is(err, upstream.ErrNotSent) {
		t.Done(turn.Result{Unreachable: true})
		return e.doneAfterUnsent()
	}
	if e.attempts == 0 {
		e.relay.deps.Retries.FirstTry(e.service)
	}
	e.attempts++
	if err != nil {
		t.Done(e.failedResult())
		e.mayHaveRun = true
		e.checkForCrash(t, err)
		return e.doneAfterFailure("no answer: " + err.Error())
	}
	if e.decode(t, answer).NotRun {
		e.endRejected(t, answer)
		return e.doneAfterRejection(t)
	}
	e.mayHaveRun = true
	if e.route.Kind == route.Streaming && answer.Status == http.StatusOK {
		return e.relayStream(t, answer)
	}
	return e.relayWhole(t, answer)
}

// returnExpired gives a turn back that must not be used any more, and reports whether it did.
func returnExpired(t *turn.Turn) bool {
	if !t.Expired() {
		return false
	}
	t.Done(turn.Result{Rejected: true, Unsent: true})
	return true
}

// decode decodes the header of a server's answer, and passes on what the server states of itself. The leader must hear of the limit before it hears
// that the server has accepted the request.
func (e *exchange) decode(t *turn.Turn, answer *upstream.Response) platform.ResponseInfo {
	decoded := platform.DecodeResponse(answer.Status, answer.Header)
	if decoded.Load != nil {
		t.ReportLoad(decoded.Load.Running, decoded.Load.Waiting, decoded.Load.Slots)
	}
	e.relay.deps.Limits.Answered(limits.Answer{
		Server: t.Server, Known: e.limitKnown, PerSecond: decoded.Limit, Invalid: decoded.InvalidLimit,
	})
	if !decoded.NotRun && decoded.Pause == 0 {
		t.Accepted()
	}
	return decoded
}

// endRejected ends an attempt that the server did not run.
func (e *exchange) endRejected(t *turn.Turn, answer *upstream.Response) {
	_ = answer.Body.Close()
	e.endAttempt()
	t.Done(turn.Result{Rejected: true})
	e.relay.deps.Rejected(Rejection{Request: e.call.ID, Server: t.Server, Status: answer.Status, Basis: t.Basis})
}

// failedResult returns the result of a turn whose server gave no answer or an incomplete one.
func (e *exchange) failedResult() turn.Result {
	stalled := e.nextTurn != nil
	return turn.Result{Stalled: stalled, Failed: !stalled && e.ctx.Err() == nil, TimeToFirstToken: e.timeToFirstEvent}
}

// send sends the request to one server and starts a stall watch on the attempt, which the caller stops with endAttempt.
func (e *exchange) send(t *turn.Turn, lastEvent string) (*upstream.Response, error) {
	e.sentAt, e.timeToFirstEvent, e.events = time.Now(), 0, 0
	suspicion := time.AfterFunc(e.silenceBeforeReport(), func() { e.reportSilence(t) })
	defer suspicion.Stop()
	ctx, cancel := context.WithCancelCause(e.ctx)
	e.watch = newStallWatch(e, cancel, t.Peer)
	pool, header := e.relay.deps.Pool, http.Header(nil)
	var permit func() bool
	if t.Peer {
		pool = e.relay.deps.PeerPool
		forwarded := platform.Forwarded{Attempts: e.attempts, ConfigVersion: e.table.Version}
		header = platform.PeerHeader(e.request.Header, forwarded, time.Until(e.deadline), lastEvent)
	} else {
		permit = func() bool { return e.permit(t.Server) }
		header = platform.ForwardHeader(e.request.Header, platform.Forward{
			Server: t.Server.ID, Team: e.team, Remaining: time.Until(e.deadline), LastEvent: lastEvent,
		})
	}
	answer, err := pool.Send(ctx, upstream.EndpointOf(t.Server), &upstream.Request{
		Method: e.request.Method, Target: e.request.RequestURI, Host: e.request.Host, Header: header, Body: e.body, Permit: permit,
		Matches: func(header http.Header) bool { return platform.MatchesID(e.call.ID, header) },
	})
	if err != nil {
		if !t.Peer && e.ctx.Err() == nil && !errors.Is(err, upstream.ErrNotPermitted) {
			e.relay.deps.Isolation.Suspect(e.service)
		}
		e.endAttempt()
		return nil, err
	}
	e.watch.noteActivity()
	e.summary.Framing = answer.Framing
	return answer, nil
}

// permit reports whether a request may still be sent to a server, which may have asked for a pause since the turn was granted.
func (e *exchange) permit(server *backend.Server) bool {
	if !e.relay.deps.Pauses.Permit(server) {
		return false
	}
	e.summary.Servers = append(e.summary.Servers, string(server.ID))
	e.limitKnown = e.relay.deps.Limits.Sending(server)
	return true
}

// silenceBeforeReport is how long a server may send nothing, not even a header, before that is reported.
func (e *exchange) silenceBeforeReport() time.Duration {
	if e.route.Kind == route.Streaming {
		return firstStallReportDelay
	}
	return wholeAnswerReportDelay
}

// reportSilence reports that a server has sent nothing for longer than usual. Only groups are checked by the leader.
func (e *exchange) reportSilence(t *turn.Turn) {
	if t.Peer {
		return
	}
	e.relay.deps.Isolation.Suspect(e.service)
	if e.route.Kind == route.Streaming {
		t.ReportStall()
	}
}

// endAttempt stops the stall watch and keeps the turn for which the attempt was abandoned, if any.
func (e *exchange) endAttempt() { e.nextTurn = e.watch.stop() }

// maxUnreachable bounds the servers whose connection attempt may fail for one request. Each takes up to 0.4 s.
const maxUnreachable = 3

// doneAfterUnsent reports whether the request is done after a failed connection attempt. Nothing was sent, so another server is tried
// without drawing on the retry budget.
func (e *exchange) doneAfterUnsent() bool {
	e.unreachable++
	if e.ctx.Err() == nil && e.mayPassOn() {
		return false
	}
	if e.call.Forwarded != nil && !e.mayHaveRun && e.unreachable >= unreachableBeforePeers {
		e.refuseElsewhere("servers can't be reached")
		return true
	}
	if e.ctx.Err() != nil || e.unreachable >= maxUnreachable {
		e.endWithoutTurn(&turn.Refusal{Reason: turn.NoServer, RetryAfter: retryAfterUnavailable, Detail: "servers can't be reached"})
		return true
	}
	return false
}

// doneAfterFailure reports whether the request is done after an attempt whose outcome is unknown.
func (e *exchange) doneAfterFailure(detail string) bool {
	if e.nextTurn != nil {
		return false
	}
	if e.ctx.Err() != nil || !e.route.Repeatable() || !e.mayRetry() {
		e.fail(detail)
		return true
	}
	return false
}

// doneAfterRejection reports whether the request is done after a server stated that it did not run it.
func (e *exchange) doneAfterRejection(t *turn.Turn) bool {
	if e.nextTurn != nil || e.ctx.Err() == nil && e.mayRetry() {
		return false
	}
	e.endWithoutTurn(&turn.Refusal{Reason: turn.Full, RetryAfter: retryAfterFull, Detail: "rejected by " + string(t.Server.ID)})
	return true
}

// checkForCrash has a server checked that closed its connection in the middle of the request. A stall or an expired deadline is no
// sign of a crash.
func (e *exchange) checkForCrash(t *turn.Turn, err error) {
	if t.Peer || e.ctx.Err() != nil || e.nextTurn != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	e.serverLost(t)
}

// progressedEvents is the number of events of a stream after which the server is past the beginning of the answer.
const progressedEvents = 3

// serverLost has a server checked that closed its connection in the middle of the request, or may have.
func (e *exchange) serverLost(t *turn.Turn) {
	e.brokeOff = true
	go e.relay.deps.Suspects.ServerLost(context.WithoutCancel(e.ctx), e.suspect(), t.Server, e.sentAt, e.events >= progressedEvents)
}

// suspect describes the request to Suspects.
func (e *exchange) suspect() suspects.Request {
	return suspects.Request{ID: e.call.ID, Service: e.service, Traits: e.traits}
}

// heldBack ends the request and returns true if requests like it crash servers. t is the turn that it has acquired, if any, which is given back.
func (e *exchange) heldBack(t *turn.Turn) bool {
	hold, held := e.relay.deps.Suspects.Held(e.suspect())
	if !held || e.onTrial {
		return false
	}
	if e.onTrial = e.relay.deps.Suspects.TakeTrial(e.suspect()); e.onTrial {
		e.summary.OnTrial = true
		return false
	}
	detail := fmt.Sprintf("requests with %s have crashed servers: %d crashes", strings.Join(hold.Traits, " and "), hold.Crashes)
	e.summary.HeldBy = hold.Traits
	if t != nil {
		t.Done(turn.Result{Rejected: true, Unsent: true})
	}
	if e.mayHaveRun {
		e.fail(detail)
	} else {
		e.refuse(HeldBack, http.StatusServiceUnavailable, retryAfterHeldBack, detail)
	}
	return true
}

func (e *exchange) mayRetry() bool {
	if e.onTrial || e.brokeOff && e.relay.deps.Suspects.Suspected(e.suspect()) {
		return false
	}
	return !e.passedOn && e.attempts < e.route.MaxAttempts && e.relay.deps.Retries.Take(e.service, time.Until(e.deadline))
}

// noteEnd records that an answer has been read to its end. An answer that ended with its connection may have been cut off by a crash, so it
// does not clear the request of having caused one. Neither does a failure: the server may not have begun with the answer.
func (e *exchange) noteEnd(t *turn.Turn, answer *upstream.Response) {
	if t.Peer {
		return // the other entry does
	}
	if answer.Framing == framing.Closed {
		e.serverLost(t)
		return
	}
	if answer.Status < http.StatusMultipleChoices {
		e.relay.deps.Suspects.Finished(e.suspect())
	}
}
