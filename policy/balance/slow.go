// One group of many may work at a fraction of its speed without being dead (a straggling member, a throttled
// accelerator). Its requests last longer, so in a steady state it holds more of them than the others. Unless it is
// avoided, each front keeps sending it a full part, and it determines the 95th percentile of the service: the times
// to first token of one group are several times the median, and callers complain although most groups are idle.
//
// Measurements may be wrong: some groups may get long prompts, or a home may have a slow clock. If every group
// that looks slow were avoided, the rest would carry all the load and look slow next. So at most MaxSlowShare of
// the ready groups are avoided, the slowest first, and none while the other groups are near capacity.
//
// Thresholds: gaps between tokens vary little between healthy groups (by batch size, by a factor below 2), so
// SlowTokenGapFactor is 2. Times to first token vary with prompts and cache hits, so SlowFirstTokenFactor is 3. A
// group stays avoided until it is below slowExitFactor of the threshold, and for at least minAvoidance, so that the
// prefixes that moved away from it do not move back and forth.

package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minMeasuredGroups is how many groups must have a measurement for the median to be meaningful.
	minMeasuredGroups = 3
	// slowExitFactor times the threshold is the level below which a slow group counts as healthy again.
	slowExitFactor = 0.75
	// minAvoidance is how long a group stays slow at least: some tens of reports.
	minAvoidance = 10 * time.Second
	// minSlowObjectiveShare times the objective is the least threshold of a slow group.
	minSlowObjectiveShare = 0.5
	// maxTakeoverLoad is the mean load of the other groups up to which they take over the requests of a slow one.
	maxTakeoverLoad = 0.75
)

// updateAvoided decides which groups are avoided as slow. It uses the sums of updateCapacities.
func (t *Table) updateAvoided(now time.Duration) {
	firstToken := t.median(func(g *group) time.Duration { return g.FirstToken })
	gap := t.median(func(g *group) time.Duration { return g.TokenGap })
	t.avoided = t.avoided[:0]
	for i := range t.groups {
		g := &t.groups[i]
		g.avoided = false
		g.slowness = max(
			slowness(g.FirstToken, firstToken, t.config.SlowFirstTokenFactor, t.config.FirstTokenObjective),
			slowness(g.TokenGap, gap, t.config.SlowTokenGapFactor, t.config.TokenGapObjective),
		)
		if g.updateSlow(now) && g.Ready {
			t.avoided = append(t.avoided, i)
		}
	}
	slices.SortFunc(t.avoided, func(a, b int) int {
		return cmp.Compare(t.groups[b].slowness, t.groups[a].slowness)
	})
	t.avoided = t.avoided[:t.avoidableCount()]
	for _, i := range t.avoided {
		t.groups[i].avoided = true
	}
}

// updateSlow updates and returns whether the group is slow, with hysteresis.
func (g *group) updateSlow(now time.Duration) bool {
	switch {
	case g.slowness >= 1 && !g.slow:
		g.slow = true
		g.slowSince = now
	case g.slowness < slowExitFactor && now-g.slowSince >= minAvoidance:
		g.slow = false
	}
	return g.slow
}

// avoidableCount returns how many groups of t.avoided, which is sorted from the slowest on, may be avoided: the
// other groups must be able to take over their requests.
func (t *Table) avoidableCount() int {
	limit := int(t.config.MaxSlowShare * float64(t.readyCount))
	if limit == 0 && t.config.MaxSlowShare > 0 && t.readyCount >= minMeasuredGroups {
		limit = 1
	}
	remaining := t.capacity
	for k, i := range t.avoided {
		remaining -= t.groups[i].capacity
		if k >= limit || t.requests > maxTakeoverLoad*remaining {
			return k
		}
	}
	return len(t.avoided)
}

// slowness returns value as a multiple of the threshold at which a group is slow: it is slow from 1 on.
func slowness(value, median time.Duration, factor float64, objective time.Duration) float64 {
	threshold := max(factor*float64(median), minSlowObjectiveShare*float64(objective))
	if threshold == 0 || median == 0 {
		return 0
	}
	return float64(value) / threshold
}

// median returns the median of a measurement over the ready groups for which it is known, or 0 if there are fewer
// than minMeasuredGroups.
func (t *Table) median(measure func(*group) time.Duration) time.Duration {
	t.scratch = t.scratch[:0]
	for i := range t.groups {
		g := &t.groups[i]
		if m := measure(g); g.Ready && m > 0 {
			t.scratch = append(t.scratch, float64(m))
		}
	}
	if len(t.scratch) < minMeasuredGroups {
		return 0
	}
	slices.Sort(t.scratch)
	return time.Duration(t.scratch[len(t.scratch)/2])
}
