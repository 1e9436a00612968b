package turns

import (
	"math"
	"time"
)

// This file learns how long groups take to prefill prompts.
//
// Load pattern: prompts of hundreds to thousands of tokens arrive faster than a group prefills them. An engine prefills a bounded number of tokens in
// one pass, and decodes in between, so that under load it takes several times as long as its stated prefill rate says.
//
// By the stated rate the prompts assigned to a group seem prefilled long before they are. Groups with the longest prompts still to prefill then look
// like the others and get more: in a trial 5.6% of the first tokens were late at 85% of the capacity, and 0.3% with the measured rate
// (docs/design/request-cost.md). Which bound applies is not asked: the time from each turn to its first token tells.
//
// That time also holds the wait for the pass in progress, the prompts of other requests and the network. Compared as a whole with the stated prefill
// time, an engine that prefills as stated seems three times slower than it is. None of these depends on the length of the request's own prompt, which the
// choice of the group doesn't look at. So the ratio is the slope of a regression of the time to the first token over the stated prefill time of the own
// prompt; everything else goes to its intercept.

const (
	// prefillMemory is the weight that a measurement keeps when another one is added: the last 1,000 count.
	prefillMemory = 0.999
	// minPrefillAnswers is the number of answers before which the ratio is not used.
	minPrefillAnswers = 50
	// minPrefillRatio is the ratio below which the stated time is used. Sending a prompt takes time in proportion to its length as well: at 14 Mbit/s
	// some 0.1 of what the larger models of the deployments known take to prefill it.
	minPrefillRatio = 1.25
	// maxPrefillRatio bounds the ratio: a group that is slower by more is stalled rather than slow at prefilling.
	maxPrefillRatio = 10
	// prefillMargin is by how many standard errors the ratio is reduced, so that chance makes no group look slow.
	prefillMargin = 2
)

// prefillRatio estimates the ratio between the time that prompts take and the one that the engine states: the slope of a regression of y, the time to the
// first token, over x, the stated time to prefill the request's own prompt, both in seconds.
type prefillRatio struct {
	// meanX and meanY are moving averages over few answers, by which both are centered: when long prompts come in a burst, all first tokens take longer.
	meanX, meanY float64
	// weight, xx, xy and yy are the weighted sums of the centered values.
	weight, xx, xy, yy float64
}

func (r *prefillRatio) learn(stated, firstToken time.Duration) {
	x, y := stated.Seconds(), firstToken.Seconds()
	if r.weight == 0 {
		r.meanX, r.meanY = x, y
	}
	dx, dy := x-r.meanX, y-r.meanY
	r.meanX += ewmaWeight * dx
	r.meanY += ewmaWeight * dy
	r.weight = r.weight*prefillMemory + 1
	r.xx = r.xx*prefillMemory + dx*dx
	r.xy = r.xy*prefillMemory + dx*dy
	r.yy = r.yy*prefillMemory + dy*dy
}

// value returns the ratio, 1 at least, and 1 unless the answers show clearly that prompts take longer than stated.
func (r *prefillRatio) value() float64 {
	if r.weight < minPrefillAnswers || r.xx <= 0 { // prompts of one length tell nothing
		return 1
	}
	slope := r.xy / r.xx
	residual := max(0, r.yy-slope*r.xy) / r.weight
	lower := slope - prefillMargin*math.Sqrt(residual/r.xx)
	if lower < minPrefillRatio {
		return 1
	}
	return min(maxPrefillRatio, lower)
}

// workAhead is what a turn tells about prefill times when its first token comes.
type workAhead struct {
	// prefill is the stated time to prefill the turn's own prompt; 0 if the turn tells nothing.
	prefill time.Duration
	// pass is the time of one pass.
	pass time.Duration
}

// assignPrompt adds a prompt to the work that the group has left, and returns what its first token will tell.
func (s *Scheduler) assignPrompt(now time.Duration, g *group, request Request) workAhead {
	stated := g.Engine.PrefillTime(request.Size.PromptTokens)
	if !s.config.ByCost || g.Plain {
		g.prefillDoneAt = max(now, g.prefillDoneAt) + stated
		return workAhead{}
	}
	m := s.model(g.Model)
	m.longestBudget = max(m.longestBudget, request.FirstTokenBudget)
	ratio := m.prefill.value()
	g.prefillDoneAt = max(now, g.prefillDoneAt) + time.Duration(ratio*float64(stated))
	if ratio > 1 && m.longestBudget > 0 {
		// Work that exceeds the time to the first token makes an answer late, however much it is. With twice as much allowed, groups far beyond their
		// capacity became equally late, and 0.4 to 0.7 points fewer of their answers were in time than by the stated times.
		g.prefillDoneAt = min(g.prefillDoneAt, now+m.longestBudget)
	}
	if g.running > g.Engine.Slots {
		return workAhead{} // beyond the slots, a request waits for one
	}
	return workAhead{prefill: stated, pass: g.Engine.PassTime(g.running)}
}

// learnPrefill learns from the time from a turn to its first token. The time of a pass is taken off because it differs between groups. The bound on the
// time, without which one stalled group decides, leaves long prompts theirs: bounded alike, these made the ratio 0.3 to 0.5 too low in trials.
func (m *modelQueue) learnPrefill(ahead workAhead, firstToken time.Duration) {
	if ahead.prefill > 0 {
		bound := outlierFactor*m.firstToken.upperBound() + maxPrefillRatio*ahead.prefill
		m.prefill.learn(ahead.prefill, min(firstToken, bound)-ahead.pass)
	}
}
