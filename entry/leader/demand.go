package leader

import (
	"time"

	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/policy/capacity"
	policy "github.com/skylarkpond/skylarkpond/policy/turns"
)

// demandEvery is how often the demand of each model is told.
const demandEvery = time.Second

func (l *Leader) tellDemand() {
	l.mu.Lock()
	demands := l.turns.Demands(l.now())
	for _, demand := range demands {
		l.learn(demand)
	}
	l.mu.Unlock()
	for _, demand := range demands {
		l.deps.Demand(demand)
	}
}

const (
	// demandShare is the weight of the latest second in the mean demand: a change counts by half after 3 s.
	demandShare = 0.2
	// demandSeconds is how many seconds must have been seen before the mean counts.
	demandSeconds = 3
)

// learn takes the latest second into the mean. It is called under the lock.
func (l *Leader) learn(demand policy.Demand) {
	groups, known := l.groupsFor(demand)
	if !known {
		return
	}
	held, seen := l.wanted[demand.Model]
	if !seen {
		held = groups
	}
	l.wanted[demand.Model] = held + demandShare*(groups-held)
	l.seconds++
}

// groupsFor returns how many full groups would serve what was asked for in the latest second.
func (l *Leader) groupsFor(demand policy.Demand) (groups float64, known bool) {
	if demand.NewRequests == 0 {
		return 0, false // none came, or they went another way
	}
	perSecond := float64(demand.NewRequests) / demandEvery.Seconds()
	if rate := l.engines[demand.Model].Rate(demand.MeanSize); rate > 0 {
		return perSecond / rate, true
	}
	if demand.Groups == 0 {
		return 0, false // nothing tells how long its requests would take
	}
	slots := float64(demand.Slots) / float64(demand.Groups)
	return perSecond * demand.MeanTurnTime.Seconds() / slots, true
}

// engineFor is what a group of a model takes for its work.
func engineFor(engine *route.Engine, model route.Model) capacity.Engine {
	return capacity.Engine{
		Slots: engine.Slots, KVCacheTokens: engine.KVTokens, StepTime: engine.Step, StepTimePerSequence: engine.PerSequence, StepTimePerContext: engine.PerContext,
		StepsPerPass: engine.Stride, PrefillTokensPerSecond: engine.ReadPerSecond, TimeFactor: model.Pace,
	}
}

// Wanted returns how many groups' worth of requests of a model come, or 0 where that is not known yet.
func (l *Leader) Wanted(service, model string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seconds < demandSeconds {
		return 0
	}
	return l.wanted[modelKey(service, model)]
}
