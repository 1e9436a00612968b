package turns_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// load plays callers before groups in virtual time. A caller is answered in time, late, or not at all; who is turned away comes once more.
type load struct {
	r       *rand.Rand
	groups  int
	slots   int
	perTick float64 // arrivals in 10 ms
	lose    func(now time.Duration) int
	// first is what a group needs from the turn to the first part.
	first     time.Duration
	objective time.Duration
	decide    decider
	inTime    int
	late      int
	lost      int
	asked     int
	repeated  int
}

// decider is the scheduler, or a baseline.
type decider interface {
	setGroups(now time.Duration, n int) []turns.Decision
	ask(now time.Duration, r turns.Request) []turns.Decision
	done(now time.Duration, key string, first time.Duration) []turns.Decision
	tick(now time.Duration) []turns.Decision
}

type scheduler struct {
	*turns.Scheduler
	slots  int
	chance func() float64
}

func (s scheduler) setGroups(now time.Duration, n int) []turns.Decision {
	return s.SetGroups(now, groups(n, s.slots), s.chance)
}

func (s scheduler) ask(now time.Duration, r turns.Request) []turns.Decision {
	return s.Submit(now, r, s.chance)
}

func (s scheduler) done(now time.Duration, key string, first time.Duration) []turns.Decision {
	return s.Done(now, key, turns.End{Complete: true, FirstToken: first}, s.chance)
}
func (s scheduler) tick(now time.Duration) []turns.Decision { return s.Tick(now, s.chance) }

// queueAll is the plain baseline: everything waits in one queue, first in first out, until its deadline.
type queueAll struct{ scheduler }

func (q queueAll) ask(now time.Duration, r turns.Request) []turns.Decision {
	r.FirstTokenBudget, r.MaxWait = 0, 5*time.Second
	r.Retry, r.Fingerprint = false, 0
	return q.Submit(now, r, q.chance)
}

// fixedWait is the baseline that takes a usual time to the first part for that of all groups.
type fixedWait struct{ scheduler }

func (f fixedWait) ask(now time.Duration, r turns.Request) []turns.Decision {
	if r.FirstTokenBudget > 0 {
		r.MaxWait = r.FirstTokenBudget - 100*time.Millisecond
		r.FirstTokenBudget = 0
	}
	return f.Submit(now, r, f.chance)
}

// returningAll is the baseline that takes every caller for one that comes again, as callers seem to be whose deadlines differ.
type returningAll struct{ scheduler }

func (a returningAll) ask(now time.Duration, r turns.Request) []turns.Decision {
	r.FirstTokenBudget, r.MaxWait = 0, turns.MaxRetryWait
	r.Retry = true
	return a.Submit(now, r, a.chance)
}

type callerState struct {
	key string
	// fingerprint is that of its request, alike for all its tries.
	fingerprint uint64
	born        time.Duration
	tries       int
	due         time.Duration // when it comes (again)
	ends        time.Duration // when its turn ends
	running     bool
	resolved    bool
}

const (
	deadline = 5 * time.Second
	tickTime = 10 * time.Millisecond
)

func (l *load) play(length time.Duration) {
	callers := map[string]*callerState{}
	var list []*callerState
	settle := func(now time.Duration, decisions []turns.Decision) {
		for _, d := range decisions {
			c := callers[d.Key]
			if c == nil || c.resolved {
				continue
			}
			if d.Reason == turns.Granted {
				c.running = true
				c.ends = now + time.Duration(900+l.r.IntN(700))*time.Millisecond
				first := now + l.first - c.born
				c.resolved = true
				switch {
				case first <= l.objective:
					l.inTime++
				case first <= deadline:
					l.late++
				default:
					l.lost++
				}
				continue
			}
			if c.tries >= 2 {
				c.resolved = true
				l.lost++
				continue
			}
			c.due = now + d.RetryAfter
		}
	}
	current := -1
	for now := time.Duration(0); now < length; now += tickTime {
		if n := l.groups - l.lose(now); n != current {
			current = n
			settle(now, l.decide.setGroups(now, n))
		}
		for range int(l.perTick) + boolToInt(l.r.Float64() < l.perTick-float64(int(l.perTick))) {
			l.asked++
			c := &callerState{key: fmt.Sprint(l.asked), fingerprint: uint64(l.asked), born: now, due: now}
			callers[c.key] = c
			list = append(list, c)
		}
		for _, c := range list {
			if c.running && now >= c.ends {
				c.running = false
				settle(now, l.decide.done(now, c.key, l.first))
			}
			if !c.resolved && !c.running && c.due <= now && c.due >= 0 {
				c.due = -1
				c.tries++
				if c.tries > 1 {
					l.repeated++
				}
				due, patience := turns.WaitBounds(l.objective, 0, false)
				settle(now, l.decide.ask(now, turns.Request{
					Key: c.key, Model: "m", FirstTokenBudget: due, MaxWait: patience, Fingerprint: c.fingerprint,
				}))
			}
		}
		settle(now, l.decide.tick(now))
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

// credit is what callers get: a whole one in time, a quarter late.
func (l *load) credit() float64 { return (float64(l.inTime) + 0.25*float64(l.late)) / float64(l.asked) }

func play(plain bool, perTick float64, lose func(time.Duration) int) *load {
	r := rand.New(rand.NewPCG(3, 9))
	s := scheduler{Scheduler: turns.New(turns.DefaultConfig()), slots: 26, chance: r.Float64}
	l := &load{r: r, groups: 4, slots: 26, perTick: perTick, lose: lose, decide: s, first: 80 * time.Millisecond, objective: 200 * time.Millisecond}
	if plain {
		l.decide = queueAll{s}
	}
	l.play(30 * time.Second)
	return l
}

// playBy plays groups that need long for a first part, at a load of half as much again as they can take.
func playBy(decide func(scheduler) decider) *load {
	r := rand.New(rand.NewPCG(3, 9))
	l := &load{
		r: r, groups: 4, slots: 26, perTick: 1.25, lose: func(time.Duration) int { return 0 },
		first: 250 * time.Millisecond, objective: 400 * time.Millisecond,
	}
	l.decide = decide(scheduler{Scheduler: turns.New(turns.DefaultConfig()), slots: 26, chance: r.Float64})
	l.play(30 * time.Second)
	return l
}

var _ = Describe("Callers under load", func() {
	none := func(time.Duration) int { return 0 }
	// Half of the groups are gone from 5 s to 20 s.
	half := func(now time.Duration) int {
		if now > 5*time.Second && now < 20*time.Second {
			return 2
		}
		return 0
	}

	It("are all answered in time while there is room", func() {
		l := play(false, 0.7, none)
		Expect(l.credit()).To(BeNumerically(">", 0.99))
	})

	// Requests come at half as much again as the groups can take. In a queue without a bound all wait for seconds, and all answers are late.
	It("are answered in time in proportion to the capacity at saturation", func() {
		plain, bounded := play(true, 1.25, none), play(false, 1.25, none)
		GinkgoWriter.Printf("saturation: plain %.3f, bounded %.3f\n", plain.credit(), bounded.credit())
		Expect(bounded.credit()).To(BeNumerically(">", 0.6))
		Expect(bounded.credit()).To(BeNumerically(">", 2*plain.credit()))
	})

	// Half of the groups are lost for 15 s. With a queue the lateness stays for as long as the queue needs to empty, which the load of
	// those that come again makes longer.
	It("are served again within seconds once the groups are back", func() {
		plain, bounded := play(true, 0.75, half), play(false, 0.75, half)
		GinkgoWriter.Printf("half lost: plain %.3f, bounded %.3f\n", plain.credit(), bounded.credit())
		Expect(bounded.credit()).To(BeNumerically(">", 0.75))
		Expect(bounded.credit()).To(BeNumerically(">", 1.3*plain.credit()))
	})
})

var _ = Describe("Callers of groups that need long for a first part", func() {
	// Long prompts come at half as much again as the groups can read. Each request waits until a usual first part would just be in time; this one
	// takes twice as long, and every answer is late.
	It("are turned away sooner, so that those who are served are served in time", func() {
		fixed := playBy(func(s scheduler) decider { return fixedWait{s} })
		learned := playBy(func(s scheduler) decider { return s })
		GinkgoWriter.Printf("long first parts: fixed %.3f, learned %.3f\n", fixed.credit(), learned.credit())
		Expect(learned.credit()).To(BeNumerically(">", 1.5*fixed.credit()))
	})

	// Callers differ in how long they wait, and those who wait for less than usual look as if they had been turned away before. All wait for
	// 0.6 s, and all answers are late.
	It("are known as coming again by their request, not by the time they have left", func() {
		taken := playBy(func(s scheduler) decider { return returningAll{s} })
		known := playBy(func(s scheduler) decider { return s })
		GinkgoWriter.Printf("callers that come again: all taken for such %.3f, known %.3f\n", taken.credit(), known.credit())
		Expect(known.credit()).To(BeNumerically(">", 1.5*taken.credit()))
	})
})
