package slowread

import (
	"testing"
	"time"
)

const (
	machine = 136 << 20
	tick    = 100 * time.Millisecond
	// arrivals is how long callers keep coming.
	arrivals = 4 * time.Second
)

// Guards against a sum that grows with the callers that stop reading, against cuts of callers that read slowly but steadily, and against refusals
// that last: 2,000 callers begin within 4 s, nine of ten stop reading, and one in ten reads a part every half second.
func TestLoadOfCallersThatStopReading(t *testing.T) {
	type caller struct {
		progress Progress
		steady   bool
		read     uint64
		began    time.Duration
	}
	bounds := ForMachine(machine)
	each := int64(RequestBytes + SocketBytes + 32<<10)
	var callers []*caller
	served, refused, cutSteady, cutStopped, most := 0, 0, 0, 0, int64(0)
	for now := time.Duration(0); now < 20*time.Second; now += tick {
		if now < arrivals {
			for i := range 50 {
				if !bounds.Admits(int64(len(callers))*each, RequestBytes) {
					refused++
					continue
				}
				callers = append(callers, &caller{steady: i%10 == 0, began: now})
			}
		} else if now > arrivals+minSilence+tick && !bounds.Admits(int64(len(callers))*each, RequestBytes) {
			t.Errorf("at %v a request is refused although those that stopped reading can be told", now)
		}
		most = max(most, int64(len(callers))*each)
		states := make([]Caller, len(callers))
		for i, c := range callers {
			if c.steady && now%(500*time.Millisecond) == 0 {
				c.read++
			}
			states[i] = Caller{Silence: c.progress.Observe(1, c.read, tick), Limit: PauseLimit(300 * time.Millisecond), Bytes: each}
		}
		gone := make(map[int]bool)
		for _, cut := range bounds.Cuts(int64(len(callers))*each, states) {
			gone[cut.Index] = true
			if callers[cut.Index].steady {
				cutSteady++
			} else {
				cutStopped++
			}
		}
		var left []*caller
		for i, c := range callers {
			switch {
			case gone[i]:
			case c.steady && now-c.began > 6*time.Second:
				served++
			default:
				left = append(left, c)
			}
		}
		callers = left
	}
	t.Logf("%d served, %d refused, %d stopped and %d steady callers cut, at most %d MB", served, refused, cutStopped, cutSteady, most>>20)
	if most > machine/memoryShare+each {
		t.Errorf("%d bytes are held", most)
	}
	if cutSteady > 0 || served == 0 || len(callers) > 0 {
		t.Errorf("%d steady callers are cut, %d served, %d left", cutSteady, served, len(callers))
	}
}

// Guards against cuts for memory that begin with callers that have just read, and that go on when enough is released.
func TestSlowestIsCutFirst(t *testing.T) {
	bounds := ForMachine(400)
	callers := []Caller{
		{Silence: 1200 * time.Millisecond, Limit: maxPause, Bytes: 20},
		{Silence: 2 * time.Second, Limit: maxPause, Bytes: 20},
		{Silence: 100 * time.Millisecond, Limit: maxPause, Bytes: 20},
		{Silence: 2 * time.Second, Limit: minPause, Bytes: 5},
	}
	cuts := bounds.Cuts(99, callers)
	want := []Cut{{Index: 3, Reason: NotReading}, {Index: 1, Reason: MemoryShort}}
	if len(cuts) != len(want) || cuts[0] != want[0] || cuts[1] != want[1] {
		t.Errorf("%v, want %v", cuts, want)
	}
	if cuts := bounds.Cuts(10_000, callers); len(cuts) != 3 {
		t.Errorf("%v: a caller that has just read is cut", cuts)
	}
}

// Guards against a limit that is later than the servers' own, and one that a few lost packets reach.
func TestPauseLimit(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{
		0: maxPause, 50 * time.Millisecond: minPause, 200 * time.Millisecond: 2 * time.Second, time.Minute: maxPause,
	} {
		if got := PauseLimit(longest); got != want {
			t.Errorf("%v: %v, want %v", longest, got, want)
		}
	}
}
