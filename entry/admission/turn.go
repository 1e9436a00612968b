package admission

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// turn is a request's place at work. Only the request's own goroutine uses it, but for begin.
type turn struct {
	admission *Admission
	gate      *gate
	id        string
	// plain says that answers come whole; prompt is the work of reading the prompt.
	plain  bool
	prompt int
	// called is closed when the turn comes, or when it is too late for one; nil if it came at once.
	called chan struct{}

	// These are set with the gate's lock held, before called is closed.
	late    bool
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

// FirstToken implements home.Turn. The place that it frees for another request to start in is used at once.
func (t *turn) FirstToken() {
	now := t.admission.now()
	t.last = now
	t.started = true
	if t.plain {
		return
	}
	t.gate.observeFirst(now, now-t.begun, t)
	t.gate.pump(now)
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
	if t.plain && t.started {
		t.gate.observeFirst(now, now-t.begun, t)
	}
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
	g.limit.Observe(now, limit.Sample{Running: g.queue.Running(), Gap: gap, GapCount: count})
}

// end frees the place. The team is charged what was done: nothing for a request without any answer, which
// was not sent or was refused.
func (g *gate) end(now time.Duration, t *turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	work := 0
	switch {
	case t.started && t.plain:
		work = fairqueue.PlainWork
	case t.started:
		work = t.prompt + max(1, t.tokens)
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
