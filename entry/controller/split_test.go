package controller_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/controller"
	"github.com/skylarkpond/skylarkpond/policy/forming"
	"github.com/skylarkpond/skylarkpond/vm"
)

// NotWhole is never said by the home of a world.
func (w *world) NotWhole(vm.GroupID) bool { return false }

var _ = Describe("Two controllers that hold each other dead", func() {
	// The network between two halves of the entries is cut, and both reach the platform. If each took the
	// domain back as soon as it saw the other's write, both would write every round, and none would watch a
	// silent member for long enough to replace it.
	It("take turns that are long enough to mend a group, and write little", func() {
		w := newWorld(3)
		left, right := w.entry("left"), w.entry("right")
		both := func(count int) {
			for range count {
				_ = left.Reconcile(context.Background(), fabric)
				_ = right.Reconcile(context.Background(), fabric)
				w.advance(controller.Interval)
			}
		}
		both(5)
		Expect(groups(w)).To(Equal([]string{"serving: v1 v2"}))
		before := w.placement().Epoch
		w.engine("v1").silent = true
		pause := int(controller.RivalPause / controller.Interval)
		both(4 * pause)
		Expect(groups(w)).To(Equal([]string{"serving: v2 v3"}))
		Expect(w.placement().Epoch - before).To(BeNumerically("<=", 4))
		Expect(controller.RivalPause).To(BeNumerically(">", forming.SilenceGrace))
	})
})
