// Package prober is the part of a home that asks the members of its groups how they are.
//
// The flow: every vm.ProbeInterval each member of each homed group is handed to a pool of workers; answers go
// to the vm.Presence table, which the home asks at each dispatch; when a group becomes whole, or no
// longer is, the change is told to the other entries.
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
	// workers bounds the probes under way. A member that does not answer holds a worker for
	// engine.ProbeTimeout, so sixteen carry 20 silent members at two probes a second.
	workers = 16
	// spreadTime is how long the news that a group drains may take to all entries; three seconds is what the
	// users are promised for a leaving backend server.
	spreadTime = 3 * time.Second
)

// Groups is the table of groups.
type Groups interface {
	GroupsHomedAt(entry string) []vm.Group
	Group(id vm.GroupID) (vm.Group, platform.Version, bool)
	ApplyReport(report fleet.Report)
}

// Prober probes. Run makes it work.
type Prober struct {
	self     string
	groups   Groups
	client   engine.Client
	presence *vm.Presence
	recorder *timeline.Recorder
	// loadOf gives the load of a group at this home; tell spreads a report among the entries.
	loadOf   func(vm.GroupID) contract.GroupLoad
	tell     func(fleet.Report)
	paused   func() bool
	interval func() time.Duration

	jobs chan job

	mu       sync.Mutex // guards what follows; only the lock of presence is taken under it
	told     map[vm.GroupID]told
	reported time.Time
	loads    map[vm.GroupID]headLoad
	draining map[vm.GroupID]time.Time // when this home first saw the group draining
	tenures  map[vm.GroupID]tenure

	probing singleflight.Group // probes on demand, by group
}

// tenure is for how long this entry has been home to a group.
type tenure struct{ first, last time.Time }

// headLoad is what the head of a group reported, and the time for which it is true.
type headLoad struct {
	load engine.Load
	asOf time.Time
}

type job struct {
	group  vm.Group
	member vm.Member
	// homed says that this entry is the home, so that others are told what changed.
	homed bool
}

type told struct {
	whole bool
	epoch uint64
	gap   vm.Gap
	drain drain
}

// drain says how far a draining group is.
type drain struct {
	sure      bool
	remaining int
}

// Deps are what a Prober works with.
type Deps struct {
	Self      string
	Groups    Groups
	Client    engine.Client
	Presence  *vm.Presence
	Recorder  *timeline.Recorder
	LoadOf    func(vm.GroupID) contract.GroupLoad
	Broadcast func(fleet.Report)
	// RefreshInterval is how often an unchanged report is told again, for the loads in it.
	RefreshInterval func() time.Duration
	// Paused says that this process was stopped for a while and has not yet heard from others since.
	Paused func() bool
}

// New returns a prober.
func New(d Deps) *Prober {
	return &Prober{
		self: d.Self, groups: d.Groups, client: d.Client, presence: d.Presence, recorder: d.Recorder,
		loadOf: d.LoadOf, tell: d.Broadcast, paused: d.Paused, interval: d.RefreshInterval,
		jobs:     make(chan job, 4*workers),
		told:     make(map[vm.GroupID]told),
		loads:    make(map[vm.GroupID]headLoad),
		draining: make(map[vm.GroupID]time.Time),
		tenures:  make(map[vm.GroupID]tenure),
	}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	var pool sync.WaitGroup
	for range workers {
		pool.Go(func() { p.work(ctx) })
	}
	defer pool.Wait()
	ticker := time.NewTicker(vm.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.round()
		}
	}
}

// round hands out the probes of one interval and tells what changed since the last. A full queue drops
// probes: answers then grow stale and groups count as not whole, which is the safe side.
func (p *Prober) round() {
	homed := p.groups.GroupsHomedAt(p.self)
	left := p.noteHomed(homed, time.Now())
	for _, group := range homed {
		p.tellChange(group)
		p.hand(group, true)
	}
	for _, id := range left {
		if group, _, ok := p.groups.Group(id); ok {
			p.hand(group, false)
		}
	}
	p.refresh()
}

func (p *Prober) hand(group vm.Group, homed bool) {
	for _, member := range group.Members {
		select {
		case p.jobs <- job{group: group, member: member, homed: homed}:
		default:
		}
	}
}

func (p *Prober) work(ctx context.Context) {
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
	p.presence.Record(j.group.ID, j.member.VM, vm.Answer{
		Sent: sent, BootID: state.BootID, Group: state.Group, Epoch: state.Epoch,
		Ready: state.Ready, Leaving: state.Leaving,
	})
	if j.member.VM == j.group.Head().VM {
		p.keepLoad(j.group.ID, state.Load, sent)
	}
	if j.homed {
		p.tellChange(j.group)
	}
}

func (p *Prober) keepLoad(id vm.GroupID, load engine.Load, probed time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := probed.Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	p.loads[id] = headLoad{load: load, asOf: asOf}
}

// drainOf says how many requests are at work on a draining group. The own count is not enough: a home
// that had the group before may still be streaming an answer from it, and freeing the VMs would cut that
// request. The head knows of all, but reports late; so its report counts only if it is true for a time at
// which every entry had heard that the group drains.
func (p *Prober) drainOf(group vm.Group, now time.Time) drain {
	own := p.loadOf(group.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	if group.State != vm.Draining {
		delete(p.draining, group.ID)
		return drain{}
	}
	since, seen := p.draining[group.ID]
	if !seen {
		since = now
		p.draining[group.ID] = now
	}
	head := p.loads[group.ID]
	if head.asOf.Before(since.Add(spreadTime)) {
		return drain{}
	}
	return drain{sure: true, remaining: own.InFlight + own.Queued + head.load.Running + head.load.Waiting}
}

// tellChange tells the others if the group became whole or no longer is, or drained further.
func (p *Prober) tellChange(group vm.Group) {
	if group.State == vm.Forming || p.paused() {
		return
	}
	now := time.Now()
	whole, gap := p.presence.Whole(&group, now)
	if gap.Why == vm.WhySilent && p.settling(group.ID, now) {
		return
	}
	next := told{whole: whole, epoch: group.Epoch, gap: gap, drain: p.drainOf(group, now)}
	before, known := p.note(group.ID, next)
	if known && before.same(next) {
		return
	}
	p.report(now)
	if !known || before.whole != whole || before.epoch != group.Epoch {
		p.recordChange(group, whole, gap)
	}
}

// same says whether nothing changed that others go by.
func (t told) same(next told) bool {
	return t.whole == next.whole && t.epoch == next.epoch && t.drain == next.drain
}

func (p *Prober) note(id vm.GroupID, next told) (before told, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, known = p.told[id]
	p.told[id] = next
	return before, known
}

// report tells the others of all homed groups.
func (p *Prober) report(now time.Time) {
	report := fleet.Report{Home: p.self, HLCTime: p.recorder.Now(), Statuses: p.statuses(now)}
	p.groups.ApplyReport(report)
	p.tell(report)
}

func (p *Prober) statuses(now time.Time) []fleet.Status {
	p.mu.Lock()
	p.reported = now
	var statuses []fleet.Status
	for id, t := range p.told {
		statuses = append(statuses, fleet.Status{
			Group: id, Epoch: t.epoch, Whole: t.whole, Reason: t.gap.String(), Drained: t.drain.sure, Remaining: t.drain.remaining,
		})
	}
	p.mu.Unlock()
	for i := range statuses {
		statuses[i].Load = p.loadOf(statuses[i].Group)
	}
	return statuses
}

// refresh reports again if nothing changed for a while, for the loads in it.
func (p *Prober) refresh() {
	now := time.Now()
	p.mu.Lock()
	due := len(p.told) > 0 && now.Sub(p.reported) >= p.interval()
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
		event.Detail = string(gap.Why)
	}
	p.recorder.Record(event)
}
