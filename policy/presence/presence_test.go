package presence_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/presence"
)

func TestPresence(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Presence")
}

var _ = Describe("The list of linked entries", func() {
	It("is believed at once if it has half of those registered", func() {
		var list presence.List
		Expect(list.Believable(2, 4, 0)).To(BeTrue())
	})

	// Guards against entries that count as down because the leader is cut off from them for a moment.
	It("is not believed for a moment if it is short", func() {
		var list presence.List
		Expect(list.Believable(1, 4, 0)).To(BeFalse())
		Expect(list.Believable(1, 4, time.Second)).To(BeFalse())
		Expect(list.Believable(2, 4, 1200*time.Millisecond)).To(BeTrue())
		Expect(list.Believable(1, 4, 2*time.Second)).To(BeFalse())
		Expect(list.Believable(1, 4, 3*time.Second)).To(BeFalse())
	})

	// Guards against lost entries that are named to callers for ever, once more were lost than run.
	It("is believed if it stays short", func() {
		var list presence.List
		Expect(list.Believable(3, 7, 0)).To(BeFalse())
		Expect(list.Believable(3, 7, 1500*time.Millisecond)).To(BeTrue())
	})
})

var _ = Describe("Missing entries", func() {
	registered := []string{"a", "b", "c"}
	only := func(names ...string) func(string) bool {
		return func(name string) bool {
			for _, linked := range names {
				if linked == name {
					return true
				}
			}
			return false
		}
	}

	// Guards against registrations of lost entries that stay for ever.
	It("are removable after a minute without a link", func() {
		var absences presence.Absences
		Expect(absences.Removable(registered, only("a"), 0)).To(BeEmpty())
		Expect(absences.Removable(registered, only("a"), 59*time.Second)).To(BeEmpty())
		Expect(absences.Removable(registered, only("a"), time.Minute)).To(Equal([]string{"b", "c"}))
	})

	// Guards against the removal of an entry that was away twice, for less than a minute each time.
	It("are counted anew once they were linked, or another leader has seen them", func() {
		var absences presence.Absences
		absences.Removable(registered, only("a"), 0)
		absences.Removable(registered, only("a", "b"), 30*time.Second)
		Expect(absences.Removable(registered, only("a"), time.Minute)).To(Equal([]string{"c"}))
		absences.Reset()
		Expect(absences.Removable(registered, only("a"), 2*time.Minute)).To(BeEmpty())
	})
})
