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

// fleetReportInterval is the interval between FleetReport events of a service. An operator who investigates why a model had
// too few groups can see there what its VMs were waiting for.
const fleetReportInterval = time.Second

// reportFleet reports the groups that each model's requests would fill and, for each fabric domain, the usable VMs, the groups
// that are serving or being formed, the VMs of serving groups whose hosts have or are loading another model's weights, and the
// free VMs with the weights that they have or are loading.
func (c *Controller) reportFleet(service route.Service, view *view) {
	c.mu.Lock()
	due := time.Since(c.fleetReportedAt[service.Name]) >= fleetReportInterval
	if due {
		c.fleetReportedAt[service.Name] = time.Now()
	}
	unresponsive := len(c.silent)
	c.mu.Unlock()
	if !due {
		return
	}
	var parts []string
	for _, model := range view.input.Models {
		parts = append(parts, fmt.Sprintf("%s needs %.1f groups", model.Name, model.DemandGroups))
	}
	for _, domain := range view.input.Domains {
		parts = append(parts, describeDomain(domain))
	}
	detail := fmt.Sprintf("%d dark, %d broken, room for %d loads; %s", unresponsive, len(view.incomplete), view.input.AvailableLoads, strings.Join(parts, "; "))
	c.deps.OnEvent(Event{Kind: FleetReport, Service: service.Name, Detail: detail})
	c.reportUnformable(service.Name, service.Engine.Models, view.input.Domains)
}

// reportUnformable reports each model once whose groups have become larger than any fabric domain. Its requests are refused as
// long as that is the case, and no other log entry would show the reason. Domains whose VMs are still being listed may grow.
func (c *Controller) reportUnformable(service string, models []route.Model, domains []policy.Domain) {
	largest := 0
	for _, domain := range domains {
		if domain.Registering {
			return
		}
		largest = max(largest, domain.Total)
	}
	for _, model := range models {
		key := service + "/" + model.Name
		c.mu.Lock()
		reported := c.unformable[key]
		c.unformable[key] = model.Size > largest
		c.mu.Unlock()
		if model.Size > largest && !reported {
			detail := fmt.Sprintf("a group takes %d VMs, the largest fabric domain has %d", model.Size, largest)
			c.deps.OnEvent(Event{Kind: ModelCannotBeFormed, Service: service, Model: model.Name, Detail: detail})
		}
	}
}

func describeDomain(domain policy.Domain) string {
	var parts []string
	for _, model := range slices.Sorted(maps.Keys(domain.Groups)) {
		parts = append(parts, fmt.Sprintf("%d x %s", domain.Groups[model], model))
	}
	standby := make(map[string]int)
	for _, group := range domain.Serving {
		for _, vm := range group.VMs {
			if vm.Staging != "" || vm.Staged != group.Model {
				standby[describeWeights(vm)]++
			}
		}
	}
	for _, weights := range slices.Sorted(maps.Keys(standby)) {
		parts = append(parts, fmt.Sprintf("%d serving %s", standby[weights], weights))
	}
	free := make(map[string]int)
	for _, vm := range domain.Free {
		free[describeWeights(vm)]++
	}
	for _, weights := range slices.Sorted(maps.Keys(free)) {
		parts = append(parts, fmt.Sprintf("%d free %s", free[weights], weights))
	}
	return fmt.Sprintf("%s: %d VMs, %s", domain.Name, domain.Total, strings.Join(parts, ", "))
}

// describeWeights describes the weights that a VM has or is loading.
func describeWeights(vm policy.VM) string {
	switch {
	case vm.Staging != "":
		return "loading " + vm.Staging
	case vm.Staged == "":
		return "empty"
	}
	return "with " + vm.Staged
}
