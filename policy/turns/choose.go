package turns

import (
	"slices"
	"time"
)

// best returns the group that will give the first part soonest, or nil if none has a place. Where their times are alike or not known, it is the one
// with the largest share of free places. Prompts differ by ten times: the group with the fewest requests may be the one that has the longest
// prompts still to read.
func (s *Scheduler) best(now time.Duration, request Request) *group {
	var best *group
	var soonest time.Duration
	for _, g := range s.groups {
		if g.gone || g.Model != request.Model || now < g.suspect || g.running >= g.Engine.Slots+s.config.Overcommit {
			continue
		}
		if slices.Contains(request.TriedHeads, g.Head) {
			continue
		}
		until := g.untilFirst(now)
		if best == nil || until < soonest || (until == soonest && g.freer(best)) {
			best, soonest = g, until
		}
	}
	return best
}

// untilFirst is how long a group takes until it begins with one more request: it reads the prompts that it has, and ends its pass.
func (g *group) untilFirst(now time.Duration) time.Duration {
	return max(0, g.readTo-now) + g.Engine.Pass(g.running)
}

// freer says whether a group has a larger share of free places than another; the name decides between equals.
func (g *group) freer(other *group) bool {
	if g.load() != other.load() {
		return g.load() < other.load()
	}
	return g.Head < other.Head
}

func (g *group) load() float64 { return float64(g.running) / float64(max(1, g.Engine.Slots)) }
