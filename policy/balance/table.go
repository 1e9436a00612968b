// Package balance chooses the group of VMs that a request goes to. A Table is what one front knows of the
// groups of one service.
//
// Load pattern of this file: load that is known late. Each group's home reports its load about once a
// second by gossip, and many fronts choose at the same time. Without a correction, every front sends
// everything that comes between two reports to the groups that were least loaded at the last one. An
// operator would notice groups that swing between idle and full in step with the gossip interval, and
// refusals at some homes while others have room.
//
// What a front knows better than any report is what it sent itself: a Table adds its own requests begun
// since the report, less those ended since, times Correction. It is above 1 because the other fronts did
// about the same meanwhile (see correction).
package balance

import (
	"math"
	"time"
)

// RefreshInterval is how often medians, slow groups and ramps are worked out anew. Reports come about once a
// second, so that nothing is gained by more, and the sorting costs more than a decision.
const RefreshInterval = 500 * time.Millisecond

// DefaultLimit stands in for the limit of a group that has reported none yet.
const DefaultLimit = 8

// Candidate is the report of a group by its home.
type Candidate struct {
	// ID names the group, alike on all fronts.
	ID string
	// Ready says that the group serves and takes new work.
	Ready bool
	// InFlight and Queued are the requests at work on it and waiting at its home. Limit is how many the
	// home lets work at once; 0 means not known.
	InFlight, Queued, Limit int
	// FirstToken and TokenGap are moving averages of the time from the sending to the first token, and of the
	// gap between tokens; 0 means not known.
	FirstToken, TokenGap time.Duration
	// FailureDomain is that of the group's head.
	FailureDomain string
	// ServingFor is how long the group has served, as of the report.
	ServingFor time.Duration
	// ReportID tells one report of the group from another: if a Put brings the one that is known, with
	// something else changed, the load is as old as it was. 0: each Put is a new report.
	ReportID uint64
}

// group is a candidate and what the front adds to it.
type group struct {
	Candidate
	servingSince time.Duration
	// own counts the front's requests in progress on the group; ownReported is own when the report came.
	own, ownReported int
	capacity         float64
	// slow says that the group looks slow, avoided that it is kept out of choices for it.
	slow, avoided bool
	slowSince     time.Duration
	slowness      float64
}

// Table holds the candidates of one service, as one front sees them. It is not safe for concurrent use.
type Table struct {
	config     Config
	domain     string
	correction float64
	groups     []group
	index      map[string]int
	// hashes and loads mirror groups for the scan of a choice. The load of a group that is not ready or
	// avoided is infinite.
	hashes []uint64
	loads  []float64
	// open lists the groups that a choice may fall on, near those of them in the front's failure domain,
	// avoided the slow ones. scratch is room for the refresh.
	open, near, avoided []int
	scratch             []float64
	// work and capacity are sums over open.
	work, capacity float64
	ready          int
	refreshed      time.Duration
	stale          bool
	popular        popularity
}

// NewTable returns an empty table of a front in the given failure domain. The configuration has passed
// Check.
func NewTable(config Config, failureDomain string) *Table {
	return &Table{config: config, domain: failureDomain, correction: 1, index: make(map[string]int), stale: true}
}

// ApplyConfig puts another configuration in force, from the next choice on.
func (t *Table) ApplyConfig(config Config) {
	t.config = config
	t.stale = true
}

// SetFrontCount tells how many fronts share the load.
func (t *Table) SetFrontCount(count int) {
	t.correction = correction(count)
	t.stale = true
}

// Len returns the number of groups.
func (t *Table) Len() int { return len(t.groups) }

// Put takes in a report of a group, new or known.
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
	moved := !known || g.Ready != c.Ready || g.FailureDomain != c.FailureDomain
	before := g.work(t.correction)
	if c.ReportID == 0 || c.ReportID != g.ReportID {
		g.ownReported = g.own
	}
	g.Candidate = c
	g.servingSince = now - c.ServingFor
	if moved {
		t.stale = true
		return
	}
	t.reload(i, before)
}

// Remove forgets a group.
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
func (t *Table) Begin(id string) { t.count(id, 1) }

// End counts the end of a request that Begin counted, whatever its outcome.
func (t *Table) End(id string) { t.count(id, -1) }

func (t *Table) count(id string, change int) {
	i, known := t.index[id]
	if !known {
		return
	}
	g := &t.groups[i]
	before := g.work(t.correction)
	g.own = max(0, g.own+change)
	t.reload(i, before)
}

// reload brings the load of an open group up to date; before is its work as last summed up.
func (t *Table) reload(i int, before float64) {
	if t.stale || math.IsInf(t.loads[i], 1) {
		return
	}
	g := &t.groups[i]
	after := g.work(t.correction)
	t.work += after - before
	t.loads[i] = after / g.capacity
}

// work estimates the requests in progress and waiting now.
func (g *group) work(correction float64) float64 {
	reported := float64(g.InFlight + g.Queued)
	return max(0, reported+correction*float64(g.own-g.ownReported))
}

// refresh works out what does not change with each request. It allocates only while the table grows.
func (t *Table) refresh(now time.Duration) {
	if !t.stale && now-t.refreshed < RefreshInterval {
		return
	}
	t.stale = false
	t.refreshed = now
	t.measure(now)
	t.findSlow(now)
	t.open, t.near = t.open[:0], t.near[:0]
	t.work, t.capacity = 0, 0
	for i := range t.groups {
		t.loads[i] = math.Inf(1)
		if g := &t.groups[i]; g.Ready && !g.avoided {
			t.admit(i)
		}
	}
}

// measure works out the capacity of each group, and sums up the ready ones. The ramp of new groups is taken
// relative to the oldest: where all are new, as in a service or a front that just started, no older ones
// could carry what they do not get.
func (t *Table) measure(now time.Duration) {
	t.ready, t.work, t.capacity = 0, 0, 0
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
			t.ready++
			g.capacity /= oldest
			t.work += g.work(t.correction)
			t.capacity += g.capacity
		}
	}
}

// admit lets choices fall on a group.
func (t *Table) admit(i int) {
	g := &t.groups[i]
	work := g.work(t.correction)
	t.loads[i] = work / g.capacity
	t.work += work
	t.capacity += g.capacity
	t.open = append(t.open, i)
	if g.FailureDomain == t.domain {
		t.near = append(t.near, i)
	}
}

// mean returns the load of all open groups together, as a share of their limits.
func (t *Table) mean() float64 {
	if t.capacity == 0 {
		return 0
	}
	return t.work / t.capacity
}

// correction returns by how much the front's own change since a report is multiplied. The other fronts
// did about the same, which calls for their number; but one front's change is a small sample, and its
// chance would be multiplied as well. The square root is between: with 13 fronts, the number itself costs
// 2 to 10 in 100 hits, while 1 lets first tokens at 99 in 100 grow from 43 to 110 ms without prefixes,
// and loses requests when a prefix becomes popular (docs/measurements/group-choice.md).
func correction(fronts int) float64 { return math.Sqrt(float64(max(1, fronts))) }
