package cooperative

import (
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// returned is how long after its last pause a server must be used again: refused callers come back within a second or two.
const returned = 3 * time.Second

// shedFor makes servers turn requests away for a time.
func shedFor(d time.Duration, shedding replica.Shedding, servers ...*replica.Server) {
	for _, server := range servers {
		server.Shed(&shedding)
		time.AfterFunc(d, func() { server.Shed(nil) })
	}
}

// expectPausesKept checks that no pause brought a server more requests from one entry than are allowed, and that any were asked for.
func expectPausesKept(servers ...*replica.Server) {
	GinkgoHelper()
	var all []replica.BrokenPause
	pauses := 0
	for _, server := range servers {
		broken, asked, most := server.BrokenPauses(nil)
		GinkgoWriter.Printf("%s: %d of %d pauses broken, %d requests in the worst, %d turned away\n", server.ID(), len(broken), asked, most, server.TurnedAway())
		all = append(all, broken...)
		pauses += asked
	}
	Expect(pauses).To(BeNumerically(">", 0))
	Expect(all).To(BeEmpty())
}

// expectUsedAgain checks that each server gets a share of what is sent to all, which all together have room for.
func (p *pond) expectUsedAgain(send func(interval, length time.Duration, name string) []answer, servers ...*replica.Server) {
	GinkgoHelper()
	from := time.Now()
	answers := send(50*time.Millisecond, 4*time.Second, "again")
	for _, server := range servers {
		GinkgoWriter.Printf("%s got %d of %d once it was back\n", server.ID(), server.ArrivalsSince(from), len(answers))
		Expect(server.ArrivalsSince(from)).To(BeNumerically(">=", 3), server.ID())
	}
	expectAllServed(answers, time.Time{})
}

// addressOf returns the IP address of an entry.
func (p *pond) addressOf(entry int) string {
	host, _, _ := strings.Cut(p.entries[entry].callers, ":")
	return host
}

var _ = Describe("Servers that ask for a pause", func() {
	// Each entry chooses plain servers by itself, and takes one that rejects at once for the least loaded.
	It("get no more from an entry until it is over, and the other plain servers take the rest", func() {
		p := newPond(5, groupSize)
		p.awaitServing(1)
		p.addDesks(4)
		p.loadPlain(25*time.Millisecond, time.Second, "before")
		shedFor(8*time.Second, replica.Shedding{Ask: []string{"3"}}, p.desks[0])
		answers := p.loadPlain(8*time.Millisecond, 10*time.Second, "shedding")
		expectPausesKept(p.desks[0])
		expectRefusedAtOnce(answers)
		expectAllServed(answers, time.Time{})
		time.Sleep(returned)
		p.expectUsedAgain(p.loadPlain, p.desks[0])
	})

	// Callers whose requests nobody takes are told at once when the first server is back, and don't all come in that moment.
	It("are waited for when all plain servers shed", func() {
		p := newPond(5, groupSize)
		p.awaitServing(1)
		p.loadPlain(25*time.Millisecond, time.Second, "before")
		shedFor(4*time.Second, replica.Shedding{Ask: []string{"2"}}, p.desks...)
		answers := p.loadPlain(12*time.Millisecond, 4*time.Second, "shedding")
		expectPausesKept(p.desks...)
		expectRefusedAtOnce(answers)
		time.Sleep(returned)
		p.expectUsedAgain(p.loadPlain, p.desks...)
		expectPausesKept(p.desks...)
	})

	// The leader counts what runs at a group, and a head that rejects at once looked like the emptiest: callers were refused although others had room.
	It("get no more as heads of groups, and the other groups take the rest", func() {
		p, heads := newPondWithGroups(3, 12)
		p.loadStreams(20*time.Millisecond, time.Second, "before")
		shedFor(8*time.Second, replica.Shedding{Ask: []string{"3"}}, heads[:4]...)
		from := time.Now().Add(time.Second)
		answers := p.loadStreams(18*time.Millisecond, 10*time.Second, "shedding")
		expectPausesKept(heads[:4]...)
		expectRefusedAtOnce(answers)
		expectAllServed(answers, from)
		time.Sleep(returned)
		p.expectUsedAgain(p.loadStreams, heads[:4]...)
	})

	// All rest, and all entries would come back at once.
	It("are waited for when all heads shed", func() {
		p, heads := newPondWithGroups(3, 4)
		p.loadStreams(31*time.Millisecond, time.Second, "before")
		shedFor(4*time.Second, replica.Shedding{Ask: []string{"2"}}, heads...)
		answers := p.loadStreams(31*time.Millisecond, 4*time.Second, "shedding")
		expectPausesKept(heads...)
		expectRefusedAtOnce(answers)
		time.Sleep(returned)
		p.expectUsedAgain(p.loadStreams, heads...)
		expectPausesKept(heads...)
	})

	// A pause binds one entry: for the others the server is as good as any.
	It("are used by the entries that they did not ask", func() {
		p := newPond(5, groupSize)
		p.awaitServing(1)
		p.addDesks(2)
		heads := p.openHeads()
		p.loadPlain(25*time.Millisecond, time.Second, "before")
		turnedAway := p.addressOf(2)
		only := func(source string) bool { return source == turnedAway }
		shedFor(8*time.Second, replica.Shedding{Ask: []string{"4"}, From: only}, p.desks[0], heads[0])
		from := time.Now()
		streaming := make(chan []answer, 1)
		go func() {
			defer GinkgoRecover()
			streaming <- p.loadStreams(200*time.Millisecond, 8*time.Second, "streams")
		}()
		answers := p.loadPlain(20*time.Millisecond, 8*time.Second, "shedding")
		expectPausesKept(p.desks[0], heads[0])
		perSecond := float64(p.desks[0].ArrivalsSince(from)) / time.Since(from).Seconds()
		GinkgoWriter.Printf("%.1f a second of 50 at four servers\n", perSecond)
		Expect(perSecond).To(BeNumerically(">=", 5))
		expectAllServed(answers, time.Time{})
		expectRefusedAtOnce(<-streaming)
	})

	// Of several pauses the longest counts, and a value that can't be read asks for nothing.
	It("get no more when they ask for different pauses by turns, and for some that can't be read", func() {
		p := newPond(5, groupSize)
		p.awaitServing(1)
		p.addDesks(4)
		p.loadPlain(25*time.Millisecond, time.Second, "before")
		shedFor(9*time.Second, replica.Shedding{Ask: []string{"6", "1"}}, p.desks[0], p.desks[1])
		shedFor(9*time.Second, replica.Shedding{Ask: []string{"2.5", "abc", "-3", "NaN", "1e400", "Inf", "0", "Fri, 31 Dec 1999 23:59:59 GMT"}}, p.desks[2])
		answers := p.loadPlain(12*time.Millisecond, 9*time.Second, "shedding")
		expectPausesKept(p.desks[:3]...)
		expectRefusedAtOnce(answers)
	})

	// A later process of the server has asked for nothing.
	It("are used again once they have started anew", func() {
		p := newPond(3, groupSize)
		p.awaitServing(1)
		p.loadPlain(25*time.Millisecond, time.Second, "before")
		p.desks[0].Shed(&replica.Shedding{Ask: []string{"3600"}})
		p.loadPlain(25*time.Millisecond, 2*time.Second, "shedding")
		expectPausesKept(p.desks[0])
		p.desks[0].Restart()
		time.Sleep(time.Second)
		p.expectUsedAgain(p.loadPlain, p.desks[0])
	})

	// The next leader must know what the entries were asked for.
	It("get no more while leaders are lost", func() {
		p, heads := newPondWithGroups(4, 6)
		p.loadStreams(20*time.Millisecond, time.Second, "before")
		for _, head := range heads[:2] {
			head.Shed(&replica.Shedding{Ask: []string{"4"}})
		}
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			time.Sleep(2 * time.Second)
			if leader := p.leader(); leader != nil {
				_ = leader.process().Kill()
				<-leader.ended()
				leader.start()
			}
		}()
		p.loadStreams(30*time.Millisecond, 9*time.Second, "shedding")
		<-killed
		expectPausesKept(heads[:2]...)
	})
})

// announcedKnown is how long after an answer has told an entry that its server is leaving requests may still reach that from there.
const announcedKnown = 3 * time.Second

// expectLeftAlone checks that no entry has sent servers anything long after these had told it that they are leaving.
func expectLeftAlone(servers ...*replica.Server) {
	GinkgoHelper()
	var late []replica.Arrival
	for _, server := range servers {
		late = append(late, server.LateAfterAnnouncement(announcedKnown, nil)...)
	}
	Expect(late).To(BeEmpty())
}

func announceLeaving(servers ...*replica.Server) {
	for _, server := range servers {
		server.AnnounceLeaving()
	}
}

var _ = Describe("Servers that say in their answers that they are leaving", func() {
	DescribeTable("get no new requests, and the other plain servers take them", func(storeFails bool) {
		p := newPond(5, groupSize)
		p.awaitServing(1)
		p.addDesks(4)
		p.loadPlain(25*time.Millisecond, time.Second, "before")
		if storeFails {
			for _, entry := range p.entries {
				entry.toPlatform.SetFaults(stalledPlatform)
			}
		}
		announceLeaving(p.desks[0])
		answers := p.loadPlain(12*time.Millisecond, 8*time.Second, "leaving")
		expectLeftAlone(p.desks[0])
		expectAllServed(answers, time.Time{})
	},
		Entry("while the platform says that it is ready", false),
		Entry("while the platform can't be reached", true),
	)

	// The leader grants turns by what the platform says.
	It("get no new requests as heads, and the other groups take them", func() {
		p, heads := newPondWithGroups(3, 12)
		p.loadStreams(20*time.Millisecond, time.Second, "before")
		announceLeaving(heads[:4]...)
		answers := p.loadStreams(25*time.Millisecond, 8*time.Second, "leaving")
		expectLeftAlone(heads[:4]...)
		expectAllServed(answers, time.Time{})
	})

	// Each entry would lose requests to the server until it has heard it itself.
	It("are known to all entries although one alone has heard it", func() {
		p := newPond(4, groupSize)
		p.awaitServing(1)
		p.addDesks(2)
		announceLeaving(p.desks[0])
		Eventually(func() []replica.Arrival {
			p.entries[0].send("/book/x", "told")
			return p.desks[0].LateAfterAnnouncement(-time.Second, nil)
		}, generous).ShouldNot(BeEmpty())
		time.Sleep(time.Second)
		from := time.Now()
		p.loadPlain(20*time.Millisecond, 2*time.Second, "others")
		Expect(p.desks[0].ArrivalsSince(from)).To(BeZero())
	})

	It("get no new requests when all of them leave, and callers are refused at once", func() {
		p := newPond(3, groupSize)
		p.awaitServing(1)
		p.loadPlain(25*time.Millisecond, time.Second, "before")
		announceLeaving(p.desks...)
		answers := p.loadPlain(25*time.Millisecond, 6*time.Second, "leaving")
		expectLeftAlone(p.desks...)
		late := slices.DeleteFunc(answers, func(a answer) bool { return served(a.sent) })
		expectRefusedAtOnce(late)
	})

	It("are used again once they have started anew", func() {
		p := newPond(3, groupSize)
		p.awaitServing(1)
		announceLeaving(p.desks[0])
		p.loadPlain(25*time.Millisecond, 2*time.Second, "leaving")
		p.desks[0].Restart()
		time.Sleep(time.Second)
		p.expectUsedAgain(p.loadPlain, p.desks[0])
	})
})
