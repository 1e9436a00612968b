package settings

import (
	"fmt"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/vm"
)

// CheckFabricCapacity reports services whose groups fit into no fabric domain of their place. A group never
// spans fabric domains, so such a service would wait forever for its first replica. Places without a
// listed VM are skipped, because settings may be declared before the VMs exist.
func (t *Tree) CheckFabricCapacity(lists []vm.List) Faults {
	var faults Faults
	key, _ := LookupKey("group_size")
	for _, path := range t.Paths() {
		if path.Level() != ServiceLevel {
			continue
		}
		largest, known := largestFabricDomain(lists, path)
		size, from := t.lookup(key, path)
		if !known || int(size.Integer) <= largest {
			continue
		}
		if from == "" {
			from = path
		}
		faults = append(faults, Fault{
			Node: from, Key: key.Name,
			Problem: fmt.Sprintf("service %s wants groups of %d VMs, and no fabric domain of %s has so many for it",
				path.Name(), size.Integer, path.Place()),
			Expected: fmt.Sprintf("at most %d", largest),
		})
	}
	return faults
}

// largestFabricDomain returns the largest number of VMs that the service may use within one fabric domain
// of its place. VMs that are about to leave count, because others replace them. known is false if no VM of
// the place is listed.
func largestFabricDomain(lists []vm.List, service Path) (largest int, known bool) {
	for _, list := range lists {
		usable := make(map[domain.FabricDomain]int)
		for _, machine := range list.VMs {
			if machine.Position.Place != service.Place() {
				continue
			}
			known = true
			if machine.Service == "" || machine.Service == service.Name() {
				usable[machine.Position.FabricDomain]++
			}
		}
		for _, count := range usable {
			largest = max(largest, count)
		}
	}
	return largest, known
}
