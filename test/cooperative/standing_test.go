package cooperative

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

const (
	// coldRate is the rate of cold servers. The rule allows 1.5 times as many and 5 more in any second, whatever arrives.
	coldRate    = 6
	coldAllowed = 14
	// heardWithin is more than it takes until all entries know of a cold server by its registration.
	heardWithin = time.Second
	// evacuatedWithin is half of the bound within which nothing may be sent to an evacuated failure domain.
	evacuatedWithin = 2500 * time.Millisecond
)

// newPondWithColdRule returns entries before open groups of a service with a rate for cold servers.
func newPondWithColdRule(entries, groups int) (*pond, []*replica.Server) {
	GinkgoHelper()
	p, heads := newPondWithGroups(entries, groups)
	p.coldTime, p.coldRate = 2*time.Second, coldRate
	p.configure()
	time.Sleep(heardWithin)
	return p, heads
}

func expectColdRule(from time.Time, servers ...*replica.Server) {
	GinkgoHelper()
	for _, server := range servers {
		most := server.MostInASecond(from)
		GinkgoWriter.Printf("%s got %d of %d in its worst second\n", server.ID(), most, coldAllowed)
		Expect(most).To(BeNumerically("<=", coldAllowed), server.ID())
	}
}

var _ = Describe("Cold servers", func() {
	// Guards against heads that get as many requests at once as they have slots, from entries that each know a part of what is sent.
	It("get no more than they take, by their registrations, and are used fully again", func() {
		p, heads := newPondWithColdRule(3, 6)
		const cold = 5 * time.Second
		for _, head := range heads[:3] {
			head.TurnCold(cold, true)
		}
		time.Sleep(heardWithin)
		from := time.Now()
		answers := p.loadStreams(25*time.Millisecond, cold-heardWithin-200*time.Millisecond, "cold")
		expectColdRule(from, heads[:3]...)
		expectAllServed(answers, time.Time{})
		from = time.Now()
		p.loadStreams(12*time.Millisecond, 3*time.Second, "warm")
		Expect(heads[0].ArrivalsSince(from)).To(BeNumerically(">", 3*coldRate))
	})

	// Each leader counts anew, and the registration may say nothing.
	It("get no more by what one answer has told, while the leader is killed", func() {
		p, heads := newPondWithColdRule(4, 4)
		p.loadStreams(40*time.Millisecond, time.Second, "before")
		for _, head := range heads {
			head.TurnCold(10*time.Second, false)
		}
		for _, e := range p.entries {
			e.send("/chat/x", "tell-"+e.name) // a silent head has its group's reports read; the answers tell
		}
		head := heads[0]
		head.SetFaults(replica.Faults{StallAfter: 1}) // its stall has the leader ask for a report
		p.loadStreams(200*time.Millisecond, 2*time.Second, "stalls")
		head.SetFaults(replica.Faults{})
		Eventually(func() bool {
			for _, e := range p.entries {
				if strings.Contains(e.log.String(), "backend server is cold") {
					return true
				}
			}
			return false
		}, generous).Should(BeTrue())
		from := time.Now()
		go func() {
			defer GinkgoRecover()
			time.Sleep(time.Second)
			if leader := p.leader(); leader != nil {
				_ = leader.process().Signal(syscall.SIGKILL)
			}
		}()
		p.loadStreams(20*time.Millisecond, 4*time.Second, "cold")
		expectColdRule(from, head)
	})
})

// newPondOfTwoDomains returns entries that follow evacuations before groups in failure domain z, and others in failure domain y.
func newPondOfTwoDomains(entries, groups, others int) (p *pond, remaining, evacuated []*replica.Server) {
	GinkgoHelper()
	p = newPond(0, 0)
	p.settings = []string{"POND_EVACUATION_MS=5000"}
	p.addDirectEngines(groups * groupSize)
	for i := range others * groupSize {
		config := engineConfig(fmt.Sprintf("vmy-%02d", i), "large")
		config.Zone, config.Domain = "y", "dy"
		engine := p.world.Start(p.api, config)
		DeferCleanup(engine.Close)
		p.engines = append(p.engines, engine)
	}
	p.coldTime, p.coldRate = 2*time.Second, coldRate
	p.configure()
	for i := range entries {
		p.entries = append(p.entries, p.startEntry(i))
	}
	p.awaitServing(groups + others)
	for _, engine := range p.engines {
		if strings.HasPrefix(engine.ID(), "vmy-") {
			evacuated = append(evacuated, engine)
		} else {
			remaining = append(remaining, engine)
		}
	}
	return p, remaining, evacuated
}

func expectNothingSent(from time.Time, servers ...*replica.Server) {
	GinkgoHelper()
	for _, server := range servers {
		Expect(server.AllArrivals(from)).To(BeEmpty(), server.ID())
	}
}

var _ = Describe("An evacuated failure domain", func() {
	// Guards against requests, reports, orders and probes that some part goes on sending, also while the leader is lost, and against cut streams.
	DescribeTable("gets nothing until it is taken back, and then no more than cold servers take", func(killLeader bool) {
		p, _, evacuated := newPondOfTwoDomains(4, 4, 2)
		var answers []answer
		var running sync.WaitGroup
		running.Go(func() { answers = p.loadStreams(100*time.Millisecond, 9*time.Second, "during") })
		time.Sleep(time.Second)
		p.api.Write("evacuations", "y", map[string]string{})
		if killLeader {
			leader := p.leader()
			Expect(leader).NotTo(BeNil())
			leader.signal(syscall.SIGKILL)
			<-leader.ended()
			leader.start()
		}
		time.Sleep(evacuatedWithin)
		from := time.Now()
		time.Sleep(4 * time.Second)
		expectNothingSent(from, evacuated...)
		p.api.Delete("evacuations", "y")
		from = time.Now()
		running.Wait()
		expectColdRule(from, evacuated...)
		if !killLeader {
			expectAllServed(answers, time.Time{})
		}
		from = time.Now()
		p.loadStreams(20*time.Millisecond, 3*time.Second, "after")
		used := 0
		for _, engine := range evacuated {
			used += engine.ArrivalsSince(from)
		}
		Expect(used).To(BeNumerically(">", 10))
	},
		Entry("with the same leader", false),
		Entry("with a leader that is killed", true),
	)

	// Nothing can serve: callers must not be held until their deadline.
	It("of which a model has its only group: requests are refused at once, and served again afterwards", func() {
		p, _, evacuated := newPondOfTwoDomains(2, 0, 1)
		p.api.Write("evacuations", "y", map[string]string{})
		time.Sleep(evacuatedWithin)
		from := time.Now()
		answers := p.loadStreams(100*time.Millisecond, 2*time.Second, "none")
		expectRefusedAtOnce(answers)
		expectNothingSent(from, evacuated...)
		p.api.Delete("evacuations", "y")
		Eventually(func() bool { return p.entries[0].send("/chat/x", fmt.Sprint("again-", time.Now().UnixNano())).whole() }, generous).Should(BeTrue())
	})
})

var _ = Describe("Heads that refuse connections", func() {
	// Guards against turns that go on being granted at dead heads, which have the fewest requests in progress, and against groups that stand until the
	// registrations of their heads lapse.
	It("get few turns, and their groups are formed anew although they stay registered", func() {
		p, heads := newPondWithGroups(4, 6)
		p.addDirectEngines(2) // in the place of the heads that are lost
		for _, head := range heads[:2] {
			head.Close()
		}
		answers := p.loadStreams(40*time.Millisecond, 6*time.Second, "dead")
		share, count := servedShare(answers, time.Time{}, served)
		GinkgoWriter.Printf("served: %.3f of %d\n", share, count)
		Expect(share).To(BeNumerically(">=", 0.98))
		failed := 0
		for _, e := range p.entries {
			failed += strings.Count(e.log.String(), "backend server could not be connected to")
		}
		GinkgoWriter.Printf("%d connections failed\n", failed)
		Expect(failed).To(BeNumerically("<=", 12))
		Eventually(func() int { return p.openGroups() - 2 }, generous).Should(Equal(6)) // the two that are lost still say that they are open
	})
})
