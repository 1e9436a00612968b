package cooperative

import (
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

const (
	// leastShare is the least share of its limit that a limited server must get while more requests come than all servers take.
	leastShare = 0.6
	// refusedWithin is above the time that a refused request may wait for a place within its objective.
	refusedWithin = 1500 * time.Millisecond
)

// addDesks adds plain servers.
func (p *pond) addDesks(count int) {
	for range count {
		desk := p.world.Start(p.api, replica.Config{ID: fmt.Sprint("desk-", len(p.desks)), Service: "desk", Zone: "z", Slots: 6})
		DeferCleanup(desk.Close)
		p.desks = append(p.desks, desk)
	}
}

// newPondWithGroups returns entries before open groups of the model, and the heads of these.
func newPondWithGroups(entries, groups int) (*pond, []*replica.Server) {
	GinkgoHelper()
	p := newPond(entries, 0)
	p.addDirectEngines(groups * groupSize)
	p.awaitServing(groups)
	return p, p.openHeads()
}

// expectWithinLimit checks that no 4 s brought a server more than its limits allow.
func expectWithinLimit(servers ...*replica.Server) {
	GinkgoHelper()
	for _, server := range servers {
		worst, found := server.WorstExcess(stableWindow, nil)
		GinkgoWriter.Printf("%s got %d of %.1f allowed in its worst 4 s\n", server.ID(), worst.Got, worst.Allowed)
		if found {
			Expect(worst.Over()).To(BeFalse(), "%+v", worst)
		}
	}
}

// expectShare checks that servers got their share of the requests while their limit was in force.
func expectShare(limit float64, from time.Time, servers ...*replica.Server) {
	GinkgoHelper()
	for _, server := range servers {
		perSecond := float64(server.ArrivalsSince(from)) / time.Since(from).Seconds()
		GinkgoWriter.Printf("%s got %.2f a second\n", server.ID(), perSecond)
		Expect(perSecond).To(BeNumerically(">=", leastShare*limit), server.ID())
	}
}

func served(got sent) bool { return got.status == http.StatusOK }

// expectAllServed checks that nearly all requests sent from a time on were served: one in fifty may be lost to an entry that ends.
func expectAllServed(answers []answer, from time.Time) {
	GinkgoHelper()
	share, count := servedShare(answers, from, served)
	GinkgoWriter.Printf("served: %.3f of %d\n", share, count)
	Expect(count).To(BeNumerically(">=", 20))
	Expect(share).To(BeNumerically(">=", 0.98))
}

// expectRefusedAtOnce checks that requests that were not served were refused soon, each with when to come back.
func expectRefusedAtOnce(answers []answer) {
	GinkgoHelper()
	refused := 0
	for _, got := range answers {
		if served(got.sent) {
			continue
		}
		refused++
		Expect(got.err).NotTo(HaveOccurred(), got.id)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable), "%s: %s", got.id, got.body)
		Expect(got.took).To(BeNumerically("<", refusedWithin), got.id)
		after, err := strconv.ParseFloat(got.retry, 64)
		Expect(err).NotTo(HaveOccurred(), got.id)
		Expect(after).To(BeNumerically(">", 0), got.id)
	}
	GinkgoWriter.Printf("refused: %d of %d\n", refused, len(answers))
}

func (p *pond) loadPlain(interval, length time.Duration, name string) []answer {
	return p.load(interval, length, name, "/book/x", func(int) []string { return nil })
}

func (p *pond) loadStreams(interval, length time.Duration, name string) []answer {
	return p.load(interval, length, name, "/chat/x", func(int) []string { return nil })
}

var _ = Describe("Servers that name a limit of requests", func() {
	// Each entry chooses plain servers by itself, and went on with the limited one.
	DescribeTable("get no more, and the other plain servers take the rest", func(limit string, entries int, interval time.Duration) {
		p := newPond(entries, groupSize)
		p.awaitServing(1)
		p.addDesks(4)
		p.loadPlain(interval, time.Second, "before")
		p.desks[0].NameLimit(limit)
		answers := p.loadPlain(interval, 12*time.Second, "limited")
		expectWithinLimit(p.desks[0])
		expectAllServed(answers, time.Time{})
	},
		Entry("two a second of 40", "2", 5, 25*time.Millisecond),
		Entry("less than one in two seconds", "0.4", 9, 25*time.Millisecond),
		Entry("none", "0", 3, 25*time.Millisecond),
	)

	// Nobody can take what comes: it is refused while the servers still get what they named.
	It("get their share when all plain servers are limited, and the rest is refused at once", func() {
		p := newPond(5, groupSize)
		p.awaitServing(1)
		p.loadPlain(50*time.Millisecond, time.Second, "before")
		for _, desk := range p.desks {
			desk.NameLimit("2")
		}
		p.loadPlain(50*time.Millisecond, 2*time.Second, "settling")
		from := time.Now()
		answers := p.loadPlain(50*time.Millisecond, 12*time.Second, "limited")
		expectWithinLimit(p.desks...)
		expectShare(2, from, p.desks...)
		expectRefusedAtOnce(answers)
	})

	// The leader grants requests to groups by its own counts, and the limited heads got as many as the others.
	It("get no more as heads of groups, and the other groups take the rest", func() {
		p, heads := newPondWithGroups(3, 12)
		p.loadStreams(20*time.Millisecond, time.Second, "before")
		for _, head := range heads[:4] {
			head.NameLimit("2.1")
		}
		answers := p.loadStreams(12*time.Millisecond, 12*time.Second, "limited")
		expectWithinLimit(heads[:4]...)
		expectAllServed(answers, time.Time{})
	})

	It("get their share when all heads are limited, and the rest is refused at once", func() {
		p, heads := newPondWithGroups(3, 4)
		p.loadStreams(31*time.Millisecond, time.Second, "before")
		for _, head := range heads {
			head.NameLimit("2")
		}
		p.loadStreams(31*time.Millisecond, 2*time.Second, "settling")
		from := time.Now()
		answers := p.loadStreams(31*time.Millisecond, 12*time.Second, "limited")
		expectWithinLimit(heads...)
		expectShare(2, from, heads...)
		expectRefusedAtOnce(answers)
	})

	// Each leader counts anew. What the one before has granted and what entries without a leader send must not add up.
	It("get no more while leaders are lost one after the other", func() {
		p, heads := newPondWithGroups(5, 4)
		p.addDesks(4)
		limited := append([]*replica.Server{p.desks[0], p.desks[1]}, heads[:2]...)
		p.loadPlain(25*time.Millisecond, time.Second, "before")
		for _, server := range limited {
			server.NameLimit("2")
		}
		streaming := make(chan []answer, 1)
		go func() {
			defer GinkgoRecover()
			streaming <- p.loadStreams(40*time.Millisecond, 18*time.Second, "streams")
		}()
		go func() {
			defer GinkgoRecover()
			for range 2 {
				time.Sleep(5 * time.Second)
				if leader := p.leader(); leader != nil {
					_ = leader.process().Signal(syscall.SIGKILL)
					<-leader.ended()
					leader.start()
				}
			}
		}()
		answers := p.loadPlain(25*time.Millisecond, 18*time.Second, "limited")
		<-streaming
		expectWithinLimit(limited...)
		share, count := servedShare(answers, time.Time{}, served)
		GinkgoWriter.Printf("served: %.3f of %d\n", share, count)
		Expect(share).To(BeNumerically(">=", 0.9)) // one entry of five is down for some of the time
	})

	// The leader that stands still goes on by what it held when it wakes, beside the one that has taken over.
	It("get no more while a leader stands still and wakes again", func() {
		p, heads := newPondWithGroups(5, 4)
		limited := append([]*replica.Server{p.desks[0]}, heads...)
		p.loadPlain(25*time.Millisecond, time.Second, "before")
		for _, server := range limited {
			server.NameLimit("2")
		}
		streaming := make(chan []answer, 1)
		go func() {
			defer GinkgoRecover()
			streaming <- p.loadStreams(40*time.Millisecond, 16*time.Second, "streams")
		}()
		go func() {
			defer GinkgoRecover()
			time.Sleep(4 * time.Second)
			leader := p.leader()
			if leader == nil {
				return
			}
			_ = leader.process().Signal(syscall.SIGSTOP)
			time.Sleep(6 * time.Second)
			_ = leader.process().Signal(syscall.SIGCONT)
		}()
		p.loadPlain(25*time.Millisecond, 16*time.Second, "limited")
		<-streaming
		expectWithinLimit(limited...)
	})

	// Processes that have just started know of no limit, and each would send a request to learn it.
	It("get no more after all entries were killed and started again", func() {
		p := newPond(6, groupSize)
		p.awaitServing(1)
		p.addDesks(2)
		p.loadPlain(25*time.Millisecond, time.Second, "before")
		p.desks[0].NameLimit("0.4")
		p.loadPlain(25*time.Millisecond, 4*time.Second, "limited")
		for _, entry := range p.entries {
			entry.signal(syscall.SIGKILL)
		}
		for _, entry := range p.entries {
			<-entry.ended()
			entry.start()
		}
		p.loadPlain(25*time.Millisecond, 8*time.Second, "again")
		expectWithinLimit(p.desks[0])
	})

	// A limit falls, is gone and comes back, and answers to requests that were sent before say something else.
	It("get no more when the limit changes, and their share once it is gone", func() {
		p := newPond(3, groupSize)
		p.awaitServing(1)
		p.addDesks(1)
		limited := p.desks[0]
		const interval = 25 * time.Millisecond
		p.loadPlain(interval, time.Second, "before")
		for _, values := range [][]string{{"20"}, {}, {"1"}, {"6", "abc"}} {
			limited.NameLimit(values...)
			p.loadPlain(interval, 5*time.Second, fmt.Sprint("limit", values))
		}
		expectWithinLimit(limited)
		limited.NameLimit()
		p.loadPlain(interval, 2*time.Second, "learning")
		from := time.Now()
		expectAllServed(p.loadPlain(interval, 4*time.Second, "free"), time.Time{})
		perSecond := float64(limited.ArrivalsSince(from)) / time.Since(from).Seconds()
		GinkgoWriter.Printf("%.2f a second without a limit\n", perSecond)
		Expect(perSecond).To(BeNumerically(">=", 6), "of 40 at three servers")
	})
})
