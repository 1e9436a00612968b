package cooperative

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
)

// leavingKnown is how long after the platform's acknowledgement requests may still reach a server that is leaving (drainMs on the platform's pages).
const leavingKnown = 2 * time.Second

// calm is how long an entry, its ways and the platform must have been without a fault before the bound holds (stableWindowMs there).
const calm = 3 * time.Second

// faultTime is the time of one fault; a zero to is a fault that lasts.
type faultTime struct{ from, to time.Time }

// faulty notes that something has a fault until the function that is returned is called.
func (s *soak) faulty(thing any) (over func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[thing] = append(s.faults[thing], faultTime{from: time.Now()})
	i := len(s.faults[thing]) - 1
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults[thing][i].to = time.Now()
	}
}

// calmFrom says whether something had no fault from a time to another, and for calm before.
func (s *soak) calmFrom(thing any, from, to time.Time) bool {
	return !slices.ContainsFunc(s.faults[thing], func(f faultTime) bool {
		return f.from.Before(to) && (f.to.IsZero() || f.to.After(from.Add(-calm)))
	})
}

// judgeLeaving notes each request that entries without a fault have taken and sent to a server long after the platform has acknowledged that this is
// leaving. The one that has taken it may have passed it on to the one that has sent it.
func (s *soak) judgeLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	calm := func(entry *gatewayProcess, at time.Time) bool {
		return s.calmFrom(entry, at, at) && s.calmFrom(entry.toPlatform, at, at)
	}
	for _, late := range s.world.LateArrivals(leavingKnown) {
		taker, sender := s.senderOf(late.Request), s.entryAt(late.Source)
		excused := taker == nil || !s.calmFrom(s.api, late.At.Add(-late.After), late.At) || !calm(taker, late.At) ||
			sender != nil && !calm(sender, late.At) || !s.calmFrom(s.proxies[late.Server], late.At, late.At)
		if !excused {
			s.problems = append(s.problems, fmt.Sprintf("%s reached %s %v after its leaving was acknowledged", late.Request, late.Server, late.After))
		}
	}
}

// senderOf returns the entry that a request was sent to; nil for those of no caller of the soak.
func (s *soak) senderOf(request string) *gatewayProcess {
	i := slices.IndexFunc(s.entries, func(e *gatewayProcess) bool { return strings.HasSuffix(request, "-"+e.name) })
	if i < 0 || !strings.HasPrefix(request, "caller-") {
		return nil
	}
	return s.entries[i]
}

// sendFor sends streams to the entries, so many at a time that every group gets some, for as long as d.
func sendFor(entries []*gatewayProcess, d time.Duration) {
	ends := time.Now().Add(d)
	var sending sync.WaitGroup
	for i := range 6 * len(entries) {
		sending.Go(func() {
			for n := 0; time.Now().Before(ends); n++ {
				entries[i%len(entries)].send("/chat/x", fmt.Sprint("leaving-", i, "-", n))
			}
		})
	}
	sending.Wait()
}

var _ = Describe("Entries on the cooperative's platform", func() {
	// Guards against requests that reach a leaving server by grants of a leader that can't read the platform. Nobody can take its place here.
	It("send nothing to a leaving server although the leader can't read the platform", func() {
		p := newPond(3, 7)
		p.awaitServing(2)
		leader, rest := p.leaderAndRest()
		p.api.SetFaults(objects.Faults{FailWrites: 503})
		leader.toPlatform.SetFaults(loopback.Faults{StallAll: true})
		p.openHeads()[0].StartLeaving()
		sendFor(rest, 5*time.Second)
		Expect(p.world.LateArrivals(0)).NotTo(BeEmpty(), "requests reach it before its leaving is known")
		Expect(p.world.LateArrivals(leavingKnown)).To(BeEmpty())
	})
})
