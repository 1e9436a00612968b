package turns_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/capacity"
	"github.com/skylarkpond/skylarkpond/policy/standing"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// coldPlay offers more requests than there is room for, from many entries, while some heads are cold. Each request takes a second.
type coldPlay struct {
	scheduler *turns.Scheduler
	random    *rand.Rand
	arrivals  float64
	number    int
	ends      map[time.Duration][]string
	grants    map[string][]time.Duration
	rejected  []turns.Decision
}

func newColdPlay() *coldPlay {
	return &coldPlay{
		scheduler: turns.New(turns.DefaultConfig()), random: rand.New(rand.NewPCG(5, 6)),
		ends: make(map[time.Duration][]string), grants: make(map[string][]time.Duration),
	}
}

func (p *coldPlay) note(now time.Duration, decisions []turns.Decision) {
	for _, d := range decisions {
		if d.Reason != turns.Granted {
			p.rejected = append(p.rejected, d)
			continue
		}
		p.grants[d.Head] = append(p.grants[d.Head], now)
		p.ends[now+time.Second] = append(p.ends[now+time.Second], d.Key)
	}
}

func (p *coldPlay) run(from, length time.Duration, perSecond float64) {
	for now := from; now < from+length; now += tickTime {
		for _, key := range p.ends[now] {
			p.note(now, p.scheduler.Done(now, key, completed, p.random.Float64))
		}
		for p.arrivals += perSecond * tickTime.Seconds(); p.arrivals >= 1; p.arrivals-- {
			p.number++
			request := newRequest(fmt.Sprint("e-", p.random.IntN(143), "/", p.number))
			request.FirstTokenBudget, request.MaxWait = 250*time.Millisecond, 250*time.Millisecond
			p.note(now, p.scheduler.Submit(now, request, p.random.Float64))
		}
		p.note(now, p.scheduler.Tick(now, p.random.Float64))
	}
}

// most returns the most turns that a head was granted in any second.
func (p *coldPlay) most(head string) (most int) {
	granted := p.grants[head]
	for i, first := range granted {
		n := 0
		for _, at := range granted[i:] {
			if at-first < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

var _ = Describe("Cold heads", func() {
	const (
		perSecond = 14.0
		allowed   = 26 // 1.5 times the rate and 5 more, in any second
		slots     = 34
	)
	// mixed returns two warm groups and four whose heads are cold.
	mixed := func(until time.Duration) (all []turns.Group) {
		for i := range 6 {
			g := turns.Group{Head: fmt.Sprint("h", i), Model: "m", Engine: capacity.Engine{Slots: slots}}
			if i >= 2 {
				g.Standing = standing.Standing{PerSecond: perSecond, Until: until, Reason: standing.Cold}
			}
			all = append(all, g)
		}
		return all
	}

	// A cold head has no requests in progress and looks like the least loaded one: without its standing, it is granted as many turns at once as it has
	// slots.
	It("are granted no more than they take, and no less than their rate", func() {
		p := newColdPlay()
		p.scheduler.SetGroups(0, mixed(3*time.Second), p.random.Float64)
		p.run(0, 3*time.Second, 400)
		for i := 2; i < 6; i++ {
			head := fmt.Sprint("h", i)
			Expect(p.most(head)).To(BeNumerically("<=", allowed), head)
			Expect(len(p.grants[head])).To(BeNumerically(">=", 0.8*3*perSecond), head)
		}
		baseline := newColdPlay()
		unknown := mixed(0)
		for i := range unknown {
			unknown[i].Standing = standing.Standing{}
		}
		baseline.scheduler.SetGroups(0, unknown, baseline.random.Float64)
		baseline.run(0, 3*time.Second, 400)
		Expect(baseline.most("h2")).To(BeNumerically(">", allowed))
	})

	It("take what others do once they are warm", func() {
		p := newColdPlay()
		p.scheduler.SetGroups(0, mixed(time.Second), p.random.Float64)
		p.run(0, time.Second, 400)
		warm := mixed(0)
		for i := range warm {
			warm[i].Standing = standing.Standing{}
		}
		p.scheduler.SetGroups(time.Second, warm, p.random.Float64)
		before := len(p.grants["h3"])
		p.run(time.Second, 2*time.Second, 400)
		Expect(len(p.grants["h3"]) - before).To(BeNumerically(">=", slots))
	})

	// Another leader may have granted turns at the same head a moment before.
	It("are granted none at first by a new leader, and fewer while it is not confirmed", func() {
		p := newColdPlay()
		p.scheduler.SetConfirmed(0, false)
		p.scheduler.SetGroups(0, mixed(3 * time.Second)[2:3], p.random.Float64)
		Expect(p.scheduler.Submit(0, newRequest("first"), p.random.Float64)).NotTo(ContainElement(HaveField("Reason", turns.Granted)))
		p.run(tickTime, 3*time.Second, 100)
		Expect(p.most("h2")).To(BeNumerically("<=", allowed/2))
	})

	// Callers that are told the time in which a full group gets a free slot would come back to a head that still takes few.
	It("count with their rate in what rejected callers are told", func() {
		p := newColdPlay()
		p.scheduler.SetGroups(0, mixed(3 * time.Second)[2:], p.random.Float64)
		p.run(0, time.Second, 400)
		Expect(p.rejected).NotTo(BeEmpty())
		last := p.rejected[len(p.rejected)-1]
		Expect(last.Limits.Heads).To(Equal(4))
		Expect(last.Limits.PerSecond).To(BeNumerically("~", 4*perSecond, 0.1))
		Expect(last.RetryAfter).To(BeNumerically(">", time.Second))
	})

	It("mark their turns, so that one that is used late is given back, and a turn that was not used counts again", func() {
		s := turns.New(turns.DefaultConfig())
		s.SetGroups(0, mixed(3 * time.Second)[2:3], constantRandom)
		got := s.Submit(time.Second, newRequest("a"), constantRandom)
		Expect(got).To(HaveLen(1))
		Expect(got[0].Metered).To(BeTrue())
		Expect(s.ColdGrants()).To(Equal(1))
		Expect(s.ColdGrants()).To(BeZero())
		granted := 1
		for i := range 3 * slots {
			for _, d := range s.Submit(time.Second, newRequest(fmt.Sprint("b", i)), constantRandom) {
				if d.Reason == turns.Granted {
					granted++
				}
			}
		}
		Expect(granted).To(Equal(3)) // the burst
		waiting := s.Done(time.Second, "a", turns.End{Unsent: true}, constantRandom)
		Expect(waiting).To(ContainElement(HaveField("Reason", turns.Granted)))
	})

	It("get nothing while they are blocked, and their groups are no room", func() {
		s := turns.New(turns.DefaultConfig())
		blocked := mixed(0)[:1]
		blocked[0].Standing = standing.Standing{Blocked: true, Reason: standing.Evacuated}
		s.SetGroups(0, blocked, constantRandom)
		got := s.Submit(0, newRequest("a"), constantRandom)
		Expect(got).To(HaveLen(1))
		Expect(got[0].Reason).NotTo(Equal(turns.Granted))
		Expect(got[0].RetryAfter).To(BeNumerically(">", 0))
		Expect(got[0].Slots).To(BeZero())
		Expect(s.Demands(0)[0].Groups).To(BeZero())
	})
})

var _ = Describe("Demand while heads are dead", func() {
	// Each request that met a dead head asked for another turn, and counted as a new one: more than twice the requests that came, and the fleet was rebuilt
	// for them.
	It("counts a request once, however many turns it asks for", func() {
		s := turns.New(turns.DefaultConfig())
		s.SetGroups(0, groups(3, 8), constantRandom)
		for i := range 10 {
			request := newRequest(fmt.Sprint("a", i))
			s.Submit(0, request, constantRandom)
			for attempt, tried := range []string{"x", "y"} {
				request.Key = fmt.Sprint("a", i, "-", attempt)
				request.TriedHeads = append(request.TriedHeads, tried)
				s.Submit(0, request, constantRandom)
			}
		}
		demand := s.Demands(time.Second)[0]
		Expect(demand.NewRequests).To(Equal(10))
		Expect(demand.Requests).To(Equal(30))
	})
})

var _ = Describe("Blocked heads", func() {
	// Callers were told that the request had been tried everywhere, which sends the next person who reads the log to the servers.
	It("are as good as no groups: requests are refused at once with a time to come back, also those that wait", func() {
		only := func(decisions []turns.Decision) turns.Decision {
			GinkgoHelper()
			Expect(decisions).To(HaveLen(1))
			return decisions[0]
		}
		s := turns.New(turns.DefaultConfig())
		all := groups(2, 10)
		s.SetGroups(0, all, constantRandom)
		for i := range 22 { // one more than the slots of each
			only(s.Submit(0, newRequest(fmt.Sprint("runs-", i)), constantRandom))
		}
		waits := newRequest("waits")
		Expect(s.Submit(0, waits, constantRandom)).To(BeEmpty())
		for i := range all {
			all[i].Standing = standing.Standing{Blocked: true, Reason: standing.Evacuated}
		}
		for _, refused := range []turns.Decision{
			only(s.SetGroups(tickTime, all, constantRandom)), only(s.Submit(tickTime, newRequest("late"), constantRandom)),
		} {
			Expect(refused.Reason).To(Equal(turns.NoGroup))
			Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		}
		Expect(s.Running("head0")).To(Equal(11), "requests in progress go on")
	})
})
