package callers

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/policy/slowread"
)

const (
	// sweepInterval is the time between two sweeps. In it, callers on a link of 200 Mbit/s send requests of 2.5 MB at most.
	sweepInterval = 100 * time.Millisecond
	// maxObserved is the longest time between two sweeps that counts. After a longer one the machine had stood still, and callers that read need time
	// to show it. It is below the shortest time after which a caller is cut in any case.
	maxObserved = time.Second
)

// Run cuts callers until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	last := time.Now()
	for wait.Pause(ctx, sweepInterval) {
		now := time.Now()
		w.sweep(min(now.Sub(last), maxObserved))
		last = now
	}
}

// pending returns the connections with a pending write.
func (w *Watch) pending() []*conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	var pending []*conn
	for c := range w.conns {
		if c.writes.Load()%2 == 1 {
			pending = append(pending, c)
		}
	}
	return pending
}

// sweep cuts the callers that slowread.Bounds decides to cut. elapsed is the time since the last sweep.
func (w *Watch) sweep(elapsed time.Duration) {
	pending := w.pending()
	var open []*conn
	var states []slowread.Caller
	for _, c := range pending {
		sent, ok := c.sendState()
		if !ok {
			continue
		}
		state := slowread.Caller{
			Silence: c.progress.Observe(c.writes.Load(), sent.windowEnd, elapsed), Limit: slowread.PauseLimit(0), Bytes: sent.queued + slowread.SocketBytes,
		}
		c.count(state.Bytes)
		if account := c.account.Load(); account != nil {
			state.Limit = account.limit
			state.Bytes += account.taken.Load()
		}
		open, states = append(open, c), append(states, state)
	}
	w.waiting.Store(int64(len(open)))
	held := w.held()
	for _, decided := range w.deps.Bounds.Cuts(held, states) {
		w.cut(open[decided.Index], states[decided.Index], decided.Reason, held)
	}
}

func (w *Watch) cut(c *conn, state slowread.Caller, reason slowread.Reason, held int64) {
	w.cuts.Add(1)
	cut := Cut{Reason: reason, Silence: state.Silence, Bytes: state.Bytes, Held: held}
	if account := c.account.Load(); account != nil {
		cut.Request, cut.Route = account.request, account.route
	}
	w.deps.Cut(cut)
	c.cut(reason)
}
