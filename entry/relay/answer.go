package relay

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/platform"
)

// When callers are told to come back, where nothing better is known.
const (
	// retryUnknown is above the time in which a group that lost a member stands again from its hosts (about 2 s).
	retryUnknown = time.Second
	// retryFull is in the order of the time in which a place comes free.
	retryFull = 500 * time.Millisecond
	// retryHeld is for a request that crashes servers: nothing will change before an operator has looked.
	retryHeld = time.Minute
)

// failure is the body of the entry's own answers.
type failure struct {
	Error string `json:"error"`
}

// refuse answers for the entry itself and returns false. after is left out where it is 0.
func (e *exchange) refuse(outcome Outcome, status int, after time.Duration, detail string) bool {
	e.ended.Outcome = outcome
	e.ended.Detail = detail
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	if after > 0 {
		header.Set(platform.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	platform.SetRequestID(header, e.call.ID)
	body, err := json.Marshal(failure{Error: detail})
	if err != nil {
		body = nil // text always encodes
	}
	e.answer(status, header, body)
	return false
}

// giveUp ends a request that gets no turn. Where an earlier send may have run, nothing is promised.
func (e *exchange) giveUp(refusal *turn.Refusal) {
	detail := string(refusal.Reason) + ": " + refusal.Detail
	switch {
	case e.mayHaveRun:
		e.fail(detail)
	case e.request.Context().Err() != nil:
		e.leave(detail)
	default:
		e.refuse(Refused, http.StatusServiceUnavailable, refusal.RetryAfter, detail)
	}
}

// fail ends a request that may have run.
func (e *exchange) fail(detail string) {
	if e.request.Context().Err() != nil {
		e.leave(detail)
		return
	}
	outcome, status := Unknown, http.StatusBadGateway
	if errors.Is(e.ctx.Err(), context.DeadlineExceeded) {
		outcome, status = TimedOut, http.StatusGatewayTimeout
	}
	if e.begun {
		e.ended.Outcome = Cut
		e.ended.Detail = detail
		e.abort()
	}
	e.refuse(outcome, status, 0, detail)
}

func (e *exchange) leave(detail string) {
	e.ended.Outcome = CallerLeft
	e.ended.Detail = detail
}

// abort ends the connection, so that what went out can't be taken for a complete answer.
func (e *exchange) abort() { panic(http.ErrAbortHandler) }

// answer writes a whole answer.
func (e *exchange) answer(status int, header http.Header, body []byte) {
	e.ended.Status = status
	out := e.writer.Header()
	maps.Copy(out, header)
	out.Set("Content-Length", strconv.Itoa(len(body)))
	e.writer.WriteHeader(status)
	if _, err := e.writer.Write(body); err != nil && e.ended.Detail == "" {
		e.ended.Detail = "writing to the caller: " + err.Error()
	}
}

// report tells how the request ended. It runs also when the connection is aborted.
func (e *exchange) report() {
	e.ended.ID = e.call.ID
	e.ended.Team = e.team
	e.ended.Service = e.service
	e.ended.Model = e.call.Model
	e.ended.Attempts = e.attempts
	e.ended.Took = time.Since(e.arrived)
	if e.route != nil {
		e.ended.Route = e.route.Name
	}
	if e.table != nil {
		e.ended.ConfigVersion = e.table.Version
	}
	e.relay.deps.Report(e.ended)
}
