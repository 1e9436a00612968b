package fairqueue

import (
	"math"
	"time"
)

// In saturation, which lasts minutes, a queue that is bounded for bursts stays full. It carries no more
// than a short one, and every request pays the longest wait: an operator notices first tokens that are late
// by exactly MaxWait for as long as the load lasts.
//
// Pressure is the part of the last StandingAfter during which the class was backlogged. A burst ends before
// it gets high; in saturation it stays high, and new items are then let in only up to StandingWait. It is a
// part of time and not "since the queue was last empty", because a short queue gets empty by chance.

// highPressure is the pressure above which a backlog counts as standing. From idle it is reached after
// 1.2 x StandingAfter; a backlog half of the time does not reach it.
const highPressure = 0.7

type pressure struct {
	level      float64
	at         time.Duration
	backlogged bool
}

func (p *pressure) advance(now, memory time.Duration) {
	if now <= p.at {
		return
	}
	keep := math.Exp(-(now - p.at).Seconds() / memory.Seconds())
	p.level *= keep
	if p.backlogged {
		p.level += 1 - keep
	}
	p.at = now
}

func (p *pressure) set(now, memory time.Duration, backlogged bool) {
	p.advance(now, memory)
	p.backlogged = backlogged
}

func (p *pressure) high(now, memory time.Duration) bool {
	p.advance(now, memory)
	return p.level > highPressure
}
