package gateway

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// logOrder counts what the order by team did with the requests for a model in the last second. It writes a line if any were rejected for want of slots.
func (s *shared) logOrder(model string, order turns.OrderStats) {
	metrics.GetOrRegisterCounter("queue.overtaken", s.registry).Inc(int64(order.Overtaken))
	metrics.GetOrRegisterCounter("queue.retries.placed", s.registry).Inc(int64(order.Placed))
	metrics.GetOrRegisterCounter("queue.retries.latest", s.registry).Inc(int64(order.Latest))
	if order.Placed+order.Latest == 0 {
		return
	}
	s.log.WithFields(logrus.Fields{
		"model": model, "teams": order.Teams, "largest": order.Largest, "overtaken": order.Overtaken, "placed": order.Placed, "latest": order.Latest,
	}).Info(logline.QueueOrder)
}
