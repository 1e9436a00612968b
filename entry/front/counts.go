package front

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkpond/skylarkpond/contract/outcome"
)

// counts are the front's metrics: "front.outcome.<outcome>" and "front.code.<code>" count what callers were
// told; "front.first" is the time to the first part given to a caller of a stream or a long answer,
// "front.total" that to the end of any answer.
type counts struct {
	registry metrics.Registry
	first    metrics.Timer
	total    metrics.Timer
}

func newCounts(registry metrics.Registry) *counts {
	return &counts{
		registry: registry,
		first:    metrics.GetOrRegisterTimer("front.first", registry),
		total:    metrics.GetOrRegisterTimer("front.total", registry),
	}
}

func (c *counts) told(a outcome.Action, took time.Duration) {
	metrics.GetOrRegisterCounter("front.outcome."+string(a.Outcome), c.registry).Inc(1)
	if a.Problem != nil {
		metrics.GetOrRegisterCounter("front.code."+string(a.Problem.Code), c.registry).Inc(1)
	}
	c.total.Update(took)
}

// delivered is called with each part given to a caller; the first counts.
func (c *counts) delivered(d *drive) {
	if !d.delivered {
		d.delivered = true
		c.first.UpdateSince(d.began)
	}
}
