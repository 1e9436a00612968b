package turns_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// trial runs callers against groups in virtual time. A caller is answered in time, late, or not at all; a
// rejected caller retries once.
type trial struct {
	r          *rand.Rand
	groups     int
	slots      int
	perTick    float64 // arrivals per tick of 10 ms
	lostGroups func(now time.Duration) int
	// firstToken is the time from the grant of a turn to the first token.
	firstToken time.Duration
	objective  time.Duration
	strategy   strategy
	inTime     int
	late       int
	lost       int
	total      int
	retries    int
	// load, if set, replaces perTick, and sender names the team of each caller.
	load   func(now time.Duration) float64
	sender func() string
	// attempts is the number of times that a caller sends its request, 2 if 0.
	attempts int
	// teams holds the tallies of the teams; empty at the start if nil.
	teams map[string]*tally
}

// tally counts the callers of one team. rejections counts those that were rejected twice or more.
type tally struct {
	total, inTime, late, lost, rejectedAgain int
	waited                                   time.Duration
}

func (t *tally) add(o tally) {
	*t = tally{t.total + o.total, t.inTime + o.inTime, t.late + o.late, t.lost + o.lost, t.rejectedAgain + o.rejectedAgain, t.waited + o.waited}
}

// strategy is the scheduler or a baseline.
type strategy interface {
	setGroups(now time.Duration, n int) []turns.Decision
	submit(now time.Duration, r turns.Request) []turns.Decision
	done(now time.Duration, key string, first time.Duration) []turns.Decision
	tick(now time.Duration) []turns.Decision
}

type scheduler struct {
	*turns.Scheduler
	slots  int
	random func() float64
}

func (s scheduler) setGroups(now time.Duration, n int) []turns.Decision {
	return s.SetGroups(now, groups(n, s.slots), s.random)
}

func (s scheduler) submit(now time.Duration, r turns.Request) []turns.Decision {
	return s.Submit(now, r, s.random)
}

func (s scheduler) done(now time.Duration, key string, first time.Duration) []turns.Decision {
	return s.Done(now, key, turns.End{Complete: true, FirstToken: first}, s.random)
}
func (s scheduler) tick(now time.Duration) []turns.Decision { return s.Tick(now, s.random) }

// unboundedQueue is a baseline that keeps all requests in one FIFO queue until their deadline.
type unboundedQueue struct{ scheduler }

func (q unboundedQueue) submit(now time.Duration, r turns.Request) []turns.Decision {
	r.FirstTokenBudget, r.MaxWait = 0, 5*time.Second
	r.Retry, r.Fingerprint = false, 0
	return q.Submit(now, r, q.random)
}

// fixedEstimate is a baseline that assumes the same time to the first token for all groups.
type fixedEstimate struct{ scheduler }

func (f fixedEstimate) submit(now time.Duration, r turns.Request) []turns.Decision {
	if r.FirstTokenBudget > 0 {
		r.MaxWait = r.FirstTokenBudget - 100*time.Millisecond
		r.FirstTokenBudget = 0
	}
	return f.Submit(now, r, f.random)
}

// allRetries is a baseline that takes every request for a retry, as happens if retries are detected by the remaining
// deadline while callers' deadlines differ.
type allRetries struct{ scheduler }

func (a allRetries) submit(now time.Duration, r turns.Request) []turns.Decision {
	r.FirstTokenBudget, r.MaxWait = 0, turns.MaxRetryWait
	r.Retry = true
	return a.Submit(now, r, a.random)
}

// callerState is the state of one caller and its request.
type callerState struct {
	key string
	// fingerprint identifies the request in all its attempts.
	fingerprint uint64
	team        string
	tally       *tally // of its team
	arrivedAt   time.Duration
	attempts    int
	nextAttempt time.Duration // time of the next attempt
	endsAt      time.Duration // end of its turn
	running     bool
	resolved    bool
}

const (
	deadline = 5 * time.Second
	tickTime = 10 * time.Millisecond
)

// run simulates the given length of time in steps of tickTime.
func (t *trial) run(length time.Duration) {
	callers := map[string]*callerState{}
	if t.teams == nil {
		t.teams = map[string]*tally{}
	}
	var list []*callerState
	apply := func(now time.Duration, decisions []turns.Decision) {
		for _, d := range decisions {
			c := callers[d.Key]
			if c == nil || c.resolved {
				continue
			}
			if d.Reason == turns.Granted {
				c.running = true
				c.endsAt = now + time.Duration(900+t.r.IntN(700))*time.Millisecond
				first := now + t.firstToken - c.arrivedAt
				c.resolved = true
				c.tally.waited += first
				switch {
				case first <= t.objective:
					t.inTime++
					c.tally.inTime++
				case first <= deadline:
					t.late++
					c.tally.late++
				default:
					t.lost++
					c.tally.lost++
				}
				continue
			}
			if c.attempts == 2 {
				c.tally.rejectedAgain++
			}
			if c.attempts >= max(2, t.attempts) {
				c.resolved = true
				t.lost++
				c.tally.lost++
				continue
			}
			c.nextAttempt = now + d.RetryAfter
			if t.load != nil { // callers obey no Retry-After of more than a third of the time that they have left
				c.nextAttempt = now + min(d.RetryAfter, (c.arrivedAt+deadline-now)/3)
			}
		}
	}
	current := -1
	for now := time.Duration(0); now < length; now += tickTime {
		if n := t.groups - t.lostGroups(now); n != current {
			current = n
			apply(now, t.strategy.setGroups(now, n))
		}
		if t.load != nil {
			t.perTick = t.load(now)
		}
		for range int(t.perTick) + boolToInt(t.r.Float64() < t.perTick-float64(int(t.perTick))) {
			t.total++
			c := &callerState{key: fmt.Sprint(t.total), fingerprint: uint64(t.total), arrivedAt: now, nextAttempt: now}
			if t.sender != nil {
				c.team = t.sender()
			}
			if t.teams[c.team] == nil {
				t.teams[c.team] = &tally{}
			}
			c.tally = t.teams[c.team]
			c.tally.total++
			callers[c.key] = c
			list = append(list, c)
		}
		for _, c := range list {
			if c.running && now >= c.endsAt {
				c.running = false
				apply(now, t.strategy.done(now, c.key, t.firstToken))
			}
			if !c.resolved && !c.running && c.nextAttempt <= now && c.nextAttempt >= 0 {
				c.nextAttempt = -1
				c.attempts++
				if c.attempts > 1 {
					t.retries++
				}
				retry := strings.HasPrefix(c.team, "retries")
				budget, maxWait := turns.WaitBounds(t.objective, 0, retry)
				apply(now, t.strategy.submit(now, turns.Request{
					Retry: retry, Key: c.key, Model: "m", FirstTokenBudget: budget, MaxWait: maxWait, Fingerprint: c.fingerprint, Team: c.team, TimeLeft: c.arrivedAt + deadline - now,
				}))
			}
		}
		apply(now, t.strategy.tick(now))
		kept := list[:0]
		for _, c := range list {
			if !c.resolved || c.running {
				kept = append(kept, c)
			}
		}
		list = kept
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// score is the mean credit per request: 1 for an answer in time, 0.25 for a late one.
func (t *trial) score() float64 { return (float64(t.inTime) + 0.25*float64(t.late)) / float64(t.total) }

// simulate runs the scheduler, or unboundedQueue, with a time to the first token of 80 ms and an objective of 200 ms.
func simulate(unbounded bool, perTick float64, lostGroups func(time.Duration) int) *trial {
	r := rand.New(rand.NewPCG(3, 9))
	s := scheduler{Scheduler: turns.New(turns.DefaultConfig()), slots: 26, random: r.Float64}
	t := &trial{r: r, groups: 4, slots: 26, perTick: perTick, lostGroups: lostGroups, strategy: s, firstToken: 80 * time.Millisecond, objective: 200 * time.Millisecond}
	if unbounded {
		t.strategy = unboundedQueue{s}
	}
	t.run(30 * time.Second)
	return t
}

// simulateSlowFirstToken simulates groups with a long time to the first token, at 1.5 times their capacity.
func simulateSlowFirstToken(newStrategy func(scheduler) strategy) *trial {
	r := rand.New(rand.NewPCG(3, 9))
	t := &trial{
		r: r, groups: 4, slots: 26, perTick: 1.25, lostGroups: func(time.Duration) int { return 0 },
		firstToken: 250 * time.Millisecond, objective: 400 * time.Millisecond,
	}
	t.strategy = newStrategy(scheduler{Scheduler: turns.New(turns.DefaultConfig()), slots: 26, random: r.Float64})
	t.run(30 * time.Second)
	return t
}

var _ = Describe("Callers under load", func() {
	none := func(time.Duration) int { return 0 }
	// Half of the groups are lost from 5 s to 20 s.
	half := func(now time.Duration) int {
		if now > 5*time.Second && now < 20*time.Second {
			return 2
		}
		return 0
	}

	It("are all answered in time below capacity", func() {
		t := simulate(false, 0.7, none)
		Expect(t.score()).To(BeNumerically(">", 0.99))
	})

	// The load is 1.5 times the capacity. In an unbounded queue all requests wait for seconds, and all answers are
	// late.
	It("are answered in time in proportion to the capacity at saturation", func() {
		unbounded, scheduled := simulate(true, 1.25, none), simulate(false, 1.25, none)
		GinkgoWriter.Printf("saturation: unbounded %.3f, scheduler %.3f\n", unbounded.score(), scheduled.score())
		Expect(scheduled.score()).To(BeNumerically(">", 0.6))
		Expect(scheduled.score()).To(BeNumerically(">", 2*unbounded.score()))
	})

	// Half of the groups are lost for 15 s. An unbounded queue keeps answers late until it has drained, which the
	// retries prolong.
	It("are answered in time again within seconds after the groups return", func() {
		unbounded, scheduled := simulate(true, 0.75, half), simulate(false, 0.75, half)
		GinkgoWriter.Printf("half lost: unbounded %.3f, scheduler %.3f\n", unbounded.score(), scheduled.score())
		Expect(scheduled.score()).To(BeNumerically(">", 0.75))
		Expect(scheduled.score()).To(BeNumerically(">", 1.3*unbounded.score()))
	})
})

var _ = Describe("Callers of groups with a long time to the first token", func() {
	// Long prompts arrive at 1.5 times the rate that the groups can prefill. With a fixed estimate, each request
	// waits until a typical time to the first token would just be in time; the actual time is twice as long, so every
	// answer is late.
	It("are rejected earlier, so that those who are served are served in time", func() {
		fixed := simulateSlowFirstToken(func(s scheduler) strategy { return fixedEstimate{s} })
		measured := simulateSlowFirstToken(func(s scheduler) strategy { return s })
		GinkgoWriter.Printf("long time to first token: fixed estimate %.3f, measured %.3f\n", fixed.score(), measured.score())
		Expect(measured.score()).To(BeNumerically(">", 1.5*fixed.score()))
	})

	// Deadlines differ between callers, and a caller with a shorter one than usual looks like a retry. Taken for
	// retries, all requests wait for 0.6 s, and all answers are late.
	It("are detected as retries by the fingerprint, not by the remaining deadline", func() {
		allTaken := simulateSlowFirstToken(func(s scheduler) strategy { return allRetries{s} })
		fingerprinted := simulateSlowFirstToken(func(s scheduler) strategy { return s })
		GinkgoWriter.Printf("retries: all requests taken for retries %.3f, by fingerprint %.3f\n", allTaken.score(), fingerprinted.score())
		Expect(fingerprinted.score()).To(BeNumerically(">", 1.5*allTaken.score()))
	})
})
