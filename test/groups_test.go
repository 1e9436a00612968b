package test

import (
	"fmt"
	"net/netip"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// numbered returns names of fabric domains, whoever owns them.
func numbered(prefix string, count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("%s-%d", prefix, i))
	}
	return names
}

var _ = Describe("Groups", func() {
	// A member is killed, or paused, or restarted so fast that no probe misses it, or no longer reached by
	// the home, while its group is in each state of its life. Each request on such a group fails or hangs.
	// A member that comes back as if nothing had happened has nothing loaded, or is in a group that was
	// given up meanwhile.
	//
	// Elsewhere a switch fails: all VMs of four fabric domains are silent at once, and answer again with all
	// their state some seconds later; in four others the power fails, and they come back empty. Loading the
	// former anew would make an outage of minutes out of one of seconds.
	It("lose a member, or all, in each state: killed, frozen and woken, restarted, cut from the home", func() {
		killed, frozen, restarted, cut := numbered("kill", 4), numbered("freeze", 4), numbered("restart", 4), numbered("cut", 4)
		silent, dead := numbered("silent", 4), numbered("dead", 4)
		all := slices.Concat([]string{"steady"}, killed, frozen, restarted, cut, silent, dead)
		c := startClusterWith(4, groupsWorld(all...), chatFiles(len(all), soon))
		load := c.startLoad(c.entries)
		together(func() {
			s := c.stage(killed)
			s.strike(0, standinengine.Switches{Die: true})
			s.awaitReplaced(0)
			s.strike(0, standinengine.Switches{Restart: true})
			s.end()
		}, func() {
			s := c.stage(frozen)
			s.strike(1, standinengine.Switches{Freeze: &yes})
			s.awaitReplaced(1)
			s.strike(1, standinengine.Switches{Freeze: &no})
			s.end()
		}, func() {
			s := c.stage(restarted)
			s.strike(0, standinengine.Switches{Restart: true, Remembers: &yes})
			s.end()
		}, func() {
			s := c.stage(cut)
			s.each(func(state vm.GroupState) {
				home := s.homeOf(state)
				c.switchVM(s.member(state, 0), standinengine.Switches{CutFrom: &[]netip.Addr{home.ip()}})
			})
			s.each(s.awaitNotWhole)
			s.strike(0, standinengine.Switches{CutFrom: &[]netip.Addr{}})
			s.end()
		}, func() {
			s := c.stage(silent)
			s.strikeAll(standinengine.Switches{Freeze: &yes})
			s.awaitNotWhole(vm.Serving)
			s.strikeAll(standinengine.Switches{Freeze: &no})
			s.end()
			group, _ := c.groupIn(s.fabrics[vm.Serving], vm.Serving)
			Expect(group.ID).To(Equal(s.groups[vm.Serving].ID), "a group that kept its state was formed anew")
		}, func() {
			s := c.stage(dead)
			s.strikeAll(standinengine.Switches{Die: true, RestartAfterMillis: 3000})
			s.awaitNotWhole(vm.Serving)
			s.end()
		})
		load.expectProgress()
		load.stop()
		c.judgeBookings()
		c.judgeGroups()
	})

	// The entries that control four fabric domains each, and the homes of the groups of four others, stop for
	// so long that others take over, and then go on as if no time had passed: with requests that waited in
	// them, and with orders that they were about to send. One controller goes on, but no longer reaches the
	// platform. Then the same entries are killed.
	It("lose the controller and the homes in each state: frozen and woken, cut off, killed", func() {
		names := numbered("entry", 9)[1:]
		slices.Reverse(names)
		one, other := ownedBy(4, names, names[0]), ownedBy(4, names, names[1])
		homed := numbered("homed", 4)
		all := slices.Concat([]string{"steady"}, one, other, homed)
		c := startClusterWith(len(names), groupsWorld(all...), chatFiles(len(all), soon))
		load := c.startLoad(c.entries)
		frozen, cut := &held{owner: c.entry(names[0]), fabrics: one}, &held{owner: c.entry(names[1]), fabrics: other}

		By("freezing them, and cutting a controller off from the platform")
		var y *scene
		stage := func() {
			c.awaitHeld(frozen.fabrics, frozen.owner)
			c.awaitHeld(cut.fabrics, cut.owner)
			together(
				func() { frozen.scene = c.stage(frozen.fabrics) },
				func() { cut.scene = c.stage(cut.fabrics) },
				func() { y = c.stage(homed) })
			if slices.Contains(y.homes(), cut.owner) {
				frozen, cut = cut, frozen
			}
		}
		// The one that is cut off goes on: stage until it is home to none of the groups.
		for stage(); slices.Contains(y.homes(), cut.owner); stage() {
			together(frozen.end, cut.end, y.end)
		}
		struck := append(y.homes(), frozen.owner)
		frozenBefore, cutBefore := frozen.epochs(), cut.epochs()
		cutOff(cut.owner.toPlatform, true)
		for _, e := range struck {
			e.freeze()
		}
		c.switchVM(y.member(vm.Serving, 1), standinengine.Switches{Die: true})
		frozen.awaitTaken(frozenBefore)
		cut.awaitTaken(cutBefore)
		y.awaitHomedElsewhere(struck)
		load.expectProgress()
		for _, e := range struck {
			e.wake()
		}
		cutOff(cut.owner.toPlatform, false)
		c.waitLive(c.entries[0], c.entries...)
		load.expectProgress()
		c.switchVM(y.member(vm.Serving, 1), standinengine.Switches{Restart: true})
		together(frozen.end, cut.end, y.end)

		By("killing them")
		killed := frozen
		c.awaitHeld(killed.fabrics, killed.owner)
		together(func() { killed.scene = c.stage(killed.fabrics) }, func() { y = c.stage(homed) })
		before := killed.epochs()
		for _, e := range append(y.homes(), killed.owner) {
			e.kill()
		}
		killed.awaitTaken(before)
		together(killed.end, y.end)
		load.expectProgress()
		load.stop()
		c.judgeBookings()
		c.judgeGroups()
	})

	// The network between two halves of the entries is cut, while both reach the platform and the engines.
	// Each half holds the other dead, and works on all fabric domains.
	It("have two controllers and two homes at once", func() {
		all := slices.Concat([]string{"steady"}, numbered("split", 4))
		c := startClusterWith(6, groupsWorld(all...), chatFiles(len(all), soon))
		load := c.startLoad(c.entries)
		s := c.stage(all[1:])
		left, right := c.entries[:3], c.entries[3:]
		from := len(c.history())
		c.split(left, right, true)
		c.waitLive(left[0], left...)
		c.waitLive(right[0], right...)
		c.switchVM(s.member(vm.Serving, 1), standinengine.Switches{Die: true})
		Eventually(func() []string { return c.writers(from, all[1:]) }, generous).Should(SatisfyAll(
			ContainElement(BeElementOf(entryNames(left))), ContainElement(BeElementOf(entryNames(right)))))
		Eventually(func() bool {
			group, ok := c.groupIn(s.fabrics[vm.Serving], vm.Serving)
			return ok && group.ID != s.groups[vm.Serving].ID
		}, generous).Should(BeTrue(), "the dead member was not replaced")
		GinkgoWriter.Printf("%d writes of placements while the entries were split\n", len(c.writers(from, all)))
		load.expectProgress()
		c.split(left, right, false)
		c.waitLive(left[0], c.entries...)
		c.waitLive(right[0], c.entries...)
		c.switchVM(s.member(vm.Serving, 1), standinengine.Switches{Restart: true})
		s.end()
		load.expectProgress()
		load.stop()
		c.judgeBookings()
		c.judgeGroups()
	})
})

// held is four fabric domains with the entry that controls them.
type held struct {
	owner   *entryProcess
	fabrics []string
	*scene
}

// split cuts or mends all links between two sets of entries.
func (c *cluster) split(left, right []*entryProcess, cut bool) {
	for _, a := range left {
		for _, b := range right {
			c.cut(a, b, cut)
		}
	}
}

func entryNames(entries []*entryProcess) []string {
	var names []string
	for _, e := range entries {
		names = append(names, e.name)
	}
	return names
}

// writers returns who wrote the placements of some fabric domains, from a place in the history on.
func (c *cluster) writers(from int, fabrics []string) []string {
	GinkgoHelper()
	var writers []string
	for _, change := range c.history()[from:] {
		if change.Kind == platform.KindPlacement && slices.Contains(fabrics, change.Name) {
			writers = append(writers, placementOf(change.Object).Controller)
		}
	}
	return writers
}
