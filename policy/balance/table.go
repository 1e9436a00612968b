// Package balance chooses the group of VMs that a request goes to.
//
// Callers send requests to any entry. The front of a request is the entry that its caller is connected to; the
// home of a group is the entry that queues the group's requests and sends them to its backend servers. A Table is
// one front's view of the groups of one service.
//
// Load is known late: each group's home reports it about once a second by gossip, and many fronts choose at the
// same time. Without a correction, every front sends everything that arrives between two reports to the groups
// that were least loaded at the last one. Groups then swing between idle and full in step with the gossip
// interval, and some homes refuse requests while others have spare capacity.
//
// A front knows its own requests better than any report does: a Table adds those begun since the report and
// subtracts those ended since, multiplied by a correction above 1, because the other fronts did about the same in
// the meantime (see correction).
package balance

import (
	"math"
	"time"
)

// RefreshInterval is how often medians, slow groups and slow-start ramps are recomputed. Reports come about once a
// second, so a shorter interval gains nothing, and the sorting costs more than a choice.
const RefreshInterval = 500 * time.Millisecond

// DefaultLimit is used as the limit of a group that has not reported one yet.
const DefaultLimit = 8

// Candidate is the state of a group as reported by its home.
type Candidate struct {
	// ID names the group. It is the same on all fronts.
	ID string
	// Ready says that the group is serving and accepts new requests.
	Ready bool
	// InFlight and Queued count the requests being processed by the group and those waiting at its home. Limit
	// is how many the home allows in flight at once, or 0 if not known.
	InFlight, Queued, Limit int
	// FirstToken and TokenGap are moving averages of the time from sending a request to its first token, and of
	// the gap between tokens. 0: not known.
	FirstToken, TokenGap time.Duration
	// FailureDomain is the failure domain of the group's head.
	FailureDomain string
	// ServingFor is how long the group had been serving at the time of the report.
	ServingFor time.Duration
	// ReportID identifies the report. If a Put repeats the known ReportID with other fields changed, the load
	// is as old as before. 0: each Put is a new report.
	ReportID uint64
}

// group is a candidate and the front's own state of it.
type group struct {
	Candidate
	servingSince time.Duration
	// ownInFlight counts the front's own requests in progress on the group; ownAtReport is its value when the
	// last report arrived.
	ownInFlight, ownAtReport int
	capacity                 float64
	// slow says that the group looks slow, avoided that choices leave it out for that reason.
	slow, avoided bool
	slowSince     time.Duration
	slowness      float64
}

// Table holds the groups of one service as one front sees them. It is not safe for concurrent use.
type Table struct {
	config     Config
	domain     string
	correction float64
	groups     []group
	index      map[string]int
	// hashes and loads run parallel to groups, for the scan of a choice. The load of a group that is not ready,
	// or is avoided, is infinite.
	hashes []uint64
	loads  []float64
	// eligible holds the indexes of the groups that may be chosen, near those of them in the front's failure
	// domain, avoided the slow ones. scratch is a buffer for refresh.
	eligible, near, avoided []int
	scratch                 []float64
	// requests and capacity are sums over eligible (within a refresh, over all ready groups).
	requests, capacity float64
	readyCount         int
	refreshedAt        time.Duration
	stale              bool
	popular            popularity
}

// NewTable returns an empty table for a front in the given failure domain. config must have passed Check.
func NewTable(config Config, failureDomain string) *Table {
	return &Table{config: config, domain: failureDomain, correction: 1, index: make(map[string]int), stale: true}
}

// ApplyConfig replaces the configuration, effective with the next choice.
func (t *Table) ApplyConfig(config Config) {
	t.config = config
	t.stale = true
}

// SetFrontCount sets the number of fronts that share the load.
func (t *Table) SetFrontCount(count int) {
	t.correction = correction(count)
	t.stale = true
}

// Len returns the number of groups.
func (t *Table) Len() int { return len(t.groups) }

// Put adds a group or updates it with a new report.
func (t *Table) Put(now time.Duration, c Candidate) {
	i, known := t.index[c.ID]
	if !known {
		i = len(t.groups)
		t.index[c.ID] = i
		t.groups = append(t.groups, group{})
		t.hashes = append(t.hashes, hashID(c.ID))
		t.loads = append(t.loads, math.Inf(1))
	}
	g := &t.groups[i]
	eligibilityChanged := !known || g.Ready != c.Ready || g.FailureDomain != c.FailureDomain
	before := g.estimatedRequests(t.correction)
	if c.ReportID == 0 || c.ReportID != g.ReportID {
		g.ownAtReport = g.ownInFlight
	}
	g.Candidate = c
	g.servingSince = now - c.ServingFor
	if eligibilityChanged {
		t.stale = true
		return
	}
	t.updateLoad(i, before)
}

// Remove drops a group.
func (t *Table) Remove(id string) {
	i, known := t.index[id]
	if !known {
		return
	}
	last := len(t.groups) - 1
	t.groups[i] = t.groups[last]
	t.hashes[i] = t.hashes[last]
	t.index[t.groups[i].ID] = i
	delete(t.index, id)
	t.groups = t.groups[:last]
	t.hashes = t.hashes[:last]
	t.loads = t.loads[:last]
	t.stale = true
}

// Begin counts a request that the front sent to a group.
func (t *Table) Begin(id string) { t.addOwn(id, 1) }

// End counts the end of a request that Begin counted, whatever its outcome.
func (t *Table) End(id string) { t.addOwn(id, -1) }

func (t *Table) addOwn(id string, change int) {
	i, known := t.index[id]
	if !known {
		return
	}
	g := &t.groups[i]
	before := g.estimatedRequests(t.correction)
	g.ownInFlight = max(0, g.ownInFlight+change)
	t.updateLoad(i, before)
}

// updateLoad recomputes the load of an eligible group; before is its number of requests as last added to t.requests.
func (t *Table) updateLoad(i int, before float64) {
	if t.stale || math.IsInf(t.loads[i], 1) {
		return
	}
	g := &t.groups[i]
	after := g.estimatedRequests(t.correction)
	t.requests += after - before
	t.loads[i] = after / g.capacity
}

// estimatedRequests estimates the requests that are in flight or queued now.
func (g *group) estimatedRequests(correction float64) float64 {
	reported := float64(g.InFlight + g.Queued)
	return max(0, reported+correction*float64(g.ownInFlight-g.ownAtReport))
}

// refresh recomputes what does not change with each request, if it is stale or older than RefreshInterval. It
// allocates only while the table grows.
func (t *Table) refresh(now time.Duration) {
	if !t.stale && now-t.refreshedAt < RefreshInterval {
		return
	}
	t.stale = false
	t.refreshedAt = now
	t.updateCapacities(now)
	t.updateAvoided(now)
	t.eligible, t.near = t.eligible[:0], t.near[:0]
	t.requests, t.capacity = 0, 0
	for i := range t.groups {
		t.loads[i] = math.Inf(1)
		if g := &t.groups[i]; g.Ready && !g.avoided {
			t.addEligible(i)
		}
	}
}

// updateCapacities computes the capacity of each group and the sums over the ready ones. The slow-start ramp is
// taken relative to the oldest group: where all are new, as in a service or a front that just started, no older
// groups could take over what the new ones do not get.
func (t *Table) updateCapacities(now time.Duration) {
	t.readyCount, t.requests, t.capacity = 0, 0, 0
	oldest := 0.0
	for i := range t.groups {
		g := &t.groups[i]
		limit := g.Limit
		if limit <= 0 {
			limit = DefaultLimit
		}
		share := t.config.SlowStart.Share(now - g.servingSince)
		g.capacity = float64(limit) * share
		if g.Ready {
			oldest = max(oldest, share)
		}
	}
	for i := range t.groups {
		g := &t.groups[i]
		if g.Ready {
			t.readyCount++
			g.capacity /= oldest
			t.requests += g.estimatedRequests(t.correction)
			t.capacity += g.capacity
		}
	}
}

// addEligible adds a group to those that may be chosen.
func (t *Table) addEligible(i int) {
	g := &t.groups[i]
	requests := g.estimatedRequests(t.correction)
	t.loads[i] = requests / g.capacity
	t.requests += requests
	t.capacity += g.capacity
	t.eligible = append(t.eligible, i)
	if g.FailureDomain == t.domain {
		t.near = append(t.near, i)
	}
}

// meanLoad returns the load of all eligible groups together, as a share of their capacity.
func (t *Table) meanLoad() float64 {
	if t.capacity == 0 {
		return 0
	}
	return t.requests / t.capacity
}

// correction returns the factor applied to the front's own change since a report. The other fronts did about the
// same, which suggests a factor of their number; but one front's change is a small sample, and its noise would be
// multiplied as well. The square root lies between the two: with 13 fronts, the number itself costs 2 to 10 % of the
// cache hits, while a factor of 1 lets the 99th percentile of the time to first token grow from 43 to 110 ms without
// prefixes, and loses requests when a prefix becomes popular (docs/measurements/group-choice.md).
func correction(fronts int) float64 { return math.Sqrt(float64(max(1, fronts))) }
