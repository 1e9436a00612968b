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

// Paths of the calls that gather for an operator.
const (
	pathStatus = "/peer/v1/status"
	pathEvents = "/peer/v1/events"
)

const (
	// gatherTimeout bounds one question to one entry.
	gatherTimeout = 2 * time.Second
	// gatherers bounds the questions under way.
	gatherers = 16
)

// selfStatus is what an entry says of itself.
type selfStatus struct {
	// Version is that of the settings in force.
	Version uint64 `cbor:"1,keyasint"`
	// Since is in Unix milliseconds, by the answering entry's clock.
	Since int64 `cbor:"2,keyasint"`
	// Held is what the entry can't do as a controller.
	Held []admin.BlockedAction `cbor:"3,keyasint,omitempty"`
}

// overview gathers status and time lines over all entries, when an operator asks. Between questions it
// costs nothing.
type overview struct {
	self     string
	members  *member.Members
	table    *fleet.Table
	inForce  *settingsInForce
	client   *peer.Client
	recorder *timeline.Recorder
	// controller is this entry's own.
	controller *controller.Controller
}

func (o *overview) register(server *peer.Server) {
	peer.Handle(server, pathStatus, func(context.Context, string, struct{}) (selfStatus, error) {
		return o.ownStatus(), nil
	})
	peer.Handle(server, pathEvents, func(_ context.Context, _ string, query admin.TimelineQuery) ([]timeline.Event, error) {
		return o.ownEvents(query), nil
	})
}

func (o *overview) ownStatus() selfStatus {
	return selfStatus{Version: o.inForce.Snapshot().Version, Since: o.inForce.Since().UnixMilli(), Held: o.ownHeld()}
}

func (o *overview) ownHeld() []admin.BlockedAction {
	var held []admin.BlockedAction
	for _, status := range o.controller.Status() {
		domain := string(status.Domain)
		for service, reason := range status.Held {
			held = append(held, admin.BlockedAction{FabricDomain: domain, Service: service, Reason: reason})
		}
		if status.Problem != "" {
			held = append(held, admin.BlockedAction{FabricDomain: domain, Reason: status.Problem})
		}
	}
	return held
}

// Status implements operator.StatusSource.
func (o *overview) Status(ctx context.Context) (admin.Status, error) {
	status := admin.Status{Reporter: o.self, ReportedAt: time.Now().UnixMilli(), Groups: o.groups()}
	peers := append(o.members.Peers(), o.members.Self())
	status.Entries = make([]admin.EntryStatus, len(peers))
	held := make([][]admin.BlockedAction, len(peers))
	live := o.liveNames()
	o.gather(len(peers), func(i int) {
		status.Entries[i], held[i] = o.entryStatus(ctx, peers[i], live[peers[i].Name])
	})
	status.BlockedActions = slices.Concat(held...)
	slices.SortFunc(status.BlockedActions, compareHeld)
	slices.SortFunc(status.Entries, func(a, b admin.EntryStatus) int { return strings.Compare(a.Name, b.Name) })
	return status, nil
}

func (o *overview) liveNames() map[string]bool {
	live := make(map[string]bool)
	for _, p := range o.members.Live() {
		live[p.Name] = true
	}
	return live
}

// gather calls do for 0 to n-1 by a bounded number of workers.
func (o *overview) gather(n int, do func(i int)) {
	var pool sync.WaitGroup
	next := make(chan int, n)
	for i := range n {
		next <- i
	}
	close(next)
	for range min(n, gatherers) {
		pool.Go(func() {
			for i := range next {
				do(i)
			}
		})
	}
	pool.Wait()
}

func compareHeld(a, b admin.BlockedAction) int {
	return cmp.Or(
		strings.Compare(a.FabricDomain, b.FabricDomain), strings.Compare(a.Service, b.Service), strings.Compare(a.Reason, b.Reason))
}

func (o *overview) entryStatus(ctx context.Context, p member.Peer, live bool) (admin.EntryStatus, []admin.BlockedAction) {
	status := admin.EntryStatus{
		Name: p.Name, Place: p.Place, FailureDomain: p.FailureDomain, AdminAddress: p.AdminAddress,
		Incarnation: p.Incarnation, Live: live, Leaving: p.Leaving,
	}
	answer, err := o.askStatus(ctx, p, live)
	if err != nil {
		status.Problem = err.Error()
		return status, nil
	}
	status.SettingsVersion = answer.Version
	status.SettingsSince = answer.Since
	return status, answer.Held
}

func (o *overview) askStatus(ctx context.Context, p member.Peer, live bool) (selfStatus, error) {
	if p.Self {
		return o.ownStatus(), nil
	}
	if !live && p.State == member.Dead {
		return selfStatus{}, errNotLive
	}
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var answer selfStatus
	err := o.client.Call(ctx, p.PeerAddress, pathStatus, struct{}{}, &answer)
	return answer, err
}

func (o *overview) groups() []admin.GroupStatus {
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
func (o *overview) Timeline(ctx context.Context, query admin.TimelineQuery) (admin.Timeline, error) {
	peers := o.members.Live()
	answers := make([][]timeline.Event, len(peers))
	missing := make([]bool, len(peers))
	o.gather(len(peers), func(i int) {
		events, err := o.askEvents(ctx, peers[i], query)
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

func (o *overview) askEvents(ctx context.Context, p member.Peer, query admin.TimelineQuery) ([]timeline.Event, error) {
	if p.Self {
		return o.ownEvents(query), nil
	}
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var events []timeline.Event
	err := o.client.Call(ctx, p.PeerAddress, pathEvents, query, &events)
	return events, err
}

func (o *overview) ownEvents(query admin.TimelineQuery) []timeline.Event {
	return latest(timeline.Select(o.recorder.Recent(), query.Filter), query.Limit)
}

func latest(events []timeline.Event, limit int) []timeline.Event {
	if limit <= 0 {
		limit = admin.DefaultTimelineLimit
	}
	return events[max(0, len(events)-limit):]
}
