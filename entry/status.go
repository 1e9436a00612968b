package entry

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/entry/controller"
	"github.com/skylarkpond/skylarkpond/entry/fleet"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// Paths of the calls that collect data for an operator.
const (
	pathStatus = "/peer/v1/status"
	pathEvents = "/peer/v1/events"
)

const (
	// peerCallTimeout limits one call to one entry.
	peerCallTimeout = 2 * time.Second
	// maxConcurrentCalls limits the calls in progress.
	maxConcurrentCalls = 16
)

// selfStatus is the status that an entry reports of itself.
type selfStatus struct {
	// Version is the version of the settings in force.
	Version uint64 `cbor:"1,keyasint"`
	// Since is when that version came into force, in Unix milliseconds by the answering entry's clock.
	Since int64 `cbor:"2,keyasint"`
	// Blocked lists the actions that the entry cannot perform as a controller.
	Blocked []admin.BlockedAction `cbor:"3,keyasint,omitempty"`
}

// statusCollector collects status and time line events from all entries when an operator asks for them. It costs
// nothing otherwise.
type statusCollector struct {
	self     string
	members  *member.Members
	table    *fleet.Table
	inForce  *settingsInForce
	client   *peer.Client
	recorder *timeline.Recorder
	// controller is this entry's own controller.
	controller *controller.Controller
}

func (o *statusCollector) register(server *peer.Server) {
	peer.Handle(server, pathStatus, func(context.Context, string, struct{}) (selfStatus, error) {
		return o.ownStatus(), nil
	})
	peer.Handle(server, pathEvents, func(_ context.Context, _ string, query admin.TimelineQuery) ([]timeline.Event, error) {
		return o.ownEvents(query), nil
	})
}

func (o *statusCollector) ownStatus() selfStatus {
	return selfStatus{Version: o.inForce.Snapshot().Version, Since: o.inForce.Since().UnixMilli(), Blocked: o.ownBlockedActions()}
}

func (o *statusCollector) ownBlockedActions() []admin.BlockedAction {
	var blocked []admin.BlockedAction
	for _, status := range o.controller.Status() {
		domain := string(status.Domain)
		for service, reason := range status.Held {
			blocked = append(blocked, admin.BlockedAction{FabricDomain: domain, Service: service, Reason: reason})
		}
		if status.Problem != "" {
			blocked = append(blocked, admin.BlockedAction{FabricDomain: domain, Reason: status.Problem})
		}
	}
	return blocked
}

// Status implements operator.StatusSource.
func (o *statusCollector) Status(ctx context.Context) (admin.Status, error) {
	status := admin.Status{Reporter: o.self, ReportedAt: time.Now().UnixMilli(), Groups: o.groups()}
	peers := append(o.members.Peers(), o.members.Self())
	status.Entries = make([]admin.EntryStatus, len(peers))
	blocked := make([][]admin.BlockedAction, len(peers))
	live := o.liveNames()
	o.forEach(len(peers), func(i int) {
		status.Entries[i], blocked[i] = o.entryStatus(ctx, peers[i], live[peers[i].Name])
	})
	status.BlockedActions = slices.Concat(blocked...)
	slices.SortFunc(status.BlockedActions, compareBlockedActions)
	slices.SortFunc(status.Entries, func(a, b admin.EntryStatus) int { return strings.Compare(a.Name, b.Name) })
	return status, nil
}

func (o *statusCollector) liveNames() map[string]bool {
	live := make(map[string]bool)
	for _, p := range o.members.Live() {
		live[p.Name] = true
	}
	return live
}

// forEach calls do for 0 to n-1 with at most maxConcurrentCalls calls at a time.
func (o *statusCollector) forEach(n int, do func(i int)) {
	var pool sync.WaitGroup
	next := make(chan int, n)
	for i := range n {
		next <- i
	}
	close(next)
	for range min(n, maxConcurrentCalls) {
		pool.Go(func() {
			for i := range next {
				do(i)
			}
		})
	}
	pool.Wait()
}

func compareBlockedActions(a, b admin.BlockedAction) int {
	return cmp.Or(
		strings.Compare(a.FabricDomain, b.FabricDomain), strings.Compare(a.Service, b.Service), strings.Compare(a.Reason, b.Reason))
}

func (o *statusCollector) entryStatus(ctx context.Context, p member.Peer, live bool) (admin.EntryStatus, []admin.BlockedAction) {
	status := admin.EntryStatus{
		Name: p.Name, Place: p.Place, FailureDomain: p.FailureDomain, AdminAddress: p.AdminAddress,
		Incarnation: p.Incarnation, Live: live, Leaving: p.Leaving,
	}
	answer, err := o.fetchStatus(ctx, p, live)
	if err != nil {
		status.Problem = err.Error()
		return status, nil
	}
	status.SettingsVersion = answer.Version
	status.SettingsSince = answer.Since
	return status, answer.Blocked
}

func (o *statusCollector) fetchStatus(ctx context.Context, p member.Peer, live bool) (selfStatus, error) {
	if p.Self {
		return o.ownStatus(), nil
	}
	if !live && p.State == member.Dead {
		return selfStatus{}, errNotLive
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var answer selfStatus
	err := o.client.Call(ctx, p.PeerAddress, pathStatus, struct{}{}, &answer)
	return answer, err
}

func (o *statusCollector) groups() []admin.GroupStatus {
	var groups []admin.GroupStatus
	for _, c := range o.table.All() {
		groups = append(groups, admin.GroupStatus{
			Group: c.Group, FabricDomain: string(c.Position.FabricDomain), Home: c.Home,
			Whole: c.Status.Whole && c.Status.Epoch == c.Group.Epoch, Problem: c.Status.Reason,
		})
	}
	return groups
}

// Timeline implements operator.TimelineSource.
func (o *statusCollector) Timeline(ctx context.Context, query admin.TimelineQuery) (admin.Timeline, error) {
	peers := o.members.Live()
	answers := make([][]timeline.Event, len(peers))
	missing := make([]bool, len(peers))
	o.forEach(len(peers), func(i int) {
		events, err := o.fetchEvents(ctx, peers[i], query)
		answers[i] = events
		missing[i] = err != nil
	})
	merged := admin.Timeline{Events: latest(timeline.Merge(answers...), query.Limit)}
	for i, p := range peers {
		if missing[i] {
			merged.Missing = append(merged.Missing, p.Name)
		}
	}
	return merged, nil
}

func (o *statusCollector) fetchEvents(ctx context.Context, p member.Peer, query admin.TimelineQuery) ([]timeline.Event, error) {
	if p.Self {
		return o.ownEvents(query), nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var events []timeline.Event
	err := o.client.Call(ctx, p.PeerAddress, pathEvents, query, &events)
	return events, err
}

func (o *statusCollector) ownEvents(query admin.TimelineQuery) []timeline.Event {
	return latest(timeline.Select(o.recorder.Recent(), query.Filter), query.Limit)
}

func latest(events []timeline.Event, limit int) []timeline.Event {
	if limit <= 0 {
		limit = admin.DefaultTimelineLimit
	}
	return events[max(0, len(events)-limit):]
}
