package limit_test

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// gradient is the rival that was weighed: each second the limit moves by a part of the way to itself times
// objective over measured quantile; upwards only while it is in use. First tokens are bounded as in
// limit.Limit.
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
	g.gaps.Add(s.Gap, s.Gaps)
	g.used = max(g.used, s.Running)
	if now-g.opened < time.Second {
		return
	}
	const objective, smoothing, hardest, easiest = 79 * time.Millisecond, 0.4, 0.5, 2.0
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
