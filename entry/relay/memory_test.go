package relay

import "testing"

// Guards against many answers at once that each hold what one may.
func TestHeldMemoryBoundsAllAnswersTogether(t *testing.T) {
	var memory heldMemory
	var holdings []*holding
	full := 0
	for range 100 {
		h := &holding{memory: &memory}
		holdings = append(holdings, h)
		if !h.grow(freeHeldBytes) {
			t.Fatal("an answer may not hold what is free")
		}
		if !h.grow(maxHeldBytes) {
			full++
		}
		if h.grow(maxHeldBytes + 1) {
			t.Fatal("an answer may hold more than the maximum")
		}
	}
	if taken := memory.taken.Load(); full == 0 || taken > sharedHeldBytes {
		t.Errorf("%d answers were refused, %d bytes are taken", full, taken)
	}
	for _, h := range holdings {
		h.release()
	}
	if taken := memory.taken.Load(); taken != 0 {
		t.Errorf("%d bytes are still taken", taken)
	}
}
