package cooperative

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
)

// stableWindow is how long after the beginning of a cut the entries concerned may serve fewer requests than the others (stableWindowMs on the
// platform's pages).
const stableWindow = 3 * time.Second

// serverCut is a way to lose the connections to all backend servers.
type serverCut struct {
	faults loopback.Faults
	// resetOpen resets the open connections when the cut begins.
	resetOpen bool
}

// Ways to be cut off.
var (
	silentCut  = serverCut{faults: loopback.Faults{StallAll: true}}
	refusedCut = serverCut{faults: loopback.Faults{Refuse: true}, resetOpen: true}
	// newConnectionsCut leaves open connections as they are.
	newConnectionsCut = serverCut{faults: loopback.Faults{Refuse: true}}
	serverCuts        = []serverCut{silentCut, refusedCut, newConnectionsCut}
)

// cutFromServers cuts entries off from every backend server, and returns a function that ends the cut.
func (p *pond) cutFromServers(cut serverCut, entries ...*gatewayProcess) (mend func()) {
	GinkgoHelper()
	p.mu.Lock()
	defer p.mu.Unlock()
	var ends []func()
	for _, e := range entries {
		source, _, err := net.SplitHostPort(e.callers)
		Expect(err).NotTo(HaveOccurred())
		for _, proxy := range p.proxies {
			proxy.SetSourceFaults(source, cut.faults)
			if cut.resetOpen {
				proxy.ResetSource(source)
			}
			ends = append(ends, func() { proxy.ClearSourceFaults(source) })
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// ask sends requests of all kinds to an entry at the same time.
func (e *gatewayProcess) ask(count int, name string) []sent {
	results := make([]sent, count)
	paths := []string{"/chat/x", "/book/x", "/look/x"}
	var asked sync.WaitGroup
	for i := range count {
		asked.Go(func() { results[i] = e.send(paths[i%len(paths)], fmt.Sprint(name, "-", i)) })
		time.Sleep(50 * time.Millisecond)
	}
	asked.Wait()
	return results
}

// expectServed checks that each request got its own complete answer, and ran no more often than it may.
func (p *pond) expectServed(results []sent) {
	GinkgoHelper()
	for i, got := range results {
		Expect(got.err).NotTo(HaveOccurred(), got.id)
		Expect(got.status).To(Equal(http.StatusOK), "%s: %s", got.id, got.body)
		if i%3 == 0 {
			Expect(got.whole()).To(BeTrue(), got.id)
			continue
		}
		Expect(got.body).To(Equal("answer to " + got.id))
		if i%3 == 1 {
			Expect(p.world.RunCount(got.id)).To(Equal(1), got.id)
		}
	}
}

var _ = Describe("An entry that is cut off from all backend servers", func() {
	// Callers, the platform and the other entries still reach the entry. Each of its requests waited for several servers and was refused, and
	// callers were sent back to it.
	DescribeTable("serves its callers, and is not named to others until it reaches the servers again", func(cut serverCut) {
		p := newPond(4, 7)
		p.awaitServing(2)
		_, rest := p.leaderAndRest()
		entry, other := rest[0], rest[1]
		Eventually(other.named, generous).Should(HaveLen(4))
		mend := p.cutFromServers(cut, entry)
		begun := time.Now()
		go entry.ask(12, "notices")
		time.Sleep(time.Until(begun.Add(stableWindow)))
		p.expectServed(entry.ask(30, "cut"))
		p.expectServed(other.ask(6, "other"))
		Expect(other.named()).NotTo(ContainElement(entry.callers))
		Expect(entry.named()).NotTo(ContainElement(entry.callers))
		mend()
		Eventually(other.named, generous).Should(ContainElement(entry.callers))
		p.expectServed(entry.ask(6, "mended"))
		Expect(p.world.Violations()).To(BeEmpty())
	},
		Entry("silently", silentCut),
		Entry("by resets", refusedCut),
		Entry("for new connections", newConnectionsCut),
	)

	// Most entries are cut off. The remaining one has to serve everybody.
	It("serves its callers together with most others", func() {
		p := newPond(4, 7)
		p.awaitServing(2)
		mend := p.cutFromServers(silentCut, p.entries[1:]...)
		defer mend()
		begun := time.Now()
		for _, e := range p.entries[1:] {
			go e.ask(6, "notices-"+e.name)
		}
		time.Sleep(time.Until(begun.Add(stableWindow)))
		for _, e := range p.entries {
			p.expectServed(e.ask(12, "cut-"+e.name))
		}
	})

	// A leader that is cut off found the groups unresponsive one after the other, and took them from the callers of all entries.
	It("takes no group from the others while it is the leader", func() {
		p := newPond(4, 7)
		p.awaitServing(2)
		leader, rest := p.leaderAndRest()
		mend := p.cutFromServers(silentCut, leader)
		defer mend()
		begun := time.Now()
		go leader.ask(12, "notices")
		time.Sleep(time.Until(begun.Add(stableWindow)))
		for _, e := range rest {
			p.expectServed(e.ask(12, "other-"+e.name))
		}
		p.expectServed(leader.ask(12, "leader"))
		Expect(p.openGroups()).To(Equal(2))
		for _, head := range p.openHeads() {
			Expect(head.OrderCount("join")).To(Equal(1), "no group was formed anew")
		}
	})
})
