package leader

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/policy/capacity"
	"github.com/skylarkpond/skylarkpond/policy/quota"
	policy "github.com/skylarkpond/skylarkpond/policy/turns"
)

// LimitChange is a change of the limit of a server.
type LimitChange struct {
	Server backend.ID
	// Was and Now are in requests a second; nil for no limit.
	Was, Now *float64
	// Source is the entry that reported it; empty if the server's process has ended.
	Source string
}

// limitTracker records the limits of all servers. It is guarded by the leader's mutex.
type limitTracker struct {
	ledger *quota.Ledger
	// changed holds the servers whose limits the followers have yet to be told.
	changed map[backend.ID]bool
	// toldAt holds when they were last told of a server that has a limit.
	toldAt map[backend.ID]time.Duration
}

func newLimitTracker() *limitTracker {
	return &limitTracker{
		ledger: quota.NewLedger(rand.Uint64() >> 1), changed: make(map[backend.ID]bool), toldAt: make(map[backend.ID]time.Duration),
	}
}

// limitValueInterval is the shortest interval at which the followers are told of changes of one server's limit. That a server has a limit, or has
// none any more, they are told at once: how high it is matters to the leader alone.
const limitValueInterval = time.Second

// limitOf returns the limit of a server; nil for none.
func (t *limitTracker) limitOf(server backend.ID) *float64 {
	known, ok := t.ledger.Limit(string(server))
	if !ok {
		return nil
	}
	return &known.PerSecond
}

// hearLimit applies what a server stated in an answer to an entry. A leader that has lost the lease, and decides by itself as its followers do, is
// bound by what they have heard.
func (l *Leader) hearLimit(entry string, report link.LimitReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading && report.PerSecond != nil && l.deps.LimitHeard != nil {
		l.deps.LimitHeard(link.ServerLimit{Server: report.Server, Process: report.Process, PerSecond: *report.PerSecond, Source: entry})
	}
	l.applyLimit(report.Server, quota.Statement{Process: report.Process, PerSecond: report.PerSecond, Basis: report.Basis, Source: entry}, l.turns.SetLimit)
}

// setLimit is the method of the scheduler for a limit: SetLimit if the server has just stated it, InheritLimit if an earlier leader has told it.
type setLimit func(now time.Duration, server string, perSecond float64, random func() float64) []policy.Decision

// applyLimit must be called with l.mu held.
func (l *Leader) applyLimit(server backend.ID, statement quota.Statement, set setLimit) {
	was := l.limits.limitOf(server)
	if l.limits.ledger.Hear(l.now(), string(server), statement) {
		l.limitChanged(server, was, statement.Source, set)
	}
}

// limitChanged must be called with l.mu held.
func (l *Leader) limitChanged(server backend.ID, was *float64, source string, set setLimit) {
	l.limits.changed[server] = true
	now := l.limits.limitOf(server)
	if now == nil {
		l.sendDecisions(l.turns.ClearLimit(l.now(), string(server), rand.Float64))
	} else {
		l.sendDecisions(set(l.now(), string(server), *now, rand.Float64))
	}
	l.deps.ReportLimit(LimitChange{Server: server, Was: was, Now: now, Source: source})
}

// adoptLimits takes over limits that a follower knows from an earlier leader. It must be called with l.mu held.
func (l *Leader) adoptLimits(known []link.ServerLimit) {
	for _, limit := range known {
		l.applyLimit(limit.Server, quota.Statement{Process: limit.Process, PerSecond: &limit.PerSecond, Source: limit.Source}, l.turns.InheritLimit)
	}
}

// SweepLimits ends the limits of servers whose processes have ended.
func (l *Leader) SweepLimits() {
	listing := l.deps.Listing()
	if listing.Revision == 0 || listing.RoutableOnly {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := make(map[string]float64, l.limits.ledger.Servers())
	l.limits.ledger.All(func(server string, known quota.Known) { before[server] = known.PerSecond })
	removed := l.limits.ledger.Sweep(l.now(), func(server string) (int64, bool) {
		listed := listing.Servers[backend.ID(server)]
		if listed == nil {
			return 0, false
		}
		return listed.StartedAtMillis, true
	})
	for _, server := range removed {
		was := before[server]
		l.limitChanged(backend.ID(server), &was, "", l.turns.SetLimit)
	}
}

// BroadcastLimits tells the followers which limits have changed since the last call.
func (l *Leader) BroadcastLimits() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.limits.changed) == 0 {
		return
	}
	var changes link.LimitChanges
	now := l.now()
	for _, server := range slices.Sorted(maps.Keys(l.limits.changed)) {
		known, limited := l.limits.ledger.Limit(string(server))
		toldAt, told := l.limits.toldAt[server]
		switch {
		case !limited:
			changes.Lifted = append(changes.Lifted, server)
			delete(l.limits.toldAt, server)
		case told && now-toldAt < limitValueInterval:
			continue
		default:
			changes.Limits = append(changes.Limits, l.serverLimit(server, known))
			l.limits.toldAt[server] = now
		}
		delete(l.limits.changed, server)
	}
	if len(changes.Limits)+len(changes.Lifted) > 0 {
		l.sendToAll(&link.Shared{Down: link.Down{LimitChanges: &changes}})
	}
}

func (l *Leader) serverLimit(server backend.ID, known quota.Known) link.ServerLimit {
	return link.ServerLimit{
		Server: server, Process: known.Process, PerSecond: known.PerSecond, Version: known.Version, Source: known.Source,
		AgeMs: max(0, l.now()-known.At).Milliseconds(),
	}
}

// sendLimits sends a new follower all limits. Those that it knew itself are among them. It must be called with l.mu held.
func (l *Leader) sendLimits(to recipient) {
	if l.limits.ledger.Servers() == 0 {
		return
	}
	changes := link.LimitChanges{Complete: true}
	l.limits.ledger.All(func(server string, known quota.Known) {
		changes.Limits = append(changes.Limits, l.serverLimit(backend.ID(server), known))
	})
	to.Send(link.Down{LimitChanges: &changes})
}

// limitedServers returns those servers of a plain service that have a limit or are cold. Entries ask for turns at these alone, and choose among the others
// themselves. With cost routing it returns the others as well, marked as plain: turns are granted at them while one rejects more than the others.
func (l *Leader) limitedServers(service route.Service, servers []*backend.Server) []policy.Group {
	l.mu.Lock()
	defer l.mu.Unlock()
	var limited []policy.Group
	for _, server := range servers {
		known := l.standing(server)
		free := l.limits.limitOf(server.ID) == nil && !known.Limited()
		if server.Leaving || known.Blocked || free && !l.deps.CostRouting {
			continue
		}
		limited = append(limited, policy.Group{
			Head: string(server.ID), Model: modelKey(service.Name, ""), Standing: known, Engine: capacity.Engine{Slots: max(1, server.Slots)},
			Plain: free,
		})
	}
	return limited
}
