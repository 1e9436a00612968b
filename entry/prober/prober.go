// Package prober implements the health probes that a home sends to the members of its groups.
//
// At each vm.ProbeInterval every member of every group homed at this entry is queued for a pool of workers. The
// results go to the vm.Presence table, which the home consults at each dispatch. A group is whole while every member
// is present. When a group becomes whole or ceases to be whole, the change is broadcast to the other entries.
package prober

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/entry/fleet"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

const (
	// maxConcurrentProbes limits the concurrent probes. A member that does not answer occupies a worker for
	// engine.ProbeTimeout, so sixteen workers can carry 20 silent members at two probes a second.
	maxConcurrentProbes = 16
	// drainPropagationTime is how long the information that a group is draining may take to reach all entries.
	// Users are promised three seconds for a leaving backend server.
	drainPropagationTime = 3 * time.Second
)

// Groups is the part of the group table that the prober uses.
type Groups interface {
	GroupsHomedAt(entry string) []vm.Group
	Group(id vm.GroupID) (vm.Group, platform.Version, bool)
	ApplyReport(report fleet.Report)
}

// Prober probes the members of the groups homed at this entry while Run is running.
type Prober struct {
	self     string
	groups   Groups
	client   engine.Client
	presence *vm.Presence
	recorder *timeline.Recorder
	// loadOf returns the load of a group at this home; broadcast sends a report to the other entries.
	loadOf          func(vm.GroupID) contract.GroupLoad
	broadcast       func(fleet.Report)
	paused          func() bool
	refreshInterval func() time.Duration

	jobs chan job

	mu            sync.Mutex // guards the fields below; only the lock of presence is taken while it is held
	announced     map[vm.GroupID]announcedState
	lastReport    time.Time
	loads         map[vm.GroupID]headLoad
	drainingSince map[vm.GroupID]time.Time // when this home first saw each group draining
	tenures       map[vm.GroupID]tenure
	// lastRound is when the latest round of probes began, resumedAt when the first round after a suspension did.
	lastRound, resumedAt time.Time

	onDemand singleflight.Group // probes made by ProbeIfUnknown, keyed by group
}

// tenure records the first and the most recent time at which this entry was home to a group.
type tenure struct{ firstHomed, lastHomed time.Time }

// headLoad is the load reported by the head of a group, and the time that the report describes.
type headLoad struct {
	load engine.Load
	asOf time.Time
}

type job struct {
	group  vm.Group
	member vm.Member
	// homed reports whether this entry is the home, in which case changes are broadcast.
	homed bool
}

type announcedState struct {
	whole bool
	epoch uint64
	gap   vm.Gap
	drain drainState
}

// drainState describes the progress of a draining group. known is false until remaining is reliable.
type drainState struct {
	known     bool
	remaining int
}

// Deps holds the dependencies of a Prober.
type Deps struct {
	Self      string
	Groups    Groups
	Client    engine.Client
	Presence  *vm.Presence
	Recorder  *timeline.Recorder
	LoadOf    func(vm.GroupID) contract.GroupLoad
	Broadcast func(fleet.Report)
	// RefreshInterval returns how often an unchanged report is sent again, to update the loads in it.
	RefreshInterval func() time.Duration
	// Paused reports whether this process was suspended and has not heard from other entries since.
	Paused func() bool
}

// New returns a Prober.
func New(d Deps) *Prober {
	return &Prober{
		self: d.Self, groups: d.Groups, client: d.Client, presence: d.Presence, recorder: d.Recorder,
		loadOf: d.LoadOf, broadcast: d.Broadcast, paused: d.Paused, refreshInterval: d.RefreshInterval,
		jobs:          make(chan job, 4*maxConcurrentProbes),
		announced:     make(map[vm.GroupID]announcedState),
		loads:         make(map[vm.GroupID]headLoad),
		drainingSince: make(map[vm.GroupID]time.Time),
		tenures:       make(map[vm.GroupID]tenure),
	}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	var pool sync.WaitGroup
	for range maxConcurrentProbes {
		pool.Go(func() { p.runWorker(ctx) })
	}
	defer pool.Wait()
	ticker := time.NewTicker(vm.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.probeAll()
		}
	}
}

// probeAll queues the probes of one interval and broadcasts what changed since the previous one. If the queue is
// full, probes are dropped: the stored answers then expire and the groups count as not whole, which is the safe
// failure mode.
func (p *Prober) probeAll() {
	now := time.Now()
	p.beginRound(now)
	homed := p.groups.GroupsHomedAt(p.self)
	handedOver := p.updateTenures(homed, now)
	for _, group := range homed {
		p.reportIfChanged(group)
		p.enqueue(group, true)
	}
	for _, id := range handedOver {
		if group, _, ok := p.groups.Group(id); ok {
			p.enqueue(group, false)
		}
	}
	p.refreshReport()
}

func (p *Prober) enqueue(group vm.Group, homed bool) {
	for _, member := range group.Members {
		select {
		case p.jobs <- job{group: group, member: member, homed: homed}:
		default:
		}
	}
}

func (p *Prober) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-p.jobs:
			p.probe(ctx, j)
		}
	}
}

func (p *Prober) probe(ctx context.Context, j job) {
	ctx, cancel := context.WithTimeout(ctx, engine.ProbeTimeout)
	defer cancel()
	sent := time.Now()
	state, err := p.client.Probe(ctx, j.member.Address)
	if err != nil || state.VM != j.member.VM {
		return
	}
	p.presence.Record(j.group.ID, j.member.VM, vm.ProbeAnswer{
		Sent: sent, BootID: state.BootID, Group: state.Group, Epoch: state.Epoch,
		Ready: state.Ready, Leaving: state.Leaving,
	})
	if j.member.VM == j.group.Head().VM {
		p.storeLoad(j.group.ID, state.Load, sent)
	}
	if j.homed {
		p.reportIfChanged(j.group)
	}
}

func (p *Prober) storeLoad(id vm.GroupID, load engine.Load, probed time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := probed.Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	p.loads[id] = headLoad{load: load, asOf: asOf}
}

// drainProgress returns how many requests are in progress on a draining group. This home's own count is not
// sufficient: an earlier home of the group may still be streaming an answer from it, and freeing the VMs would
// interrupt that request. The head's count covers all requests but arrives late, so it is used only if it
// describes a time at which every entry had learned that the group is draining.
func (p *Prober) drainProgress(group vm.Group, now time.Time) drainState {
	own := p.loadOf(group.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	if group.State != vm.Draining {
		delete(p.drainingSince, group.ID)
		return drainState{}
	}
	since, seen := p.drainingSince[group.ID]
	if !seen {
		since = now
		p.drainingSince[group.ID] = now
	}
	head := p.loads[group.ID]
	if head.asOf.Before(since.Add(drainPropagationTime)) {
		return drainState{}
	}
	return drainState{known: true, remaining: own.InFlight + own.Queued + head.load.Running + head.load.Waiting}
}

// reportIfChanged broadcasts a report if the group became whole, ceased to be whole, or made progress in draining.
func (p *Prober) reportIfChanged(group vm.Group) {
	if group.State == vm.Forming || p.paused() {
		return
	}
	now := time.Now()
	whole, gap := p.presence.Whole(&group, now)
	if p.isUnknown(group.ID, gap.Reason, now) {
		return
	}
	next := announcedState{whole: whole, epoch: group.Epoch, gap: gap, drain: p.drainProgress(group, now)}
	before, known := p.setAnnounced(group.ID, next)
	if known && before.equivalent(next) {
		return
	}
	p.report(now)
	if !known || before.whole != whole || before.epoch != group.Epoch {
		p.recordChange(group, whole, gap)
	}
}

// equivalent reports whether nothing changed that other entries depend on.
func (t announcedState) equivalent(next announcedState) bool {
	return t.whole == next.whole && t.epoch == next.epoch && t.drain == next.drain
}

func (p *Prober) setAnnounced(id vm.GroupID, next announcedState) (before announcedState, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, known = p.announced[id]
	p.announced[id] = next
	return before, known
}

// report broadcasts the state of all groups homed at this entry.
func (p *Prober) report(now time.Time) {
	report := fleet.Report{Home: p.self, HLCTime: p.recorder.Now(), Statuses: p.statuses(now)}
	p.groups.ApplyReport(report)
	p.broadcast(report)
}

func (p *Prober) statuses(now time.Time) []fleet.Status {
	p.mu.Lock()
	p.lastReport = now
	var statuses []fleet.Status
	for id, t := range p.announced {
		statuses = append(statuses, fleet.Status{
			Group: id, Epoch: t.epoch, Whole: t.whole, Reason: t.gap.String(), Drained: t.drain.known, Remaining: t.drain.remaining,
		})
	}
	p.mu.Unlock()
	for i := range statuses {
		statuses[i].Load = p.loadOf(statuses[i].Group)
	}
	return statuses
}

// refreshReport sends the report again if it has not been sent for RefreshInterval, to update the loads in it.
func (p *Prober) refreshReport() {
	now := time.Now()
	p.mu.Lock()
	due := len(p.announced) > 0 && now.Sub(p.lastReport) >= p.refreshInterval()
	p.mu.Unlock()
	if due && !p.paused() {
		p.report(now)
	}
}

func (p *Prober) recordChange(group vm.Group, whole bool, gap vm.Gap) {
	event := timeline.Event{Kind: timeline.GroupWhole, Group: string(group.ID), Service: group.Service, Version: group.Epoch}
	if !whole {
		event.Kind = timeline.GroupNotWhole
		event.VM = string(gap.VM)
		event.Detail = string(gap.Reason)
	}
	p.recorder.Record(event)
}
