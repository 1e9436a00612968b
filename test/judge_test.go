package test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// judgeBookings checks by the backend servers' logs that no booking ran twice.
func (c *cluster) judgeBookings() {
	GinkgoHelper()
	for body, starts := range c.startsByBody() {
		Expect(starts).To(Equal(1), "booking with body hash %s", body)
	}
}

// judgePlacements checks every version of every placement that the platform ever held: no VM in two groups,
// over all fabric domains, and epochs and fencing numbers that never go down.
func (c *cluster) judgePlacements() {
	GinkgoHelper()
	latest := make(map[string]vm.Placement)
	for _, change := range c.history() {
		if change.Kind != platform.KindPlacement || change.Deleted {
			continue
		}
		var placement vm.Placement
		Expect(json.Unmarshal(change.Value, &placement)).To(Succeed())
		Expect(placement.Check()).To(Succeed(), "%s at %d", change.Name, change.Version)
		before := latest[change.Name]
		Expect(placement.Epoch).To(BeNumerically(">=", before.Epoch))
		Expect(placement.Fence).To(BeNumerically(">=", before.Fence))
		latest[change.Name] = placement
		taken := make(map[vm.Name]vm.GroupID)
		for _, domain := range latest {
			for _, group := range domain.Groups {
				for _, member := range group.Members {
					Expect(taken).NotTo(HaveKey(member.VM))
					taken[member.VM] = group.ID
				}
			}
		}
	}
	Expect(latest).NotTo(BeEmpty())
}
