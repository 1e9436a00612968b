package route

import "github.com/skylarkpond/skylarkpond/policy/capacity"

// Config is one version of the configuration as operators write it: lists in their order, with entries that stand twice. NewTable makes it
// a Table.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Capacity returns the performance parameters of a group that serves model.
func (e *Engine) Capacity(model Model) capacity.Engine {
	return capacity.Engine{
		Slots: e.Slots, KVCacheTokens: e.KVCacheTokens, StepTime: e.StepTime, StepTimePerSequence: e.StepTimePerSequence, StepTimePerContext: e.StepTimePerContext,
		StepsPerPass: e.StepsPerPass, PrefillTokensPerSecond: e.PrefillTokensPerSecond, TimeFactor: model.TimeFactor,
	}
}
