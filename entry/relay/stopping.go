package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/policy/stopping"
)

// errStopping is the cause with which the requests that a stopping process can't finish are ended.
var errStopping = eris.New("the entry is stopping")

// retryAfterStopping is for requests that a stopping entry does not accept. Their callers' next connections go to other entries.
const retryAfterStopping = 50 * time.Millisecond

// stop is the planned stop of a Relay.
type stop struct {
	// begun is nil until the stop begins.
	begun atomic.Pointer[begunStop]
	// ended ends when all requests must be answered.
	ended context.Context
	end   context.CancelFunc
}

type begunStop struct {
	plan stopping.Plan
	at   time.Time
}

// Stop begins a planned stop: requests that may last longer than the process are rejected from now on.
func (r *Relay) Stop(plan stopping.Plan) { r.stop.begun.Store(&begunStop{plan: plan, at: time.Now()}) }

// EndRequests ends all requests in progress. Those that can't have run are rejected, others fail.
func (r *Relay) EndRequests() { r.stop.end() }

// acceptStopping reports whether the request is served although the entry may be stopping, and rejects it otherwise.
func (e *exchange) acceptStopping() bool {
	begun := e.relay.stop.begun.Load()
	if begun == nil || begun.plan.Accepts(time.Since(begun.at), time.Until(e.deadline)) {
		return true
	}
	if e.call.Forwarded != nil {
		return e.refuseElsewhere(errStopping.Error())
	}
	return e.refuse(Refused, http.StatusServiceUnavailable, retryAfterStopping, errStopping.Error())
}

// writeHeader sends the answer's header. On a stopping entry the answer is the last one on its connection, also if its request was read before the stop.
func (e *exchange) writeHeader(status int) {
	if e.relay.stop.begun.Load() != nil {
		e.writer.Header().Set("Connection", "close")
	}
	e.writer.WriteHeader(status)
}

// bound limits the request's context to its deadline and to the planned stop of the entry. The cause of its end is context.Canceled if the caller
// has left first.
func (e *exchange) bound() context.CancelFunc {
	stoppable, cancelCause := context.WithCancelCause(e.request.Context())
	unregister := context.AfterFunc(e.relay.stop.ended, func() { cancelCause(errStopping) })
	ctx, cancel := context.WithDeadline(stoppable, e.deadline)
	e.ctx = ctx
	return func() {
		unregister()
		cancel()
		cancelCause(nil)
	}
}
