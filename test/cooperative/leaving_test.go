package cooperative

import (
	"fmt"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
)

// leavingKnown is how long after the platform's acknowledgement requests may still reach a server that is leaving (drainMs on the platform's pages).
const leavingKnown = 2 * time.Second

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
		leader := p.leader()
		Expect(leader).NotTo(BeNil())
		rest := slices.DeleteFunc(slices.Clone(p.entries), func(e *gatewayProcess) bool { return e == leader })
		p.api.Set(objects.Faults{RefuseWrites: 503})
		leader.toPlatform.Set(loopback.Weather{Silent: true})
		p.openHeads()[0].Leave()
		sendFor(rest, 5*time.Second)
		Expect(p.world.ToLeaving(0)).NotTo(BeEmpty(), "requests reach it before its leaving is known")
		Expect(p.world.ToLeaving(leavingKnown)).To(BeEmpty())
	})
})
