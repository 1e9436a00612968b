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

// progress compares the groups that exist with those that the settings want, service by service, sorted
// by name. Services that are no longer declared are listed while groups of theirs remain.
func progress(snapshot *settings.Snapshot, groups []admin.GroupStatus, held []admin.BlockedAction) []admin.ServiceStatus {
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
		count(row, group, snapshot)
	}
	services := make([]admin.ServiceStatus, 0, len(rows))
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		rows[name].Note = noteOf(name, held)
		services = append(services, *rows[name])
	}
	return services
}

func count(row *admin.ServiceStatus, group admin.GroupStatus, snapshot *settings.Snapshot) {
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

// namedDomains bounds the fabric domains that a note names for one reason: a roll may wait in hundreds.
const namedDomains = 3

// noteOf says why more is not done for a service: each reason once, with the fabric domains it holds in.
func noteOf(service string, held []admin.BlockedAction) string {
	domains := make(map[string][]string)
	for _, h := range held {
		if h.Service == service && !slices.Contains(domains[h.Reason], h.FabricDomain) {
			domains[h.Reason] = append(domains[h.Reason], h.FabricDomain)
		}
	}
	var notes []string
	for _, reason := range slices.Sorted(maps.Keys(domains)) {
		slices.Sort(domains[reason])
		named := domains[reason][:min(namedDomains, len(domains[reason]))]
		note := reason + " (" + strings.Join(named, ", ")
		if more := len(domains[reason]) - len(named); more > 0 {
			note += fmt.Sprintf(" and %d more", more)
		}
		notes = append(notes, note+")")
	}
	return strings.Join(notes, "; ")
}
