package home

import (
	"sync"

	"github.com/skylarkpond/skylarkpond/contract/outcome"
)

// maxAbandonedClaims bounds the abandoned claims that are remembered, which take about 150 bytes each.
const maxAbandonedClaims = 8192

// claimTable tracks the requests that this home works on under a claim, and the claims that it abandoned.
type claimTable struct {
	mu sync.Mutex // guards the fields below; a leaf lock: no other lock is taken while it is held
	// working counts the dispatches in progress by request ID.
	working map[string]int
	// abandoned holds the nonces of claims under which nothing was or will be sent. abandonedOrder holds the same
	// nonces, oldest first, for eviction.
	abandoned      map[string]bool
	abandonedOrder []string
	// unstoredAnswers counts the finished answers that are still to be stored on the platform.
	unstoredAnswers int
}

func newClaimTable() *claimTable {
	return &claimTable{working: make(map[string]int), abandoned: make(map[string]bool)}
}

// abandon records that nothing was or will be sent under the claim with this nonce. If the table is full, it
// evicts the oldest claim.
func (t *claimTable) abandon(nonce string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.abandonedOrder) >= maxAbandonedClaims {
		delete(t.abandoned, t.abandonedOrder[0])
		t.abandonedOrder = t.abandonedOrder[1:]
	}
	t.abandoned[nonce] = true
	t.abandonedOrder = append(t.abandonedOrder, nonce)
}

// status returns what became of a claim. The abandoned claims are checked first, because an abandoned request
// stays in working a moment longer.
func (t *claimTable) status(requestID, nonce string) outcome.HolderAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.abandoned[nonce]:
		return outcome.HolderGaveUp
	case t.working[requestID] > 0:
		return outcome.HolderWorking
	default:
		return outcome.HolderSilent
	}
}

func (t *claimTable) add(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.working[requestID]++
}

func (t *claimTable) remove(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.working[requestID]--
	if t.working[requestID] <= 0 {
		delete(t.working, requestID)
	}
}

// reserveUnstored counts one more answer that is still to be stored. It returns false if there are
// maxUnstoredAnswers already.
func (t *claimTable) reserveUnstored() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unstoredAnswers >= maxUnstoredAnswers {
		return false
	}
	t.unstoredAnswers++
	return true
}

func (t *claimTable) releaseUnstored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unstoredAnswers--
}
