package fairqueue

import (
	"fmt"
	"testing"
	"time"
)

// TestForgetsIdleTeams uses a new team name for each request, as with generated names. If idle teams were
// kept, the memory of the home would grow until the process is killed.
func TestForgetsIdleTeams(t *testing.T) {
	q := New(Config{})
	q.SetLimit(10)
	for i := range 100_000 {
		now := time.Duration(i) * time.Second
		id := fmt.Sprint(i)
		q.Offer(now, Item{ID: id, Team: id, Share: 1, Work: 10, Deadline: now + time.Hour})
		q.Done(now, id, 10)
	}
	if len(q.teams) > 2*minForgetThreshold {
		t.Errorf("%d teams kept", len(q.teams))
	}
}
