package grouping_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// schedules returns the number of random schedules to run and the first seed. GROUPING_SCHEDULES and GROUPING_SEED override
// the defaults for manual runs.
func schedules() (count int, seed uint64) {
	count, seed = 3, 1
	if n, err := strconv.Atoi(os.Getenv("GROUPING_SCHEDULES")); err == nil {
		count = n
	}
	if n, err := strconv.ParseUint(os.Getenv("GROUPING_SEED"), 10, 64); err == nil {
		seed = n
	}
	return count, seed
}

var _ = Describe("Two controllers that both consider themselves the leader", func() {
	// One entry was paused and resumed, or can't reach the platform. Both issue orders, some of which are executed late, while
	// members fail, stop answering and return. No interleaving may remove a VM from a group that is serving, or let a group
	// serve that was never complete.
	It("violate no invariant under any schedule", func() {
		count, seed := schedules()
		for i := range count {
			r := rand.New(rand.NewPCG(seed+uint64(i), 5))
			By(fmt.Sprint("seed ", seed+uint64(i)))
			f := newFixture(8)
			controllers := []*testController{f.startController(10), f.startController(20)}
			for range 14 {
				time.Sleep(time.Duration(50+r.IntN(250)) * time.Millisecond)
				vm := f.vms[r.IntN(len(f.vms))]
				switch r.IntN(9) {
				case 0:
					vm.Crash()
					f.addVM("large")
				case 1:
					vm.SetFaults(replica.Faults{OrderDelay: time.Duration(200+r.IntN(900)) * time.Millisecond})
				case 2:
					vm.SetFaults(replica.Faults{Unresponsive: true})
				case 3:
					vm.SetFaults(replica.Faults{Unregistered: true})
				case 4:
					for _, other := range f.vms {
						other.SetFaults(replica.Faults{})
					}
				case 5:
					controllers[r.IntN(2)].leader.Store(r.IntN(2) == 0)
				case 6:
					f.addVM("small")
				case 8:
					f.outage(r)
				case 7:
					for _, head := range f.heads() {
						controllers[r.IntN(2)].Suspect(context.Background(), head.Group.GroupKey)
					}
				}
			}
			for _, controller := range controllers {
				controller.stop()
			}
			Expect(strings.Join(f.world.Violations(), "\n")).To(BeEmpty(), fmt.Sprint("seed ", seed+uint64(i)))
		}
	})
})
