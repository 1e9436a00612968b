package admission

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// turn is a request's place at work. Only the request's own goroutine uses it, but for begin.
type turn struct {
	admission *Admission
	gate      *gate
	id        string
	// called is closed when the turn comes; nil if it came at once.
	called chan struct{}

	// begun, running and starting are set by begin, with the gate's lock held, before called is closed.
	begun   time.Duration
	running int
	// last is when the last token came; tokens counts them.
	last    time.Duration
	tokens  int
	started bool
	done    bool
}

// begin must be called with the gate's lock held.
func (t *turn) begin(now time.Duration, running int) {
	t.begun = now
	t.running = running
}

// FirstToken implements home.Turn.
func (t *turn) FirstToken() {
	now := t.admission.now()
	t.last = now
	t.started = true
	t.gate.observeFirst(now, now-t.begun, t)
}

// Token implements home.Turn.
func (t *turn) Token(count int) {
	now := t.admission.now()
	first := t.tokens == 0
	t.tokens += count
	if !first && count > 0 {
		t.gate.observeGap(now, (now-t.last)/time.Duration(count), count)
	}
	t.last = now
}

// Done implements home.Turn. It may be called twice.
func (t *turn) Done() {
	if t.done {
		return
	}
	t.done = true
	now := t.admission.now()
	t.gate.end(now, t)
	t.gate.pump(now)
}

func (g *gate) observeFirst(now, took time.Duration, t *turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Started(t.id)
	g.first.add(took)
	g.limit.Observe(now, limit.Sample{Running: t.running, FirstToken: took, Starting: g.queue.Starting() + 1})
}

func (g *gate) observeGap(now, gap time.Duration, count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gap.add(gap)
	g.limit.Observe(now, limit.Sample{Running: g.queue.Running(), Gap: gap, Gaps: count})
}

// end frees the place. A request that never had a token was charged its estimate; it is charged nothing
// if it was not sent, which shows by its having neither started nor run for any time worth the name.
func (g *gate) end(now time.Duration, t *turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	work := t.tokens
	if t.started {
		work = max(1, work)
	}
	g.queue.Done(now, t.id, work)
	g.used = now
}

// averageWeight is that of the newest value in a moving average: about the last twenty count.
const averageWeight = 0.05

// average is a moving average of durations.
type average struct{ nanos float64 }

func (a *average) add(d time.Duration) {
	if a.nanos == 0 {
		a.nanos = float64(d)
		return
	}
	a.nanos += averageWeight * (float64(d) - a.nanos)
}

func (a *average) value() time.Duration { return time.Duration(a.nanos) }
