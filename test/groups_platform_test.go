package test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// goThroughLives lets the groups of some fabric domains go through their whole life: one drains for a leaving
// member, the others are formed anew after a restart.
func (c *cluster) goThroughLives(fabrics []string) {
	GinkgoHelper()
	before := make(map[string]vm.GroupID)
	for i, fabric := range fabrics {
		group, _ := c.groupIn(fabric, vm.Serving)
		before[fabric] = group.ID
		c.switchVM(string(group.Members[i%groupSize].VM), []standinengine.Switches{{Leaving: &yes}, {Restart: true}}[min(i, 1)])
	}
	Eventually(func(g Gomega) {
		for _, fabric := range fabrics {
			group, ok := c.groupIn(fabric, vm.Serving)
			g.Expect(ok && group.ID != before[fabric]).To(BeTrue(), "%s: %+v", fabric, c.placement(fabric).Groups)
		}
	}, generous, "100ms").Should(Succeed())
	c.switchDomain(fabrics[0], standinengine.Switches{Leaving: &no})
}

func placementsOf(fabric string) standinplatform.Prefix {
	return standinplatform.Prefix{Kind: platform.KindPlacement, Name: fabric}
}

var _ = Describe("Groups", func() {
	// The platform hangs, or takes most of a second for each call, or takes a write and loses the answer, or lets
	// it take effect when its writer has given up. A controller that took any of these for "not written" would
	// form a second group with VMs that are in one; engines that ignore fencing numbers would go along.
	It("live through a platform that is out, slow, loses answers, and writes late", func() {
		first, lost, late := numbered("first", 4), numbered("lost", 4), numbered("late", 4)
		all := slices.Concat([]string{"steady"}, first, lost, late)
		c := startClusterWith(4, groupsWorld(all...), chatFiles(len(all), soon+"checks_fence: false\n"))
		for _, fabric := range all {
			c.switchDomain(fabric, standinengine.Switches{ChecksFence: &no, ChecksEpoch: &no})
		}
		load := c.startLoad(c.entries[:2])

		By("an outage")
		s := c.stage(first)
		c.outage(standinplatform.OutageHang)
		// No controller can write. Only the home keeps requests from a group whose member is not what it was.
		c.switchVM(s.member(vm.Serving, 1), standinengine.Switches{Restart: true, Remembers: &yes})
		s.awaitNotWhole(vm.Serving)
		load.expectProgress()
		c.outage(standinplatform.OutageNone)
		s.end()

		By("slowness")
		slow, usual := int64(300), int64(0)
		c.switchPlatform(standinplatform.Switches{DelayMillis: &slow})
		c.goThroughLives(first)
		c.switchPlatform(standinplatform.Switches{DelayMillis: &usual})

		By("the answers of all writes lost, and writes that take effect after their writer has given up")
		c.switchPlatform(standinplatform.Switches{
			LoseAnswers: &standinplatform.LoseAnswers{Prefix: placementsOf("lost"), Count: -1},
			LateEffects: &standinplatform.LateEffects{Prefix: placementsOf("late"), Count: 8, DelayMillis: 2500},
		})
		together(func() { c.goThroughLives(lost) }, func() { c.goThroughLives(late) })

		load.expectProgress()
		load.stop()
		c.judgeBookings()
		c.judgeGroups()
	})
})
