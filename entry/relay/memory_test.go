package relay

import (
	"context"
	"testing"

	"github.com/skylarkpond/skylarkpond/entry/callers"
	"github.com/skylarkpond/skylarkpond/policy/slowread"
)

// Guards against many answers at once that each hold what one may.
func TestHeldMemoryBoundsAllAnswersTogether(t *testing.T) {
	var memory heldMemory
	watch := callers.New(callers.Deps{Bounds: slowread.ForMachine(1 << 30)})
	account, ok := watch.Open(context.Background(), "", "", 0)
	if !ok {
		t.Fatal("no account")
	}
	defer account.Close()
	var holdings []*holding
	full := 0
	for range 100 {
		h := &holding{memory: &memory, account: account}
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
	if held := watch.Counts().Bytes; held != slowread.RequestBytes {
		t.Errorf("%d bytes are still held", held)
	}
}

// Guards against answers that are held whole while memory is short, and against streams that break off then although their callers read.
func TestHeldMemoryWhileMemoryIsShort(t *testing.T) {
	var memory heldMemory
	watch := callers.New(callers.Deps{Bounds: slowread.ForMachine(4 * (slowread.RequestBytes + 8<<10))})
	account, ok := watch.Open(context.Background(), "", "", 0)
	if !ok {
		t.Fatal("no account")
	}
	whole := &holding{memory: &memory, account: account, passable: true}
	if !whole.grow(8<<10) || whole.grow(64<<10) {
		t.Error("an answer that can be passed on holds what there is no room for, or can't hold what there is room for")
	}
	stream := &holding{memory: &memory, account: account}
	if !stream.grow(64 << 10) {
		t.Error("an event is not held")
	}
	if _, ok := watch.Open(context.Background(), "", "", 0); ok {
		t.Error("a request is accepted while memory is short")
	}
	stream.release()
	whole.release()
	account.Close()
	if counts := watch.Counts(); counts.Bytes != 0 || counts.Requests != 0 || counts.Refusals != 1 {
		t.Errorf("%+v", counts)
	}
}
