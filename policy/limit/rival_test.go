package limit_test

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// aimd is an alternative, additive increase and multiplicative decrease: each second the limit shrinks by a tenth if
// more than 5% of the gaps exceed the objective, and otherwise grows by four if it is in use. First tokens are limited
// as in limit.Limit.
type aimd struct {
	*limit.Limit
	value       float64
	opened      time.Duration
	count, late int
	maxRunning  int
}

func newAIMD() *aimd { return &aimd{Limit: limit.New(limit.Config{}), value: 16} }

func (a *aimd) Current() int { return int(a.value) }

func (a *aimd) Observe(now time.Duration, s limit.Sample) {
	a.Limit.Observe(now, s)
	if s.Gap == 0 {
		return
	}
	a.count += s.GapCount
	if s.Gap > objective {
		a.late += s.GapCount
	}
	a.maxRunning = max(a.maxRunning, s.Running)
	if now-a.opened < time.Second {
		return
	}
	const increase, decrease = 4, 0.9
	if a.late*20 > a.count {
		a.value = max(4, a.value*decrease)
	} else if float64(a.maxRunning) >= 0.8*a.value {
		a.value = min(1024, a.value+increase)
	}
	a.opened, a.count, a.late, a.maxRunning = now, 0, 0, 0
}

// gradient is another alternative: each second the limit moves part of the way to itself times objective / measured
// quantile; upwards only while it is in use. First tokens are limited as in limit.Limit.
type gradient struct {
	*limit.Limit
	value      float64
	opened     time.Duration
	gaps       playback.Histogram
	maxRunning int
}

func newGradient() *gradient { return &gradient{Limit: limit.New(limit.Config{}), value: 16} }

func (g *gradient) Current() int { return int(g.value) }

func (g *gradient) Observe(now time.Duration, s limit.Sample) {
	g.Limit.Observe(now, s)
	if s.Gap == 0 {
		return
	}
	g.gaps.Add(s.Gap, s.GapCount)
	g.maxRunning = max(g.maxRunning, s.Running)
	if now-g.opened < time.Second {
		return
	}
	const smoothing, minFactor, maxFactor = 0.4, 0.5, 2.0
	factor := float64(objective) / float64(g.gaps.Quantile(0.95))
	factor = min(maxFactor, max(minFactor, factor))
	if factor < 1 || float64(g.maxRunning) >= 0.8*g.value {
		g.value = min(1024, max(4, g.value*(1+smoothing*(factor-1))))
	}
	g.opened, g.gaps, g.maxRunning = now, playback.Histogram{}, 0
}

// oneBound omits the limit on requests without a first token.
type oneBound struct{ *limit.Limit }

func (oneBound) Starting() int { return 0 }
