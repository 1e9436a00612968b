package relay

import "sync/atomic"

const (
	// freeHeldBytes is what each answer may hold in memory, maxHeldBytes the most that one may hold. What answers hold beyond freeHeldBytes
	// together is bounded by sharedHeldBytes, because a faulty server may send any number of answers without end.
	freeHeldBytes   = 64 << 10
	maxHeldBytes    = 1 << 20
	sharedHeldBytes = 16 << 20
	// heldStep is the unit in which shared memory is taken.
	heldStep = 64 << 10
)

// heldMemory bounds the memory that the answers of all requests hold together. It is safe for concurrent use.
type heldMemory struct{ taken atomic.Int64 }

// holding is what one answer holds. It is not safe for concurrent use.
type holding struct {
	memory *heldMemory
	taken  int64
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
	return true
}

// release ends the holding.
func (h *holding) release() {
	h.memory.taken.Add(-h.taken)
	h.taken = 0
}
