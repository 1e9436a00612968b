package grouping_test

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

var _ = Describe("Servers that reject orders and requests for their reports", func() {
	const shedFor = 4 * time.Second
	// shed lets the head of the only group shed.
	shed := func(f *fixture, ask string) (head *backend.Server, shedding *replica.Server) {
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		head = f.heads()[0]
		shedding = f.vm(head.ID)
		shedding.Shed(&replica.Shedding{Ask: []string{ask}, Control: true})
		return head, shedding
	}
	// shedAtLoss lets the head of the only group shed, and one of its members crash.
	shedAtLoss := func(f *fixture, ask string) (head *backend.Server, shedding *replica.Server) {
		head, shedding = shed(f, ask)
		for _, vm := range f.vms {
			if group := vm.Group(); group != nil && group.Rank == 1 {
				vm.Crash()
				break
			}
		}
		return head, shedding
	}

	// Guards against a sound group that is dissolved, and VMs in two groups: a head that rejects was taken for another server at its address, which
	// ends its group.
	It("keep their groups when these are checked", func() {
		f := newFixture(5)
		controller := f.startController(1)
		head, shedding := shed(f, "0.3")
		controller.Suspect(context.Background(), head.Group.GroupKey)
		Consistently(func() bool {
			return slices.ContainsFunc(f.heads(), func(s *backend.Server) bool { return s.Group.GroupKey == head.Group.GroupKey })
		}, shedFor).Should(BeTrue())
		shedding.Shed(nil)
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// Guards against VMs in two groups: a head that rejects was taken for another server at its address, which ends its group.
	It("are still the heads of their groups", func() {
		f := newFixture(5)
		controller := f.startController(1)
		head, shedding := shedAtLoss(f, "0.3")
		controller.Suspect(context.Background(), head.Group.GroupKey)
		time.Sleep(shedFor)
		Expect(f.world.Violations()).To(BeEmpty())
		shedding.Shed(nil)
		Eventually(func() bool {
			heads := f.heads()
			return len(heads) == 1 && heads[0].Group.GroupKey != head.Group.GroupKey
		}, waitFor).Should(BeTrue())
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// Guards against polls of a server that has asked for a pause in its answer to one.
	It("get none while they have asked for a pause", func() {
		f := newFixture(5)
		controller := f.startController(1)
		head, shedding := shedAtLoss(f, "4")
		controller.Suspect(context.Background(), head.Group.GroupKey)
		time.Sleep(shedFor + time.Second)
		broken, asked, most := shedding.BrokenPauses(nil)
		GinkgoWriter.Printf("%d pauses, %d requests in the worst\n", asked, most)
		Expect(asked).To(BeNumerically(">", 0))
		Expect(broken).To(BeEmpty())
	})
})
