package engine

import (
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/link/engine"
)

// batch is the running and the waiting requests of one boot. Those that wait go by priority, and by
// arrival among equals.
type batch struct {
	slots      int
	maxWaiting int

	mu      sync.Mutex // guards what follows; a leaf lock
	running int
	waiting []*waiter // in the order of arrival
	samples []sample  // the load at each change, oldest first, never empty
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

// enter returns a waiter whose channel closes when it may run, or nil if too many wait.
func (b *batch) enter(priority int) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= b.maxWaiting {
		return nil
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.advance()
	return w
}

// leave ends a run, or the wait for one.
func (b *batch) leave(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.note()
			return
		}
	}
	b.running--
	b.advance()
}

// advance must be called with mu held.
func (b *batch) advance() {
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
	b.note()
}

// maxSamples bounds the kept loads; at more changes within the lag than this, it gets shorter.
const maxSamples = 4096

// note must be called with mu held.
func (b *batch) note() {
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

// load returns the load as it was lag ago.
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

func (b *batch) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}
