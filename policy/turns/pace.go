package turns

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/capacity"
)

// This file spreads the requests of returning callers over time.
//
// Load pattern: as callers return, nearly all slots are free, and all their prompts arrive within tenths of a second. An engine prefills a bounded number
// of tokens in one pass, so that such a surge takes it a second or more, in which the first tokens of new requests are late although slots stay free.
//
// Therefore returning callers get turns at the rate that new requests leave over of what the groups sustain.

const (
	// paceBurst is the time for which unused turns of returning callers are kept.
	paceBurst = 50 * time.Millisecond
	// sizeWeight is the weight of the latest request in the mean size of a model's requests.
	sizeWeight = 0.02
)

// pace is the time from which the next returning caller of a model may have a turn, and the mean size of the model's requests.
type pace struct {
	next time.Duration
	size capacity.RequestSize
}

// note adds a request to the mean size.
func (p *pace) note(size capacity.RequestSize) {
	if p.size == (capacity.RequestSize{}) {
		p.size = size
		return
	}
	p.size.PromptTokens += sizeWeight * (size.PromptTokens - p.size.PromptTokens)
	p.size.OutputTokens += sizeWeight * (size.OutputTokens - p.size.OutputTokens)
}

// granted records a turn of a returning caller.
func (p *pace) granted(now time.Duration, perSecond float64) {
	p.next = max(p.next, now-paceBurst) + perPlace(perSecond, 1)
}

// sustainedRate returns how many requests a second a group serves while all of its slots are used. The rate at which turns end is higher as long as
// most slots are free.
func (s *Scheduler) sustainedRate(g *group, size capacity.RequestSize) float64 {
	rate := s.turnRate(g)
	if full := g.Engine.Rate(size); full > 0 {
		rate = min(rate, full)
	}
	return rate
}
