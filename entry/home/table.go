package home

import "sync"

// table holds the requests under a claim of this home.
type table struct {
	mu      sync.Mutex // guards what follows; a leaf lock: nothing is locked while it is held
	working map[string]int
	// unkept counts the answers that wait for the platform.
	unkept int
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

// wait counts one more answer that waits, if there is room.
func (t *table) wait() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unkept >= maxUnkept {
		return false
	}
	t.unkept++
	return true
}

func (t *table) waited() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unkept--
}
