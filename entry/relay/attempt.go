package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/limits"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
)

// This file sends a request to one server at a time, and decides whether it may be sent to another one.

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
		t.Done(e.unreachableResult(t, err))
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

// unreachableResult returns the result of a turn whose server could not be connected to. That the caller has left says nothing about the server.
func (e *exchange) unreachableResult(t *turn.Turn, err error) turn.Result {
	if e.ctx.Err() != nil {
		return turn.Result{Unsent: true}
	}
	e.relay.deps.Unreachable(e.call.ID, t.Server, err)
	return turn.Result{Unreachable: true}
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
	if failed := e.route.Kind == route.Streaming && answer.Status >= http.StatusInternalServerError; !failed && !decoded.NotRun && decoded.Pause == 0 {
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
	e.stage.enter(e.stageAt(AtServer))
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
func (e *exchange) endAttempt() {
	e.nextTurn = e.watch.stop()
	e.stage.enter(e.stageAt(Waiting))
}

// stageAt returns Answering once the answer's header has been sent, and otherwise the stage given.
func (e *exchange) stageAt(otherwise Stage) Stage {
	if e.headerSent {
		return Answering
	}
	return otherwise
}

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
