package playback

import "time"

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

// Limiter decides how many requests may be at work on the engine.
type Limiter interface {
	Current() int
	// Starting bounds the requests without a first token; 0 does not.
	Starting() int
	FirstToken(now, taken, wait time.Duration, running int)
	Gap(now, taken, gap time.Duration, count, running int)
}

// FixedLimit is the plain baseline of a Limiter.
type FixedLimit int

// Current returns the limit.
func (f FixedLimit) Current() int { return int(f) }

// Starting returns 0.
func (f FixedLimit) Starting() int { return 0 }

// FirstToken does nothing.
func (f FixedLimit) FirstToken(_, _, _ time.Duration, _ int) {}

// Gap does nothing.
func (f FixedLimit) Gap(_, _, _ time.Duration, _, _ int) {}

// expireEvery is how often a home looks for requests that have waited too long.
const expireEvery = 50 * time.Millisecond

// Home drives a queue and a limit before one engine.
type Home struct {
	loop   *Loop
	engine *Engine
	queue  Queue
	limit  Limiter
	// lag is how late the limit hears of what was measured.
	lag time.Duration
	// tries is how often a caller asks before it gives up; it obeys Retry-After.
	tries   int
	running int
	// Gaps collects the gaps between tokens, Limits the limit, once a second.
	Gaps   Histogram
	Limits []int
	from   time.Duration
}

// NewHome returns a home; it measures gaps from the time from on.
func NewHome(loop *Loop, engine *Engine, queue Queue, limit Limiter, lag time.Duration, tries int, from time.Duration) *Home {
	h := &Home{loop: loop, engine: engine, queue: queue, limit: limit, lag: lag, tries: tries, from: from}
	h.applyLimit()
	engine.OnStep = h.observeGap
	loop.Every(expireEvery, h.expire)
	loop.Every(time.Second, func() { h.Limits = append(h.Limits, limit.Current()) })
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
	decision, retryAfter := h.queue.Offer(now, r)
	switch decision {
	case Admit:
		h.send(r)
	case Enqueue:
		h.drain()
	case Refuse:
		h.refuse(r, retryAfter)
	}
}

func (h *Home) applyLimit() {
	h.queue.SetLimit(h.limit.Current())
	h.queue.SetStartLimit(h.limit.Starting())
}

func (h *Home) refuse(r *Request, retryAfter time.Duration) {
	now := h.loop.Now()
	r.Ended = now
	if r.Tries >= h.tries || retryAfter <= 0 {
		r.Outcome = Refused
		return
	}
	h.loop.After(retryAfter, func() { h.Arrive(r) })
}

func (h *Home) drain() {
	for r := h.queue.Next(h.loop.Now()); r != nil; r = h.queue.Next(h.loop.Now()) {
		h.send(r)
	}
}

func (h *Home) expire() {
	now := h.loop.Now()
	for _, r := range h.queue.Expire(now) {
		h.refuse(r, h.queue.RetryAfter(now, r))
	}
	h.applyLimit()
	h.drain()
}

func (h *Home) send(r *Request) {
	r.Started = h.loop.Now()
	h.running++
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
	h.queue.Done(now, r, work)
	h.applyLimit()
	h.drain()
}

func (h *Home) observeFirstToken(r *Request) {
	taken, wait, running := h.loop.Now(), r.FirstToken-r.Started, h.running
	h.report(func() { h.limit.FirstToken(h.loop.Now(), taken, wait, running) })
	h.queue.Started(r)
	h.drain()
}

func (h *Home) observeGap(gap time.Duration, count int) {
	taken, running := h.loop.Now(), h.running
	if taken >= h.from {
		h.Gaps.Add(gap, count)
	}
	h.report(func() { h.limit.Gap(h.loop.Now(), taken, gap, count, running) })
}

func (h *Home) report(f func()) {
	if h.lag == 0 {
		f()
		return
	}
	h.loop.After(h.lag, f)
}
