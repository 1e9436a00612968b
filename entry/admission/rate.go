package admission

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/quota"
)

// RateLimit implements home.Permit.
func (p *permit) RateLimit(perSecond *float64) (changed bool) {
	return p.group.setRate(p.admission.now(), quota.Statement{PerSecond: perSecond, Basis: p.rateVersion})
}

// setRate applies what an answer states of the requests a second that the group takes, and reports whether it changes the limit.
func (g *group) setRate(now time.Duration, statement quota.Statement) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.rate.Hear(now, "", statement) {
		return false
	}
	known, limited := g.rate.Limit("")
	switch {
	case !limited:
		g.meter = nil
	case g.meter == nil:
		g.meter = quota.NewMeter(now, known.PerSecond)
	default:
		g.meter.SetLimit(now, known.PerSecond)
	}
	return true
}

// rateVersion returns the version of the group's rate limit; 0 for none. It must be called with g.mu held.
func (g *group) rateVersion() uint64 {
	known, _ := g.rate.Limit("")
	return known.Version
}
