package turns

import (
	"slices"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/capacity"
)

// note counts a request.
func (m *model) note(request Request) {
	m.asked++
	if request.Retry {
		return
	}
	m.fresh++
	m.work.Prompt += request.Size.Prompt
	m.work.Answer += request.Size.Answer
}

// Demand is what is known of one model.
type Demand struct {
	Model string
	// Groups stand, with Slots in all, on which Running requests run; Waiting wait.
	Groups, Slots, Running, Waiting int
	// MeanTurnTime is the mean time of a turn, FirstTokenBound what most first parts take from the turn on.
	MeanTurnTime, FirstTokenBound time.Duration
	// Requests, Granted and Rejected count requests since the last call of Demands.
	Requests, Granted, Rejected int
	// NewRequests are those asked of callers that were not turned away before: each request counts once however often it comes. Work is what
	// they asked for, on average.
	NewRequests int
	MeanSize    capacity.Work
}

// Demands returns the demand of every model that was asked for, by name, and begins new counts.
func (s *Scheduler) Demands(now time.Duration) []Demand {
	s.forgetRefused(now)
	demands := make([]Demand, 0, len(s.models))
	for name, m := range s.models {
		d := Demand{
			Model: name, Waiting: len(m.waiting), MeanTurnTime: m.took, FirstTokenBound: m.first.bound(),
			Requests: m.asked, Granted: m.granted, Rejected: m.refused, NewRequests: m.fresh,
		}
		if m.fresh > 0 {
			d.MeanSize = capacity.Work{Prompt: m.work.Prompt / float64(m.fresh), Answer: m.work.Answer / float64(m.fresh)}
		}
		for _, g := range s.groups {
			if !g.gone && g.Model == name {
				d.Groups++
			}
		}
		d.Running, d.Slots = s.places(name)
		m.asked, m.granted, m.refused, m.fresh, m.work = 0, 0, 0, 0, capacity.Work{}
		demands = append(demands, d)
	}
	slices.SortFunc(demands, func(a, b Demand) int { return strings.Compare(a.Model, b.Model) })
	return demands
}

// Load is what is known of one group.
type Load struct {
	Head    string
	Model   string
	Running int
	Slots   int
	Suspect bool
}

// Loads returns the load of every group that stands, by head.
func (s *Scheduler) Loads(now time.Duration) []Load {
	loads := make([]Load, 0, len(s.groups))
	for _, g := range s.groups {
		if !g.gone {
			loads = append(loads, Load{Head: g.Head, Model: g.Model, Running: g.running, Slots: g.Engine.Slots, Suspect: now < g.suspect})
		}
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.Head, b.Head) })
	return loads
}
