package controller_test

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/controller"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/policy/forming"
	"github.com/skylarkpond/skylarkpond/vm"
)

func TestController(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controller")
}

// rounds runs count rounds of c, one RoundInterval apart.
func rounds(w *world, c *controller.Controller, count int) {
	for range count {
		_ = c.Reconcile(context.Background(), fabric)
		w.advance(controller.RoundInterval)
	}
}

// groups formats each group as "state: members".
func groups(w *world) []string {
	p := w.placement()
	lines := make([]string, 0, len(p.Groups))
	for _, g := range p.Groups {
		line := string(g.State) + ":"
		for _, m := range g.Members {
			line += " " + string(m.VM)
		}
		lines = append(lines, line)
	}
	return lines
}

var _ = Describe("Controller", func() {
	It("takes a domain, forms a group, loads it, and lets it serve", func() {
		w := newWorld(3)
		c := w.entry("a")
		rounds(w, c, 1)
		Expect(groups(w)).To(Equal([]string{"forming: v1 v2"}))
		Expect(w.orders).To(BeEmpty())
		rounds(w, c, 1)
		Expect(groups(w)).To(Equal([]string{"loading: v1 v2"}))
		Expect(w.orders).To(HaveLen(2))
		rounds(w, c, 1)
		Expect(groups(w)).To(Equal([]string{"serving: v1 v2"}))
		p := w.placement()
		Expect(p.Controller).To(Equal("a"))
		Expect(p.Epoch).To(Equal(uint64(1)))
		Expect(p.LiveVMs).To(Equal(3))
		Expect(p.Groups[0].Epoch).To(Equal(p.Epoch))
		Expect(p.Groups[0].Members[1].BootID).To(Equal(vm.BootID("boot-v2")))
	})

	It("writes nothing while nothing changes", func() {
		w := newWorld(3)
		c := w.entry("a")
		rounds(w, c, 3)
		written := w.version
		rounds(w, c, 20)
		Expect(w.version).To(Equal(written))
	})

	// A VM dies, and its group can't answer requests any more. A free VM can take its place.
	It("replaces a dead member by a free VM", func() {
		w := newWorld(3)
		c := w.entry("a")
		rounds(w, c, 3)
		w.engine("v1").silent = true
		rounds(w, c, int(forming.SilenceGrace/controller.RoundInterval)+4)
		Expect(groups(w)).To(Equal([]string{"serving: v2 v3"}))
	})

	// A member is killed and started again at the same address within a probe interval. It responds as before but has
	// nothing loaded.
	It("loads a new group when a member restarted", func() {
		w := newWorld(2)
		c := w.entry("a")
		rounds(w, c, 3)
		first := w.placement().Groups[0].ID
		e := w.engine("v2")
		e.state.BootID, e.state.Group, e.state.Epoch, e.state.Fence, e.state.Ready = "again", "", 0, 0, false
		rounds(w, c, 4)
		Expect(groups(w)).To(Equal([]string{"serving: v1 v2"}))
		Expect(w.placement().Groups[0].ID).NotTo(Equal(first))
	})

	// The platform announces that it takes a VM away while requests are in progress on its group. They must finish
	// before the VM is released.
	It("drains the group of a leaving member and frees it only once nothing is in progress", func() {
		w := newWorld(4)
		c := w.entry("a")
		rounds(w, c, 3)
		id := w.placement().Groups[0].ID
		w.inProgress[id] = 1
		w.changeVMs(func(v *vm.VM) { v.Leaving = v.Name == "v1" })
		rounds(w, c, 5)
		Expect(groups(w)[0]).To(Equal("draining: v1 v2"))
		Expect(w.engine("v1").state.Group).To(Equal(id))
		w.inProgress[id] = 0
		rounds(w, c, 5)
		Expect(groups(w)).To(Equal([]string{"serving: v3 v4"}))
		Expect(w.engine("v1").state.Group).To(BeEmpty())
	})

	// A controller writes that a group loads and pauses before it sends the orders. Another entry takes the domain over
	// and uses the VMs for another group. When the first controller resumes, it must read the placement before
	// it sends.
	It("sends no order based on a stale placement after a pause", func() {
		w := newWorld(2)
		old := w.entry("a")
		rounds(w, old, 1)
		w.afterWrite = func() {
			w.afterWrite = nil
			w.advance(time.Hour)
			rounds(w, w.entry("b"), 1)
			w.orders = nil
		}
		Expect(old.Reconcile(context.Background(), fabric)).To(MatchError(controller.ErrOutdated))
		Expect(w.placement().Controller).To(Equal("b"))
		Expect(w.orders).To(BeEmpty())
	})

	// An order of a controller that was replaced long ago arrives at a member of a serving group. An engine that checks
	// fencing numbers refuses it. An engine that does not check them obeys, which breaks its group, and only a
	// probe shows that.
	DescribeTable("handles a late order of an earlier controller", func(checks bool) {
		w := newWorld(2)
		c := w.entry("a")
		rounds(w, c, 3)
		first := w.placement().Groups[0].ID
		w.engine("v2").checksFence = checks
		_, err := w.Order(context.Background(), "addr-v2", engine.Order{
			Kind: engine.OrderLoad, Group: "older", BootID: "boot-v2", Fence: 0, Epoch: 0,
		})
		Expect(err != nil).To(Equal(checks))
		rounds(w, c, 4)
		Expect(groups(w)).To(Equal([]string{"serving: v1 v2"}))
		Expect(w.placement().Groups[0].ID == first).To(Equal(checks))
		Expect(w.engine("v2").state.Group).To(Equal(w.placement().Groups[0].ID))
	},
		Entry("refused by an engine that checks", true),
		Entry("detected by probing one that does not", false),
	)

	// Two entries disagree on which entries are live, and both consider themselves owners of the domain. Each takeover
	// is a write and interrupts the groups that are loading.
	It("does not take a domain back at once from another live entry", func() {
		w := newWorld(2)
		names := []string{"a", "b"}
		first := domain.Owner("controller/"+fabric, names)
		second := names[1-slices.Index(names, first)]
		c, rival := w.entry(first, second), w.entry(second)
		rounds(w, c, 1)
		rounds(w, rival, 1)
		Expect(c.Reconcile(context.Background(), fabric)).To(MatchError(controller.ErrTakenOver))
		Expect(w.placement().Controller).To(Equal(second))
		rounds(w, c, int(controller.ReclaimDelay/controller.RoundInterval)+1)
		Expect(w.placement().Controller).To(Equal(first))
	})
})
