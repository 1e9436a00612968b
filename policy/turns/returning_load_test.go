package turns_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/capacity"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// returnTrial runs callers against 19 groups of 34 slots in virtual time. No entry runs for 1.3 s, and after that a new scheduler does. Half of the
// requests in progress fail then, so that about 700 callers return within a second, as traced on northline-dispatch-grown.
type returnTrial struct {
	r      *rand.Rand
	s      *turns.Scheduler
	config turns.Config
	// perSecond is the rate of new requests, and perSecondAfter the one after the restart.
	perSecond, perSecondAfter float64
	learned                   bool
	// deadline returns the deadline of a new caller of a team.
	deadline func(team int) time.Duration
	callers  []*returner
	byKey    map[string]*returner
	// prefilledAt is when each group has prefilled the prompts assigned to it.
	prefilledAt map[string]time.Duration
	// onTime and served count the new requests of the 4 s after the restart, back and backServed the callers that return, and teamOnTime those of
	// team 0 among the former.
	fresh, onTime, served, back, backServed, teamFresh, teamOnTime int
	// demand counts the new requests that the scheduler reports in the first second after the restart.
	demand int
}

type returner struct {
	team                                        int
	arrivedAt, deadline, nextAt, first          time.Duration
	key                                         string
	prompt                                      float64
	attempts                                    int
	endsAt                                      time.Duration
	running, waiting, failed, done, whole, left bool
}

const (
	returnStop      = 30 * time.Second
	returnRestart   = returnStop + 1300*time.Millisecond
	returnObjective = 250 * time.Millisecond
	prefillRate     = 50_000.0 // tokens per second
)

func (t *returnTrial) groups() []turns.Group {
	list := groups(19, 34)
	for i := range list {
		list[i].Engine = capacity.Engine{Slots: 34, PrefillTokensPerSecond: prefillRate}
	}
	return list
}

func (t *returnTrial) apply(now time.Duration, decisions []turns.Decision) {
	for _, d := range decisions {
		c := t.byKey[d.Key]
		if c == nil {
			continue
		}
		c.waiting = false
		if d.Reason == turns.Granted {
			t.prefilledAt[d.Head] = max(now, t.prefilledAt[d.Head]) + time.Duration(c.prompt/prefillRate*float64(time.Second))
			c.running, c.first = true, t.prefilledAt[d.Head]+60*time.Millisecond
			c.endsAt = c.first + time.Duration(900+t.r.IntN(600))*time.Millisecond
			continue
		}
		c.nextAt = now + d.RetryAfter
		if d.RetryAfter > (c.deadline-now)/3 { // callers obey no more than a third of what is left
			c.nextAt = now + t.pause()
		}
	}
}

func (t *returnTrial) pause() time.Duration {
	return time.Duration(500+t.r.IntN(500)) * time.Millisecond
}

func (t *returnTrial) step(now time.Duration, up bool) {
	rate := t.perSecond
	if now >= returnRestart {
		rate = t.perSecondAfter
	}
	for n := rate * tickTime.Seconds(); n > 0; n-- {
		if t.r.Float64() >= n {
			break
		}
		team := t.r.IntN(24)
		if t.r.Float64() < 0.6 {
			team = 1 + t.r.IntN(3) // three large teams send 60% of the requests
		}
		t.callers = append(t.callers, &returner{
			team: team, arrivedAt: now, nextAt: now, deadline: now + t.deadline(team), prompt: 250 + 1000*t.r.Float64(),
		})
	}
	t.callers = slices.DeleteFunc(t.callers, func(c *returner) bool {
		if !c.left {
			t.advance(now, c, up)
		}
		if c.done {
			delete(t.byKey, c.key)
			t.count(c)
		}
		return c.done || c.left
	})
	if up {
		t.apply(now, t.s.Tick(now, t.r.Float64))
	}
}

func (t *returnTrial) advance(now time.Duration, c *returner, up bool) {
	switch {
	case c.running && now >= c.endsAt, now >= c.deadline:
		c.done, c.whole = true, c.running && now >= c.endsAt
		if up && (c.running || c.waiting) {
			t.apply(now, t.s.Done(now, c.key, turns.End{Complete: c.whole, FirstToken: max(0, c.first-c.arrivedAt)}, t.r.Float64))
		}
	case c.running || c.waiting || c.nextAt > now:
	case !up:
		c.failed, c.nextAt = true, now+t.pause()
	default:
		c.attempts++
		c.key, c.waiting = fmt.Sprint(c.arrivedAt, c.prompt, c.attempts), true
		t.byKey[c.key] = c
		budget, maxWait := turns.WaitBounds(returnObjective, 0, false)
		t.apply(now, t.s.Submit(now, turns.Request{
			Key: c.key, Model: "m", FirstTokenBudget: budget, MaxWait: maxWait, Fingerprint: uint64(c.prompt * 1e9),
			Team: fmt.Sprint(c.team), TimeLeft: c.deadline - now, Size: capacity.RequestSize{PromptTokens: c.prompt},
		}, t.r.Float64))
	}
}

func (t *returnTrial) count(c *returner) {
	onTime := c.whole && !c.failed && c.first-c.arrivedAt <= returnObjective
	switch {
	case c.failed:
		t.back++
		t.backServed += boolToInt(c.whole)
	case c.arrivedAt >= returnRestart && c.arrivedAt < returnRestart+4*time.Second:
		t.fresh++
		t.onTime += boolToInt(onTime)
		t.served += boolToInt(c.whole)
		t.teamFresh += boolToInt(c.team == 0)
		t.teamOnTime += boolToInt(c.team == 0 && onTime)
	}
}

func (t *returnTrial) run() *returnTrial {
	t.byKey, t.prefilledAt = map[string]*returner{}, map[string]time.Duration{}
	t.s = turns.New(t.config)
	t.s.SetGroups(0, t.groups(), t.r.Float64)
	for now := time.Duration(0); now < returnRestart+12*time.Second; now += tickTime {
		switch now {
		case returnStop:
			for _, c := range t.callers {
				if c.running || c.waiting {
					c.running, c.waiting, c.failed = false, false, true
					c.nextAt = now + t.pause()
					c.left = t.r.IntN(2) == 0
				}
			}
			clear(t.byKey)
		case returnRestart:
			stored, _ := t.s.StoreCallers(returnStop)
			t.s = turns.New(t.config)
			if t.learned {
				Expect(t.s.RestoreCallers(stored)).To(Succeed())
			}
			t.s.SetGroups(now, t.groups(), t.r.Float64)
		case returnRestart + time.Second:
			t.demand = t.s.Demands(now)[0].NewRequests
		}
		t.step(now, now < returnStop || now >= returnRestart)
	}
	return t
}

func (t *returnTrial) newOnTime() float64 { return float64(t.onTime) / float64(t.fresh) }

func (t *returnTrial) returningServed() float64 { return float64(t.backServed) / float64(t.back) }

// usualDeadline is 6 s, with differences of 15%.
func usualDeadline(r *rand.Rand) func(int) time.Duration {
	return func(int) time.Duration { return time.Duration(6000*(0.85+0.3*r.Float64())) * time.Millisecond }
}

// afterLoss runs a trial and prints its result.
func afterLoss(seed uint64, load float64, reserve bool, change func(*returnTrial)) *returnTrial {
	t := &returnTrial{r: rand.New(rand.NewPCG(seed, 7)), config: turns.DefaultConfig(), perSecond: load, perSecondAfter: load, learned: true}
	t.config.ReserveForNew = reserve
	t.deadline = usualDeadline(t.r)
	if change != nil {
		change(t)
	}
	t.run()
	GinkgoWriter.Printf("seed %d, %3.0f per second, reserve %5v: new on time %.3f, new served %.3f of %d, returning served %.3f of %d, counted as new %d, team 0 on time %d of %d\n",
		seed, load, reserve, t.newOnTime(), float64(t.served)/float64(t.fresh), t.fresh, t.returningServed(), t.back, t.demand, t.teamOnTime, t.teamFresh)
	return t
}

var _ = Describe("Callers that return after the loss of all entries", func() {
	// Guards against returning callers that take all slots: new requests then wait behind them until their answers are late too.
	DescribeTable("get the slots that new requests leave over", func(load, minGain, maxLoss float64, seeds ...uint64) {
		for _, seed := range seeds {
			queue, reserve := afterLoss(seed, load, false, nil), afterLoss(seed, load, true, nil)
			Expect(reserve.newOnTime()).To(BeNumerically(">=", queue.newOnTime()+minGain))
			Expect(reserve.returningServed()).To(BeNumerically(">=", queue.returningServed()-maxLoss))
			Expect(reserve.demand).To(BeNumerically("<", 0.7*float64(queue.demand)))
		}
	},
		Entry("at 0.6 of the capacity", 285.0, 0.08, 0.01, uint64(1)),
		Entry("at 0.74 of the capacity, as traced", 350.0, 0.15, 0.2, uint64(1), uint64(2), uint64(3)),
		Entry("at 1.1 of the capacity, where new requests leave nothing over", 522.0, 0.2, 0.4, uint64(1)),
	)

	// Guards against a leader that needs what the lease held: the platform may be unavailable, or the former leader of an older version.
	It("are served as without the setting if nothing was learned", func() {
		queue := afterLoss(1, 350, false, nil)
		reserve := afterLoss(1, 350, true, func(t *returnTrial) { t.learned = false })
		Expect(reserve.demand).To(BeNumerically("~", queue.demand, 0.02*float64(queue.demand)))
		Expect(reserve.newOnTime()).To(BeNumerically(">=", queue.newOnTime()))
		Expect(reserve.returningServed()).To(BeNumerically(">=", queue.returningServed()-0.05))
	})

	// Guards against slots that are kept for the callers of entries that did not come back.
	It("are served if only some entries come back", func() {
		few := func(t *returnTrial) { t.perSecondAfter = 120 }
		queue, reserve := afterLoss(1, 350, false, few), afterLoss(1, 350, true, few)
		Expect(reserve.returningServed()).To(BeNumerically(">=", queue.returningServed()-0.05))
	})

	// Guards against callers that are taken for returning ones for ever because their deadlines are short.
	It("are told apart from those of a team with short deadlines", func() {
		short := func(t *returnTrial) {
			usual := t.deadline
			t.deadline = func(team int) time.Duration { return usual(team) / time.Duration(3-2*min(team, 1)) }
		}
		queue, reserve := afterLoss(1, 350, false, short), afterLoss(1, 350, true, short)
		Expect(reserve.newOnTime()).To(BeNumerically(">=", queue.newOnTime()+0.15))
		Expect(float64(reserve.teamOnTime) / float64(reserve.teamFresh)).To(BeNumerically(">", 0.95))
	})
})
