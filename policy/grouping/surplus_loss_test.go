package grouping_test

import (
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/grouping"
)

// lossy returns a service that loses four VMs at once every three seconds. The same VMs are lost with any policy.
func lossy(sizeOfLarge, domains, perDomain int, large, small float64) site {
	return site{
		domains: domains, perDomain: perDomain,
		models:   []grouping.Model{{Name: "large", Size: sizeOfLarge, Share: 0.49}, {Name: "small", Size: 4, Share: 0.51}},
		loadTime: map[string]float64{"large": 16, "small": 12}, need: map[string]float64{"large": large, "small": small},
		fullSpeedLoads: domains * perDomain / 8, loadRate: float64(domains*perDomain) / 14, lost: 4, reachable: true, pairedLosses: true,
	}
}

// withOutage makes one domain unreachable for seven seconds.
func (s site) withOutage() site {
	s.reachable = false
	return s
}

// withJumps raises the small model's demand by half for four seconds of every seven.
func (s site) withJumps() site {
	s.jumps = true
	return s
}

func (s site) play(seed int, share bool) results {
	r := rand.New(rand.NewPCG(uint64(seed), 7))
	played := s.lossyScenario(r)
	return newSim(s, r, func(in grouping.Input) grouping.Plan {
		in.ShareSurplus = share
		return grouping.Decide(in)
	}).run(played)
}

const (
	surplusSeeds = 10
	// maxSurplusLoss is the fraction of a model's demand that sharing may leave unserved in any one run.
	maxSurplusLoss = 0.01
)

var _ = Describe("VMs that the demand leaves over while others are lost", func() {
	// Guards against conversions that leave the larger model without a group to spare, or its hosts without its weights: after the next loss its
	// groups wait for a load of 16 s. With conversions that drained a group of 16 for the weights of one group of 4, up to 0.10 of the larger model's
	// demand was not served in a run.
	DescribeTable("are shared without serving less of any model's demand",
		func(s site) {
			for seed := range surplusSeeds {
				kept, shared := s.play(seed, false), s.play(seed, true)
				GinkgoWriter.Printf("seed %d: kept %v shared %v\n", seed, kept.byModel, shared.byModel)
				for model := range kept.byModel {
					Expect(shared.byModel[model]).To(BeNumerically(">=", kept.byModel[model]-maxSurplusLoss), "%s, seed %d", model, seed)
				}
			}
		},
		Entry("16 and 4 in domains of 37", lossy(16, 6, 37, 2, 17)),
		Entry("16 and 4 in domains of 37, one of which is unreachable for a while", lossy(16, 6, 37, 3, 14).withOutage()),
		Entry("8 and 4 in domains of 19", lossy(8, 9, 19, 2, 14)),
		Entry("8 and 4 in domains of 19, with more demand for the larger model", lossy(8, 9, 19, 3.7, 14)),
		Entry("8 and 4 in domains of 19, one of which is unreachable for a while", lossy(8, 9, 19, 3.7, 14).withOutage()),
		Entry("8 and 4 in domains of 19, with jumps in demand", lossy(8, 9, 19, 3.7, 14).withJumps()),
		Entry("32 and 4 in domains of 73", lossy(32, 6, 73, 4, 20)),
		Entry("32 and 4 in domains of 73, one of which is unreachable for a while", lossy(32, 6, 73, 2, 30).withOutage()),
	)

	// Guards against a reserve so large that nothing is shared where losses are frequent: the small model then served as little of a jump as before.
	It("still meet a jump in demand", func() {
		for lost, gain := range map[int]float64{1: 0.04, 4: 0.01} {
			s := lossy(8, 9, 19, 3.7, 14).withJumps()
			s.lost = lost
			kept, shared := 0.0, 0.0
			for seed := range surplusSeeds {
				kept += s.play(seed, false).inJumps / surplusSeeds
				shared += s.play(seed, true).inJumps / surplusSeeds
			}
			GinkgoWriter.Printf("%d lost at once: served in jumps, kept %.3f shared %.3f\n", lost, kept, shared)
			Expect(shared).To(BeNumerically(">=", kept+gain))
		}
	})
})

var _ = Describe("A conversion of VMs that the demand leaves over", func() {
	// idleLarge is two domains of 37 VMs. The large model fills one of its four groups.
	idleLarge := func(staged int, lossRate float64) grouping.Input {
		in := grouping.Input{ShareSurplus: true, LossRate: lossRate, AvailableLoads: 27, LoadsAtOnce: 27, Models: []grouping.Model{
			{Name: "large", Size: 16, Share: 0.5, LoadTime: largeLoad, DemandGroups: 1},
			{Name: "small", Size: 4, Share: 0.5, LoadTime: smallLoad, DemandGroups: 2},
		}}
		for _, name := range []string{"a", "b"} {
			d := domain(name, 37, vms(name+"f", "large"), map[string]int{"large": 2, "small": 1})
			for _, head := range []string{name + "0", name + "1"} {
				weights := slices.Concat(slices.Repeat([]string{"large"}, 16-staged), slices.Repeat([]string{"small"}, staged))
				group := grouping.ServingGroup{Head: head, Model: "large", VMs: vms(head+"-", weights...)}
				for i := range group.VMs {
					group.VMs[i].Loaded = "large"
				}
				d.Serving = append(d.Serving, group)
			}
			in.Domains = append(in.Domains, d)
		}
		return in
	}
	const rare, frequent = 0.0001, 0.008 // losses per VM and second

	// Guards against draining 16 VMs for a group of 4: the other twelve are idle for a load, or until the next loss.
	It("drains a group only when all its hosts have the weights", func() {
		plan := grouping.Decide(idleLarge(4, rare))
		Expect(plan.Drain).To(BeEmpty())
		Expect(plan.Stage).To(HaveLen(12))
		Expect(plan.Stage).To(HaveEach(HaveField("Model", "small")))
		Expect(grouping.Decide(idleLarge(16, rare)).Drain).To(Equal([]grouping.Drain{{Domain: "a", Head: "a0", Model: "large", Recipient: "small", Ahead: true}}))
	})

	// Guards against a donor that has as many groups as its demand fills, of which one is usually waiting for a load.
	It("leaves the donor the groups that losses are likely to make unavailable", func() {
		Expect(grouping.Decide(idleLarge(16, frequent)).Drain).To(BeEmpty())
	})

	// Guards against loads that overwrite the weights that a group needs to form again, when the group is lost before the loads have ended.
	It("loads no weights onto hosts of a group that is likely to be lost during the load", func() {
		Expect(grouping.Decide(idleLarge(4, 0.002)).Stage).To(ContainElement(HaveField("Model", "small")))
		Expect(grouping.Decide(idleLarge(4, 0.003)).Stage).NotTo(ContainElement(HaveField("Model", "small")))
	})

	// Guards against a search for the reserve that does not end, because the probabilities of so many losses underflow.
	It("is decided for thousands of groups", func() {
		in := idleLarge(16, frequent)
		in.Models[0].DemandGroups, in.Models[1].DemandGroups = 2000, 2000
		in.Domains[0].Groups = map[string]int{"large": 5000, "small": 2500}
		Expect(grouping.Decide(in).Drain).To(BeEmpty())
	})

	// Guards against goals that differ from those without sharing while a model lacks groups.
	It("waits while a model is below its goal", func() {
		in := idleLarge(16, rare)
		in.Models[0].DemandGroups, in.Models[1].DemandGroups = 3, 2.5
		shared := grouping.Decide(in)
		in.ShareSurplus = false
		Expect(shared).To(Equal(grouping.Decide(in)))
	})
})
