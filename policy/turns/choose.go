package turns

import (
	"slices"
	"time"
)

// bestGroup returns the group that is expected to produce the first token soonest, or nil if no group has a free
// slot. Where the expected delays are equal or unknown, it returns the group with the lowest load. Prompt lengths
// vary tenfold, so the group with the fewest requests may have the longest prompts still to prefill. A request that was
// sent before is not a probe of a head that has rejected others, unless no other group has a free slot.
func (s *Scheduler) bestGroup(now time.Duration, request Request) *group {
	var best, probed choice
	yields := s.model(request.Model).yields(now, request)
	for _, g := range s.groups {
		if g.removed || g.Standing.Blocked || g.Model != request.Model || now < g.suspectUntil || g.running >= g.Engine.Slots+s.config.Overcommit {
			continue
		}
		if slices.Contains(request.TriedHeads, g.Head) {
			continue
		}
		allowed, probe := s.mayGrant(now, g.Head, request.Client)
		if !allowed || !s.withinLimit(now, g.Head, yields) || !g.withinCold(now, yields) {
			continue
		}
		if probe {
			probed.improve(g, s.rank(now, g, request))
		} else {
			best.improve(g, s.rank(now, g, request))
		}
	}
	if best.group == nil || probed.group != nil && len(request.TriedHeads) == 0 && best.worseThan(probed) {
		return probed.group
	}
	return best.group
}

// withinLimit reports whether the limit of a head, if it has one, permits another request.
func (s *Scheduler) withinLimit(now time.Duration, head string, yields bool) bool {
	if len(s.meters) == 0 {
		return true
	}
	meter := s.meters[head]
	return meter == nil || meter.Available(now, yields)
}

// choice is the best of the groups considered so far, with its rank.
type choice struct {
	group *group
	rank  float64
}

// rank returns the expected delay of the first token, in seconds, or the score of a plain server; lower is better.
func (s *Scheduler) rank(now time.Duration, g *group, request Request) float64 {
	if s.plain.joined(g.Model) {
		return s.plain.pools[g.Model].Score(now, g.Head, g.running, g.Engine.Slots, len(request.TriedHeads) > 0)
	}
	return g.firstTokenDelay(now).Seconds()
}

// improve chooses a group if it is better than the one chosen.
func (c *choice) improve(g *group, rank float64) {
	if other := (choice{g, rank}); c.group == nil || c.worseThan(other) {
		*c = other
	}
}

// worseThan reports whether a request is better sent to the other group.
func (c *choice) worseThan(other choice) bool {
	return other.rank < c.rank || other.rank == c.rank && other.group.lessLoaded(c.group)
}

// firstTokenDelay estimates the time until the group starts to decode one more request: the prefill of the prompts
// already assigned to it, and the pass in progress.
func (g *group) firstTokenDelay(now time.Duration) time.Duration {
	return max(0, g.prefillDoneAt-now) + g.Engine.PassTime(g.running)
}

// lessLoaded reports whether g has a larger share of free slots than other. Plain servers, which mostly have no requests in progress, then take turns.
// Other ties are broken by name.
func (g *group) lessLoaded(other *group) bool {
	if g.load() != other.load() {
		return g.load() < other.load()
	}
	if g.Plain && other.Plain && g.grantedAt != other.grantedAt {
		return g.grantedAt < other.grantedAt
	}
	return g.Head < other.Head
}

// load is the ratio of running requests to slots.
func (g *group) load() float64 { return float64(g.running) / float64(max(1, g.Engine.Slots)) }
