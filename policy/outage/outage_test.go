package outage

import (
	"testing"
	"time"
)

// In an outage of five seconds in which calls fail at once, an entry that backs off makes at most half as many calls
// as one that calls every 0.3 s.
func TestCallsInAnOutage(t *testing.T) {
	const duration = 5 * time.Second
	calls := func(pause func(failures int) time.Duration) int {
		n := 0
		for at := time.Duration(0); at < duration; at += pause(n) {
			n++
		}
		return n
	}
	fixed := calls(func(int) time.Duration { return 300 * time.Millisecond })
	doubling := calls(func(failures int) time.Duration { return Backoff(failures, 0.5) })
	if doubling*2 > fixed {
		t.Errorf("%d calls with backoff, %d with a fixed pause", doubling, fixed)
	}
}

func TestBackoff(t *testing.T) {
	for _, c := range []struct {
		failures int
		random   float64
		want     time.Duration
	}{
		{0, 0, 300 * time.Millisecond},
		{1, 0, 300 * time.Millisecond},
		{1, 1, 150 * time.Millisecond},
		{2, 0, 600 * time.Millisecond},
		{3, 0, 1200 * time.Millisecond},
		{40, 0, 1200 * time.Millisecond},
		{40, 1, 600 * time.Millisecond},
	} {
		if got := Backoff(c.failures, c.random); got != c.want {
			t.Errorf("Backoff(%d, %v) = %v, not %v", c.failures, c.random, got, c.want)
		}
	}
}
