package vm_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/vm"
)

// A replica runs on several VMs and fails as soon as one of them does. A request that is sent to it then
// never completes. A group therefore counts as whole only while every member has answered recently, with
// the boot id and the epoch that were ordered.
var _ = Describe("Presence", func() {
	start := time.Now()
	group := &vm.Group{
		ID: "g1", Epoch: 7, State: vm.Serving,
		Members: []vm.Member{{VM: "a", BootID: "boot-a"}, {VM: "b", BootID: "boot-b"}},
	}
	good := func(name vm.Name) vm.ProbeAnswer {
		return vm.ProbeAnswer{Sent: start, BootID: vm.BootID("boot-" + name), Group: "g1", Epoch: 7, Ready: true}
	}
	fresh := start.Add(vm.FreshnessBound - time.Nanosecond)

	DescribeTable("one member's answer decides for the whole group",
		func(change func(a *vm.ProbeAnswer), now time.Time, why vm.Reason) {
			p := vm.NewPresence()
			p.Record("g1", "a", good("a"))
			answer := good("b")
			change(&answer)
			p.Record("g1", "b", answer)
			whole, gap := p.Whole(group, now)
			Expect(whole).To(Equal(why == vm.ReasonNone))
			Expect(gap.Reason).To(Equal(why))
			if !whole {
				Expect(gap.VM).To(Equal(vm.Name("b")))
			}
		},
		Entry("all present", func(*vm.ProbeAnswer) {}, fresh, vm.ReasonNone),
		Entry("restarted under the same address", func(a *vm.ProbeAnswer) { a.BootID = "boot-b2" }, start, vm.ReasonOtherBoot),
		Entry("back with the same boot id, without orders", func(a *vm.ProbeAnswer) { a.Group, a.Epoch = "", 0 }, start, vm.ReasonOtherGroup),
		Entry("ordered by an older controller", func(a *vm.ProbeAnswer) { a.Epoch = 6 }, start, vm.ReasonOtherEpoch),
		Entry("ordered by a newer controller", func(a *vm.ProbeAnswer) { a.Epoch = 8 }, start, vm.ReasonOtherEpoch),
		Entry("still loading", func(a *vm.ProbeAnswer) { a.Ready = false }, start, vm.ReasonNotReady),
		Entry("told to leave", func(a *vm.ProbeAnswer) { a.Leaving = true }, start, vm.ReasonLeaving),
		Entry("silent for too long", func(a *vm.ProbeAnswer) { a.Sent = start.Add(-time.Nanosecond) }, fresh, vm.ReasonStaleAnswer),
	)

	It("is not whole while a member never answered, was forgotten, or has no boot id yet", func() {
		p := vm.NewPresence()
		p.Record("g1", "a", good("a"))
		_, gap := p.Whole(group, start)
		Expect(gap).To(Equal(vm.Gap{VM: "b", Reason: vm.ReasonNoAnswer}))

		p.Record("g1", "b", good("b"))
		p.Forget("g1")
		_, gap = p.Whole(group, start)
		Expect(gap).To(Equal(vm.Gap{VM: "a", Reason: vm.ReasonNoAnswer}))

		forming := &vm.Group{ID: "g1", Epoch: 7, Members: []vm.Member{{VM: "a"}}}
		p.Record("g1", "a", vm.ProbeAnswer{Sent: start, Group: "g1", Epoch: 7, Ready: true})
		_, gap = p.Whole(forming, start)
		Expect(gap.Reason).To(Equal(vm.ReasonOtherBoot))

		whole, gap := p.Whole(&vm.Group{ID: "g2"}, start)
		Expect(whole).To(BeFalse())
		Expect(gap.String()).To(Equal("group has no members"))
	})

	// The VM of a home is paused for a minute, during which a member fails. When the home resumes, none of
	// its timers has fired yet and a request is queued. If dispatched now, the request would hang on a failed
	// replica.
	It("treats all answers as stale after the home was paused", func() {
		p := vm.NewPresence()
		p.Record("g1", "a", good("a"))
		p.Record("g1", "b", good("b"))
		whole, _ := p.Whole(group, start)
		Expect(whole).To(BeTrue())
		whole, gap := p.Whole(group, start.Add(time.Minute))
		Expect(whole).To(BeFalse())
		Expect(gap.Reason).To(Equal(vm.ReasonStaleAnswer))
	})

	// The home is paused between sending a probe and reading its answer. The answer is from before the
	// pause, so it must not count as fresh.
	It("computes the age from the sending of the probe, and drops answers that arrive out of order", func() {
		p := vm.NewPresence()
		p.Record("g1", "a", good("a"))
		late := good("b")
		late.Sent = start.Add(-vm.FreshnessBound)
		p.Record("g1", "b", late)
		_, gap := p.Whole(group, start)
		Expect(gap.Reason).To(Equal(vm.ReasonStaleAnswer))

		p.Record("g1", "b", good("b"))
		p.Record("g1", "b", late)
		whole, _ := p.Whole(group, start)
		Expect(whole).To(BeTrue())
		last, ok := p.Last("g1", "b")
		Expect(ok).To(BeTrue())
		Expect(last.Sent).To(Equal(start))
	})
})
