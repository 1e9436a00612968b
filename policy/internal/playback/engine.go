package playback

import (
	"container/heap"
	"time"
)

// EngineConfig describes a batching engine. One step generates one token for each decoding request and prefills up to Chunk prompt tokens.
// It takes Base + PerSequence x decoding requests + PerPromptToken x prefilled tokens.
type EngineConfig struct {
	Base           time.Duration
	PerSequence    time.Duration
	PerPromptToken time.Duration
	// Chunk bounds the number of prompt tokens prefilled in one step.
	Chunk int
	// MaxBatch bounds the number of requests in the batch, KVTokens the number of their tokens in the KV cache. Requests that do not fit wait
	// in the engine, higher priority first.
	MaxBatch int
	KVTokens int
}

// DefaultEngine returns the configuration of an engine with a capacity of about 19 requests and 4,400 tokens per second at a gap of 70 ms
// between tokens. That is the load of one of 630 replicas at a total of 12,000 requests and 2.8 million tokens per second.
func DefaultEngine() EngineConfig {
	return EngineConfig{
		Base:           20 * time.Millisecond,
		PerSequence:    120 * time.Microsecond,
		PerPromptToken: 20 * time.Microsecond,
		Chunk:          1024,
		MaxBatch:       768,
		KVTokens:       1_000_000,
	}
}

// Capacity returns the number of requests per second that the engine sustains when a step takes gap, for requests of the given mean lengths,
// and the number of requests that are then in flight.
func (c EngineConfig) Capacity(gap time.Duration, prompt, output float64) (perSecond, inFlight float64) {
	step := gap.Seconds()
	perRequest := c.PerSequence.Seconds()*output + c.PerPromptToken.Seconds()*prompt
	perSecond = (step - c.Base.Seconds()) / (step * perRequest)
	return perSecond, perSecond * output * step
}

// Engine simulates a batching engine in virtual time. It does not model preemption: a request in the batch stays there until it completes or
// is cancelled.
type Engine struct {
	loop  *Loop
	cfg   EngineConfig
	speed float64

	waiting    waitHeap
	submitted  uint64
	prefilling []*Request
	decoding   int
	usedKV     int
	finishing  map[int64][]*Request
	steps      int64
	stepping   bool

	// OnStep, if set, is called after each step with its duration, which is the gap between tokens, and the number of requests that got a
	// token.
	OnStep func(gap time.Duration, decoding int)
	// WorkDone is the total work of the generated tokens and the prefilled prompt tokens, in units of generated tokens.
	WorkDone float64
}

// NewEngine returns an idle engine.
func NewEngine(loop *Loop, cfg EngineConfig) *Engine {
	return &Engine{loop: loop, cfg: cfg, speed: 1, finishing: make(map[int64][]*Request)}
}

// SetSpeed sets the engine's speed to the given fraction of full speed, from the next step on.
func (e *Engine) SetSpeed(speed float64) { e.speed = speed }

// Running returns the number of requests in the engine, including those waiting in it.
func (e *Engine) Running() int { return len(e.waiting) + len(e.prefilling) + e.decoding }

// Submit passes a request to the engine. onFirstToken is called with its first token, onFinish with its last.
func (e *Engine) Submit(r *Request, onFirstToken, onFinish func(*Request)) {
	e.submitted++
	r.submitted = e.submitted
	r.onFirstToken, r.onFinish = onFirstToken, onFinish
	r.phase = waiting
	r.promptLeft = r.Prompt
	heap.Push(&e.waiting, r)
	if !e.stepping {
		e.step()
	}
}

// Cancel removes a request from the engine.
func (e *Engine) Cancel(r *Request) {
	switch r.phase {
	case waiting:
		e.waiting.remove(r)
	case prefilling:
		e.prefilling = removeRequest(e.prefilling, r)
		e.usedKV -= r.heldKV
	case decoding:
		e.releaseDecoding(r)
		e.finishing[r.firstStep+int64(r.Output-1)] = removeRequest(e.finishing[r.firstStep+int64(r.Output-1)], r)
	}
	r.phase = notInEngine
}

func (e *Engine) step() {
	e.admit()
	if len(e.prefilling)+e.decoding == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	done, prefilled := e.prefill()
	length := e.cfg.Base + time.Duration(e.decoding)*e.cfg.PerSequence + time.Duration(prefilled)*e.cfg.PerPromptToken
	length = time.Duration(float64(length) / e.speed)
	e.loop.After(length, func() { e.endStep(length, done, prefilled) })
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.prefilling)+e.decoding < e.cfg.MaxBatch {
		r := e.waiting[0]
		if e.usedKV+r.Prompt > e.cfg.KVTokens {
			return
		}
		heap.Pop(&e.waiting)
		r.phase = prefilling
		r.heldKV = r.Prompt
		e.usedKV += r.Prompt
		e.prefilling = append(e.prefilling, r)
	}
}

// prefill spends the chunk of one step, oldest request first, and returns the requests whose prompts are completely prefilled.
func (e *Engine) prefill() (done []*Request, prefilled int) {
	for _, r := range e.prefilling {
		part := min(r.promptLeft, e.cfg.Chunk-prefilled)
		r.promptLeft -= part
		prefilled += part
		if r.promptLeft > 0 {
			break
		}
		done = append(done, r)
	}
	return done, prefilled
}

func (e *Engine) endStep(length time.Duration, prefillDone []*Request, prefilled int) {
	e.steps++
	e.WorkDone += float64(e.decoding) + float64(prefilled)/promptTokensPerWork
	e.usedKV += e.decoding
	if e.OnStep != nil && e.decoding > 0 {
		e.OnStep(length, e.decoding)
	}
	finished := e.finishing[e.steps]
	delete(e.finishing, e.steps)
	for _, r := range prefillDone {
		finished = e.startDecoding(r, finished)
	}
	for _, r := range finished {
		if r.phase != decoding {
			continue
		}
		e.releaseDecoding(r)
		r.phase = notInEngine
		r.onFinish(r)
	}
	e.step()
}

// startDecoding moves a prefilled request to the decoding batch. Its first token is generated in this step.
func (e *Engine) startDecoding(r *Request, finished []*Request) []*Request {
	if r.phase != prefilling {
		return finished
	}
	e.prefilling = removeRequest(e.prefilling, r)
	r.phase = decoding
	r.firstStep = e.steps
	e.decoding++
	r.FirstToken = e.loop.Now()
	r.onFirstToken(r)
	if r.Output <= 1 {
		return append(finished, r)
	}
	last := r.firstStep + int64(r.Output-1)
	e.finishing[last] = append(e.finishing[last], r)
	return finished
}

// releaseDecoding frees the batch slot and the KV cache of a decoding request.
func (e *Engine) releaseDecoding(r *Request) {
	e.decoding--
	e.usedKV -= r.heldKV + int(e.steps-r.firstStep)
}

func removeRequest(list []*Request, r *Request) []*Request {
	for i, other := range list {
		if other == r {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// waitHeap orders the requests waiting in the engine by descending priority, then by submission.
type waitHeap []*Request

func (h waitHeap) Len() int      { return len(h) }
func (h waitHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h waitHeap) Less(i, j int) bool {
	if h[i].Team.Priority != h[j].Team.Priority {
		return h[i].Team.Priority > h[j].Team.Priority
	}
	return h[i].submitted < h[j].submitted
}
func (h *waitHeap) Push(x any) { *h = append(*h, x.(*Request)) }
func (h *waitHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

func (h *waitHeap) remove(r *Request) {
	for i, other := range *h {
		if other == r {
			heap.Remove(h, i)
			return
		}
	}
}
