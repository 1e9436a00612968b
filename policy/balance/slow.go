// Load pattern of this file: one group of many works at a fraction of its speed (a straggling member, a
// throttled accelerator), and is not dead. Requests on it last longer, so that in a steady state it holds
// more of them than others; without avoidance, each front keeps giving it a full part, and it becomes the
// 95 in 100 of the service. An operator would notice first tokens of one group at several times the
// median, and callers who complain although most groups idle.
//
// What a measure says may be wrong: a service with long prompts on some groups, or a home with a slow
// clock. If all that look slow were avoided, the rest would carry everything and look slow next. So at
// most MaxSlowShare of the ready groups are avoided, the slowest first, and none while the others are full.
//
// Thresholds: gaps between tokens vary little between healthy groups (batch sizes do, by less than 2), so
// that SlowGap is 2; first tokens vary with prompts and cache hits, so that SlowFirstToken is 3. A group
// stays avoided until it is below slowExit of the threshold, and for slowHold at least, so that the
// prefixes that moved off it do not move to and fro.

package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minMeasured is how many groups must have a measure for the median to mean something.
	minMeasured = 3
	// slowExit times the threshold is where a slow group counts as healthy again.
	slowExit = 0.75
	// slowHold is for how long a group stays avoided at least: some tens of reports.
	slowHold = 10 * time.Second
	// slowObjective times the objective is what a slow group exceeds at least.
	slowObjective = 0.5
	// carryLoad is the mean load up to which the other groups are asked to carry what a slow one would.
	carryLoad = 0.75
)

// findSlow decides which groups are avoided.
func (t *Table) findSlow(now time.Duration) {
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
		if g.looksSlow(now) && g.Ready {
			t.avoided = append(t.avoided, i)
		}
	}
	slices.SortFunc(t.avoided, func(a, b int) int {
		return cmp.Compare(t.groups[b].slowness, t.groups[a].slowness)
	})
	t.avoided = t.avoided[:t.avoidable()]
	for _, i := range t.avoided {
		t.groups[i].avoided = true
	}
}

// looksSlow says whether the group is slow, with hysteresis.
func (g *group) looksSlow(now time.Duration) bool {
	switch {
	case g.slowness >= 1 && !g.slow:
		g.slow = true
		g.slowSince = now
	case g.slowness < slowExit && now-g.slowSince >= slowHold:
		g.slow = false
	}
	return g.slow
}

// avoidable returns how many of avoided, from the slowest on, the others can do without.
func (t *Table) avoidable() int {
	most := int(t.config.MaxSlowShare * float64(t.ready))
	if most == 0 && t.config.MaxSlowShare > 0 && t.ready >= minMeasured {
		most = 1
	}
	rest := t.capacity
	for k, i := range t.avoided {
		rest -= t.groups[i].capacity
		if k >= most || t.work > carryLoad*rest {
			return k
		}
	}
	return len(t.avoided)
}

// slowness compares a measure with what makes it slow: 1 and more is slow.
func slowness(value, median time.Duration, factor float64, objective time.Duration) float64 {
	threshold := max(factor*float64(median), slowObjective*float64(objective))
	if threshold == 0 || median == 0 {
		return 0
	}
	return float64(value) / threshold
}

// median returns the median over the ready groups of a measure that is known, or 0 if too few are.
func (t *Table) median(measure func(*group) time.Duration) time.Duration {
	t.scratch = t.scratch[:0]
	for i := range t.groups {
		g := &t.groups[i]
		if m := measure(g); g.Ready && m > 0 {
			t.scratch = append(t.scratch, float64(m))
		}
	}
	if len(t.scratch) < minMeasured {
		return 0
	}
	slices.Sort(t.scratch)
	return time.Duration(t.scratch[len(t.scratch)/2])
}
