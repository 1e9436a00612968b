package relay

import (
	"sync/atomic"

	"github.com/skylarkpond/skylarkpond/entry/callers"
)

const (
	// freeHeldBytes is what each answer may hold in memory, maxHeldBytes the most that one may hold. What answers hold beyond freeHeldBytes
	// together is bounded by sharedHeldBytes, because a faulty server may send any number of answers without end.
	freeHeldBytes   = 64 << 10
	maxHeldBytes    = 1 << 20
	sharedHeldBytes = 16 << 20
	// heldStep is the unit in which shared memory is taken.
	heldStep = 64 << 10
	// includedBytes is what an answer may hold within slowread.RequestBytes: most events and most whole answers are smaller.
	includedBytes = 4 << 10
)

// heldMemory bounds the memory that the answers of all requests hold together. It is safe for concurrent use.
type heldMemory struct{ taken atomic.Int64 }

// holding is what one answer holds. It is not safe for concurrent use.
type holding struct {
	memory *heldMemory
	taken  int64
	// account is charged with what is held beyond includedBytes, which is charged. If passable is set, the answer can be passed on without being held,
	// so that it holds nothing more while the memory of the machine is short.
	account  *callers.Account
	charged  int64
	passable bool
}

// grow reports whether the answer may hold a number of bytes.
func (h *holding) grow(bytes int) bool {
	if bytes > maxHeldBytes {
		return false
	}
	for int64(bytes) > freeHeldBytes+h.taken {
		if h.memory.taken.Add(heldStep) > sharedHeldBytes {
			h.memory.taken.Add(-heldStep)
			return false
		}
		h.taken += heldStep
	}
	return h.charge(int64(bytes))
}

// charge charges the account, and reports whether the answer may hold a number of bytes.
func (h *holding) charge(bytes int64) bool {
	more := bytes - includedBytes - h.charged
	if more <= 0 {
		return true
	}
	if !h.passable {
		h.account.Charge(more)
	} else if !h.account.TryCharge(more) {
		return false
	}
	h.charged += more
	return true
}

// release ends the holding.
func (h *holding) release() {
	h.memory.taken.Add(-h.taken)
	h.taken = 0
	if h.charged > 0 {
		h.account.Release(h.charged)
		h.charged = 0
	}
}
