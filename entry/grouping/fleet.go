package grouping

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	policy "github.com/skylarkpond/skylarkpond/policy/grouping"
)

// fleetEvery is how often what a round saw is told. An engineer who asks why a model had too few groups finds there what its VMs were
// waiting for.
const fleetEvery = time.Second

// tellFleet tells, for each fabric domain, the VMs that could be used, the groups that serve or form, and the VMs that are free: with
// the weights that they have, or load.
func (c *Controller) tellFleet(service string, view *view) {
	c.mu.Lock()
	due := time.Since(c.toldFleet[service]) >= fleetEvery
	if due {
		c.toldFleet[service] = time.Now()
	}
	dark := len(c.dark)
	c.mu.Unlock()
	if !due {
		return
	}
	var domains []string
	for _, domain := range view.input.Domains {
		domains = append(domains, describe(domain))
	}
	detail := fmt.Sprintf("%d dark, %d broken, room for %d loads; %s", dark, len(view.broken), view.input.Loads, strings.Join(domains, "; "))
	c.deps.Event(Event{Kind: FleetSeen, Service: service, Detail: detail})
}

func describe(domain policy.Domain) string {
	var parts []string
	for _, model := range slices.Sorted(maps.Keys(domain.Groups)) {
		parts = append(parts, fmt.Sprintf("%d x %s", domain.Groups[model], model))
	}
	free := make(map[string]int)
	for _, vm := range domain.Free {
		free[weights(vm)]++
	}
	for _, kind := range slices.Sorted(maps.Keys(free)) {
		parts = append(parts, fmt.Sprintf("%d free %s", free[kind], kind))
	}
	return fmt.Sprintf("%s: %d VMs, %s", domain.Name, domain.Total, strings.Join(parts, ", "))
}

// weights says which weights a VM has or loads.
func weights(vm policy.VM) string {
	switch {
	case vm.Staging != "":
		return "loading " + vm.Staging
	case vm.Staged == "":
		return "empty"
	}
	return "with " + vm.Staged
}
