package turns

import (
	"math"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/quota"
)

// maxPromise is the latest time, from a rejection, at which a place is promised to the caller. Callers wait a few seconds at most.
const maxPromise = 5 * time.Second

// urgentPeriod is how long the most urgent requests of a model are remembered.
const urgentPeriod = 10 * time.Second

// notePriority records the priority of a request.
func (m *modelQueue) notePriority(now time.Duration, request Request) {
	if request.Priority <= m.urgent || m.urgentAt == 0 || now-m.urgentAt > urgentPeriod {
		m.urgent, m.urgentAt = request.Priority, now
	}
}

// yields reports whether more urgent requests than this one have come of late.
func (m *modelQueue) yields(now time.Duration, request Request) bool {
	return request.Priority > m.urgent && now-m.urgentAt <= urgentPeriod
}

// SetLimit limits the requests a second that a head takes from all entries together, as it has just stated, and returns the decisions that this makes
// possible.
func (s *Scheduler) SetLimit(now time.Duration, head string, perSecond float64, random func() float64) []Decision {
	meter := s.meter(now, head, perSecond, quota.NewMeter)
	meter.SetLimit(now, perSecond)
	meter.Verify()
	return s.serveQueueOf(now, head, random)
}

// InheritLimit is SetLimit for a limit that the head has stated to an earlier scheduler.
func (s *Scheduler) InheritLimit(now time.Duration, head string, perSecond float64, random func() float64) []Decision {
	s.meter(now, head, perSecond, quota.NewInheritedMeter).SetLimit(now, perSecond)
	return s.serveQueueOf(now, head, random)
}

// meter returns the meter of a head, and makes it if there is none.
func (s *Scheduler) meter(now time.Duration, head string, perSecond float64, newMeter func(now time.Duration, perSecond float64) *quota.Meter) *quota.Meter {
	meter := s.meters[head]
	if meter == nil {
		meter = newMeter(now, perSecond)
		meter.SetConfirmed(now, !s.unconfirmed)
		s.meters[head] = meter
	}
	return meter
}

// ClearLimit ends the limit of a head, and returns the decisions that this makes possible.
func (s *Scheduler) ClearLimit(now time.Duration, head string, random func() float64) []Decision {
	delete(s.meters, head)
	return s.serveQueueOf(now, head, random)
}

func (s *Scheduler) serveQueueOf(now time.Duration, head string, random func() float64) []Decision {
	g := s.groups[head]
	if g == nil || g.Model == "" {
		return nil
	}
	return s.serveQueue(now, g.Model, random)
}

// SetConfirmed sets whether it is confirmed that no other scheduler grants turns. While it is not, heads with a limit are granted fewer.
func (s *Scheduler) SetConfirmed(now time.Duration, confirmed bool) {
	if s.unconfirmed == !confirmed {
		return
	}
	s.unconfirmed = !confirmed
	for _, meter := range s.meters {
		meter.SetConfirmed(now, confirmed)
	}
	for _, g := range s.groups {
		if g.cold != nil {
			g.cold.SetConfirmed(now, confirmed)
		}
	}
}

// limits describes the limits of the available heads of a model.
func (s *Scheduler) limits(name string) (found Limits) {
	lowest := 0.0
	for _, g := range s.groups {
		if g.removed || g.Model != name || s.meters[g.Head] == nil && g.cold == nil {
			continue
		}
		rate := s.permittedRate(g)
		if found.Heads == 0 || rate < lowest || rate == lowest && g.Head < found.Lowest {
			found.Lowest, lowest = g.Head, rate
		}
		found.Heads++
		found.PerSecond += rate
	}
	return found
}

// permittedRate returns how many requests a second a group's head may be sent, by its limit and while it is cold; +Inf if neither applies.
func (s *Scheduler) permittedRate(g *group) float64 {
	rate := math.Inf(1)
	if g.cold != nil {
		rate = g.cold.Rate()
	}
	if meter := s.meters[g.Head]; meter != nil {
		rate = min(rate, meter.Rate())
	}
	return rate
}

// limitAge is how long a head must have had a limit until it counts as a loss of capacity. Shorter than that, a limit is over before another group
// has loaded its weights.
const limitAge = 10 * time.Second

// LimitedGroups returns how many of a model's groups its limits take away: a group that may serve a third of the requests a second that it could is
// two thirds of a group less. groupRate is what a group serves without a limit.
func (s *Scheduler) LimitedGroups(now time.Duration, name string, groupRate float64) float64 {
	missing := 0.0
	for _, g := range s.groups {
		meter := s.meters[g.Head]
		if meter != nil && !g.removed && g.Model == name && meter.Age(now) >= limitAge {
			missing += max(0, 1-meter.Rate()/groupRate)
		}
	}
	return missing
}

// promise returns when a place is promised to the caller of a rejected request of a model with limited heads; 0 if it has none. Each caller is
// told the next place after those promised to others: told the same time, they would return together, and nearly all would be rejected again.
func (s *Scheduler) promise(now time.Duration, request Request, d Decision) time.Duration {
	if d.Limits.Heads == 0 || request.Optional {
		return 0
	}
	m := s.model(request.Model)
	next := max(m.promisedUntil, now+s.expectedWait(now, request, d.Waiting))
	m.promisedUntil = min(next+s.expectedWait(now, request, 0), now+maxPromise)
	return next - now
}
