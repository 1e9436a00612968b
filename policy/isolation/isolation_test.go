package isolation

import (
	"math/rand/v2"
	"testing"
	"time"
)

// play runs a detector for a time. reaches reports whether a probe at a time is answered. It returns the intervals in which the entry was
// isolated, and the number of probes.
func play(length time.Duration, reaches func(at time.Duration) bool) (intervals [][2]time.Duration, probes int) {
	const step = 50 * time.Millisecond
	var d Detector
	for now := time.Duration(0); now < length; now += step {
		if !reaches(now) {
			d.Suspect() // requests fail all the time
		}
		if !d.RoundDue(now) {
			continue
		}
		answered := 0
		for range SampleSize {
			probes++
			if reaches(now) {
				answered++
			}
		}
		if !d.RecordRound(now, SampleSize, answered) {
			continue
		}
		if d.Isolated() {
			intervals = append(intervals, [2]time.Duration{now, length})
			continue
		}
		intervals[len(intervals)-1][1] = now
	}
	return intervals, probes
}

// Guards against an entry that goes on sending to servers that it has lost, or that does not come back to them.
func TestCut(t *testing.T) {
	const from, to = 5 * time.Second, 17 * time.Second
	intervals, _ := play(30*time.Second, func(at time.Duration) bool { return at < from || at >= to })
	if len(intervals) != 1 {
		t.Fatalf("isolated %v, not once", intervals)
	}
	if found := intervals[0][0] - from; found > time.Second {
		t.Errorf("found %v after the cut", found)
	}
	if back := intervals[0][1] - to; back < time.Second || back > 3*time.Second {
		t.Errorf("back %v after the end of the cut", back)
	}
}

// Guards against an entry that takes servers that fail one at a time for a cut: a quarter of the probes fail.
func TestFailingServers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	intervals, _ := play(10*time.Minute, func(time.Duration) bool { return random.Float64() > 0.25 })
	if len(intervals) > 1 {
		t.Errorf("isolated %d times in ten minutes", len(intervals))
	}
}

// Guards against changing sides with each short interruption: the path comes and goes every two seconds.
func TestFlapping(t *testing.T) {
	intervals, _ := play(time.Minute, func(at time.Duration) bool { return at/(2*time.Second)%2 == 0 })
	if len(intervals) > 4 {
		t.Errorf("isolated %d times in a minute: %v", len(intervals), intervals)
	}
}

// Guards against probes that cost more than the requests: an isolated entry makes at most ten a second.
func TestProbeRate(t *testing.T) {
	_, probes := play(time.Minute, func(time.Duration) bool { return false })
	if probes > 600 {
		t.Errorf("%d probes in a minute", probes)
	}
}

func TestTooFewServers(t *testing.T) {
	var d Detector
	for range 10 {
		d.Suspect()
		d.RecordRound(0, MinSampleSize-1, 0)
	}
	if d.Isolated() {
		t.Error("isolated by the failures of one server")
	}
	d.Suspect()
	d.RecordRound(0, SampleSize, 0)
	d.RecordRound(0, SampleSize, 0)
	if !d.Isolated() {
		t.Fatal("not isolated")
	}
	d.RecordRound(0, 0, 0)
	if d.Isolated() {
		t.Error("isolated from a service without servers")
	}
}

// Guards against a suspicion that stays when the servers answer, and is probed for ever.
func TestAnsweredSuspicion(t *testing.T) {
	var d Detector
	d.Suspect()
	if !d.RoundDue(0) {
		t.Fatal("no round after a failure")
	}
	d.RecordRound(0, SampleSize, 1)
	if d.Active() || d.RoundDue(time.Minute) {
		t.Error("probes go on although a server answered")
	}
}
