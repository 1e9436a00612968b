package fairqueue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
)

// workload offers, finishes and sends one item per step, on a queue where all teams are backlogged.
type workload struct {
	queue   *fairqueue.Queue
	items   []fairqueue.Item
	running []string
	now     time.Duration
	next    int
	random  *rand.Rand
}

func newWorkload(teams int) *workload {
	c := &workload{
		queue: fairqueue.New(fairqueue.Config{
			MaxWait: 10 * time.Minute, StandingWait: 10 * time.Minute, MaxItems: 100_000, TimePerToken: time.Microsecond,
		}),
		random: rand.New(rand.NewPCG(1, 2)),
	}
	c.queue.SetLimit(256)
	for i := range 16 * 1024 {
		c.items = append(c.items, fairqueue.Item{
			ID: fmt.Sprintf("request-%d", i), Team: fmt.Sprintf("team-%d", i%teams), Share: 1,
			Work: 50 + c.random.IntN(1500), Deadline: time.Hour, Jitter: c.random.Float64(),
		})
	}
	for c.queue.Len() < 4*teams {
		c.offer()
	}
	return c
}

func (c *workload) offer() {
	item := c.items[c.next%len(c.items)]
	c.next++
	if c.queue.Offer(c.now, item).Decision == fairqueue.Admitted {
		c.running = append(c.running, item.ID)
	}
}

func (c *workload) step() {
	c.now += 50 * time.Microsecond
	i := c.random.IntN(len(c.running))
	c.queue.Done(c.now, c.running[i], 300)
	c.running[i] = c.running[len(c.running)-1]
	c.running = c.running[:len(c.running)-1]
	for next, ok := c.queue.Next(c.now); ok; next, ok = c.queue.Next(c.now) {
		c.running = append(c.running, next.ID)
	}
	c.offer()
	c.queue.Expire(c.now)
}

// TestSteadyStateAllocatesNothing guards against allocations per request, which would cause garbage
// collection pauses under load.
func TestSteadyStateAllocatesNothing(t *testing.T) {
	for _, teams := range []int{10, 500} {
		c := newWorkload(teams)
		for range 20_000 {
			c.step()
		}
		if allocated := testing.AllocsPerRun(10_000, c.step); allocated > 0.1 {
			t.Errorf("%d teams: %.2f allocations per step", teams, allocated)
		}
	}
}

// BenchmarkTurn measures an Offer, Done, Next and Expire on a backlogged queue.
func BenchmarkTurn(b *testing.B) {
	for _, teams := range []int{10, 500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			c := newWorkload(teams)
			b.ReportAllocs()
			for b.Loop() {
				c.step()
			}
		})
	}
}

// BenchmarkRefuse measures an Offer that is refused for its expected wait.
func BenchmarkRefuse(b *testing.B) {
	for _, teams := range []int{10, 500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q := fairqueue.New(fairqueue.Config{MaxWait: 10 * time.Millisecond, StandingWait: time.Millisecond})
			q.SetLimit(1)
			for i := range 4 * teams {
				q.Offer(0, fairqueue.Item{ID: fmt.Sprint(i), Team: fmt.Sprintf("team-%d", i%teams), Share: 1, Work: 100, Deadline: time.Hour})
			}
			refused := fairqueue.Item{ID: "x", Team: "team-1", Share: 1, Work: 100, Deadline: time.Hour, Jitter: 0.5}
			b.ReportAllocs()
			for b.Loop() {
				if q.Offer(0, refused).Decision != fairqueue.Refused {
					b.Fatal("not refused")
				}
			}
		})
	}
}
