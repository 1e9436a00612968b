package leader

import (
	"time"

	policy "github.com/skylarkpond/skylarkpond/policy/turns"
)

// demandInterval is the interval over which demand is measured, and at which it is reported.
const demandInterval = time.Second

// MeasureDemand ends an interval: it adds its requests to the average demand and reports them.
func (l *Leader) MeasureDemand() {
	l.mu.Lock()
	demands := l.turns.Demands(l.now())
	for _, demand := range demands {
		l.updateDemand(demand)
	}
	l.mu.Unlock()
	for _, demand := range demands {
		l.deps.ReportDemand(demand)
	}
	l.reportReturning()
}

const (
	// demandWeight is the weight of the latest sample in the moving average: half of a change is reflected after 3 s.
	demandWeight = 0.2
	// minDemandSamples is the number of samples of a model before its average is used.
	minDemandSamples = 2
)

// modelDemand is the moving average of the demand for a model.
type modelDemand struct {
	// groups is the average demand in fully used groups.
	groups  float64
	samples int
	// started reports that requests had arrived before the current interval. The interval of the first requests is not a
	// full one.
	started bool
}

// add adds a sample to the average. The first samples count equally: otherwise the first one would dominate for seconds.
func (m *modelDemand) add(groups float64) {
	if !m.started {
		m.started = true
		return
	}
	m.samples++
	weight := max(demandWeight, 1/float64(m.samples))
	m.groups += weight * (groups - m.groups)
}

// updateDemand adds the latest sample to the moving average. It must be called with l.mu held.
func (l *Leader) updateDemand(demand policy.Demand) {
	groups, known := l.requiredGroups(demand)
	if !known {
		return
	}
	if groups > 0 {
		// Heads that take few requests for long, or none, are missing like groups.
		groupRate := float64(demand.NewRequests) / demandInterval.Seconds() / groups
		groups += l.turns.LimitedGroups(l.now(), demand.Model, groupRate) + float64(l.turns.SheddingGroups(l.now(), demand.Model))
	}
	if l.demand[demand.Model] == nil {
		l.demand[demand.Model] = &modelDemand{}
	}
	l.demand[demand.Model].add(groups)
}

// requiredGroups returns how many fully used groups would serve the requests of the latest interval.
func (l *Leader) requiredGroups(demand policy.Demand) (groups float64, known bool) {
	if demand.NewRequests == 0 {
		return 0, false // no requests, or the requests did not pass through the leader
	}
	perSecond := float64(demand.NewRequests) / demandInterval.Seconds()
	if rate := l.engines[demand.Model].Rate(demand.MeanSize); rate > 0 {
		return perSecond / rate, true
	}
	if demand.Groups == 0 {
		return 0, false // without a group, the duration of a request is unknown
	}
	slots := float64(demand.Slots) / float64(demand.Groups)
	return perSecond * demand.MeanTurnTime.Seconds() / slots, true
}

// GroupsNeeded returns the average demand for a model as a number of fully used groups, or 0 if it is not known yet.
func (l *Leader) GroupsNeeded(service, model string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := l.demand[modelKey(service, model)]
	if demand == nil || demand.samples < minDemandSamples {
		return 0
	}
	return demand.groups
}
