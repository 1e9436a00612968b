package watchdog_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/watchdog"
)

func TestWatchdog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Watchdog")
}

var _ = Describe("Watchdog", func() {
	var w *watchdog.Watchdog
	BeforeEach(func() { w = watchdog.New() })
	check := func(task string, rounds uint64, times int) (changes []watchdog.Change) {
		for range times {
			if change, changed := w.Check(task, rounds); changed {
				changes = append(changes, change)
			}
		}
		return changes
	}

	It("reports once that a task stands still, and once that it goes on", func() {
		Expect(check("groups", 3, 15)).To(BeEmpty())
		Expect(w.Stalled()).To(BeFalse())
		Expect(check("groups", 3, 30)).To(Equal([]watchdog.Change{{Task: "groups", Stalled: true}}))
		Expect(w.Stalled()).To(BeTrue())
		Expect(check("groups", 4, 5)).To(Equal([]watchdog.Change{{Task: "groups"}}))
		Expect(w.Stalled()).To(BeFalse())
	})

	It("does not take slow work for work that stands still", func() {
		for rounds := range uint64(20) {
			Expect(check("groups", rounds, 10)).To(BeEmpty())
		}
	})

	// One task of two that goes on must not hide the other.
	It("tells tasks apart", func() {
		for rounds := range uint64(40) {
			check("turns", rounds, 1)
			check("groups", 0, 1)
		}
		Expect(w.Stalled()).To(BeTrue())
	})
})
