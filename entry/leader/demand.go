package leader

import (
	"time"

	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/policy/capacity"
	policy "github.com/skylarkpond/skylarkpond/policy/turns"
)

// demandInterval is the interval over which demand is measured, and at which it is reported.
const demandInterval = time.Second

func (l *Leader) reportDemand() {
	l.mu.Lock()
	demands := l.turns.Demands(l.now())
	for _, demand := range demands {
		l.updateDemand(demand)
	}
	l.mu.Unlock()
	for _, demand := range demands {
		l.deps.ReportDemand(demand)
	}
}

const (
	// demandWeight is the weight of the latest sample in the moving average: half of a change is reflected after 3 s.
	demandWeight = 0.2
	// minDemandSamples is the number of samples, counted over all models, before the average is used.
	minDemandSamples = 3
)

// updateDemand adds the latest sample to the moving average. It must be called with l.mu held.
func (l *Leader) updateDemand(demand policy.Demand) {
	groups, known := l.requiredGroups(demand)
	if !known {
		return
	}
	mean, found := l.groupsNeeded[demand.Model]
	if !found {
		mean = groups
	}
	l.groupsNeeded[demand.Model] = mean + demandWeight*(groups-mean)
	l.demandSamples++
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

// engineFor returns the performance parameters of a group that serves model.
func engineFor(engine *route.Engine, model route.Model) capacity.Engine {
	return capacity.Engine{
		Slots: engine.Slots, KVCacheTokens: engine.KVCacheTokens, StepTime: engine.StepTime, StepTimePerSequence: engine.StepTimePerSequence, StepTimePerContext: engine.StepTimePerContext,
		StepsPerPass: engine.StepsPerPass, PrefillTokensPerSecond: engine.PrefillTokensPerSecond, TimeFactor: model.TimeFactor,
	}
}

// GroupsNeeded returns the average demand for a model as a number of fully used groups, or 0 if it is not known yet.
func (l *Leader) GroupsNeeded(service, model string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.demandSamples < minDemandSamples {
		return 0
	}
	return l.groupsNeeded[modelKey(service, model)]
}
