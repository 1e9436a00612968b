package fleet_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/fleet"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleet")
}

func placementOf(version platform.Version, ids ...vm.GroupID) platform.Object {
	placement := vm.Placement{}
	for _, id := range ids {
		placement.Groups = append(placement.Groups, vm.Group{ID: id, Service: "chat", State: vm.Serving})
	}
	value, err := json.Marshal(placement)
	Expect(err).NotTo(HaveOccurred())
	return platform.Object{Kind: platform.KindPlacement, Name: "fabric", Version: version, Value: value}
}

var _ = Describe("Table", func() {
	// Entries join and leave between two lookups, possibly without a change in their number. An outdated home
	// would send requests to an entry that is gone, or keep an entry probing that is no longer the home.
	It("computes homes from the current entries, also for groups that are placed later", func() {
		live := []string{"a", "b", "c"}
		table := fleet.New(func() []string { return live }, time.Now)
		groups := []vm.GroupID{"g1", "g2", "g3", "g4", "g5", "g6", "g7"}
		Expect(table.ApplyPlacement(placementOf(1, groups[:5]...))).To(Succeed())
		expectHomes := func(groups []vm.GroupID) {
			GinkgoHelper()
			for _, id := range groups {
				home := domain.Owner("home/"+string(id), live)
				Expect(table.HomeOf(id)).To(Equal(home))
				candidate, _ := table.Candidate(id)
				Expect(candidate.Home).To(Equal(home))
				if home != "" {
					Expect(table.GroupsHomedAt(home)).To(ContainElement(HaveField("ID", id)))
				}
			}
		}
		expectHomes(groups[:5])
		for _, next := range [][]string{{"a", "b", "d"}, {"b", "d"}, nil, {"a", "b", "c", "d"}} {
			live = next
			expectHomes(groups[:5])
		}
		Expect(table.ApplyPlacement(placementOf(2, groups...))).To(Succeed())
		expectHomes(groups)
		Expect(table.HomeOf("not placed")).To(Equal(domain.Owner("home/not placed", live)))
	})
})
