package turns

import (
	"slices"
	"time"
)

// bestGroup returns the group that is expected to produce the first token soonest, or nil if no group has a free
// slot. Where the expected delays are equal or unknown, it returns the group with the lowest load. Prompt lengths
// vary tenfold, so the group with the fewest requests may have the longest prompts still to prefill.
func (s *Scheduler) bestGroup(now time.Duration, request Request) *group {
	var best *group
	var bestDelay time.Duration
	yields := s.model(request.Model).yields(now, request)
	for _, g := range s.groups {
		if g.removed || g.Model != request.Model || now < g.suspectUntil || g.running >= g.Engine.Slots+s.config.Overcommit {
			continue
		}
		if slices.Contains(request.TriedHeads, g.Head) {
			continue
		}
		if meter := s.meters[g.Head]; meter != nil && !meter.Available(now, yields) {
			continue
		}
		delay := g.firstTokenDelay(now)
		if best == nil || delay < bestDelay || (delay == bestDelay && g.lessLoaded(best)) {
			best, bestDelay = g, delay
		}
	}
	return best
}

// firstTokenDelay estimates the time until the group starts to decode one more request: the prefill of the prompts
// already assigned to it, and the pass in progress.
func (g *group) firstTokenDelay(now time.Duration) time.Duration {
	return max(0, g.prefillDoneAt-now) + g.Engine.PassTime(g.running)
}

// lessLoaded reports whether g has a larger share of free slots than other. Ties are broken by name.
func (g *group) lessLoaded(other *group) bool {
	if g.load() != other.load() {
		return g.load() < other.load()
	}
	return g.Head < other.Head
}

// load is the ratio of running requests to slots.
func (g *group) load() float64 { return float64(g.running) / float64(max(1, g.Engine.Slots)) }
