package admission

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// turn is the slot that a request holds at a group. Only the request's own goroutine uses it, except for start.
type turn struct {
	admission *Admission
	group     *group
	id        string
	// plain reports that answers arrive whole, not as a stream of tokens. promptTokens is the length of the prompt.
	plain        bool
	promptTokens int
	// decided is closed when the request is admitted or refused as expired; nil if it was admitted without waiting.
	decided chan struct{}

	// expired, admittedAt and runningAtStart are set with the group's mutex held, before decided is closed.
	expired        bool
	admittedAt     time.Duration
	runningAtStart int
	// lastToken is when the last token arrived, and tokens the number of tokens so far.
	lastToken time.Duration
	tokens    int
	answered  bool
	done      bool
}

// start must be called with the group's mutex held.
func (t *turn) start(now time.Duration, running int) {
	t.admittedAt = now
	t.runningAtStart = running
}

// FirstToken implements home.Permit. A request that has its first token no longer counts as starting, so that another one
// may start.
func (t *turn) FirstToken() {
	now := t.admission.now()
	t.lastToken = now
	t.answered = true
	if t.plain {
		return
	}
	t.group.observeFirstToken(now, now-t.admittedAt, t)
	t.group.admit(now)
}

// Token implements home.Permit.
func (t *turn) Token(count int) {
	now := t.admission.now()
	first := t.tokens == 0
	t.tokens += count
	if !first && count > 0 {
		t.group.observeGap(now, (now-t.lastToken)/time.Duration(count), count)
	}
	t.lastToken = now
}

// Done implements home.Permit. Further calls have no effect.
func (t *turn) Done() {
	if t.done {
		return
	}
	t.done = true
	now := t.admission.now()
	if t.plain && t.answered {
		t.group.observeFirstToken(now, now-t.admittedAt, t)
	}
	t.group.end(now, t)
	t.group.admit(now)
}

func (g *group) observeFirstToken(now, took time.Duration, t *turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Started(t.id)
	g.firstToken.add(took)
	g.limit.Observe(now, limit.Sample{Running: t.runningAtStart, FirstToken: took, Starting: g.queue.Starting() + 1})
}

func (g *group) observeGap(now, gap time.Duration, count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokenGap.add(gap)
	g.limit.Observe(now, limit.Sample{Running: g.queue.Running(), Gap: gap, GapCount: count})
}

// end frees the slot. The team is charged for the work done: nothing for a request without any answer, which was not
// sent or was refused.
func (g *group) end(now time.Duration, t *turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	work := 0
	switch {
	case t.answered && t.plain:
		work = fairqueue.PlainWork
	case t.answered:
		work = t.promptTokens + max(1, t.tokens)
	}
	g.queue.Done(now, t.id, work)
	g.lastUsed = now
}

// averageWeight is the weight of the newest value in a moving average, so that about the last twenty values count.
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
