package front

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
)

// frontMetrics holds the metrics of the front. The counters "front.outcome.<outcome>" and "front.code.<code>"
// count what callers were told. The timer "front.first" measures the time to the first part delivered to the
// caller of a stream or a long answer, "front.total" the time to the end of any answer. Requests whose callers have
// left are counted by "front.caller-left" alone.
type frontMetrics struct {
	registry metrics.Registry
	first    metrics.Timer
	total    metrics.Timer
}

func newFrontMetrics(registry metrics.Registry) *frontMetrics {
	return &frontMetrics{
		registry: registry,
		first:    metrics.GetOrRegisterTimer("front.first", registry),
		total:    metrics.GetOrRegisterTimer("front.total", registry),
	}
}

func (c *frontMetrics) increment(name string) { metrics.GetOrRegisterCounter(name, c.registry).Inc(1) }

func (c *frontMetrics) recordOutcome(a outcome.Action, took time.Duration) {
	if a.Problem != nil && a.Problem.Code == contract.CodeCallerLeft {
		c.increment("front.caller-left")
		return
	}
	c.increment("front.outcome." + string(a.Outcome))
	if a.Problem != nil {
		c.increment("front.code." + string(a.Problem.Code))
	}
	c.total.Update(took)
}

// recordDelivery is called for each part that is delivered to a caller. It measures the time to the first one.
func (c *frontMetrics) recordDelivery(d *driver) {
	if !d.delivered {
		d.delivered = true
		c.first.UpdateSince(d.startedAt)
	}
}
