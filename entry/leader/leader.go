// Package leader implements the duties of the leader, the entry that holds the lease and coordinates all entries. An
// entry is one proxy process that callers connect to. The other entries are the leader's followers; the leader is also
// a follower of its own.
//
// The leader grants turns, each of which is the permission to send one request to one group; has groups checked that
// have stopped answering; and broadcasts changes of the platform's objects, so that not every entry has to read them.
package leader

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/capacity"
	"github.com/skylarkpond/skylarkpond/policy/reach"
	"github.com/skylarkpond/skylarkpond/policy/standing"
	policy "github.com/skylarkpond/skylarkpond/policy/turns"
)

// Deps holds the dependencies of a Leader.
type Deps struct {
	// IsLeader reports whether this entry is the leader.
	IsLeader func() bool
	Listing  func() *backend.Listing
	// ListAge returns how long ago the listing was last known to be current.
	ListAge func() time.Duration
	Table   func() *route.Table
	// Dissolving reports whether a group is being dissolved although it is still listed as open.
	Dissolving func(key backend.GroupKey) bool
	// UnregisteredMembers returns the number of members of a group that are running although they are not registered.
	// It may be nil.
	UnregisteredMembers func(key backend.GroupKey) int
	// Slowdown returns the factor by which a group works slower than normal. It may be nil.
	Slowdown func(key backend.GroupKey) float64
	// Standing returns what is known of a server that decides whether it may be granted turns. It may be nil.
	Standing func(server *backend.Server) standing.Standing
	// SetUnreachable records whether connections to a server fail. It may be nil.
	SetUnreachable func(server *backend.Server, unreachable bool)
	// HearCold records that a server is cold, and reports whether that is new.
	HearCold func(cold link.Cold) bool
	// StallReported is called when an entry reports that a head has stopped answering. It may be nil.
	StallReported func(entry string, head backend.ID)
	// Blind reports whether this entry can't judge groups, because it has lost its connections to the servers while others have not. It may be
	// nil.
	Blind func() bool
	// Suspect starts a check of a group whose head has stopped answering.
	Suspect func(group backend.GroupKey)
	// Config returns the version and the text of the configuration in force. OfferConfig offers a configuration, which
	// takes effect if it is newer.
	Config      func() (uint64, json.RawMessage)
	OfferConfig func(spec json.RawMessage)
	// ReportDemand is called for each model once in demandInterval while this entry is the leader.
	ReportDemand func(demand policy.Demand)
	// ChangesSince returns the changes of a kind of objects since a revision, or false if they are no longer known.
	ChangesSince func(kind store.Kind, revision store.Version) (catalog.ChangeSet, bool)
	// Snapshot returns all objects of a kind, and only the routable ones of the servers, or false while this entry doesn't know them.
	Snapshot func(kind store.Kind) (catalog.ChangeSet, bool)
	// Ages returns, for each kind of objects, how long ago this entry's copy was known to be current.
	Ages func() []link.Age
	// LeaseVersion returns the version of the lease at its last renewal.
	LeaseVersion func() uint64
	// LinkMbps is the bandwidth of this entry's link in Mbit/s; 0 if unknown.
	LinkMbps float64
	// Confirmed reports whether it is confirmed that no other entry is the leader.
	Confirmed func() bool
	// AnnounceLeaving records that a server has said that it is leaving, and returns false if that is known. AnnouncedLeaving returns all such
	// servers.
	AnnounceLeaving  func(leaving link.Leaving) bool
	AnnouncedLeaving func() []link.Leaving
	// KnownLimits returns the limits of servers that this entry knows as a follower. It is called with the Leader's lock held.
	KnownLimits func() []link.ServerLimit
	// LimitHeard is called with a limit that a follower reports while this entry is not leading. It is called with the Leader's lock held, and may be nil.
	LimitHeard func(limit link.ServerLimit)
	// ReportLimit is called when the limit of a server changes. It is called with the Leader's lock held.
	ReportLimit func(change LimitChange)
	// RoundEnded is called after each round of the periodic work, whether or not this entry is the leader.
	RoundEnded func()
	// ReportHolds is called when the requests of a service that are held back, because they crash servers, change.
	ReportHolds func(holds link.Holds)
	// ReserveForNew keeps slots free for new requests while callers return after failed attempts.
	ReserveForNew bool
	// ReportReturning is called once in demandInterval for each model to which callers return; nil unless ReserveForNew is set.
	ReportReturning func(count policy.ReturningCount)
}

// Leader implements link/leader.Handler. It is safe for concurrent use.
type Leader struct {
	deps    Deps
	started time.Time
	objects objectMessages

	mu sync.Mutex // guards the fields below; several Deps are called while it is held, and must not call the Leader
	// turns is replaced when this entry ceases to be the leader; its successor knows the turns that followers hold.
	turns     *policy.Scheduler
	followers map[string]*follower
	leading   bool
	// leadingSince is when this entry became the leader.
	leadingSince time.Time
	// renewedAt is when the followers were last told that the lease was renewed.
	renewedAt time.Time
	// progress is how far the changes of each kind were broadcast.
	progress map[store.Kind]*progress
	// engines holds the performance parameters of the groups of each model.
	engines map[string]capacity.Engine
	// demand is the average demand for each model while this entry is the leader.
	demand map[string]*modelDemand
	// announced holds the live entries that the followers were last sent. newFollowers holds the followers that have
	// not been sent any yet.
	announced    map[string]bool
	newFollowers map[string]bool
	holds        *holdTracker
	limits       *limitTracker
	// failures holds the failed connections that followers have reported.
	failures reach.Failures
	// pausedProcesses holds the process of each server that has asked an entry for a pause; 0 if unknown.
	pausedProcesses map[backend.ID]int64
	// probes holds the indirect probes in progress by number; lastProbe is the number of the latest.
	probes    map[uint64]indirectProbe
	lastProbe uint64
	// isolated holds the followers that have lost their connections to the servers, and isolationChanged those of which the followers have yet
	// to be told.
	isolated, isolationChanged map[string]bool
	// requestSeen reports that some entry has received a caller's request. It is never reset.
	requestSeen bool
}

// recipient is a follower, or this entry itself.
type recipient interface {
	Send(message link.Down)
	SendShared(message *link.Shared)
}

// follower is an entry that is linked to this one.
type follower struct {
	recipient
	// routableOnly reports that it holds only the routable servers.
	routableOnly bool
	// awaitsSnapshot holds the kinds of which it has yet to be sent all objects.
	awaitsSnapshot map[store.Kind]bool
}

func (f *follower) awaitSnapshot(kind store.Kind) {
	if f.awaitsSnapshot == nil {
		f.awaitsSnapshot = make(map[store.Kind]bool)
	}
	f.awaitsSnapshot[kind] = true
}

// New returns a Leader that is not leading.
func New(deps Deps) *Leader {
	return &Leader{
		deps: deps, started: time.Now(), turns: policy.New(turnsConfig(deps)), followers: make(map[string]*follower),
		probes: make(map[uint64]indirectProbe), demand: make(map[string]*modelDemand),
		progress: make(map[store.Kind]*progress), announced: make(map[string]bool), newFollowers: make(map[string]bool),
		holds: newHoldTracker(), limits: newLimitTracker(), pausedProcesses: make(map[backend.ID]int64), isolated: make(map[string]bool), isolationChanged: make(map[string]bool),
	}
}

const (
	// tickInterval is how often the queues of waiting requests are processed.
	tickInterval = 20 * time.Millisecond
	// refreshInterval is how often the groups are read from the listing, in addition to each of its changes.
	refreshInterval = 100 * time.Millisecond
)

// Run runs the leader's periodic work until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var last schedule
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.round(&last)
		l.deps.RoundEnded()
	}
}

// schedule holds when the work was last done that is not part of each round.
type schedule struct{ groupsAt, demandAt time.Time }

func (l *Leader) round(last *schedule) {
	if !l.deps.IsLeader() {
		l.stepDown()
		l.BroadcastLimits() // linked followers decide without a leader until there is one, and may have heard different limits
		return
	}
	if time.Since(last.groupsAt) >= refreshInterval {
		last.groupsAt = time.Now()
		l.RefreshGroups()
		l.BroadcastIsolation()
		l.SweepLimits()
		l.SweepPauses()
		l.sweepFailures()
	}
	l.SendSnapshots()
	l.BroadcastHolds()
	l.BroadcastLimits()
	l.mu.Lock()
	l.turns.SetConfirmed(l.now(), l.deps.Confirmed())
	l.sendDecisions(l.turns.Tick(l.now(), rand.Float64))
	l.mu.Unlock()
	if time.Since(last.demandAt) >= demandInterval {
		last.demandAt = time.Now()
		l.MeasureDemand()
	}
}

func (l *Leader) now() time.Duration { return time.Since(l.started) }

// RefreshGroups updates the available groups from the listing and the route table. Its first call makes this entry
// grant turns, if it is the leader.
func (l *Leader) RefreshGroups() {
	if !l.deps.IsLeader() {
		return
	}
	table := l.deps.Table()
	if table == nil {
		return
	}
	listing := l.deps.Listing()
	if listing.Revision == 0 || listing.RoutableOnly {
		return // no complete list has been read yet: without it, every request would be rejected for want of a server
	}
	var groups []policy.Group
	engines := make(map[string]capacity.Engine)
	for _, service := range table.Services {
		if service.Engine == nil {
			groups = append(groups, l.limitedServers(service, listing.ByService[service.Name])...)
			continue
		}
		for _, model := range service.Engine.Models {
			key := modelKey(service.Name, model.Name)
			engines[key] = service.Engine.Capacity(model)
			for _, head := range l.heads(service, model, listing.ByService[service.Name]) {
				groups = append(groups, policy.Group{Head: string(head.ID), Model: key, Standing: l.standing(head), Engine: engines[key].SlowedBy(l.slowdown(head))})
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		l.leading = true
		l.leadingSince = time.Now()
		l.adoptLimits(l.deps.KnownLimits())
	}
	l.engines = engines
	l.sendDecisions(l.turns.SetGroups(l.now(), groups, rand.Float64))
}

// heads returns the heads of a model's groups that accept requests.
func (l *Leader) heads(service route.Service, model route.Model, servers []*backend.Server) []*backend.Server {
	heads := turn.Heads(servers, service.Engine, model.Name, l.deps.UnregisteredMembers)
	return slices.DeleteFunc(heads, func(head *backend.Server) bool { return l.deps.Dissolving(head.Group.GroupKey) })
}

// slowdown returns the factor by which the group of a head works slower than normal.
func (l *Leader) slowdown(head *backend.Server) float64 {
	if l.deps.Slowdown == nil {
		return 1
	}
	return l.deps.Slowdown(head.Group.GroupKey)
}

// Joined implements link/leader.Handler.
func (l *Leader) Joined(follower *link.Follower, hello link.Hello) {
	l.Join(follower.Entry, follower, hello)
}

// Join adds an entry as a follower.
func (l *Leader) Join(entry string, to recipient, hello link.Hello) {
	joining := &follower{recipient: to, routableOnly: hello.RoutableOnly}
	l.catchUp(joining, hello.Revisions)
	announced := l.deps.AnnouncedLeaving()
	l.mu.Lock()
	l.followers[entry] = joining
	l.newFollowers[entry] = true
	l.sendHolds(to)
	l.sendIsolation(to)
	l.adoptLimits(hello.Limits)
	l.sendLimits(to)
	l.sendLeaving(to, announced)
	for _, pause := range hello.Pauses {
		l.applyPause(entry, pause)
	}
	for _, holds := range hello.Holds {
		l.adoptHolds(holds)
	}
	for _, crash := range hello.Crashes {
		l.addCrash(crash)
	}
	l.mu.Unlock()
	l.hearCold(hello.Cold)
	l.sendNewerConfig(to, hello.ConfigVersion)
	l.confirmLeadership(to)
}

// Received implements link/leader.Handler.
func (l *Leader) Received(follower *link.Follower, message link.Up) {
	l.Receive(follower.Entry, follower, message)
}

// Receive handles a message from an entry.
func (l *Leader) Receive(entry string, from recipient, message link.Up) {
	switch {
	case message.HeldTurns != nil:
		l.reconcile(entry, message.HeldTurns.Running)
	case message.TurnRequest != nil:
		l.submit(entry, from, *message.TurnRequest)
	case message.Done != nil:
		l.done(entry, *message.Done)
	case message.StalledHead != "":
		if l.deps.StallReported != nil {
			l.deps.StallReported(entry, message.StalledHead)
		}
		l.suspect(entry, message.StalledHead)
	case message.Config != nil:
		l.deps.OfferConfig(message.Config.Spec)
	case message.ProbeResult != nil:
		l.handleProbeResult(*message.ProbeResult)
	case message.Crash != nil:
		l.mu.Lock()
		l.addCrash(*message.Crash)
		l.mu.Unlock()
	case message.Finished != nil:
		l.addFinished(*message.Finished)
	case message.ConfigVersion != 0:
		l.sendNewerConfig(from, message.ConfigVersion)
	case message.Isolation != nil:
		l.setIsolated(entry, message.Isolation.Isolated)
	case message.LimitReport != nil:
		l.hearLimit(entry, *message.LimitReport)
	case message.Pause != nil:
		l.mu.Lock()
		l.applyPause(entry, *message.Pause)
		l.mu.Unlock()
	case len(message.Leaving) > 0:
		l.hearLeaving(message.Leaving)
	case len(message.Cold) > 0:
		l.hearCold(message.Cold)
	case message.Accepted != 0:
		l.mu.Lock()
		l.sendDecisions(l.turns.Accepted(l.now(), turnKey(entry, message.Accepted), rand.Float64))
		l.mu.Unlock()
	case message.RequestSeen:
		l.mu.Lock()
		l.requestSeen = true
		l.mu.Unlock()
	}
}

// RequestSeen reports whether any entry has told this one of a caller's request.
func (l *Leader) RequestSeen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requestSeen
}

// Left implements link/leader.Handler. The turns of a dead entry end with it, because the servers abort its requests.
// An entry that only lost its link reports its turns again when it reconnects.
func (l *Leader) Left(follower *link.Follower) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if linked := l.followers[follower.Entry]; linked == nil || linked.recipient != recipient(follower) {
		return // the follower has reconnected on a newer link
	}
	delete(l.followers, follower.Entry)
	if l.isolated[follower.Entry] {
		delete(l.isolated, follower.Entry)
		l.isolationChanged[follower.Entry] = true
	}
	l.forgetHolds()
	l.sendDecisions(l.turns.Forget(l.now(), follower.Entry+"/", rand.Float64))
}

// FollowerCount returns the number of linked entries, including this one.
func (l *Leader) FollowerCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.followers)
}

// Links reports whether an entry is linked to this one.
func (l *Leader) Links(entry string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.followers[entry] != nil
}

// QueuedBytes returns the size of the messages that wait to be sent, over all followers. Messages that several followers are sent count for
// each of them.
func (l *Leader) QueuedBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	queued := 0
	for _, to := range l.followers {
		if linked, ok := to.recipient.(*link.Follower); ok {
			queued += linked.QueuedBytes()
		}
	}
	return queued
}
