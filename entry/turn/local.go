package turn

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/internal/wait"
)

// Local grants turns from the knowledge of this entry alone: the registered servers, its own requests in progress, and
// the load that servers report in their answers.
type Local struct {
	listing func() *backend.Listing
	// listAge returns how long ago the listing was last known to be current.
	listAge func() time.Duration
	table   func() *route.Table
	limits  Limits
	pauses  Pauses

	mu    sync.Mutex // guards the fields below; no other lock of this package is taken while it is held, but those of pauses
	loads map[backend.ID]*load
	// runningFor is for how long this process has been seen to run since its start, up to seenAt.
	runningFor time.Duration
	seenAt     time.Time
}

// load is the known load of one server.
type load struct {
	inFlight int
	// reported is the number of running and waiting requests that the server reported at reportedAt. sentSince counts
	// the requests sent to it since then.
	reported      int
	reportedAt    time.Time
	sentSince     int
	excludedUntil time.Time
	penalty       float64
	failedAt      time.Time
}

const (
	// reportTTL is how long a reported load is used.
	reportTTL = 2 * time.Second
	// A server gets no requests for unreachableExclusion after a failed connection, and for stalledExclusion after a
	// stall.
	unreachableExclusion = time.Second
	stalledExclusion     = 2 * time.Second
	// penaltyHalfLife is the half-life of the penalty for failed requests.
	penaltyHalfLife = 2 * time.Second
	// penaltyWeight makes a server that fails every request score like one whose slots are all taken.
	penaltyWeight = 1.0
	// overcommit is how many requests a server may hold beyond its slots: with so few in excess, the wait until a slot
	// is free stays below the first-token objective.
	overcommit = 3
)

// NewLocal returns a Local. The age function returns how long ago the listing was last known to be current.
func NewLocal(listing func() *backend.Listing, age func() time.Duration, table func() *route.Table, limits Limits, pauses Pauses) *Local {
	return &Local{listing: listing, listAge: age, table: table, limits: limits, pauses: pauses, seenAt: time.Now(), loads: make(map[backend.ID]*load)}
}

// Acquire implements Source. It returns a turn at the least loaded server. Servers with a limit get none: what other entries send to them is
// unknown here. It waits while a process that has just started reads its first list of servers, and as long as all servers pause, if the first of
// them is back within the request's maximum wait.
func (l *Local) Acquire(ctx context.Context, request Request) (*Turn, *Refusal) {
	l.awaitListing(ctx)
	deadline := time.Now().Add(request.MaxWait)
	for {
		t, refusal, pause := l.acquire(request)
		if refusal == nil || refusal.Reason != Paused || time.Now().Add(pause).After(deadline) || !wait.Pause(ctx, max(pause, probePollInterval)) {
			return t, refusal
		}
	}
}

// probePollInterval is the interval between checks whether a server has accepted the first request after a pause.
const probePollInterval = 10 * time.Millisecond

// acquire also returns, if all servers pause, how long the first of them does.
func (l *Local) acquire(request Request) (*Turn, *Refusal, time.Duration) {
	candidates, limited := l.split(request)
	l.mu.Lock()
	defer l.mu.Unlock()
	best, found := l.best(candidates, request)
	if best == nil {
		reason, pause := found.reason(len(limited))
		detail := fmt.Sprintf("%d servers listed, %d usable, %d limited, %d pause, listing %d",
			len(candidates)+len(limited), found.usable, len(limited), found.paused, l.listing().Revision)
		after := retryAfter(reason)
		switch {
		case reason == Paused:
			detail += fmt.Sprintf(", %s for another %v", found.first.ID, pause.Round(time.Millisecond))
			after += min(pause, maxPauseTold)
		case found.usable == 0 && len(limited) > 0:
			after = retryAfter(NoServer) // the next leader, who can tell, takes longer than a place
		}
		return nil, &Refusal{Reason: reason, RetryAfter: after, Detail: detail}, pause
	}
	t := l.grant(best)
	t.Basis = Basis{Revision: l.listing().Revision, Age: l.listAge()}
	return t, nil, 0
}

// maxPauseTold is the latest time, from a refusal, at which a caller is told to come back: other servers may have started by then.
const maxPauseTold = 10 * time.Second

// availability counts the servers that are not excluded: those that may be sent requests, though they may be full, and those that pause or whose
// first request after a pause is in progress.
type availability struct {
	usable, paused int
	// first is the one whose pause ends first, after remaining.
	first     *backend.Server
	remaining time.Duration
}

// reason returns why no server can take a request, and how long the first of them pauses if they all do.
func (a availability) reason(limited int) (Reason, time.Duration) {
	switch {
	case a.usable+limited > 0:
		return Full, 0
	case a.paused > 0:
		return Paused, a.remaining
	}
	return NoServer, 0
}

func (a *availability) addPaused(server *backend.Server, remaining time.Duration) {
	a.paused++
	if a.first == nil || remaining < a.remaining {
		a.first, a.remaining = server, remaining
	}
}

// split returns the servers that a request may be sent to without and with a limit.
func (l *Local) split(request Request) (free, limited []*backend.Server) {
	for _, server := range l.candidates(request) {
		if l.limits.Blocked(server) {
			continue
		}
		if l.limits.Limited(server) {
			limited = append(limited, server)
		} else {
			free = append(free, server)
		}
	}
	return free, limited
}

// LimitedPreferred reports whether any of the servers that a request may be sent to has a limit, and whether one of these would be chosen if it had
// none.
func (l *Local) LimitedPreferred(request Request) (exist, preferred bool) {
	free, limited := l.split(request)
	if len(limited) == 0 {
		return false, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	best, _ := l.best(slices.Concat(free, limited), request)
	return true, best != nil && slices.Contains(limited, best)
}

// best returns the least loaded server, or nil if none can take the request, and which are not excluded. It must be called with l.mu held.
func (l *Local) best(candidates []*backend.Server, request Request) (best *backend.Server, found availability) {
	now := time.Now()
	bestScore := 0.0
	for _, server := range candidates {
		load := l.loadOf(server.ID)
		if now.Before(load.excludedUntil) || slices.Contains(request.Tried, server.ID) {
			continue
		}
		if allowed, _ := l.pauses.Allows(server); !allowed {
			found.addPaused(server, l.pauses.Remaining(server))
			continue
		}
		found.usable++
		score := load.score(now, max(1, server.Slots))
		if score < 0 {
			continue
		}
		score += rand.Float64() * 0.05 // distributes requests over servers of equal score
		if best == nil || score < bestScore {
			best, bestScore = server, score
		}
	}
	return best, found
}

const (
	// firstListingTimeout is how long after its start a process may take to read its first list of servers. If hundreds of entries
	// start at once, their lists saturate the platform's link for a second. Callers that were refused meanwhile would not come back
	// soon enough, because many have already tried the entries while they were down.
	firstListingTimeout = 1500 * time.Millisecond
	// listingPollInterval is the interval between checks for the first list.
	listingPollInterval = 20 * time.Millisecond
)

// maxSeenStep is the longest time between two moments in which the process counts as running in between. One that was suspended right after its
// start would otherwise send requests to servers whose limits it had no time to learn.
const maxSeenStep = 250 * time.Millisecond

// hasRunFor returns for how long this process has been seen to run since its start.
func (l *Local) hasRunFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.runningFor += min(now.Sub(l.seenAt), maxSeenStep)
	l.seenAt = now
	return l.runningFor
}

// awaitListing waits until the first list of servers and their limits are known, ctx ends, or the process has run for firstListingTimeout.
func (l *Local) awaitListing(ctx context.Context) {
	for (l.listing().Revision == 0 || !l.limits.Informed()) && l.hasRunFor() < firstListingTimeout {
		if !wait.Pause(ctx, listingPollInterval) {
			return
		}
	}
}

// retryAfter is randomized, so that requests refused at the same time are not repeated at the same time.
func retryAfter(reason Reason) time.Duration {
	if reason == Full || reason == Paused {
		return 200*time.Millisecond + rand.N(400*time.Millisecond)
	}
	return 600*time.Millisecond + rand.N(800*time.Millisecond)
}

// loadOf must be called with l.mu held.
func (l *Local) loadOf(id backend.ID) *load {
	held := l.loads[id]
	if held == nil {
		held = &load{}
		l.loads[id] = held
	}
	return held
}

// score returns the ratio of requests to slots plus the penalty for recent failures, or a negative value for a full
// server.
func (l *load) score(now time.Time, slots int) float64 {
	taken := l.inFlight
	if now.Sub(l.reportedAt) < reportTTL {
		taken = max(taken, l.reported+l.sentSince)
	}
	if taken >= slots+overcommit {
		return -1
	}
	return float64(taken)/float64(slots) + penaltyWeight*l.decayedPenalty(now)
}

func (l *load) decayedPenalty(now time.Time) float64 {
	halfLives := now.Sub(l.failedAt).Seconds() / penaltyHalfLife.Seconds()
	if halfLives > 10 {
		return 0
	}
	return l.penalty / float64(int(1)<<int(halfLives))
}

func (l *Local) candidates(request Request) []*backend.Server {
	listing := l.listing()
	servers := listing.ByService[request.Service]
	table := l.table()
	if table == nil {
		return nil
	}
	engine := table.Services[request.Service].Engine
	if engine == nil || len(engine.Models) == 0 {
		return slices.DeleteFunc(slices.Clone(servers), func(s *backend.Server) bool { return s.Leaving })
	}
	if listing.RoutableOnly {
		return openHeads(servers, request.Model)
	}
	return Heads(servers, engine, request.Model, nil)
}

// Heads returns the heads of those open groups of a model whose members are all present. A member is present if it is
// registered with the group and not leaving. unregistered returns the number of members of a group that are running but
// not registered; it may be nil. The count may be stale, and never stands for the head.
func Heads(servers []*backend.Server, engine *route.Engine, modelName string, unregistered func(backend.GroupKey) int) []*backend.Server {
	model, ok := engine.Model(modelName)
	if !ok {
		return nil
	}
	members := make(map[backend.GroupKey]int)
	for _, server := range servers {
		if server.Group.Name != "" && !server.Leaving {
			members[server.Group.GroupKey]++
		}
	}
	var heads []*backend.Server
	for _, server := range openHeads(servers, modelName) {
		present := members[server.Group.GroupKey]
		if present < model.Size && unregistered != nil {
			present += unregistered(server.Group.GroupKey)
		}
		if present == model.Size {
			heads = append(heads, server)
		}
	}
	return heads
}

// openHeads returns the heads of the open groups of a model, whether or not all members of the groups are present.
func openHeads(servers []*backend.Server, modelName string) []*backend.Server {
	var heads []*backend.Server
	for _, server := range servers {
		if server.Group.State == backend.GroupOpen && server.Model == modelName && !server.Leaving {
			heads = append(heads, server)
		}
	}
	return heads
}

// Track returns a turn that another Source granted, and counts it in the load of its server.
func (l *Local) Track(server *backend.Server) *Turn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.track(server)
}

// grant must be called with l.mu held.
func (l *Local) grant(server *backend.Server) *Turn {
	t := l.track(server)
	if _, probe := l.pauses.Allows(server); !probe {
		return t
	}
	key, done := l.pauses.BeginProbe(server), t.Done
	t.Done = func(result Result) {
		l.pauses.EndProbe(server, key)
		done(result)
	}
	return t
}

// track must be called with l.mu held.
func (l *Local) track(server *backend.Server) *Turn {
	load := l.loadOf(server.ID)
	load.inFlight++
	load.sentSince++
	return &Turn{
		Server: server,
		ReportLoad: func(running, waiting, _ int) {
			l.mu.Lock()
			defer l.mu.Unlock()
			load.reported, load.reportedAt, load.sentSince = running+waiting, time.Now(), 0
		},
		ReportStall: func() {},
		Accepted:    func() { l.pauses.Accepted(server) },
		Done:        func(result Result) { l.done(load, result) },
	}
}

func (l *Local) done(load *load, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	load.inFlight--
	switch {
	case result.Unreachable:
		load.excludedUntil = now.Add(unreachableExclusion)
	case result.Stalled:
		load.excludedUntil = now.Add(stalledExclusion)
	case result.Failed:
		load.penalty = min(1, load.decayedPenalty(now)+0.3)
		load.failedAt = now
	}
}

// Sweep removes the load of servers that are no longer registered and have no request in progress.
func (l *Local) Sweep() {
	l.hasRunFor()
	known := l.listing().Servers
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, load := range l.loads {
		if known[id] == nil && load.inFlight == 0 {
			delete(l.loads, id)
		}
	}
}
