package limit_test

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// aimd is a rival that was weighed: each second the limit grows by four while it is in use and fewer than 5% of
// the gaps are over the objective, and else shrinks by a tenth. First tokens are bounded as in limit.Limit.
type aimd struct {
	*limit.Limit
	value       float64
	opened      time.Duration
	count, late int
	used        int
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
	a.used = max(a.used, s.Running)
	if now-a.opened < time.Second {
		return
	}
	const increase, decrease = 4, 0.9
	if a.late*20 > a.count {
		a.value = max(4, a.value*decrease)
	} else if float64(a.used) >= 0.8*a.value {
		a.value = min(1024, a.value+increase)
	}
	a.opened, a.count, a.late, a.used = now, 0, 0, 0
}

// gradient is the other rival: each second the limit moves by a part of the way to itself times objective over
// measured quantile; upwards only while it is in use. First tokens are bounded as in limit.Limit.
type gradient struct {
	*limit.Limit
	value  float64
	opened time.Duration
	gaps   playback.Histogram
	used   int
}

func newGradient() *gradient { return &gradient{Limit: limit.New(limit.Config{}), value: 16} }

func (g *gradient) Current() int { return int(g.value) }

func (g *gradient) Observe(now time.Duration, s limit.Sample) {
	g.Limit.Observe(now, s)
	if s.Gap == 0 {
		return
	}
	g.gaps.Add(s.Gap, s.GapCount)
	g.used = max(g.used, s.Running)
	if now-g.opened < time.Second {
		return
	}
	const smoothing, hardest, easiest = 0.4, 0.5, 2.0
	factor := float64(objective) / float64(g.gaps.Quantile(0.95))
	factor = min(easiest, max(hardest, factor))
	if factor < 1 || float64(g.used) >= 0.8*g.value {
		g.value = min(1024, max(4, g.value*(1+smoothing*(factor-1))))
	}
	g.opened, g.gaps, g.used = now, playback.Histogram{}, 0
}

// oneBound leaves out the bound on requests without a first token.
type oneBound struct{ *limit.Limit }

func (oneBound) Starting() int { return 0 }
