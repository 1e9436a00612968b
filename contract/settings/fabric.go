package settings

import (
	"fmt"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/vm"
)

// CheckFabricCapacity finds services whose group can't fit into any fabric domain of their place. Groups never
// cross a fabric domain, so such a service would wait for ever for its first replica. Places of which no VM
// is listed are passed over: their settings may be declared before their VMs exist.
func (t *Tree) CheckFabricCapacity(lists []vm.List) Faults {
	var faults Faults
	key, _ := LookupKey("group_size")
	for _, path := range t.Paths() {
		if path.Level() != ServiceLevel {
			continue
		}
		largest, known := largestFabric(lists, path)
		size, from := t.lookUp(key, path)
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

// largestFabric counts the VMs that the service may use in the place's largest fabric domain. Leaving VMs
// count: others come in their place.
func largestFabric(lists []vm.List, service Path) (largest int, known bool) {
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
