package turns

import (
	"cmp"
	"slices"
	"time"
)

// This file orders the queue of a model by team; see Config.FairTeams.
//
// Load pattern: some dozen teams send requests, a few of them most. When a burst exceeds the capacity, the requests that find a place in the queue
// are a matter of chance, so that a team with few requests loses the same share of them as the team that causes the burst.
//
// Among requests of equal priority that are both new or both retries, the one whose team has fewer requests in progress at the model goes first, then
// the one that arrived first. Each request counts the queued requests of its team that precede it as in progress, so that slots that become free
// together are divided in the same way. This is max-min fairness over the slots of the model with equal weights: a team that needs less than an equal
// share gets all that it needs, and the others divide the rest equally. No slot stays free for a team that is not there.
//
// A retry yields to new requests, except that a retry of a team that has nothing in progress precedes new requests of teams that have. Otherwise a
// team whose requests are all retries would get nothing for as long as new requests alone exceed the capacity. It costs the others one slot per team.

// fairState is what a model keeps for Config.FairTeams.
type fairState struct {
	// inProgress counts the turns in use by team. A team without any is not in it.
	inProgress map[string]int
	// arrivals is the rate of new requests, and lastArrival the number of the latest queued request.
	arrivals    decayingRate
	lastArrival uint64
	// ranks and order are scratch space of rankQueue and serveFairly.
	ranks map[string]int
	order []int
	stats OrderStats
}

// OrderStats describes the ordering of one model's requests by team.
type OrderStats struct {
	// Teams is the number of teams with requests in progress or queued, and Largest the number of requests in progress of the team that has most.
	Teams, Largest int
	// Overtaken counts the queued requests that were rejected because others went ahead of them.
	Overtaken int
	// Placed counts the rejected callers that were told when a slot is expected to be left for them, and Latest those that were told the latest
	// useful time because none is.
	Placed, Latest int
}

// RejectionOrder describes a rejection with the order by team.
type RejectionOrder struct {
	// Team is the team of the request, and Running the number of requests that it has in progress at the model.
	Team    string
	Running int
	// Overtaken is set if the request was queued, and others went ahead of it.
	Overtaken bool
	// Place is when a slot is expected to be left for a retry. Latest is set if that is too late or never.
	Place  time.Duration
	Latest bool
}

func (f *fairState) nextArrival() uint64 {
	f.lastArrival++
	return f.lastArrival
}

// countTeam adds to the requests that a team has in progress at the model of a group.
func (s *Scheduler) countTeam(g *group, team string, change int) {
	if !s.config.FairTeams || g.Model == "" {
		return // the model of an adopted turn is known once its group is listed; then recountTeams counts it
	}
	f := &s.model(g.Model).fair
	if f.inProgress == nil {
		f.inProgress = make(map[string]int)
	}
	f.inProgress[team] += change
	if f.inProgress[team] == 0 {
		delete(f.inProgress, team)
	}
}

// recountTeams counts the requests in progress again after the model of a group with turns in use has changed.
func (s *Scheduler) recountTeams() {
	for _, m := range s.models {
		clear(m.fair.inProgress)
	}
	for _, t := range s.turns {
		if g := s.groups[t.head]; g != nil {
			s.countTeam(g, t.team, 1)
		}
	}
}

// rankQueue sets the rank of each queued request: how many requests its team has in progress, counting its queued requests that precede it.
// It returns the number of requests of each team.
func (m *modelQueue) rankQueue() map[string]int {
	if m.fair.ranks == nil {
		m.fair.ranks = make(map[string]int)
	}
	clear(m.fair.ranks)
	for i := range m.queue {
		w := &m.queue[i]
		w.rank = m.rankOf(w.Team)
		m.fair.ranks[w.Team] = w.rank + 1
	}
	return m.fair.ranks
}

// rankOf returns the rank of the next request of a team while rankQueue runs.
func (m *modelQueue) rankOf(team string) int {
	if rank, seen := m.fair.ranks[team]; seen {
		return rank
	}
	return m.fair.inProgress[team]
}

// yieldsToNew reports whether the request is a retry that yields to new ones.
func (w *queuedRequest) yieldsToNew() bool { return w.Retry && w.rank > 0 }

// compareFair orders requests by how soon they are served. Both must have been ranked.
func (w *queuedRequest) compareFair(other *queuedRequest) int {
	return cmp.Or(
		cmp.Compare(w.Priority, other.Priority), compareBool(w.yieldsToNew(), other.yieldsToNew()), cmp.Compare(w.rank, other.rank),
		compareBool(w.Retry, other.Retry), cmp.Compare(w.arrival, other.arrival),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// fairAhead counts the queued requests that are served before a request that arrives now.
func (m *modelQueue) fairAhead(request Request) int {
	m.rankQueue()
	arriving := queuedRequest{Request: request, arrival: m.fair.lastArrival + 1, rank: m.fair.inProgress[request.Team]}
	for i := range m.queue {
		if w := &m.queue[i]; w.Team == request.Team && !request.precedes(w.Request) {
			arriving.rank++
		}
	}
	ahead := 0
	for i := range m.queue {
		if m.queue[i].compareFair(&arriving) < 0 {
			ahead++
		}
	}
	return ahead
}

// fairOrder returns the indices of the queued requests in the order in which they are served.
func (m *modelQueue) fairOrder() []int {
	m.rankQueue()
	order := m.fair.order[:0]
	for i := range m.queue {
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b int) int { return m.queue[a].compareFair(&m.queue[b]) })
	m.fair.order = order
	return order
}

// serveFairly is serveQueue with the queue ordered by team. The queue itself stays in the order of enqueue, by which rankQueue ranks the requests of
// a team.
func (s *Scheduler) serveFairly(now time.Duration, m *modelQueue, random func() float64) []Decision {
	if len(m.queue) == 0 {
		return nil
	}
	var decisions []Decision
	decided := make(map[uint64]bool)
	pass := fairPass{now: now, model: m, full: s.full(m.queue[0].Model)}
	for _, i := range m.fairOrder() {
		w := &m.queue[i]
		d, ok := s.decideFairly(&pass, w, random)
		if !ok {
			pass.ahead++
			pass.latestAhead = max(pass.latestAhead, w.arrival)
			continue
		}
		pass.full = s.full(w.Model)
		decisions = append(decisions, d)
		decided[w.arrival] = true
	}
	if len(decisions) > 0 {
		m.queue = slices.DeleteFunc(m.queue, func(w queuedRequest) bool { return decided[w.arrival] })
	}
	return decisions
}

// fairPass is the state of one call of serveFairly.
type fairPass struct {
	now   time.Duration
	model *modelQueue
	// full is the result of full for the model, and rate that of serviceRate where it is the same for all requests, 0 until it is needed.
	full bool
	rate float64
	// ahead counts the requests that precede in the order and stay queued, and latestAhead is the latest arrival among them.
	ahead       int
	latestAhead uint64
}

// decideFairly is decide for a request in a pass. It also rejects a request that others have overtaken and that can no longer be served in time.
func (s *Scheduler) decideFairly(pass *fairPass, w *queuedRequest, random func() float64) (d Decision, decided bool) {
	left := pass.model.maxWait(w.Request) - (pass.now - w.enqueuedAt)
	if mustWait := pass.full && left > 0 && len(s.pauses) == 0 && len(w.TriedHeads) == 0; !mustWait {
		if d, decided = s.decide(pass.now, pass.model, *w, random); decided {
			return d, true
		}
	}
	if w.arrival > pass.latestAhead || s.waitInPass(pass, w) <= left {
		return Decision{}, false
	}
	pass.model.fair.stats.Overtaken++
	d = s.reject(pass.now, w.Request, TooLate, random)
	d.Order.Overtaken = true
	return d, true
}

// waitInPass returns the expected wait of a request behind those that stay queued. Without pauses the rate is the same for all requests.
func (s *Scheduler) waitInPass(pass *fairPass, w *queuedRequest) time.Duration {
	if len(s.pauses) > 0 {
		return s.expectedWait(pass.now, w.Request, pass.ahead)
	}
	if pass.rate == 0 {
		pass.rate, _ = s.serviceRate(pass.now, w.Request)
	}
	if pass.rate == 0 {
		return s.config.GroupFormationTime
	}
	return time.Duration(float64(pass.ahead+1) / pass.rate * float64(time.Second))
}

// full reports whether a model has groups that may be granted turns, and all of them are full.
func (s *Scheduler) full(name string) bool {
	found := false
	for _, g := range s.groups {
		if g.removed || g.Standing.Blocked || g.Model != name {
			continue
		}
		if g.running < g.Engine.Slots+s.config.Overcommit {
			return false
		}
		found = true
	}
	return found
}

// orderStats returns the statistics of a model since the last call.
func (m *modelQueue) orderStats() OrderStats {
	stats := m.fair.stats
	m.fair.stats = OrderStats{}
	for _, count := range m.fair.inProgress {
		stats.Largest = max(stats.Largest, count)
	}
	stats.Teams = len(m.fair.inProgress)
	for team := range m.rankQueue() {
		if m.fair.inProgress[team] == 0 {
			stats.Teams++
		}
	}
	return stats
}
