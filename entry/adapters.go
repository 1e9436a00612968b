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

// owners names the live entries to whatever is owned by rendezvous hashing.
type owners struct{ members *member.Members }

// Self returns the own name.
func (o owners) Self() string { return o.members.Self().Name }

// Live returns the names of the live entries that are not leaving. It is empty while this entry was
// paused and has not spoken with a peer since, so that it owns nothing.
func (o owners) Live() []string {
	live := o.members.Live()
	names := make([]string, 0, len(live))
	for _, peer := range live {
		names = append(names, peer.Name)
	}
	return names
}

// reaching names the live entries that reach the platform.
type reaching struct {
	owners
	reach *reach.Tracker
}

// Live returns the names of the live entries, without those that are known to be cut off from the platform.
func (r reaching) Live() []string { return r.reach.Usable(r.owners.Live()) }

// placed is the home's view of the groups: placements, and the members' last answers.
type placed struct {
	self     string
	table    *fleet.Table
	presence *vm.Presence
	prober   *prober.Prober
}

// Lookup implements home.Groups. An entry that was home until a moment ago still counts as one.
func (p placed) Lookup(id vm.GroupID) (group vm.Group, homed, ok bool) {
	group, _, ok = p.table.Group(id)
	return group, ok && (p.table.HomeOf(id) == p.self || p.prober.RecentlyHomed(id)), ok
}

// Whole implements home.Presence.
func (p placed) Whole(id vm.GroupID) (bool, string) {
	group, _, ok := p.table.Group(id)
	if !ok {
		return false, "not placed"
	}
	whole, gap := p.presence.Whole(&group, time.Now())
	if gap.Why == vm.WhySilent {
		p.prober.ProbeIfNew(group)
		whole, gap = p.presence.Whole(&group, time.Now())
	}
	return whole, gap.String()
}

// reports is the controller's view of what homes say of groups.
type reports struct{ table *fleet.Table }

// InProgress implements controller.GroupReports.
func (r reports) InProgress(id vm.GroupID) (int, bool) {
	status, ok := r.status(id)
	return status.Remaining, ok && status.Drained
}

// Whole implements controller.GroupReports.
func (r reports) Whole(id vm.GroupID) (whole, known bool) {
	status, ok := r.status(id)
	return status.Whole, ok
}

// NotWhole implements controller.GroupReports.
func (r reports) NotWhole(id vm.GroupID) bool {
	status, ok := r.status(id)
	return ok && !status.Whole
}

// TokenGap implements controller.GroupReports.
func (r reports) TokenGap(id vm.GroupID) time.Duration {
	status, _ := r.status(id)
	return status.Load.TokenGap
}

func (r reports) status(id vm.GroupID) (fleet.Status, bool) {
	candidate, ok := r.table.Candidate(id)
	// What an earlier home said no longer counts: its word came before the present one's look.
	known := ok && candidate.Status.Home == candidate.Home && candidate.Status.Epoch == candidate.Group.Epoch
	return candidate.Status, known
}

// placements hands the mirrored placement objects to the controller.
type placements struct{ mirror *mirror.Mirror }

// Placements implements controller.Placements.
func (p placements) Placements() []platform.Object { return p.mirror.All(platform.KindPlacement) }

// snapshots hands out the settings in force, nil before the first.
type snapshots struct{ inForce *settingsInForce }

// Snapshot returns the settings in force, or nil before the first.
func (s snapshots) Snapshot() *settings.Snapshot {
	snapshot := s.inForce.Snapshot()
	if snapshot.Version == 0 {
		return nil
	}
	return snapshot
}

// vmLists reads the platform's VM lists.
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
