package turns

import (
	"slices"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/capacity"
)

// countRequest adds a request to the counters of the current interval.
func (m *modelQueue) countRequest(request Request) {
	m.requests++
	if request.Retry || len(request.TriedHeads) > 0 {
		return // it has been counted before; while heads die, each request asks for several turns
	}
	m.newRequests++
	m.totalSize.PromptTokens += request.Size.PromptTokens
	m.totalSize.OutputTokens += request.Size.OutputTokens
}

// Demand describes the requests for one model and the groups that serve it.
type Demand struct {
	Model string
	// Groups is the number of available groups and Slots their total number of slots. Running requests are in
	// progress on these groups; Waiting requests are queued.
	Groups, Slots, Running, Waiting int
	// MeanTurnTime is the moving average of how long a turn lasts. FirstTokenBound is a time from the grant of a turn
	// to the first token that most requests stay below.
	MeanTurnTime, FirstTokenBound time.Duration
	// Requests, Granted and Rejected are counted since the previous call of Demands.
	Requests, Granted, Rejected int
	// NewRequests counts the requests that are not retries, so that a request counts once however often it is sent.
	// MeanSize is the mean size of these requests.
	NewRequests int
	MeanSize    capacity.RequestSize
	// PrefillRatio is the ratio between the time that prompts take and the one that the engine states; 1 unless it is learned.
	PrefillRatio float64
}

// Demands returns the demand of every model that was requested, sorted by name, and resets the counters.
func (s *Scheduler) Demands(now time.Duration) []Demand {
	s.expireRejected(now)
	demands := make([]Demand, 0, len(s.models))
	for name, m := range s.models {
		d := Demand{
			Model: name, Waiting: len(m.queue), MeanTurnTime: m.meanTurnTime, FirstTokenBound: m.firstToken.upperBound(),
			Requests: m.requests, Granted: m.granted, Rejected: m.rejected, NewRequests: m.newRequests,
			PrefillRatio: m.prefill.value(),
		}
		if m.newRequests > 0 {
			d.MeanSize = capacity.RequestSize{PromptTokens: m.totalSize.PromptTokens / float64(m.newRequests), OutputTokens: m.totalSize.OutputTokens / float64(m.newRequests)}
		}
		for _, g := range s.groups {
			if !g.removed && !g.Standing.Blocked && g.Model == name {
				d.Groups++
			}
		}
		d.Running, d.Slots = s.slots(name)
		m.requests, m.granted, m.rejected, m.newRequests, m.totalSize = 0, 0, 0, 0, capacity.RequestSize{}
		demands = append(demands, d)
	}
	slices.SortFunc(demands, func(a, b Demand) int { return strings.Compare(a.Model, b.Model) })
	return demands
}

// Load describes the load of one group.
type Load struct {
	Head    string
	Model   string
	Running int
	Slots   int
	Suspect bool
}

// Loads returns the load of every available group, sorted by head.
func (s *Scheduler) Loads(now time.Duration) []Load {
	loads := make([]Load, 0, len(s.groups))
	for _, g := range s.groups {
		if !g.removed {
			loads = append(loads, Load{Head: g.Head, Model: g.Model, Running: g.running, Slots: g.Engine.Slots, Suspect: now < g.suspectUntil})
		}
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.Head, b.Head) })
	return loads
}
