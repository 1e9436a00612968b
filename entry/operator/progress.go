package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/vm"
)

// serviceProgress compares the existing groups with those that the settings ask for, per service and sorted by
// name. Services that are no longer declared are listed while they still have groups.
func serviceProgress(snapshot *settings.Snapshot, groups []admin.GroupStatus, blocked []admin.BlockedAction) []admin.ServiceStatus {
	rows := make(map[string]*admin.ServiceStatus)
	if snapshot != nil {
		for name, service := range snapshot.Services {
			rows[name] = &admin.ServiceStatus{Name: name, Wanted: service.Replicas}
		}
	}
	for _, group := range groups {
		row := rows[group.Service]
		if row == nil {
			row = &admin.ServiceStatus{Name: group.Service}
			rows[group.Service] = row
		}
		countGroup(row, group, snapshot)
	}
	services := make([]admin.ServiceStatus, 0, len(rows))
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		rows[name].Note = blockedNote(name, blocked)
		services = append(services, *rows[name])
	}
	return services
}

func countGroup(row *admin.ServiceStatus, group admin.GroupStatus, snapshot *settings.Snapshot) {
	if group.State != vm.Serving {
		row.Changing++
		return
	}
	if !group.Whole {
		return
	}
	row.Serving++
	if snapshot == nil {
		return
	}
	service, ok := snapshot.Services[group.Service]
	if ok && len(group.Members) == service.GroupSize && group.ModelVersion == service.ModelVersion {
		row.UpToDate++
	}
}

// maxNamedDomains limits the fabric domains that a note names for one reason; a rollout can be blocked in hundreds
// of them.
const maxNamedDomains = 3

// blockedNote describes why no further action is taken for a service: each reason once, with the fabric domains it
// applies to.
func blockedNote(service string, blocked []admin.BlockedAction) string {
	domains := make(map[string][]string)
	for _, action := range blocked {
		if action.Service == service && !slices.Contains(domains[action.Reason], action.FabricDomain) {
			domains[action.Reason] = append(domains[action.Reason], action.FabricDomain)
		}
	}
	var notes []string
	for _, reason := range slices.Sorted(maps.Keys(domains)) {
		slices.Sort(domains[reason])
		named := domains[reason][:min(maxNamedDomains, len(domains[reason]))]
		note := reason + " (" + strings.Join(named, ", ")
		if more := len(domains[reason]) - len(named); more > 0 {
			note += fmt.Sprintf(" and %d more", more)
		}
		notes = append(notes, note+")")
	}
	return strings.Join(notes, "; ")
}
