package fairqueue

import (
	"math"
	"time"
)

// Saturation lasts for minutes, and a queue whose bounds are sized for bursts stays full throughout. It
// serves no more than a short queue would, and every request waits for the maximum time: operators would
// see first tokens late by exactly MaxWait for as long as the load lasts.
//
// Pressure is the fraction of the last StandingAfter, as an exponential average, during which the class
// was backlogged. A burst ends before pressure becomes high; in saturation it stays high, and new items
// are then accepted only up to an expected wait of StandingWait. It is a fraction of time rather than the
// time since the queue was last empty, because a short queue is sometimes empty by chance.

// highPressure is the pressure above which a backlog counts as standing. Starting from idle, a continuous
// backlog reaches it after 1.2 × StandingAfter; a class that is backlogged half of the time does not reach
// it.
const highPressure = 0.7

// pressure is the exponential average of the backlogged time of a class.
type pressure struct {
	level      float64
	at         time.Duration
	backlogged bool
}

// advance brings the average up to now.
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

// set records whether the class is backlogged from now on.
func (p *pressure) set(now, memory time.Duration, backlogged bool) {
	p.advance(now, memory)
	p.backlogged = backlogged
}

// isHigh reports whether the backlog counts as standing.
func (p *pressure) isHigh(now, memory time.Duration) bool {
	p.advance(now, memory)
	return p.level > highPressure
}
