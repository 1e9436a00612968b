package grouping_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/grouping"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

func TestGrouping(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forming groups")
}

// reconciled is longer than some reconciliations take.
const reconciled = 500 * time.Millisecond

var _ = Describe("Controller", func() {
	It("forms and opens groups of VMs that have the weights", func() {
		f := newFixture(7)
		f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(2))
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// Guards against a leader that stands still and keeps the lease: who watches it must not count a round that waits.
	It("tells of its rounds once they have ended", func() {
		controller := newFixture(1).startController(1)
		Eventually(controller.rounds.Load, waitFor).Should(BeNumerically(">", 2))
		controller.looks.Lock()
		time.Sleep(reconciled)
		waiting := controller.rounds.Load()
		Consistently(controller.rounds.Load, reconciled).Should(Equal(waiting))
		controller.looks.Unlock()
		Eventually(controller.rounds.Load, waitFor).Should(BeNumerically(">", waiting+2))
	})

	// Guards against a group that lost a member and continues to accept requests without making progress.
	It("closes a group that lost a member and forms another one from the survivors and a spare", func() {
		f := newFixture(4)
		controller := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		head := f.heads()[0]
		for _, vm := range f.vms {
			if group := vm.Group(); group != nil && group.Rank == 1 {
				vm.Crash()
				break
			}
		}
		controller.Suspect(context.Background(), head.Group.GroupKey)
		Eventually(func() bool {
			heads := f.heads()
			return len(heads) == 1 && heads[0].Group.GroupKey != head.Group.GroupKey
		}, waitFor).Should(BeTrue())
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// One member works at a fifth of its speed, and so does its group. All members answer, so that the group got as many requests as the others,
	// and a third of their callers left before the first token.
	It("reports how much slower a group works than normal, until its members are as fast as before", func() {
		f := newFixture(4)
		controller := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		key := f.heads()[0].Group.GroupKey
		var slow *replica.Server
		for _, vm := range f.vms {
			if group := vm.Group(); group != nil && group.Rank == 1 {
				slow = vm
			}
		}
		slow.SetFaults(replica.Faults{Slowdown: 5})
		Expect(controller.Slowdown(key)).To(Equal(1.0))
		Eventually(func() float64 {
			controller.Suspect(context.Background(), key)
			return controller.Slowdown(key)
		}, waitFor, "100ms").Should(Equal(5.0))
		slow.SetFaults(replica.Faults{})
		Eventually(func() float64 { return controller.Slowdown(key) }, waitFor).Should(Equal(1.0))
		Expect(f.groupCount()).To(Equal(1))
	})

	// A VM's process restarts under the same id before its registration lapses. It knows of no group, while the other members
	// of its group wait for it and all streams of the group stall.
	DescribeTable("replaces a group when one of its VMs was restarted under the same id", func(rank int) {
		f := newFixture(4)
		f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		before := f.heads()[0].Group.GroupKey
		for _, vm := range f.vms {
			// A free VM that loads weights is briefly the head of a group of its own.
			if group := vm.Group(); group != nil && group.Name == before.Name && group.Rank == rank {
				vm.Restart()
				break
			}
		}
		Eventually(func() bool {
			heads := f.heads()
			return len(heads) == 1 && heads[0].Group.GroupKey != before
		}, waitFor).Should(BeTrue())
		Expect(f.world.Violations()).To(BeEmpty())
	}, Entry("a member", 1), Entry("the head", 0))

	// The leader is overloaded and reaches no VM of any fabric domain in time, while requests are only paused for a moment. If
	// it trusted its own observation, it would dissolve all groups.
	It("trusts other entries if VMs of many fabric domains do not answer", func() {
		f := newFixture(0)
		for _, fabric := range []string{"d1", "d2", "d3", "d4"} {
			for range 3 {
				f.addVMIn(fabric, "large")
			}
		}
		controller := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(4))
		before := f.heads()
		controller.peersReach.Store(true)
		for _, vm := range f.vms {
			vm.SetFaults(replica.Faults{Unresponsive: true})
		}
		for _, head := range before {
			controller.Suspect(context.Background(), head.Group.GroupKey)
		}
		closed := func() int {
			n := 0
			for _, head := range before {
				if controller.Closed(head.Group.GroupKey) {
					n++
				}
			}
			return n
		}
		Eventually(closed, waitFor).Should(Equal(2), "the first two can't be distinguished from VMs that are gone")
		Consistently(closed, "2s").Should(Equal(2))
	})

	// The leader is cut off from all VMs, and other entries are not. It would take the groups from the callers of all entries, one after the
	// other.
	It("keeps the groups if this entry reaches no VM and other entries do", func() {
		f := newFixture(3)
		controller := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		before := f.heads()
		controller.peersReach.Store(true)
		controller.isolated.Store(true)
		for _, vm := range f.vms {
			vm.SetFaults(replica.Faults{Unresponsive: true})
		}
		controller.Suspect(context.Background(), before[0].Group.GroupKey)
		Consistently(func() bool { return controller.Closed(before[0].Group.GroupKey) }, "2s").Should(BeFalse())
	})

	// The members of a group lose the connection to the platform just as the group opens, so they remain listed as free. If
	// they were assigned to another group, they would leave one that is serving.
	It("does not reassign a VM of a group that it opened, even if the VM is listed as free", func() {
		f := newFixture(3)
		Eventually(func() int { return len(f.catalog.Listing().Servers) }, waitFor).Should(Equal(3))
		for _, vm := range f.vms {
			vm.SetFaults(replica.Faults{Unregistered: true})
		}
		controller := f.startController(1)
		open := func() int {
			n := 0
			for _, vm := range f.vms {
				if group := vm.Group(); group != nil && group.State == "open" {
					n++
				}
			}
			return n
		}
		Eventually(open, waitFor).Should(Equal(1))
		Consistently(open, "2s").Should(Equal(1))
		Expect(controller.formations.Load()).To(Equal(int32(1)))
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// Orders get no response and are executed later, after newer orders have arrived.
	It("tolerates orders that are executed late", func() {
		f := newFixture(7)
		for _, vm := range f.vms[:3] {
			vm.SetFaults(replica.Faults{OrderDelay: 700 * time.Millisecond})
		}
		f.startController(1)
		time.AfterFunc(1500*time.Millisecond, func() {
			for _, vm := range f.vms[:3] {
				vm.SetFaults(replica.Faults{})
			}
		})
		Eventually(f.groupCount, waitFor).Should(Equal(2))
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// The leader is gone, and its successor knows only what the VMs report.
	It("takes over existing groups unchanged", func() {
		f := newFixture(7)
		first := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(2))
		first.stop()
		before := f.heads()
		f.startController(2)
		Consistently(f.groupCount, "1500ms").Should(Equal(2))
		Expect(f.heads()[0].Group.GroupKey).To(Equal(before[0].Group.GroupKey))
	})

	It("forms another group from the survivors when a head is gone", func() {
		f := newFixture(4)
		f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		head := f.heads()[0]
		for _, vm := range f.vms {
			if vm.ID() == string(head.ID) {
				vm.Crash()
			}
		}
		Eventually(func() bool {
			heads := f.heads()
			return len(heads) == 1 && heads[0].ID != head.ID
		}, waitFor).Should(BeTrue())
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// A head is disconnected from the platform and from the leader, and still serves requests from other entries. If its
	// members joined another group, they would be in two groups.
	It("does not reassign the members of a head that another entry finds serving", func() {
		f := newFixture(4)
		controller := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		head := f.heads()[0]
		controller.peersReach.Store(true)
		for _, vm := range f.vms {
			if vm.ID() == string(head.ID) {
				vm.SetFaults(replica.Faults{Unresponsive: true, Unregistered: true})
			}
		}
		f.api.Delete("servers", string(head.ID))
		Eventually(f.groupCount, waitFor).Should(BeZero())
		Consistently(f.groupCount, "2s").Should(BeZero())
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// The platform was unavailable, and registrations of running servers lapsed. A process that starts on its return becomes
	// leader and finds the members of a group but not its head, which is unreachable for a moment and not registered yet. If
	// the members joined another group, they would be in two groups, and requests at the head would wait for responses that
	// never come.
	It("does not reassign the members of a head that may not have re-registered since the platform returned", func() {
		f := newFixture(4)
		first := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		first.stop()
		head := f.vm(f.heads()[0].ID)
		head.SetFaults(replica.Faults{Unresponsive: true, Unregistered: true})
		f.api.Delete("servers", head.ID())
		f.startWith(f.newCatalog(), 2)
		Consistently(f.world.Violations, "1500ms").Should(BeEmpty())
		head.SetFaults(replica.Faults{})
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		Expect(f.heads()[0].ID).To(Equal(backend.ID(head.ID())))
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// As above, but a member's registration is missing. Its group is serving; if it were dissolved, all its requests would be
	// aborted.
	It("keeps a group whose member may not have re-registered since the platform returned", func() {
		f := newFixture(3)
		first := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		first.stop()
		before := f.heads()[0].Group.GroupKey
		member := f.member(1)
		member.SetFaults(replica.Faults{Unregistered: true})
		f.api.Delete("servers", member.ID())
		controller := f.startWith(f.newCatalog(), 2)
		Consistently(func() bool { return controller.Closed(before) }, "1500ms").Should(BeFalse())
		member.SetFaults(replica.Faults{})
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		Expect(f.heads()[0].Group.GroupKey).To(Equal(before))
	})

	// The operators configure a model whose groups need more VMs than any fabric domain has. Its requests are refused, the log
	// must state the reason without repeating it every second, and no VM may receive useless orders.
	It("reports once that a model can't be formed, and serves the others", func() {
		f := newFixture(0)
		for range 2 {
			f.addVM("small")
		}
		controller := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		Eventually(controller.unformableReports.Load, waitFor).Should(Equal(int32(1)))
		Consistently(controller.unformableReports.Load, "2500ms").Should(Equal(int32(1)))
		Expect(controller.formations.Load()).To(Equal(int32(1)))
	})

	// A VM is asked several times per second. The second attempt begins a moment after the first was answered and is not
	// needed any more. If it were sent anyway, each report would cost the VM's pooled connection, and some reports another
	// request.
	It("reuses the connection to a VM for repeated reports", func() {
		f := newFixture(1)
		pool := upstream.NewPool()
		controller := grouping.New(grouping.Deps{Pool: pool})
		vm := &backend.Server{ID: backend.ID(f.vms[0].ID()), Address: f.vms[0].Address()}
		for range 10 {
			_, err := controller.Report(context.Background(), vm)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(20 * time.Millisecond)
		}
		Expect(pool.DialCount()).To(Equal(int64(1)))
	})

	// A spare has the weights only on its host. If it loaded them only after a loss, all other members of the group would wait
	// for it.
	It("makes a spare load the weights of its host", func() {
		f := newFixture(4)
		f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		Eventually(func() []string {
			var states []string
			for _, vm := range f.vms {
				if group := vm.Group(); group != nil {
					states = append(states, group.State)
				}
			}
			return states
		}, waitFor).Should(ConsistOf("open", "ready", "ready", "ready"))
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// A member is disconnected only from the platform: its registration lapses while it continues to work for its group. If
	// the group were closed because of that, all its streams would be aborted and its requests refused until another group is
	// open.
	It("keeps a group whose member answers although its registration has lapsed, and closes it when it no longer does", func() {
		f := newFixture(3)
		controller := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		key := f.heads()[0].Group.GroupKey
		member := f.member(1)
		member.SetFaults(replica.Faults{Unregistered: true})
		f.api.Delete("servers", member.ID())
		Eventually(func() int { return controller.ResponsiveUnregistered(key) }, waitFor).Should(Equal(1))
		Consistently(func() bool { return controller.Closed(key) }, "3s").Should(BeFalse())
		member.Crash()
		Eventually(func() bool { return controller.Closed(key) }, waitFor).Should(BeTrue())
	})

	// The leader fails while a host loads weights that it ordered. Its successor does not know of the load. If it repeated the
	// order again and again, each refusal would use up the capacity of another load, and no host would load anything for the
	// duration of a load.
	It("orders weights only once for a host that is busy loading, and continues with other hosts", func() {
		f := newFixture(2)
		slow := f.world.Start(f.api, replica.Config{
			ID: "vm-slow", Service: "s", Zone: "z", Domain: "d", Slots: 4, Engine: true, JoinTime: 2 * time.Second, ReportLag: 40 * time.Millisecond,
		})
		f.vms = append(f.vms, slow)
		first := f.startController(1)
		Eventually(func() int { return slow.OrderCount("phase") }, waitFor).Should(Equal(1))
		first.stop()
		f.startController(2)
		others := []*replica.Server{f.addVM(), f.addVM(), f.addVM()}
		for _, vm := range others {
			Eventually(func() int { return vm.OrderCount("phase") }, waitFor).Should(BeNumerically(">=", 1))
		}
		Consistently(func() int { return slow.OrderCount("phase") }, "1s").Should(BeNumerically("<=", 2))
	})

	// Guards against a group that keeps a member that leaves: it would stall once the member's process ends.
	It("drains the group of a member that leaves, and forms another one without it", func() {
		f := newFixture(4)
		f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		before := f.heads()[0].Group
		var leaving *replica.Server
		for _, vm := range f.vms {
			if group := vm.Group(); group != nil && group.Name == before.Name && group.Rank == 2 {
				leaving = vm
			}
		}
		leaving.StartLeaving()
		Eventually(func() bool {
			heads := f.heads()
			return len(heads) == 1 && heads[0].Group.GroupKey != before.GroupKey
		}, waitFor).Should(BeTrue())
		for _, vm := range f.vms {
			if group := vm.Group(); group != nil && group.Name == f.heads()[0].Group.Name {
				Expect(vm.ID()).NotTo(Equal(leaving.ID()))
			}
		}
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// The weight store was faster than expected, but its loads counted as running for their usual time: hundreds of VMs stood
	// without weights while nothing was loaded.
	It("orders the next loads as soon as earlier ones are seen to have ended", func() {
		f := newFixture(0)
		for range 24 {
			f.addVM()
		}
		f.startController(1)
		loaded := func() int {
			n := 0
			for _, vm := range f.vms {
				if vm.OrderCount("phase") > 0 {
					n++
				}
			}
			return n
		}
		// The expected time of a load is 1 s, so 6 loads at once would take 4 s.
		Eventually(loaded, "3s").Should(Equal(24))
	})

	// A VM keeps the weights of its last group in memory while its host loads another model's. If only the host's weights
	// counted, a group that lost a member would wait for loads that it does not need.
	It("forms a group from VMs that have the weights in memory only", func() {
		f := newFixture(4)
		controller := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		for _, vm := range f.vms {
			vm.SetStaged("retired")
		}
		before := f.heads()[0]
		f.member(1).Crash()
		controller.Suspect(context.Background(), before.Group.GroupKey)
		Eventually(func() bool {
			heads := turn.Heads(f.catalog.Listing().ByService["s"], engine, "large", nil)
			return len(heads) == 1 && heads[0].Group.GroupKey != before.Group.GroupKey
		}, waitFor).Should(BeTrue())
		for _, vm := range f.vms {
			Expect(vm.OrderCount("phase")).To(BeZero())
		}
		Expect(f.world.Violations()).To(BeEmpty())
	})
})
