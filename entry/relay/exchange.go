package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/intake"
	"github.com/skylarkpond/skylarkpond/entry/limits"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/entry/turn"
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
	// bodyMemory is the memory of the body until the request has ended; nil without a body.
	bodyMemory *intake.Body
	// bodyPending is set until the body has been read to its end, or the request's time was over.
	bodyPending bool
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
	// stage may be read by any goroutine.
	stage stage
}

func newExchange(r *Relay, w http.ResponseWriter, request *http.Request) *exchange {
	e := &exchange{
		relay: r, writer: w, request: request, ctx: request.Context(), arrived: time.Now(), bodyPending: request.ContentLength != 0,
		call: platform.DecodeRequest(request.Header), table: r.awaitTable(request.Context()),
	}
	if e.call.Forwarded != nil {
		e.attempts = e.call.Forwarded.Attempts
		e.summary.Forwarded = true
	}
	return e
}

func (e *exchange) run() {
	if !e.canServePassedOn() || !e.admit() || !e.acceptStopping() {
		return
	}
	defer e.bound()()
	if !e.readBody() {
		return
	}
	if e.call.Forwarded != nil && e.relay.deps.Isolation.Isolated(e.service) {
		e.refuseElsewhere("this entry reaches no server either")
		return
	}
	e.fingerprint = contract.FingerprintWithBody(e.body, e.request.Method, e.request.RequestURI, e.call.Key)
	e.traits = suspects.Traits(e.fingerprint, e.call.PromptParts)
	if e.heldBack(nil) {
		return
	}
	defer e.releaseNextTurn()
	e.stage.enter(Waiting)
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
	if !e.bodyPending {
		return true
	}
	limit := e.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if e.request.ContentLength > limit {
		return e.refuse(TooLarge, http.StatusRequestEntityTooLarge, 0, intake.ErrTooLarge.Error())
	}
	memory, ctx := e.relay.deps.Bodies.Open(e.ctx)
	e.bodyMemory = memory
	body, err := e.receive(ctx, limit)
	if err != nil {
		memory.Close()
		return e.endUnread(err)
	}
	e.body = body
	return true
}

// receive reads the body until ctx ends.
func (e *exchange) receive(ctx context.Context, limit int64) ([]byte, error) {
	controller := http.NewResponseController(e.writer)
	interrupted := make(chan struct{})
	unregister := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		_ = controller.SetReadDeadline(time.Now())
	})
	read, err := e.bodyMemory.Read(e.request.Body, e.request.ContentLength, limit)
	e.bodyPending = err != nil
	if !unregister() {
		<-interrupted
		e.bodyPending = intake.IsRefusal(err) // such a caller may still send
		// The deadline may have ended the connection's context too, with which each later request on it would begin.
		e.writer.Header().Set("Connection", "close")
		if err == nil {
			_ = controller.SetReadDeadline(time.Time{})
		} // else the HTTP server would wait for the rest of the body before it sends the answer
	}
	return read, err
}

// endUnread ends a request whose body could not be read whole and returns false. It has not run.
func (e *exchange) endUnread(err error) bool {
	detail := "reading the body: " + err.Error()
	switch cause := context.Cause(e.ctx); {
	case errors.Is(err, intake.ErrTooLarge):
		return e.refuse(TooLarge, http.StatusRequestEntityTooLarge, 0, err.Error())
	case intake.IsRefusal(err) && e.call.Forwarded != nil:
		return e.refuseElsewhere(err.Error())
	case intake.IsRefusal(err):
		return e.refuse(Refused, http.StatusServiceUnavailable, intake.RetryAfter, err.Error())
	case errors.Is(cause, context.DeadlineExceeded):
		return e.refuse(TimedOut, http.StatusRequestTimeout, 0, detail)
	case errors.Is(cause, errStopping):
		return e.refuse(Refused, http.StatusServiceUnavailable, retryAfterStopping, detail)
	default:
		return e.refuse(CallerLeft, http.StatusBadRequest, 0, detail)
	}
}

// releaseBody ends the use of the body.
func (e *exchange) releaseBody() {
	if e.bodyMemory != nil {
		e.bodyMemory.Close()
	}
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
		Team: e.team, Deadline: time.Until(e.deadline),
	}
	if e.attempts > 0 {
		request.Priority = turn.PriorityRetry // it lost time at a server that failed, and its caller leaves soon
	}
	return request
}
