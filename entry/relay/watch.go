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

// Silence after which a request is sent to another server, if it may be repeated and a turn is available. A group that has lost a
// member accepts requests and makes no progress for seconds, and callers leave after about two: when the entry waited to the end,
// every tenth request on a day of steady failures was abandoned by its caller in such a group. If no turn is available elsewhere, the
// entry keeps waiting for the server: silence alone ends no attempt.
const (
	// streamStartTimeout is ten times the mean time to the first event of a stream, and above the 95th percentile on fully loaded
	// groups.
	streamStartTimeout = time.Second
	// wholeAnswerTimeout is twenty times what a plain server takes.
	wholeAnswerTimeout = 600 * time.Millisecond
	// eventTimeout applies between two events: several times the interval of a loaded engine that is processing prompts (about 0.3 s).
	eventTimeout = 900 * time.Millisecond
	// alternateRetryInterval is the pause after a failed attempt to acquire a turn elsewhere.
	alternateRetryInterval = 300 * time.Millisecond
	// alternateTurnWait is how long to wait for a turn elsewhere. An event that arrives meanwhile is forwarded that much later.
	alternateTurnWait = 100 * time.Millisecond
)

// errStalled cancels an attempt whose request continues at another server.
var errStalled = eris.New("the server keeps silent, and the request goes on elsewhere")

// stallWatch abandons an attempt when its server stalls and the request can continue elsewhere: the turn there is acquired first.
type stallWatch struct {
	exchange *exchange
	cancel   context.CancelCauseFunc
	// attempt is the number of this attempt, counted from 1; tried are the servers of all attempts, this one included.
	attempt int
	tried   []backend.ID

	mu      sync.Mutex // guards what follows; held while a turn is acquired
	timer   *time.Timer
	stopped bool
	// alternate is the turn acquired at another server.
	alternate *turn.Turn
}

// newStallWatch starts a watch on the current attempt; cancel ends the attempt. An attempt that another entry makes is watched there.
func newStallWatch(e *exchange, cancel context.CancelCauseFunc, peer bool) *stallWatch {
	w := &stallWatch{exchange: e, cancel: cancel, attempt: e.attempts + 1, tried: append([]backend.ID(nil), e.tried...)}
	w.stopped = peer || !e.route.Repeatable() || w.attempt >= e.route.MaxAttempts
	timeout := wholeAnswerTimeout
	if e.route.Kind == route.Streaming {
		timeout = streamStartTimeout
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.onSilence)
	return w
}

// noteActivity records that the server has sent something.
func (w *stallWatch) noteActivity() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(eventTimeout)
	}
}

// disarm ends the watch while the attempt goes on. It returns false if the attempt was abandoned before.
func (w *stallWatch) disarm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.alternate == nil
}

// stop ends the watch and returns the turn at another server, if the attempt was abandoned for one.
func (w *stallWatch) stop() *turn.Turn {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.cancel(nil)
	return w.alternate
}

func (w *stallWatch) onSilence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.exchange.account.Writing() {
		w.timer.Reset(eventTimeout) // it is the caller that does not read
		return
	}
	if w.alternate = w.acquireAlternate(); w.alternate == nil {
		w.timer.Reset(alternateRetryInterval)
		return
	}
	w.stopped = true
	w.cancel(errStalled)
}

// acquireAlternate acquires a turn at another server. It returns nil if there is none or the retry budget is exhausted.
func (w *stallWatch) acquireAlternate() *turn.Turn {
	e := w.exchange
	t, refusal := e.acquireTurn(turn.Request{
		Service: e.service, Model: e.call.Model, Priority: turn.PriorityRetry, Retry: true, Tried: w.tried, MaxWait: alternateTurnWait,
	})
	if refusal != nil {
		return nil
	}
	if !e.relay.deps.Retries.Take(e.service, time.Until(e.deadline)) {
		t.Done(turn.Result{Rejected: true, Unsent: true})
		return nil
	}
	return t
}
