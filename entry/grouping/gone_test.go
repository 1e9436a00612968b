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

// refusedLongEnough is longer than a head's connections must be refused until its process counts as ended, and shorter than a VM that did not answer
// stays excluded.
const refusedLongEnough = 3 * time.Second

var _ = Describe("A head whose registration stays", func() {
	var (
		f          *fixture
		controller *testController
		key        backend.GroupKey
		before     int32
	)
	BeforeEach(func() {
		f = newFixture(4)
		controller = f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		Eventually(func() bool { return f.heads()[0].Group.State == backend.GroupOpen }, waitFor).Should(BeTrue())
		key = f.heads()[0].Group.GroupKey
		before = controller.formations.Load()
	})
	head := func() *replica.Server { return f.vm(f.heads()[0].ID) }

	// Guards against a group that stands for the 3.6 s until the registration of its crashed head lapses.
	It("is replaced once nothing listens at its address", func() {
		head().Close()
		from := time.Now()
		controller.Suspect(context.Background(), key)
		Eventually(controller.formations.Load, waitFor).Should(BeNumerically(">", before))
		Expect(time.Since(from)).To(BeNumerically(">", time.Second), "a moment's refusal is no evidence")
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// Guards against VMs in two groups: the head may serve behind a cut, or refuse further connections at its limit.
	DescribeTable("keeps its VMs", func(lose func()) {
		lose()
		controller.Suspect(context.Background(), key)
		Consistently(controller.formations.Load, refusedLongEnough).Should(Equal(before))
		Expect(f.world.Violations()).To(BeEmpty())
	},
		Entry("if it is silent", func() { head().SetFaults(replica.Faults{Unresponsive: true}) }),
		Entry("if another entry reaches it", func() {
			head().Close()
			controller.peersReach.Store(true)
		}),
		Entry("if requests are in progress there", func() {
			head().Close()
			controller.requests.Store(1)
		}),
	)
})

var _ = Describe("A head that is cut off from the platform and from all entries", func() {
	// Guards against VMs in two groups: the end of its registration and the silence were taken for its end, while it was open.
	It("loses members only by orders of their own to leave", func() {
		f := newFixture(4)
		f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		Eventually(func() bool { return f.heads()[0].Group.State == backend.GroupOpen }, waitFor).Should(BeTrue())
		cutOff := f.vm(f.heads()[0].ID)
		members := slices.DeleteFunc(slices.Clone(f.vms), func(vm *replica.Server) bool { return vm == cutOff || vm.Group() == nil })
		cutOff.SetFaults(replica.Faults{Unresponsive: true, Unregistered: true})
		f.api.Delete("servers", cutOff.ID())
		Eventually(func() bool { return f.groupCount() == 1 && f.heads()[0].ID != backend.ID(cutOff.ID()) }, waitFor).Should(BeTrue())
		Expect(f.world.Violations()).To(BeEmpty())
		Expect(members).NotTo(BeEmpty())
		for _, vm := range members {
			Expect(vm.OrderCount("leave")).To(BeNumerically(">=", 1), vm.ID())
		}
	})
})

var _ = Describe("A head whose answers to orders and requests for reports never end", func() {
	// fewBytes is above what the buffers of the sockets of two attempts and of an answer that is given up take.
	const fewBytes = 32 << 20

	// Guards against an entry that is killed for its memory because a server sends bytes without end.
	DescribeTable("is given up", func(part replica.Endless) {
		f := newFixture(3)
		controller := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		controller.stop()
		head := f.heads()[0]
		f.vm(head.ID).SetFaults(replica.Faults{EndlessControl: part})
		began := time.Now()
		_, err := controller.Report(context.Background(), head)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
		Consistently(f.vm(head.ID).EndlessBytes, "200ms").Should(BeNumerically("<", fewBytes))
	},
		Entry("a status line", replica.EndlessStatus), Entry("a field", replica.EndlessField), Entry("a head", replica.EndlessHead),
		Entry("interim answers", replica.EndlessInterim), Entry("a body", replica.EndlessBody), Entry("an event", replica.EndlessEvent),
	)
})

var _ = Describe("An evacuated failure domain", func() {
	// Guards against orders and reports to its VMs, and against groups that are dissolved because nothing may be asked of them.
	It("is left alone until the evacuation ends, and repaired then", func() {
		f := newFixture(6) // one group of each model and a spare
		controller := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(2))
		time.Sleep(reconciled) // until the spares are warm
		controller.evacuated.Store(true)
		time.Sleep(reconciled)
		lost := f.vm(f.heads()[0].ID)
		from, before := time.Now(), controller.formations.Load()
		lost.Crash()
		time.Sleep(2 * time.Second)
		Expect(controller.formations.Load()).To(Equal(before))
		for _, vm := range f.vms {
			Expect(vm.AllArrivals(from)).To(BeEmpty(), vm.ID())
		}
		controller.evacuated.Store(false)
		Eventually(func() bool { return controller.formations.Load() > before && f.groupCount() == 2 }, waitFor).Should(BeTrue())
		Expect(f.world.Violations()).To(BeEmpty())
	})

	// A formation that was under way asks VMs that belong to no group. Its requests are withheld, which says nothing about the VMs.
	It("has no VM that counts as silent because a request was withheld", func() {
		f := newFixture(3)
		controller := f.startController(1)
		Eventually(f.groupCount, waitFor).Should(Equal(1))
		controller.evacuated.Store(true)
		time.Sleep(reconciled)
		for _, vm := range f.vms {
			vm.SetFaults(replica.Faults{Unresponsive: true})
		}
		controller.Suspect(context.Background(), f.heads()[0].Group.GroupKey)
		time.Sleep(2 * reconciled)
		Expect(controller.unresponsive.Load()).To(BeZero())
	})
})
