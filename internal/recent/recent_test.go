package recent_test

import (
	"testing"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/recent"
)

func TestRemembersForAPeriodAtLeast(t *testing.T) {
	times := recent.New[string](time.Second, 10)
	start := time.Now()
	times.Note("a", start)
	times.Note("b", start.Add(1100*time.Millisecond))
	if at, ok := times.Last("a"); !ok || !at.Equal(start) {
		t.Errorf("a: %v, %v", at, ok)
	}
	times.Note("c", start.Add(2200*time.Millisecond))
	if _, ok := times.Last("a"); ok {
		t.Error("a is remembered for two periods")
	}
	if _, ok := times.Last("b"); !ok {
		t.Error("b is forgotten within a period")
	}
}

// Keys that callers choose must not fill the memory.
func TestIsBounded(t *testing.T) {
	times := recent.New[int](time.Hour, 10)
	for i := range 1000 {
		times.Note(i, time.Now())
	}
	remembered := 0
	for i := range 1000 {
		if _, ok := times.Last(i); ok {
			remembered++
		}
	}
	if remembered < 10 || remembered > 20 {
		t.Errorf("%d keys are remembered", remembered)
	}
}
