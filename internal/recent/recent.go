// Package recent remembers for a bounded time, and within a bounded size, when things last happened.
package recent

import "time"

// Times holds when each of some keys was last noted. It is not safe for concurrent use.
type Times[K comparable] struct {
	period time.Duration
	limit  int
	// current holds those since rotatedAt, previous those of the period before.
	current, previous map[K]time.Time
	rotatedAt         time.Time
}

// New returns an empty Times that remembers a key for at least a period, unless more than limit keys are noted in it.
func New[K comparable](period time.Duration, limit int) *Times[K] {
	return &Times[K]{period: period, limit: limit, current: make(map[K]time.Time), rotatedAt: time.Now()}
}

// Note records that something happened to a key.
func (t *Times[K]) Note(key K, at time.Time) {
	if at.Sub(t.rotatedAt) > t.period || len(t.current) >= t.limit {
		t.previous, t.current, t.rotatedAt = t.current, make(map[K]time.Time), at
	}
	t.current[key] = at
}

// Last returns when a key was last noted, if that is remembered.
func (t *Times[K]) Last(key K) (time.Time, bool) {
	if at, ok := t.current[key]; ok {
		return at, true
	}
	at, ok := t.previous[key]
	return at, ok
}
