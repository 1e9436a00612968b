package admission

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// permit implements home.Permit: it is the slot that a request holds at a group, or waits for. Only the request's own
// goroutine uses it, except for start.
type permit struct {
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
	// rateVersion is that of the group's rate limit when the request was admitted; 0 for none.
	rateVersion uint64
	// lastToken is when the last token arrived, and tokens the number of tokens so far.
	lastToken time.Duration
	tokens    int
	answered  bool
	done      bool
}

// start must be called with the group's mutex held.
func (p *permit) start(now time.Duration, running int, rateVersion uint64) {
	p.admittedAt = now
	p.rateVersion = rateVersion
	p.runningAtStart = running
}

// FirstToken implements home.Permit. A request that has its first token no longer counts as starting, so that another one
// may start.
func (p *permit) FirstToken() {
	now := p.admission.now()
	p.lastToken = now
	p.answered = true
	p.group.accepted(now, p)
	if p.plain {
		return
	}
	p.group.observeFirstToken(now, now-p.admittedAt, p)
	p.group.admit(now)
}

// Token implements home.Permit.
func (p *permit) Token(count int) {
	now := p.admission.now()
	first := p.tokens == 0
	p.tokens += count
	if !first && count > 0 {
		p.group.observeGap(now, (now-p.lastToken)/time.Duration(count), count)
	}
	p.lastToken = now
}

// Done implements home.Permit. Further calls have no effect.
func (p *permit) Done() {
	if p.done {
		return
	}
	p.done = true
	now := p.admission.now()
	if p.plain && p.answered {
		p.group.observeFirstToken(now, now-p.admittedAt, p)
	}
	p.group.end(now, p)
	p.group.admit(now)
}

func (g *group) observeFirstToken(now, took time.Duration, p *permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Started(p.id)
	g.firstToken.add(took)
	g.limit.Observe(now, limit.Sample{Running: p.runningAtStart, FirstToken: took, Starting: g.queue.Starting() + 1})
}

func (g *group) observeGap(now, gap time.Duration, count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokenGap.add(gap)
	g.limit.Observe(now, limit.Sample{Running: g.queue.Running(), Gap: gap, GapCount: count})
}

// end frees the slot. The team is charged for the work done: nothing for a request without any answer, which was not
// sent or was refused.
func (g *group) end(now time.Duration, p *permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	work := 0
	switch {
	case p.answered && p.plain:
		work = fairqueue.PlainWork
	case p.answered:
		work = p.promptTokens + max(1, p.tokens)
	}
	g.backoff.EndProbe(p.id)
	g.queue.Done(now, p.id, work)
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
