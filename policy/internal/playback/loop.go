package playback

import (
	"container/heap"
	"time"
)

// Loop runs events in order of virtual time. Events with the same time run in the order in which they were added.
type Loop struct {
	now    time.Duration
	events eventHeap
	added  uint64
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// Now returns the current virtual time.
func (l *Loop) Now() time.Duration { return l.now }

// At schedules f for the virtual time at, or for the current time if at has passed.
func (l *Loop) At(at time.Duration, f func()) {
	l.added++
	heap.Push(&l.events, event{at: max(at, l.now), seq: l.added, run: f})
}

// After schedules f to run after the duration d.
func (l *Loop) After(d time.Duration, f func()) { l.At(l.now+d, f) }

// Every runs f once per period, first after one period, until the loop stops.
func (l *Loop) Every(period time.Duration, f func()) {
	l.After(period, func() {
		f()
		l.Every(period, f)
	})
}

// Run runs all events up to and including the virtual time until.
func (l *Loop) Run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.run()
	}
	l.now = until
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return x
}
