package playback

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// Decision is what a Queue says to an offered request.
type Decision int

// The decisions.
const (
	Admit Decision = iota
	Enqueue
	Refuse
)

// Queue is admission and the queue before one engine, as a Home drives it.
type Queue interface {
	// Offer decides on a request; with Refuse comes when the caller may come back.
	Offer(now time.Duration, r *Request) (Decision, time.Duration)
	// Next returns the request to send next, or nil.
	Next(now time.Duration) *Request
	// Expire returns the requests that have waited too long.
	Expire(now time.Duration) []*Request
	// RetryAfter is told to the caller of an expired request.
	RetryAfter(now time.Duration, r *Request) time.Duration
	// Done says that a request which was sent is over, and the work that it took.
	Done(now time.Duration, r *Request, work int)
	SetLimit(limit int)
	// SetStartLimit bounds the requests that are sent and have no first token, 0 does not; Started says
	// that a first token came.
	SetStartLimit(limit int)
	Started(r *Request)
}

// Limiter decides how many requests may be at work on the engine, as limit.Limit does.
type Limiter interface {
	Current() int
	// Starting bounds the requests without a first token; 0 does not.
	Starting() int
	Observe(now time.Duration, s limit.Sample)
}

// FixedLimit is the plain baseline of a Limiter.
type FixedLimit int

// Current returns the limit.
func (f FixedLimit) Current() int { return int(f) }

// Starting returns 0.
func (f FixedLimit) Starting() int { return 0 }

// Observe does nothing.
func (f FixedLimit) Observe(time.Duration, limit.Sample) {}

// expireEvery is how often a home looks for requests that have waited too long.
const expireEvery = 50 * time.Millisecond

// Home drives a queue and a limit before one engine.
type Home struct {
	loop   *Loop
	engine *Engine
	queue  Queue
	limits Limiter
	// lag is how late limits hears of what was measured.
	lag time.Duration
	// tries is how often a caller asks before it gives up; it obeys Retry-After.
	tries int
	// running counts what is at work, starting what of it has no first token.
	running, starting int
	// Gaps collects the gaps between tokens, Limits the limit, once a second.
	Gaps   Histogram
	Limits []int
	from   time.Duration
	// OnRefused, if set, hears of refusals in place of the caller.
	OnRefused func(r *Request)
	waiting   int
}

// Load returns how many requests are at work and queued.
func (h *Home) Load() int { return h.running + h.waiting }

// Running returns how many requests are at work.
func (h *Home) Running() int { return h.running }

// NewHome returns a home; it measures gaps from the time from on.
func NewHome(loop *Loop, engine *Engine, queue Queue, limits Limiter, lag time.Duration, tries int, from time.Duration) *Home {
	h := &Home{loop: loop, engine: engine, queue: queue, limits: limits, lag: lag, tries: tries, from: from}
	h.applyLimit()
	engine.OnStep = h.observeGap
	loop.Every(expireEvery, h.expire)
	loop.Every(time.Second, func() { h.Limits = append(h.Limits, limits.Current()) })
	return h
}

// Arrive offers a request, and again as often as its caller tries.
func (h *Home) Arrive(r *Request) {
	now := h.loop.Now()
	if r.Tries == 0 {
		r.FirstArrived = now
	}
	r.Tries++
	r.Arrived = now
	h.Offer(r)
}

// Offer offers a request that has arrived before.
func (h *Home) Offer(r *Request) {
	decision, retryAfter := h.queue.Offer(h.loop.Now(), r)
	switch decision {
	case Admit:
		h.send(r)
	case Enqueue:
		h.waiting++
		h.drain()
	case Refuse:
		h.refuse(r, retryAfter)
	}
}

func (h *Home) applyLimit() {
	h.queue.SetLimit(h.limits.Current())
	h.queue.SetStartLimit(h.limits.Starting())
}

func (h *Home) refuse(r *Request, retryAfter time.Duration) {
	r.Ended = h.loop.Now()
	if h.OnRefused != nil {
		h.OnRefused(r)
		return
	}
	if r.Tries >= h.tries || retryAfter <= 0 {
		r.Outcome = Refused
		return
	}
	h.loop.After(retryAfter, func() { h.Arrive(r) })
}

func (h *Home) drain() {
	for r := h.queue.Next(h.loop.Now()); r != nil; r = h.queue.Next(h.loop.Now()) {
		h.waiting--
		h.send(r)
	}
}

func (h *Home) expire() {
	now := h.loop.Now()
	for _, r := range h.queue.Expire(now) {
		h.waiting--
		h.refuse(r, h.queue.RetryAfter(now, r))
	}
	h.applyLimit()
	h.drain()
}

func (h *Home) send(r *Request) {
	r.Started = h.loop.Now()
	h.running++
	h.starting++
	h.engine.Submit(r, h.observeFirstToken, h.finish)
	h.loop.At(r.Deadline(), func() { h.giveUp(r) })
}

func (h *Home) finish(r *Request) { h.end(r, Answered, r.Work()) }

// giveUp cancels a request whose deadline passed while it ran.
func (h *Home) giveUp(r *Request) {
	if r.Outcome != Pending {
		return
	}
	generated := 0
	if r.phase == decoding {
		generated = int(h.engine.steps-r.joined) + 1
	}
	h.engine.Cancel(r)
	h.end(r, Late, Work(r.Prompt-r.left, generated))
}

func (h *Home) end(r *Request, outcome Outcome, work int) {
	now := h.loop.Now()
	r.Outcome = outcome
	r.Ended = now
	h.running--
	if r.FirstToken == 0 {
		h.starting--
	}
	h.queue.Done(now, r, work)
	h.applyLimit()
	h.drain()
}

func (h *Home) observeFirstToken(r *Request) {
	h.report(limit.Sample{FirstToken: r.FirstToken - r.Started, Starting: h.starting})
	h.starting--
	h.queue.Started(r)
	h.drain()
}

func (h *Home) observeGap(gap time.Duration, count int) {
	if h.loop.Now() >= h.from {
		h.Gaps.Add(gap, count)
	}
	h.report(limit.Sample{Gap: gap, Gaps: count})
}

// report hands a measurement to the limit, late by the lag.
func (h *Home) report(s limit.Sample) {
	s.Running = h.running
	if h.lag == 0 {
		h.limits.Observe(h.loop.Now(), s)
		return
	}
	h.loop.After(h.lag, func() { h.limits.Observe(h.loop.Now(), s) })
}
