package home

import (
	"sync"

	"github.com/skylarkpond/skylarkpond/contract/outcome"
)

// maxGivenUp bounds the claims that are remembered as given up, of some 150 bytes each.
const maxGivenUp = 8192

// table holds the requests under a claim of this home.
type table struct {
	mu      sync.Mutex // guards what follows; a leaf lock: nothing is locked while it is held
	working map[string]int
	// givenUp holds the nonces of claims under which nothing was or will be sent, givenUpOrder the same in the
	// order of time: the oldest one makes room.
	givenUp      map[string]bool
	givenUpOrder []string
	// unkept counts the answers that wait for the platform.
	unkept int
}

func newTable() *table {
	return &table{working: make(map[string]int), givenUp: make(map[string]bool)}
}

// giveUp remembers the nonce of a claim under which nothing was or will be sent.
func (t *table) giveUp(nonce string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.givenUpOrder) >= maxGivenUp {
		delete(t.givenUp, t.givenUpOrder[0])
		t.givenUpOrder = t.givenUpOrder[1:]
	}
	t.givenUp[nonce] = true
	t.givenUpOrder = append(t.givenUpOrder, nonce)
}

// answer says what became of a claim. A request that is given up counts as working for a moment longer.
func (t *table) answer(requestID, nonce string) outcome.HolderAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.givenUp[nonce]:
		return outcome.HolderGaveUp
	case t.working[requestID] > 0:
		return outcome.HolderWorking
	default:
		return outcome.HolderSilent
	}
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
