// Package turns schedules requests onto groups: it decides which group serves a request, which requests wait, and
// which are rejected. An entry is one proxy process that callers connect to; a group is a set of VMs that together run
// one replica of a model.
//
// Load pattern: many entries send requests to few groups, and some groups are lost every few seconds. Each entry sees
// only a small part of the requests, and load reports arrive late. In the worst case the available groups can't serve
// the offered load, and rejected callers retry.
//
// Without central scheduling, entries that choose by their own view pick the same group at the same time (the busiest
// group had six times the mean load), and requests queue inside that group's engine behind others whose callers will
// have given up. All are served, but late, and a caller that is rejected late retries late. A fixed limit per entry
// is far too loose or far too tight.
//
// Therefore a single entry, the leader, counts the requests in progress on each group and grants turns. A turn is the
// permission to send one request to one group; it lasts until the request ends. A turn is granted at the group that
// is expected to answer soonest or, where that is equal or unknown, has the largest share of free slots. When no slot
// is free, requests wait in order of arrival. A request whose turn would come too late is rejected at once, while its
// caller can still retry, and is told when a slot is expected to be free.
//
// Times are durations since an arbitrary fixed moment. A Scheduler is not safe for concurrent use.
package turns

import (
	"maps"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/backoff"
	"github.com/skylarkpond/skylarkpond/policy/capacity"
	"github.com/skylarkpond/skylarkpond/policy/quota"
)

// Config holds the thresholds of a Scheduler.
type Config struct {
	// Overcommit is the number of requests sent to a group beyond its slots. The engine then always has a request to
	// start when a slot becomes free, which saves the round trip to the scheduler (some ms).
	Overcommit int
	// InitialTurnTime is the assumed duration of a turn until the first requests have ended.
	InitialTurnTime time.Duration
	// MinRetryAfter is the shortest delay before a retry. A random part of RetryAfterJitter is added, so that callers
	// that were rejected together do not retry together.
	MinRetryAfter, RetryAfterJitter time.Duration
	// GroupFormationTime is the expected time until groups that are being formed are available, for callers of a
	// model that has none.
	GroupFormationTime time.Duration
	// SuspectDuration is how long a silent group is granted no turns.
	SuspectDuration time.Duration
	// ByCost is set if the time that prompts take is learned.
	ByCost bool
}

// DefaultConfig returns the default thresholds.
func DefaultConfig() Config {
	return Config{
		Overcommit: 1, InitialTurnTime: 1500 * time.Millisecond,
		MinRetryAfter: 500 * time.Millisecond, RetryAfterJitter: 800 * time.Millisecond,
		GroupFormationTime: 1200 * time.Millisecond, SuspectDuration: time.Second,
	}
}

// Scheduler grants turns.
type Scheduler struct {
	config Config
	groups map[string]*group
	models map[string]*modelQueue
	// turns holds the granted turns by key.
	turns map[string]turn
	// meters holds those of the heads that take a limited number of requests a second. unconfirmed is set while another scheduler may grant
	// turns as well.
	meters      map[string]*quota.Meter
	unconfirmed bool
	// pauses holds what is known of heads that have rejected requests.
	pauses map[string]*backoff.Server
	plain  plainServers
	// coldGrants counts the turns granted at cold heads.
	coldGrants int
	// failing holds the heads that have failed a request and accepted none since.
	failing map[string]failureRun
	// rejectedAt holds the time of each rejection by fingerprint.
	rejectedAt map[uint64]time.Duration
}

type group struct {
	Group
	running int
	// grantedAt is when a turn was last granted at the group.
	grantedAt time.Duration
	// suspectUntil is the time until which the group is granted no turns.
	suspectUntil time.Duration
	// prefillDoneAt is when the group is expected to have prefilled the prompts assigned to it.
	prefillDoneAt time.Duration
	// cold meters the requests to a cold head; nil if it is not cold.
	cold *quota.Meter
	// removed marks a group that is no longer available; it is kept while turns on it are outstanding.
	removed bool
}

type turn struct {
	head      string
	grantedAt time.Duration
	// meter and cold are those that permitted the turn; nil if the head had no limit, and was not cold.
	meter, cold *quota.Meter
	// ahead is what preceded its first token when it was granted.
	ahead  workAhead
	client string
}

// modelQueue is the queue of requests for one model.
type modelQueue struct {
	queue []queuedRequest
	// meanTurnTime is the moving average of the duration of a turn; firstToken estimates the time from the grant of a
	// turn to the first token.
	meanTurnTime time.Duration
	firstToken   estimate
	// prefill is learned if Config.ByCost is set.
	prefill prefillRatio
	// longestBudget is the longest FirstTokenBudget of a request.
	longestBudget time.Duration
	// requests, granted and rejected are counted since the last call of Demands. newRequests counts those
	// that are not retries, and totalSize sums their sizes.
	requests, granted, rejected, newRequests int
	totalSize                                capacity.RequestSize
	// urgent is the most urgent priority of the requests of late, last seen at urgentAt.
	urgent   int
	urgentAt time.Duration
	// promisedUntil is the time up to which places were promised to the callers of rejected requests, while heads are limited.
	promisedUntil time.Duration
}

type queuedRequest struct {
	Request
	enqueuedAt time.Duration
}

// New returns a Scheduler without groups.
func New(config Config) *Scheduler {
	return &Scheduler{
		config: config, groups: make(map[string]*group), models: make(map[string]*modelQueue), turns: make(map[string]turn),
		meters: make(map[string]*quota.Meter), pauses: make(map[string]*backoff.Server), failing: make(map[string]failureRun), rejectedAt: make(map[uint64]time.Duration),
	}
}

// SetGroups sets the available groups and returns the decisions that this makes possible.
func (s *Scheduler) SetGroups(now time.Duration, groups []Group, random func() float64) []Decision {
	for _, g := range s.groups {
		g.removed = true
	}
	for _, g := range s.plain.list(groups) {
		known := s.groups[g.Head]
		if known == nil {
			known = &group{}
			s.groups[g.Head] = known
		}
		known.Group = g
		known.removed = false
		s.meterCold(now, known)
	}
	for head, g := range s.groups {
		if g.removed && g.running == 0 {
			delete(s.groups, head)
		}
	}
	return s.serveQueues(now, random)
}

func (s *Scheduler) model(name string) *modelQueue {
	m := s.models[name]
	if m == nil {
		m = &modelQueue{meanTurnTime: s.config.InitialTurnTime, firstToken: estimate{mean: initialFirstToken}}
		s.models[name] = m
	}
	return m
}

// Submit decides on a request. If the result holds no decision for it, the request waits.
func (s *Scheduler) Submit(now time.Duration, request Request, random func() float64) []Decision {
	m := s.model(request.Model)
	request = s.markRetry(now, request)
	m.notePriority(now, request)
	if request.Optional {
		return []Decision{s.grantOrReject(now, m, request, random)}
	}
	m.countRequest(request)
	if g := s.bestGroup(now, request); g != nil && len(m.queue) == 0 {
		return []Decision{s.grant(now, g, request)}
	}
	if reason := s.unservable(now, request); reason != Granted {
		return []Decision{s.reject(now, request, reason, random)}
	}
	if s.expectedWait(now, request, s.queuedAhead(m, request)) > m.maxWait(request) {
		return []Decision{s.reject(now, request, TooLate, random)}
	}
	m.enqueue(queuedRequest{Request: request, enqueuedAt: now})
	return s.serveQueue(now, request.Model, random)
}

// grantOrReject decides at once on an optional request.
func (s *Scheduler) grantOrReject(now time.Duration, m *modelQueue, request Request, random func() float64) Decision {
	if g := s.bestGroup(now, request); g != nil && len(m.queue) == 0 {
		return s.grant(now, g, request)
	}
	return s.rejection(now, request, TooLate, random)
}

// precedes reports whether r is served before other, which arrived earlier.
func (r Request) precedes(other Request) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return !r.Retry && other.Retry
}

// enqueue inserts a request into the queue, which is ordered by priority, then new requests before retries, then
// arrival.
func (m *modelQueue) enqueue(w queuedRequest) {
	i := len(m.queue)
	for i > 0 && w.precedes(m.queue[i-1].Request) {
		i--
	}
	m.queue = slices.Insert(m.queue, i, w)
}

// queuedAhead counts the queued requests that are served before request.
func (s *Scheduler) queuedAhead(m *modelQueue, request Request) int {
	n := 0
	for _, w := range m.queue {
		if !request.precedes(w.Request) {
			n++
		}
	}
	return n
}

// candidate reports whether a group serves the model of a request that was not sent to it before.
func (s *Scheduler) candidate(g *group, request Request) bool {
	return !g.removed && !g.Standing.Blocked && g.Model == request.Model && !slices.Contains(request.TriedHeads, g.Head)
}

// unservable returns why the request can't be granted a turn in time (no group is available, all were tried, or all want no requests), or Granted if
// it can.
func (s *Scheduler) unservable(now time.Duration, request Request) Reason {
	first, ok := s.unblocked(now, request)
	switch {
	case ok && first-now <= s.model(request.Model).maxWait(request):
		return Granted
	case ok:
		return Paused
	}
	for _, g := range s.groups {
		if !g.removed && !g.Standing.Blocked && g.Model == request.Model {
			return TriedAll
		}
	}
	return NoGroup
}

// expectedWait estimates how long a request waits behind others: slots become free at the rate at which turns end, at the groups that take requests.
func (s *Scheduler) expectedWait(now time.Duration, request Request, ahead int) time.Duration {
	perSecond, blockedFor := 0.0, time.Duration(0)
	for _, g := range s.groups {
		if g.removed || g.Model != request.Model || g.Standing.Blocked {
			continue
		}
		if at := s.blocked(now, g.Head, request.Client); at > now {
			if blockedFor == 0 || at-now < blockedFor {
				blockedFor = at - now
			}
			continue
		}
		perSecond += s.turnRate(g)
	}
	if perSecond == 0 {
		if blockedFor > 0 {
			return min(blockedFor, maxPauseTold)
		}
		return s.config.GroupFormationTime
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

// turnRate returns how many turns a second end at a fully used group, as far as its limit permits them.
func (s *Scheduler) turnRate(g *group) float64 {
	return min(float64(g.Engine.Slots)/s.model(g.Model).meanTurnTime.Seconds(), s.permittedRate(g))
}

// slots returns the number of running requests and of slots over the available groups of a model.
func (s *Scheduler) slots(name string) (running, slots int) {
	for _, g := range s.groups {
		if !g.removed && !g.Standing.Blocked && g.Model == name {
			running += g.running
			slots += g.Engine.Slots
		}
	}
	return running, slots
}

func (s *Scheduler) grant(now time.Duration, g *group, request Request) Decision {
	g.running++
	g.grantedAt = now
	if pool := s.plain.pools[g.Model]; pool != nil {
		pool.Granted(now, g.Head)
	}
	ahead := s.assignPrompt(now, g, request)
	s.model(g.Model).granted++
	meter := s.meters[g.Head]
	if meter != nil {
		meter.Take(now)
	}
	if g.cold != nil {
		g.cold.Take(now)
		s.coldGrants++
	}
	if _, probe := s.mayGrant(now, g.Head, request.Client); probe {
		s.pauses[g.Head].Probe(now, request.Key)
	}
	s.turns[request.Key] = turn{head: g.Head, grantedAt: now, meter: meter, cold: g.cold, client: request.Client, ahead: ahead}
	known := s.pauses[g.Head]
	_, failing := s.failing[g.Head]
	watched := failing || known != nil && known.Watched() || meter != nil && meter.Unverified()
	return Decision{Key: request.Key, Head: g.Head, Metered: meter != nil || g.cold != nil, Watched: watched}
}

func (s *Scheduler) reject(now time.Duration, request Request, reason Reason, random func() float64) Decision {
	s.rejectedAt[request.Fingerprint] = now
	s.model(request.Model).rejected++
	return s.rejection(now, request, reason, random)
}

// rejection returns the decision to reject a request.
func (s *Scheduler) rejection(now time.Duration, request Request, reason Reason, random func() float64) Decision {
	d := Decision{Key: request.Key, Reason: reason}
	d.Running, d.Slots = s.slots(request.Model)
	d.Limits = s.limits(request.Model)
	d.Pauses = s.describePauses(now, request)
	d.Waiting = len(s.model(request.Model).queue)
	jitter := time.Duration(random() * float64(s.config.RetryAfterJitter))
	switch reason {
	case Paused:
		d.RetryAfter = max(s.config.MinRetryAfter, min(d.Pauses.Left, maxPauseTold)) + jitter
	case NoGroup, TriedAll:
		d.RetryAfter = s.config.GroupFormationTime + jitter
	default:
		d.RetryAfter = max(s.config.MinRetryAfter, s.expectedWait(now, request, d.Waiting), s.promise(now, request, d)) + jitter
	}
	return d
}

// Suspect stops granting turns at a silent group for SuspectDuration.
func (s *Scheduler) Suspect(now time.Duration, head string) {
	if g := s.groups[head]; g != nil {
		g.suspectUntil = now + s.config.SuspectDuration
	}
}

// ClearSuspicion makes a suspected group available again, and returns the decisions that this makes possible.
func (s *Scheduler) ClearSuspicion(now time.Duration, head string, random func() float64) []Decision {
	g := s.groups[head]
	if g == nil || g.suspectUntil <= now {
		return nil
	}
	g.suspectUntil = now
	return s.serveQueue(now, g.Model, random)
}

// Tick rejects the requests that have waited too long. Call it often: it bounds how late a rejection is.
func (s *Scheduler) Tick(now time.Duration, random func() float64) []Decision {
	return s.serveQueues(now, random)
}

func (s *Scheduler) serveQueues(now time.Duration, random func() float64) []Decision {
	var decisions []Decision
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		decisions = append(decisions, s.serveQueue(now, name, random)...)
	}
	return decisions
}

// serveQueue grants turns to waiting requests in queue order and rejects those that have waited too long.
func (s *Scheduler) serveQueue(now time.Duration, name string, random func() float64) []Decision {
	m := s.model(name)
	var decisions []Decision
	kept := m.queue[:0]
	for _, w := range m.queue {
		if g := s.bestGroup(now, w.Request); g != nil {
			decisions = append(decisions, s.grant(now, g, w.Request))
			continue
		}
		reason := s.unservable(now, w.Request)
		if reason == Granted && now-w.enqueuedAt >= m.maxWait(w.Request) {
			reason = TooLate
		}
		if reason != Granted {
			decisions = append(decisions, s.reject(now, w.Request, reason, random))
			continue
		}
		kept = append(kept, w)
	}
	clear(m.queue[len(kept):])
	m.queue = kept
	return decisions
}
