package operator

import (
	"maps"
	"slices"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/vm"
)

// progress compares the groups that exist with those that the settings want, service by service, sorted
// by name. Services that are no longer declared are listed while groups of theirs remain.
func progress(snapshot *settings.Snapshot, groups []admin.GroupStatus) []admin.ServiceStatus {
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
		row.Current++
	}
}
