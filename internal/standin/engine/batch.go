package engine

import (
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/link/engine"
)

// batch holds the running and the queued requests of one boot. Queued requests start by descending
// priority, and in order of arrival within a priority.
type batch struct {
	slots      int
	maxWaiting int

	mu      sync.Mutex // guards the fields below; no other lock is taken while it is held
	running int
	waiting []*waiter // in the order of arrival
	samples []sample  // load after each change, oldest first; never empty
}

type waiter struct {
	priority int
	ready    chan struct{}
}

type sample struct {
	at   time.Time
	load engine.Load
}

func newBatch(slots, maxWaiting int) *batch {
	return &batch{slots: slots, maxWaiting: maxWaiting, samples: []sample{{at: time.Now()}}}
}

// enter queues a request and returns a waiter whose channel closes when the request may run. It returns
// nil if the queue is full.
func (b *batch) enter(priority int) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= b.maxWaiting {
		return nil
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.startWaiting()
	return w
}

// leave removes a request that is running or still queued.
func (b *batch) leave(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.recordLoad()
			return
		}
	}
	b.running--
	b.startWaiting()
}

// startWaiting starts queued requests while slots are free, and records the load. It must be called with
// mu held.
func (b *batch) startWaiting() {
	for b.running < b.slots && len(b.waiting) > 0 {
		best := 0
		for i, w := range b.waiting {
			if w.priority > b.waiting[best].priority {
				best = i
			}
		}
		close(b.waiting[best].ready)
		b.waiting = append(b.waiting[:best], b.waiting[best+1:]...)
		b.running++
	}
	b.recordLoad()
}

// maxSamples bounds the load history. If the load changes more often than this within the configured lag,
// the reported load is more recent than the lag says.
const maxSamples = 4096

// recordLoad appends the current load to the history. It must be called with mu held.
func (b *batch) recordLoad() {
	load := engine.Load{
		Running:   b.running,
		Waiting:   len(b.waiting),
		CacheUsed: min(1, float64(b.running)/float64(b.slots)),
	}
	b.samples = append(b.samples, sample{at: time.Now(), load: load})
	if len(b.samples) > maxSamples {
		b.samples = append([]sample(nil), b.samples[maxSamples/2:]...)
	}
}

// load returns the load as of lag ago.
func (b *batch) load(lag time.Duration) engine.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	then := time.Now().Add(-lag)
	last := 0
	for i, s := range b.samples {
		if s.at.After(then) {
			break
		}
		last = i
	}
	load := b.samples[last].load
	load.AgeMillis = lag.Milliseconds()
	return load
}

func (b *batch) runningCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}
