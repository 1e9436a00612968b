package playback

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// Decision is a Queue's admission decision on a request.
type Decision int

// Admission decisions.
const (
	Admit Decision = iota
	Enqueue
	Refuse
)

// Queue does admission control and queueing in front of one engine, driven by a Home.
type Queue interface {
	// Offer decides on a request. With Refuse it also returns the time after which the caller may retry.
	Offer(now time.Duration, r *Request) (Decision, time.Duration)
	// Next returns the next request to send to the engine, or nil.
	Next(now time.Duration) *Request
	// Expire removes and returns the requests that have waited too long.
	Expire(now time.Duration) []*Request
	// RetryAfter returns the time after which the caller of an expired request may retry.
	RetryAfter(now time.Duration, r *Request) time.Duration
	// Done reports the end of a request that was sent to the engine, and the work that it took.
	Done(now time.Duration, r *Request, work int)
	SetLimit(limit int)
	// SetStartLimit bounds the number of requests that were sent and have no first token yet; 0 means unbounded. Started reports the first
	// token of a request.
	SetStartLimit(limit int)
	Started(r *Request)
}

// Limiter limits the number of requests in flight on the engine, as limit.Limit does.
type Limiter interface {
	Current() int
	// Starting returns the limit on the number of requests without a first token; 0 means unbounded.
	Starting() int
	Observe(now time.Duration, s limit.Sample)
}

// FixedLimit is the baseline Limiter: a constant limit.
type FixedLimit int

// Current returns the limit.
func (f FixedLimit) Current() int { return int(f) }

// Starting returns 0: the number of requests without a first token is unbounded.
func (f FixedLimit) Starting() int { return 0 }

// Observe ignores the sample.
func (f FixedLimit) Observe(time.Duration, limit.Sample) {}

// expireInterval is the interval at which a home removes requests that have waited too long.
const expireInterval = 50 * time.Millisecond

// Home simulates the entry that owns the queue and the concurrency limit of one engine.
type Home struct {
	loop   *Loop
	engine *Engine
	queue  Queue
	limits Limiter
	// observationDelay is the delay with which measurements reach limits.
	observationDelay time.Duration
	// maxTries is how often a caller tries a request before it gives up. Between tries it waits for Retry-After.
	maxTries int
	// running is the number of requests in flight, starting the number of those without a first token.
	running, starting int
	// Gaps collects the gaps between tokens. Limits records the limit once per second.
	Gaps        Histogram
	Limits      []int
	measureFrom time.Duration
	// OnRefused, if set, is called for a refused request instead of returning the refusal to the caller.
	OnRefused func(r *Request)
	queued    int
}

// Load returns the number of requests in flight and in the queue.
func (h *Home) Load() int { return h.running + h.queued }

// Running returns the number of requests in flight.
func (h *Home) Running() int { return h.running }

// NewHome returns a Home that records the gaps between tokens from measureFrom on.
func NewHome(loop *Loop, engine *Engine, queue Queue, limits Limiter, observationDelay time.Duration, maxTries int, measureFrom time.Duration) *Home {
	h := &Home{loop: loop, engine: engine, queue: queue, limits: limits, observationDelay: observationDelay, maxTries: maxTries, measureFrom: measureFrom}
	h.applyLimit()
	engine.OnStep = h.observeGap
	loop.Every(expireInterval, h.expire)
	loop.Every(time.Second, func() { h.Limits = append(h.Limits, limits.Current()) })
	return h
}

// Arrive offers a new try of a request. A refused request arrives again until its caller has used all tries.
func (h *Home) Arrive(r *Request) {
	now := h.loop.Now()
	if r.Tries == 0 {
		r.FirstArrived = now
	}
	r.Tries++
	r.Arrived = now
	h.Offer(r)
}

// Offer offers a request whose arrival was already recorded.
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

// cancelLate cancels a request that is still running at its deadline.
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
	h.reportSample(limit.Sample{Gap: gap, GapCount: count})
}

// reportSample passes a measurement to the limiter after the observation delay.
func (h *Home) reportSample(s limit.Sample) {
	s.Running = h.running
	if h.observationDelay == 0 {
		h.limits.Observe(h.loop.Now(), s)
		return
	}
	h.loop.After(h.observationDelay, func() { h.limits.Observe(h.loop.Now(), s) })
}
