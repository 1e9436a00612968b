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

// expireInterval is how often a home looks for requests that have waited too long.
const expireInterval = 50 * time.Millisecond

// Home drives a queue and a limit before one engine.
type Home struct {
	loop   *Loop
	engine *Engine
	queue  Queue
	limits Limiter
	// observationDelay is how late limits hears of what was measured.
	observationDelay time.Duration
	// maxTries is how often a caller asks before it gives up; it obeys Retry-After.
	maxTries int
	// running counts what is at work, starting what of it has no first token.
	running, starting int
	// Gaps collects the gaps between tokens, Limits the limit, once a second.
	Gaps        Histogram
	Limits      []int
	measureFrom time.Duration
	// OnRefused, if set, hears of refusals in place of the caller.
	OnRefused func(r *Request)
	queued    int
}

// Load returns how many requests are at work and queued.
func (h *Home) Load() int { return h.running + h.queued }

// Running returns how many requests are at work.
func (h *Home) Running() int { return h.running }

// NewHome returns a home; it measures gaps from the time from on.
func NewHome(loop *Loop, engine *Engine, queue Queue, limits Limiter, observationDelay time.Duration, maxTries int, measureFrom time.Duration) *Home {
	h := &Home{loop: loop, engine: engine, queue: queue, limits: limits, observationDelay: observationDelay, maxTries: maxTries, measureFrom: measureFrom}
	h.applyLimit()
	engine.OnStep = h.observeGap
	loop.Every(expireInterval, h.expire)
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
		h.queued++
		h.dispatchQueued()
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
	if r.Tries >= h.maxTries || retryAfter <= 0 {
		r.Outcome = Refused
		return
	}
	h.loop.After(retryAfter, func() { h.Arrive(r) })
}

func (h *Home) dispatchQueued() {
	for r := h.queue.Next(h.loop.Now()); r != nil; r = h.queue.Next(h.loop.Now()) {
		h.queued--
		h.send(r)
	}
}

func (h *Home) expire() {
	now := h.loop.Now()
	for _, r := range h.queue.Expire(now) {
		h.queued--
		h.refuse(r, h.queue.RetryAfter(now, r))
	}
	h.applyLimit()
	h.dispatchQueued()
}

func (h *Home) send(r *Request) {
	r.Started = h.loop.Now()
	h.running++
	h.starting++
	h.engine.Submit(r, h.observeFirstToken, h.finish)
	h.loop.At(r.Deadline(), func() { h.cancelLate(r) })
}

func (h *Home) finish(r *Request) { h.complete(r, Answered, r.Work()) }

// cancelLate cancels a request whose deadline passed while it ran.
func (h *Home) cancelLate(r *Request) {
	if r.Outcome != Pending {
		return
	}
	generated := 0
	if r.phase == decoding {
		generated = int(h.engine.steps-r.firstStep) + 1
	}
	h.engine.Cancel(r)
	h.complete(r, Late, Work(r.Prompt-r.promptLeft, generated))
}

func (h *Home) complete(r *Request, outcome Outcome, work int) {
	now := h.loop.Now()
	r.Outcome = outcome
	r.Ended = now
	h.running--
	if r.FirstToken == 0 {
		h.starting--
	}
	h.queue.Done(now, r, work)
	h.applyLimit()
	h.dispatchQueued()
}

func (h *Home) observeFirstToken(r *Request) {
	h.reportSample(limit.Sample{FirstToken: r.FirstToken - r.Started, Starting: h.starting})
	h.starting--
	h.queue.Started(r)
	h.dispatchQueued()
}

func (h *Home) observeGap(gap time.Duration, count int) {
	if h.loop.Now() >= h.measureFrom {
		h.Gaps.Add(gap, count)
	}
	h.reportSample(limit.Sample{Gap: gap, Gaps: count})
}

// reportSample hands a measurement to the limit, late by the lag.
func (h *Home) reportSample(s limit.Sample) {
	s.Running = h.running
	if h.observationDelay == 0 {
		h.limits.Observe(h.loop.Now(), s)
		return
	}
	h.loop.After(h.observationDelay, func() { h.limits.Observe(h.loop.Now(), s) })
}
