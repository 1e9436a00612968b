package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/entry/fleet"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/entry/mirror"
	"github.com/skylarkpond/skylarkpond/entry/prober"
	"github.com/skylarkpond/skylarkpond/entry/reach"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// liveMembership provides the live entries to the components that assign ownership by rendezvous hashing.
type liveMembership struct{ members *member.Members }

// Self returns the name of this entry.
func (o liveMembership) Self() string { return o.members.Self().Name }

// Live returns the names of the live entries that are not leaving. It returns none if this process was suspended
// and has not contacted a peer since, so that the entry owns nothing.
func (o liveMembership) Live() []string {
	live := o.members.Live()
	names := make([]string, 0, len(live))
	for _, peer := range live {
		names = append(names, peer.Name)
	}
	return names
}

// platformMembership provides the live entries that reach the platform.
type platformMembership struct {
	liveMembership
	reach *reach.Tracker
}

// Live returns the names of the live entries except those that are known to be cut off from the platform.
func (r platformMembership) Live() []string { return r.reach.Usable(r.liveMembership.Live()) }

// homedGroups gives the home role access to the placements and to the latest probe results of the members.
type homedGroups struct {
	self     string
	table    *fleet.Table
	presence *vm.Presence
	prober   *prober.Prober
}

// Lookup implements home.Groups. An entry that was the group's home until recently still counts as its home.
func (p homedGroups) Lookup(id vm.GroupID) (group vm.Group, homed, ok bool) {
	group, _, ok = p.table.Group(id)
	return group, ok && (p.table.HomeOf(id) == p.self || p.prober.RecentlyHomed(id)), ok
}

// HomeOf implements home.Groups.
func (p homedGroups) HomeOf(id vm.GroupID) string { return p.table.HomeOf(id) }

// Whole implements home.Presence.
func (p homedGroups) Whole(id vm.GroupID) (bool, string) {
	group, _, ok := p.table.Group(id)
	if !ok {
		return false, "not placed"
	}
	whole, gap := p.presence.Whole(&group, time.Now())
	if !whole {
		p.prober.ProbeIfUnknown(group, gap.Reason)
		whole, gap = p.presence.Whole(&group, time.Now())
	}
	return whole, gap.String()
}

// groupReports gives the controller access to the statuses that homes report for groups.
type groupReports struct{ table *fleet.Table }

// InProgress implements controller.GroupReports.
func (r groupReports) InProgress(id vm.GroupID) (int, bool) {
	status, ok := r.status(id)
	return status.Remaining, ok && status.Drained
}

// Whole implements controller.GroupReports.
func (r groupReports) Whole(id vm.GroupID) (whole, known bool) {
	status, ok := r.status(id)
	return status.Whole, ok
}

// NotWhole implements controller.GroupReports.
func (r groupReports) NotWhole(id vm.GroupID) bool {
	status, ok := r.status(id)
	return ok && !status.Whole
}

// TokenGap implements controller.GroupReports.
func (r groupReports) TokenGap(id vm.GroupID) time.Duration {
	status, _ := r.status(id)
	return status.Load.TokenGap
}

func (r groupReports) status(id vm.GroupID) (fleet.Status, bool) {
	candidate, ok := r.table.Candidate(id)
	// A status from an earlier home is ignored: it predates the current home's first probe.
	known := ok && candidate.Status.Home == candidate.Home && candidate.Status.Epoch == candidate.Group.Epoch
	return candidate.Status, known
}

// placementSource gives the controller access to the mirrored placement objects.
type placementSource struct{ mirror *mirror.Mirror }

// Placements implements controller.Placements.
func (p placementSource) Placements() []platform.Object { return p.mirror.All(platform.KindPlacement) }

// settingsSource provides the settings in force.
type settingsSource struct{ inForce *settingsInForce }

// Snapshot returns the settings in force, or nil before the first version is in force.
func (s settingsSource) Snapshot() *settings.Snapshot {
	snapshot := s.inForce.Snapshot()
	if snapshot.Version == 0 {
		return nil
	}
	return snapshot
}

// vmLists reads the lists of VMs from the platform.
type vmLists struct{ store platform.Store }

// VMLists implements operator.VMLists.
func (v vmLists) VMLists(ctx context.Context) ([]vm.List, error) {
	changes, err := v.store.List(ctx, platform.KindVMs)
	if err != nil {
		return nil, err
	}
	lists := make([]vm.List, 0, len(changes.Objects))
	for _, object := range changes.Objects {
		var list vm.List
		if err := json.Unmarshal(object.Value, &list); err != nil {
			return nil, err
		}
		lists = append(lists, list)
	}
	return lists, nil
}
