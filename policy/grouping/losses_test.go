package grouping_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/grouping"
)

var _ = Describe("Losses", func() {
	// watch simulates groups of the given number of VMs for some seconds, with the given mean number of losses per second.
	watch := func(l *grouping.LossEstimator, vms, seconds int, perSecond float64) {
		pending := 0.0
		for range seconds {
			l.ObserveExposure(vms, 1)
			for pending += perSecond; pending >= 1; pending-- {
				l.ObserveLoss()
			}
		}
	}

	DescribeTable("are estimated within half a minute",
		func(vms int, perSecond float64) {
			l := grouping.NewLossEstimator()
			watch(l, vms, 30, perSecond)
			Expect(l.Rate()).To(BeNumerically("~", perSecond/float64(vms), 0.4*perSecond/float64(vms)))
		},
		Entry("two of fifty every three seconds", 50, 2.0/3),
		Entry("two of 150 every three seconds", 150, 2.0/3),
		Entry("one of two thousand a second", 2000, 1.0),
	)

	It("are forgotten within minutes once there are none", func() {
		l := grouping.NewLossEstimator()
		watch(l, 80, 60, 1)
		before := l.Rate()
		watch(l, 80, 240, 0)
		Expect(l.Rate()).To(BeNumerically("<", before/8))
	})
})

var _ = Describe("A group that lacks one member", func() {
	// The domain has three spares, all with the other model's weights, reserved for its next losses. Where losses are rare, the third spare is of
	// no use there, while the group of the model that lacks groups waits for it in vain.
	It("gets a spare of the other model where losses are rare, and not where they are frequent", func() {
		in := grouping.Input{
			Models: []grouping.Model{wanted("large", 12, 4), wanted("small", 6, 8.2)}, AvailableLoads: 3, LoadsAtOnce: 20,
			Domains: []grouping.Domain{
				domain("a", 26, vms("a", "small", "small", "small", "small", "small", "large", "large", "large"), map[string]int{"large": 1, "small": 1}),
				domain("b", 135, nil, map[string]int{"large": 5, "small": 9}),
			},
		}
		in.LossRate = 0.004
		Expect(grouping.Decide(in).Stage).To(ConsistOf(HaveField("Model", "small")))
		in.LossRate = 0.03
		Expect(grouping.Decide(in).Stage).To(BeEmpty())
	})
})
