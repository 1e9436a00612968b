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

func (c *counts) add(name string) { metrics.GetOrRegisterCounter(name, c.registry).Inc(1) }

func (c *counts) told(a outcome.Action, took time.Duration) {
	c.add("front.outcome." + string(a.Outcome))
	if a.Problem != nil {
		c.add("front.code." + string(a.Problem.Code))
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
