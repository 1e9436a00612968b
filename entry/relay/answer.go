package relay

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/link/ingress"
	"github.com/skylarkpond/skylarkpond/platform"
)

// Retry-After values for refusals without a better estimate.
const (
	// retryAfterUnavailable is longer than a group that lost a member takes to be re-formed from its VMs (about 2 s).
	retryAfterUnavailable = time.Second
	// retryAfterFull is of the order of the time in which a slot becomes free.
	retryAfterFull = 500 * time.Millisecond
	// retryAfterHeldBack applies to requests that crash servers: they are tried again seldom, one at a time.
	retryAfterHeldBack = time.Minute
)

// errorBody is the body of answers that the entry itself gives.
type errorBody struct {
	Error string `json:"error"`
}

// refuse ends the request with an answer of the entry's own and returns false. Retry-After is omitted if retryAfter is 0.
func (e *exchange) refuse(outcome Outcome, status int, retryAfter time.Duration, detail string) bool {
	e.summary.Outcome = outcome
	e.summary.Detail = detail
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		header.Set(platform.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	platform.SetRequestID(header, e.call.ID)
	body, err := json.Marshal(errorBody{Error: detail})
	if err != nil {
		body = nil // a string always encodes
	}
	e.writeAnswer(status, header, body, framing.Length)
	return false
}

// endWithoutTurn ends a request that gets no turn. If an earlier attempt may have run, the answer does not say that the request did
// not run.
func (e *exchange) endWithoutTurn(refusal *turn.Refusal) {
	detail := string(refusal.Reason) + ": " + refusal.Detail
	switch {
	case e.mayHaveRun:
		e.fail(detail)
	case e.callerGone():
		e.refuse(CallerLeft, http.StatusServiceUnavailable, refusal.RetryAfter, detail)
	case errors.Is(context.Cause(e.ctx), errStopping):
		e.refuse(Refused, http.StatusServiceUnavailable, retryAfterStopping, errStopping.Error())
	default:
		e.refuse(Refused, http.StatusServiceUnavailable, refusal.RetryAfter, detail)
	}
}

// fail ends a request that may have run.
func (e *exchange) fail(detail string) {
	outcome, status := Unknown, http.StatusBadGateway
	switch cause := context.Cause(e.ctx); {
	case e.callerGone():
		outcome = CallerLeft
	case errors.Is(cause, context.DeadlineExceeded):
		outcome, status = TimedOut, http.StatusGatewayTimeout
	case errors.Is(cause, errStopping):
		detail = errStopping.Error() + "; " + detail
	}
	if e.headerSent {
		if outcome != CallerLeft {
			outcome = Cut
		}
		e.summary.Outcome = outcome
		e.summary.Detail = detail
		e.abort()
	}
	e.refuse(outcome, status, 0, detail)
}

// callerGone reports whether the caller closed its connection, or its side of it, before the request's time was over. A request is answered all the
// same: a caller that has closed only its side still reads.
func (e *exchange) callerGone() bool { return errors.Is(context.Cause(e.ctx), context.Canceled) }

// abort ends the answer, so that the part already sent can't be taken for a complete one.
func (e *exchange) abort() { framing.Abort(e.writer, e.request) }

// writeAnswer writes an answer whose body has been read to its end. With framing.Closed, the body may have been cut off.
func (e *exchange) writeAnswer(status int, header http.Header, body []byte, bodyFraming framing.Framing) {
	e.summary.Status = status
	e.stage.enter(Answering)
	out := e.writer.Header()
	maps.Copy(out, header)
	if e.bodyPending {
		ingress.PrepareUnread(e.writer)
	}
	if bodyFraming == framing.Closed {
		framing.EndWithConnection(out)
		e.finished = framing.ResetUnlessFinished(e.request)
	} else {
		out.Set("Content-Length", strconv.Itoa(len(body)))
	}
	e.writeHeader(status)
	if _, err := e.writer.Write(body); err != nil {
		e.noteUnwritten(err)
		return
	}
	e.finish()
}

// discardUnread reads what is left of a body that was not needed, after the answer.
func (e *exchange) discardUnread() {
	if e.bodyPending && e.summary.Status != 0 {
		ingress.DiscardUnread(e.writer, e.request)
	}
}

// noteUnwritten records that the end of an answer could not be written.
func (e *exchange) noteUnwritten(err error) {
	if e.summary.Detail == "" {
		e.summary.Detail = "writing to the caller: " + err.Error()
	}
}

// writeBody writes a part of an answer's body to the caller. Its errors wrap errCallerWrite.
func (e *exchange) writeBody(part []byte) error {
	if _, err := e.writer.Write(part); err != nil {
		return eris.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

// report passes the request's outcome to Deps.Report. It also runs when the connection is aborted.
func (e *exchange) report() {
	e.summary.ID = e.call.ID
	e.summary.Team = e.team
	e.summary.Service = e.service
	e.summary.Model = e.call.Model
	e.summary.PromptParts = e.call.PromptParts
	e.summary.Attempts = e.attempts
	e.summary.Took = time.Since(e.arrived)
	if e.route != nil {
		e.summary.Route = e.route.Name
	}
	if e.table != nil {
		e.summary.ConfigVersion = e.table.Version
	}
	e.relay.deps.Report(e.summary)
}
