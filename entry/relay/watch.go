package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/turn"
)

// Silence after which a request is sent elsewhere, if it may be repeated and there is a turn for it. A group that has lost a member takes
// requests and does nothing for seconds, and callers leave after some two: waited for to the end, every tenth request on a day of steady
// losses was given up by its caller in such a group. Where there is no turn elsewhere, its server is waited for: silence alone
// ends no answer.
const (
	// silentStream is ten times the mean time to the first event of a stream, and above 95 in 100 of them on groups that are full.
	silentStream = time.Second
	// silentWhole is twenty times what a plain server takes.
	silentWhole = 600 * time.Millisecond
	// silentEvent is between two events: several times the pass of a loaded engine that reads prompts (about 0.3 s).
	silentEvent = 900 * time.Millisecond
	// silentAgain is how long after a turn was asked for in vain the next one is.
	silentAgain = 300 * time.Millisecond
	// turnElsewhere is how long a turn is waited for. An event that comes meanwhile is handed on that much later.
	turnElsewhere = 100 * time.Millisecond
)

// errSilent ends an attempt whose request goes on elsewhere.
var errSilent = eris.New("the server keeps silent, and the request goes on elsewhere")

// watch gives one attempt up when its server keeps silent and the request can go on elsewhere: the turn there is taken first.
type watch struct {
	exchange *exchange
	cancel   context.CancelCauseFunc
	// sent counts the sends, this one included; tried are their servers.
	sent  int
	tried []backend.ID

	mu    sync.Mutex // guards what follows; held while a turn is asked for
	timer *time.Timer
	over  bool
	// next is the turn elsewhere.
	next *turn.Turn
}

// newWatch starts watching; cancel ends the attempt.
func newWatch(e *exchange, cancel context.CancelCauseFunc) *watch {
	w := &watch{exchange: e, cancel: cancel, sent: e.attempts + 1, tried: append([]backend.ID(nil), e.tried...)}
	w.over = !e.route.Repeatable() || w.sent >= e.route.MaxAttempts
	patience := silentWhole
	if e.route.Kind == route.Streaming {
		patience = silentStream
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(patience, w.fire)
	return w
}

// heard notes that the server has sent something.
func (w *watch) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.over {
		w.timer.Reset(silentEvent)
	}
}

// stop ends the watch and returns the turn elsewhere, if the attempt was given up for one.
func (w *watch) stop() *turn.Turn {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	w.timer.Stop()
	w.cancel(nil)
	return w.next
}

func (w *watch) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return
	}
	if w.next = w.elsewhere(); w.next == nil {
		w.timer.Reset(silentAgain)
		return
	}
	w.over = true
	w.cancel(errSilent)
}

// elsewhere takes a turn at another server, or returns nil where there is none or the budget of repeats is spent.
func (w *watch) elsewhere() *turn.Turn {
	e := w.exchange
	t, refusal := e.relay.deps.Turns.Acquire(e.ctx, turn.Request{
		Service: e.service, Model: e.call.Model, Priority: turn.PriorityRetry, Retry: true, Tried: w.tried, MaxWait: turnElsewhere,
	})
	if refusal != nil {
		return nil
	}
	if !e.relay.deps.Retries.Take(e.service, time.Until(e.deadline)) {
		t.Done(turn.Result{Rejected: true})
		return nil
	}
	return t
}
