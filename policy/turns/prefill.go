package turns

import "time"

// This file learns how long groups take to prefill prompts.
//
// Load pattern: prompts of hundreds to thousands of tokens arrive faster than a group prefills them. An engine prefills a bounded number of tokens in
// one pass, and decodes in between, so that under load it takes several times as long as its stated prefill rate says.
//
// By the stated rate the prompts assigned to a group seem prefilled long before they are. Groups with the longest prompts still to prefill then look
// like the others and get more: in a trial 5.6% of the first tokens were late at 85% of the capacity, and 0.3% with the measured rate
// (docs/design/request-cost.md). Which bound applies is not asked: the time from each turn to its first token tells.

const (
	// prefillMemory is the weight that a measurement keeps when another one is added: the last 500 count.
	prefillMemory = 0.998
	// prefillPrior is the stated prefill time that counts as having been kept, before anything was measured.
	prefillPrior = time.Second
	// maxPrefillFactor bounds the factor: a group that is slower by more is stalled rather than slow at prefilling.
	maxPrefillFactor = 10
)

// prefillFactor is the ratio between the prefill time that was measured and the one that the engine states.
type prefillFactor struct {
	measured, stated float64 // seconds
}

// value returns the factor, 1 at least.
func (f *prefillFactor) value() float64 {
	prior := prefillPrior.Seconds()
	return min(maxPrefillFactor, max(1, (f.measured+prior)/(f.stated+prior)))
}

func (f *prefillFactor) learn(measured, stated time.Duration) {
	f.measured = f.measured*prefillMemory + measured.Seconds()
	f.stated = f.stated*prefillMemory + stated.Seconds()
}

// workAhead is what a group is expected to do before the first token of a turn.
type workAhead struct {
	// prefill is the time, as stated, to prefill the prompts that precede the turn's and its own; 0 if the turn does not tell how long that takes.
	prefill time.Duration
	// pass is the time of one pass.
	pass time.Duration
}

// assignPrompt adds a prompt to those that the group has yet to prefill, and returns what precedes the first token.
func (s *Scheduler) assignPrompt(now time.Duration, g *group, tokens float64) workAhead {
	factor := 1.0
	if s.config.ByCost {
		factor = s.model(g.Model).prefill.value()
	}
	g.prefillDoneAt = max(now, g.prefillDoneAt) + scale(g.Engine.PrefillTime(tokens), factor)
	if !s.config.ByCost || g.running > g.Engine.Slots {
		return workAhead{} // beyond the slots, a request waits for one
	}
	return workAhead{prefill: scale(g.prefillDoneAt-now, 1/factor), pass: g.Engine.PassTime(g.running)}
}

// learnPrefill learns from the time from a turn to its first token.
func (m *modelQueue) learnPrefill(ahead workAhead, firstToken time.Duration) {
	if ahead.prefill > 0 {
		m.prefill.learn(max(0, firstToken-ahead.pass), ahead.prefill)
	}
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}
