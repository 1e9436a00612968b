package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against one entry that is cut off from the servers and takes them away from all others.
func TestOneEntryAloneSuspendsNothing(t *testing.T) {
	var failures Failures
	for i := range 100 {
		if failures.Note(time.Duration(i)*10*time.Millisecond, "i-1", "e-1", 3) {
			t.Fatalf("suspended after %d failures of one entry", i+1)
		}
	}
	if !failures.Note(time.Second, "i-1", "e-2", 3) {
		t.Error("not suspended after failures of two entries")
	}
}

// Guards against a system of one entry that never finds a server gone.
func TestOnlyEntry(t *testing.T) {
	var failures Failures
	if failures.Note(0, "i-1", "e-1", 1) || !failures.Note(time.Millisecond, "i-1", "e-1", 1) {
		t.Error("want a suspension by the second failure")
	}
}

// Guards against failures that add up over hours until a sound server is suspended.
func TestOldFailuresDoNotCount(t *testing.T) {
	var failures Failures
	for i := range 10 {
		if failures.Note(time.Duration(i)*window, "i-1", fmt.Sprint("e-", i), 10) {
			t.Fatal("suspended by failures that are far apart")
		}
	}
	failures.Sweep(20 * window)
	if len(failures.byServer) > 0 {
		t.Error("old failures are kept")
	}
}

// The load: 143 entries send 600 requests a second to 24 heads, of which 8 have died in the same moment. Each request goes to the head with the fewest
// requests in progress, and a turn at a dead head ends at once. Guards against turns that go on being granted at dead heads: without the decision
// most requests meet one.
func TestDeadHeadsGetFewTurns(t *testing.T) {
	const heads, dead, entries, requests = 24, 8, 143, 1200
	play := func(suspends bool) (wasted int) {
		random := rand.New(rand.NewPCG(1, 2))
		var failures Failures
		suspended := make(map[int]bool)
		for i := range requests {
			now := time.Duration(i) * time.Second / 600
			for head := range dead { // a dead head always has the fewest
				if suspended[head] {
					continue
				}
				wasted++
				entry := fmt.Sprint("e-", random.IntN(entries))
				if failures.Note(now, fmt.Sprint("i-", head), entry, entries) && suspends {
					suspended[head] = true
				}
				break
			}
		}
		return wasted
	}
	if with, without := play(true), play(false); with > 3*dead || without < requests {
		t.Errorf("%d turns at dead heads, %d without the decision", with, without)
	}
}
