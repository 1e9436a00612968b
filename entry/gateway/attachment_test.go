package gateway

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/limits"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

var _ = Describe("The attachment of the lease", func() {
	newShared := func() *shared {
		return &shared{components: &components{
			limits: limits.New(limits.Deps{}), suspects: suspects.New(suspects.Deps{SendToLeader: func(link.Up) {}}),
		}}
	}
	holds := link.Holds{Service: "chat", Rules: []link.Rule{{Traits: []string{"part bad"}, Crashes: 3}}}

	// All entries have died. Those that start know nothing but what the lease holds.
	It("restores limits of servers and requests that are held back", func() {
		before, after := newShared(), newShared()
		Expect(before.leaseAttachment()).To(BeNil())
		before.components.suspects.ApplyHolds(holds)
		before.components.limits.ApplyChanges(link.LimitChanges{Limits: []link.ServerLimit{{Server: "i-1", PerSecond: 0.5, Version: 3}}})
		Expect(after.restore(before.leaseAttachment())).To(Succeed())
		Expect(after.components.limits.Limits()).To(HaveLen(1))
		Expect(after.components.suspects.RuleCount()).To(Equal(1))
	})

	// While versions run side by side, an entry of an earlier version writes the lease.
	It("restores what an earlier version has stored, and reports what can't be read", func() {
		before, after := newShared(), newShared()
		before.components.suspects.ApplyHolds(holds)
		Expect(after.restore(before.components.suspects.Encode())).To(Succeed())
		Expect(after.components.suspects.RuleCount()).To(Equal(1))
		for _, body := range []string{"7", `{"limits":7}`, `{"holds":7}`, "[7]"} {
			Expect(after.restore(json.RawMessage(body))).NotTo(Succeed(), body)
		}
	})
})
