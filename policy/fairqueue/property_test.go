package fairqueue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
)

// TestEveryItemEndsOnce makes random calls and checks that each queued item is sent, expired or removed
// exactly once, that no more items run than the limit allows, and that no slot stays free while a short
// item waits.
func TestEveryItemEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New(fairqueue.Config{ShortWork: 100, MaxWait: 2 * time.Second, MaxItems: 20})
		queued, running := make(map[string]fairqueue.Item), make(map[string]bool)
		now, limit, count := time.Duration(0), 0, 0
		leave := func(id string) {
			if _, ok := queued[id]; !ok {
				t.Fatalf("%s left the queue twice, or was never in it", id)
			}
			delete(queued, id)
		}
		drain := func() {
			for next, ok := q.Next(now); ok; next, ok = q.Next(now) {
				leave(next.ID)
				running[next.ID] = true
				if len(running) > limit {
					t.Fatalf("%d running, limit %d", len(running), limit)
				}
			}
			for _, late := range q.Expire(now) {
				leave(late.ID)
			}
			for _, waiting := range queued {
				if waiting.Work <= 100 && len(running) < limit {
					t.Fatalf("%s waits with %d of %d slots in use", waiting.ID, len(running), limit)
				}
			}
			if q.Len() != len(queued) || q.Running() != len(running) {
				t.Fatalf("queue says %d and %d, was %d and %d", q.Len(), q.Running(), len(queued), len(running))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { drain() },
			"offer": func(t *rapid.T) {
				count++
				offered := fairqueue.Item{
					ID: fmt.Sprint(count), Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					Share: rapid.Float64Range(0, 3).Draw(t, "share"), Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
					Work: rapid.IntRange(0, 300).Draw(t, "work"), Jitter: rapid.Float64Range(0, 0.99).Draw(t, "spread"),
					Deadline: now + time.Duration(rapid.IntRange(0, 60_000).Draw(t, "patience"))*time.Millisecond,
				}
				switch v := q.Offer(now, offered); v.Decision {
				case fairqueue.Admitted:
					running[offered.ID] = true
				case fairqueue.Queued:
					queued[offered.ID] = offered
				case fairqueue.Refused:
					if v.Code == "" || v.RetryAfter < 0 || v.RetryAfter > time.Minute {
						t.Fatalf("refused with %+v", v)
					}
				}
			},
			"done": func(t *rapid.T) {
				for id := range running {
					q.Done(now, id, rapid.IntRange(0, 400).Draw(t, "used"))
					delete(running, id)
					return
				}
			},
			"remove": func(*rapid.T) {
				for id := range queued {
					if !q.Remove(now, id) {
						t.Fatalf("%s is not in the queue", id)
					}
					leave(id)
					return
				}
			},
			"wait":  func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond },
			"limit": func(t *rapid.T) { limit = rapid.IntRange(0, 8).Draw(t, "limit"); q.SetLimit(limit) },
		})
	})
}
