package grouping_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/grouping"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

func TestGrouping(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forming groups")
}

var _ = Describe("Controller", func() {
	It("forms and opens groups of VMs that have the weights", func() {
		c := newCell(7)
		c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(2))
		Expect(c.world.Broken()).To(BeEmpty())
	})

	// A member dies. Its group goes on accepting, and nothing moves in it.
	It("closes a group that lost a member and forms another of the survivors and a spare", func() {
		c := newCell(4)
		k := c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(1))
		head := c.heads()[0]
		for _, vm := range c.vms {
			if group := vm.Group(); group != nil && group.Rank == 1 {
				vm.Die()
				break
			}
		}
		k.Suspect(context.Background(), head.Group.GroupKey)
		Eventually(func() bool {
			heads := c.heads()
			return len(heads) == 1 && heads[0].Group.GroupKey != head.Group.GroupKey
		}, waitFor).Should(BeTrue())
		Expect(c.world.Broken()).To(BeEmpty())
	})

	// A VM's process starts again under its id, faster than its registration lapses. It knows no group, while the others of its group
	// wait for it: streams there stand still.
	DescribeTable("forms a group anew when one of its VMs was restarted under its id", func(rank int) {
		c := newCell(4)
		c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(1))
		before := c.heads()[0].Group.GroupKey
		for _, vm := range c.vms {
			// A free VM that takes up weights is the head of a group of its own for a moment.
			if group := vm.Group(); group != nil && group.Name == before.Name && group.Rank == rank {
				vm.Restart()
				break
			}
		}
		Eventually(func() bool {
			heads := c.heads()
			return len(heads) == 1 && heads[0].Group.GroupKey != before
		}, waitFor).Should(BeTrue())
		Expect(c.world.Broken()).To(BeEmpty())
	}, Entry("a member", 1), Entry("the head", 0))

	// The entry in charge is choked: it reaches no VM in time, of any fabric domain, while callers' streams pause for a moment. Believing itself, it
	// would dissolve every group there is.
	It("believes other entries when VMs of many fabric domains do not answer it", func() {
		c := newCell(0)
		for _, fabric := range []string{"d1", "d2", "d3", "d4"} {
			for range 3 {
				c.addIn(fabric, "large")
			}
		}
		k := c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(4))
		before := c.heads()
		k.reached.Store(true)
		for _, vm := range c.vms {
			vm.Set(replica.Faults{Mute: true})
		}
		for _, head := range before {
			k.Suspect(context.Background(), head.Group.GroupKey)
		}
		closed := func() int {
			n := 0
			for _, head := range before {
				if k.Closed(head.Group.GroupKey) {
					n++
				}
			}
			return n
		}
		Eventually(closed, waitFor).Should(Equal(2), "the first two can't be told from VMs that are gone")
		Consistently(closed, "2s").Should(Equal(2))
	})

	// A group's members are cut off from the platform just as it opens, so that they stay listed as free. Taken for another group, they
	// would leave one that serves.
	It("takes no VM of a group that it opened, although it is listed as free", func() {
		c := newCell(3)
		Eventually(func() int { return len(c.catalog.Listing().Servers) }, waitFor).Should(Equal(3))
		for _, vm := range c.vms {
			vm.Set(replica.Faults{Unregistered: true})
		}
		k := c.control(1)
		open := func() int {
			n := 0
			for _, vm := range c.vms {
				if group := vm.Group(); group != nil && group.State == "open" {
					n++
				}
			}
			return n
		}
		Eventually(open, waitFor).Should(Equal(1))
		Consistently(open, "2s").Should(Equal(1))
		Expect(k.begun.Load()).To(Equal(int32(1)))
		Expect(c.world.Broken()).To(BeEmpty())
	})

	// Orders get no answer and are carried out later, when newer ones have come.
	It("is not misled by orders that are carried out late", func() {
		c := newCell(7)
		for _, vm := range c.vms[:3] {
			vm.Set(replica.Faults{LateOrders: 700 * time.Millisecond})
		}
		c.control(1)
		time.AfterFunc(1500*time.Millisecond, func() {
			for _, vm := range c.vms[:3] {
				vm.Set(replica.Faults{})
			}
		})
		Eventually(c.groups, waitFor).Should(Equal(2))
		Expect(c.world.Broken()).To(BeEmpty())
	})

	// The entry in charge is gone, and the next one knows nothing but what VMs report.
	It("takes over groups that stand, without touching them", func() {
		c := newCell(7)
		first := c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(2))
		first.stop()
		before := c.heads()
		c.control(2)
		Consistently(c.groups, "1500ms").Should(Equal(2))
		Expect(c.heads()[0].Group.GroupKey).To(Equal(before[0].Group.GroupKey))
	})

	It("forms another group of the survivors once a head is gone", func() {
		c := newCell(4)
		c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(1))
		head := c.heads()[0]
		for _, vm := range c.vms {
			if vm.ID() == string(head.ID) {
				vm.Die()
			}
		}
		Eventually(func() bool {
			heads := c.heads()
			return len(heads) == 1 && heads[0].ID != head.ID
		}, waitFor).Should(BeTrue())
		Expect(c.world.Broken()).To(BeEmpty())
	})

	// A head is cut off from the platform and from the entry in charge, and still serves callers of other entries. Its members joined to
	// another group would be in two.
	It("leaves the members of a head alone that another entry finds serving", func() {
		c := newCell(4)
		k := c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(1))
		head := c.heads()[0]
		k.reached.Store(true)
		for _, vm := range c.vms {
			if vm.ID() == string(head.ID) {
				vm.Set(replica.Faults{Mute: true, Unregistered: true})
			}
		}
		c.api.Delete("servers", string(head.ID))
		Eventually(c.groups, waitFor).Should(BeZero())
		Consistently(c.groups, "2s").Should(BeZero())
		Expect(c.world.Broken()).To(BeEmpty())
	})

	// The platform was away and registrations lapsed, although their servers live. A process that starts on its return takes charge, and finds the
	// members of a group, but not its head, which is dark for a moment and not registered yet. Joined to another group, the members
	// would be in two, and callers of the head wait for answers that never come.
	It("takes no members of a head that may not have registered again since the platform is back", func() {
		c := newCell(4)
		first := c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(1))
		first.stop()
		head := c.vm(c.heads()[0].ID)
		head.Set(replica.Faults{Mute: true, Unregistered: true})
		c.api.Delete("servers", head.ID())
		c.controlBy(c.newCatalog(), 2)
		Consistently(c.world.Broken, "1500ms").Should(BeEmpty())
		head.Set(replica.Faults{})
		Eventually(c.groups, waitFor).Should(Equal(1))
		Expect(c.heads()[0].ID).To(Equal(backend.ID(head.ID())))
		Expect(c.world.Broken()).To(BeEmpty())
	})

	// The same, but a member's registration is missing. Its group serves; dissolved, all its callers would be cut off.
	It("leaves a group alone whose member may not have registered again since the platform is back", func() {
		c := newCell(3)
		first := c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(1))
		first.stop()
		before := c.heads()[0].Group.GroupKey
		member := c.member(1)
		member.Set(replica.Faults{Unregistered: true})
		c.api.Delete("servers", member.ID())
		k := c.controlBy(c.newCatalog(), 2)
		Consistently(func() bool { return k.Closed(before) }, "1500ms").Should(BeFalse())
		member.Set(replica.Faults{})
		Eventually(c.groups, waitFor).Should(Equal(1))
		Expect(c.heads()[0].Group.GroupKey).To(Equal(before))
	})

	// The operators name a model whose groups take more VMs than any fabric domain has. Its callers are turned away, and the log is to say why, while no
	// VM gets orders in vain.
	It("tells of a model that can't be formed, and serves the others", func() {
		c := newCell(0)
		for range 2 {
			c.add("small")
		}
		k := c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(1))
		Eventually(k.unformable.Load, waitFor).Should(BeNumerically(">", 0))
		Expect(k.begun.Load()).To(Equal(int32(1)))
	})

	// A VM is asked several times a second. The second try begins a moment after the first was answered and has nothing left to ask; were it sent
	// all the same, each question would cost the VM's kept connection, and some a question more.
	It("asks a VM again over the connection that it has", func() {
		c := newCell(1)
		pool := upstream.NewPool()
		asking := grouping.New(grouping.Deps{Pool: pool})
		vm := &backend.Server{ID: backend.ID(c.vms[0].ID()), Address: c.vms[0].Address()}
		for range 10 {
			_, err := asking.Report(context.Background(), vm)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(20 * time.Millisecond)
		}
		Expect(pool.Dialled()).To(Equal(int64(1)))
	})

	// A spare has the weights on its host. Taken up only after a loss, all other members of the group would wait for that.
	It("lets a spare take up the weights of its host", func() {
		c := newCell(4)
		c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(1))
		Eventually(func() []string {
			var states []string
			for _, vm := range c.vms {
				if group := vm.Group(); group != nil {
					states = append(states, group.State)
				}
			}
			return states
		}, waitFor).Should(ConsistOf("open", "ready", "ready", "ready"))
		Expect(c.world.Broken()).To(BeEmpty())
	})

	// A member is cut off from the platform alone: its registration lapses, and it goes on working for its group. Were the group closed for that, all
	// streams there would break off, and its callers be refused until another stands.
	It("keeps a group whose member answers although its registration has lapsed, and closes it when it no longer does", func() {
		c := newCell(3)
		k := c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(1))
		key := c.heads()[0].Group.GroupKey
		member := c.member(1)
		member.Set(replica.Faults{Unregistered: true})
		c.api.Delete("servers", member.ID())
		Eventually(func() int { return k.ResponsiveUnregistered(key) }, waitFor).Should(Equal(1))
		Consistently(func() bool { return k.Closed(key) }, "3s").Should(BeFalse())
		member.Die()
		Eventually(func() bool { return k.Closed(key) }, waitFor).Should(BeTrue())
	})

	// The entry in charge has died while a host loads weights that it ordered. The next one does not know of the load; ordered again and
	// again, each refusal would take the room of another load, and no host would load anything for as long as a load takes.
	It("orders weights for a host that is busy loading once, and goes on with other hosts", func() {
		c := newCell(2)
		slow := c.world.Start(c.api, replica.Config{
			ID: "vm-slow", Service: "s", Zone: "z", Domain: "d", Slots: 4, Engine: true, JoinTakes: 2 * time.Second, ReportLag: 40 * time.Millisecond,
		})
		c.vms = append(c.vms, slow)
		first := c.control(1)
		Eventually(func() int { return slow.Asked("phase") }, waitFor).Should(Equal(1))
		first.stop()
		c.control(2)
		others := []*replica.Server{c.add(), c.add(), c.add()}
		for _, vm := range others {
			Eventually(func() int { return vm.Asked("phase") }, waitFor).Should(BeNumerically(">=", 1))
		}
		Consistently(func() int { return slow.Asked("phase") }, "1s").Should(BeNumerically("<=", 2))
	})

	It("drains the group of a member that leaves", func() {
		c := newCell(4)
		c.control(1)
		Eventually(c.groups, waitFor).Should(Equal(1))
		for _, vm := range c.vms {
			if group := vm.Group(); group != nil && group.Rank == 2 {
				vm.Leave()
			}
		}
		Eventually(func() bool {
			heads := c.heads()
			return len(heads) == 1
		}, waitFor).Should(BeTrue())
		Expect(c.world.Broken()).To(BeEmpty())
	})
})
