package controller_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/controller"
	"github.com/skylarkpond/skylarkpond/policy/forming"
	"github.com/skylarkpond/skylarkpond/vm"
)

// NotWhole implements controller.GroupReports. The home of a world never reports a group as not whole.
func (w *world) NotWhole(vm.GroupID) bool { return false }

var _ = Describe("Two controllers that consider each other dead", func() {
	// A network partition separates two halves of the entries, and both reach the platform. If each took the domain
	// back as soon as it saw the other's write, both would write in every round, and neither would observe a
	// silent member for long enough to replace it.
	It("alternate slowly enough to replace a member, and write little", func() {
		w := newWorld(3)
		left, right := w.entry("left"), w.entry("right")
		both := func(count int) {
			for range count {
				_ = left.Reconcile(context.Background(), fabric)
				_ = right.Reconcile(context.Background(), fabric)
				w.advance(controller.RoundInterval)
			}
		}
		both(5)
		Expect(groups(w)).To(Equal([]string{"serving: v1 v2"}))
		before := w.placement().Epoch
		w.engine("v1").silent = true
		pause := int(controller.ReclaimDelay / controller.RoundInterval)
		both(4 * pause)
		Expect(groups(w)).To(Equal([]string{"serving: v2 v3"}))
		Expect(w.placement().Epoch - before).To(BeNumerically("<=", 4))
		Expect(controller.ReclaimDelay).To(BeNumerically(">", forming.SilenceGrace))
	})
})
