package home

import "sync"

// table holds the requests under a claim of this home.
type table struct {
	mu      sync.Mutex // guards working; a leaf lock: nothing is locked while it is held
	working map[string]int
}

func newTable() *table {
	return &table{working: make(map[string]int)}
}

func (t *table) add(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.working[requestID]++
}

func (t *table) remove(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.working[requestID]--
	if t.working[requestID] <= 0 {
		delete(t.working, requestID)
	}
}

func (t *table) has(requestID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.working[requestID] > 0
}
