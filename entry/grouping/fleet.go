package grouping

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/contract/route"
	policy "github.com/skylarkpond/skylarkpond/policy/grouping"
)

// fleetEvery is how often what a round saw is told. An engineer who asks why a model had too few groups finds there what its VMs were
// waiting for.
const fleetEvery = time.Second

// tellFleet tells, for each fabric domain, the VMs that could be used, the groups that serve or form, and the VMs that are free: with
// the weights that they have, or load.
func (c *Controller) tellFleet(service route.Service, view *view) {
	c.mu.Lock()
	due := time.Since(c.toldFleet[service.Name]) >= fleetEvery
	if due {
		c.toldFleet[service.Name] = time.Now()
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
	detail := fmt.Sprintf("%d dark, %d broken, room for %d loads; %s", dark, len(view.broken), view.input.AvailableLoads, strings.Join(domains, "; "))
	c.deps.Event(Event{Kind: FleetSeen, Service: service.Name, Detail: detail})
	c.tellUnformable(service.Name, service.Engine.Models, view.input.Domains)
}

// tellUnformable tells of models whose groups are larger than any fabric domain. Their callers are turned away for as long as that is so, and
// nothing else in the log would say why.
func (c *Controller) tellUnformable(service string, models []route.Model, domains []policy.Domain) {
	largest := 0
	for _, domain := range domains {
		largest = max(largest, domain.Total)
	}
	for _, model := range models {
		if model.Size > largest {
			detail := fmt.Sprintf("a group takes %d VMs, the largest fabric domain has %d", model.Size, largest)
			c.deps.Event(Event{Kind: ModelUnformable, Service: service, Model: model.Name, Detail: detail})
		}
	}
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
