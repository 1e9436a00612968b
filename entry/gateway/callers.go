package gateway

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/skylarkpond/skylarkpond/entry/callers"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/policy/slowread"
)

// maxCutLines is the number of lines a second about callers that were cut: thousands may stop reading at once. The line of each request's end says
// that it was cut as well.
const maxCutLines = 20

// provideCallers returns the watch over the connections of callers, which bounds what is held for them by the machine's memory.
func provideCallers(s *shared) *callers.Watch {
	lines := rate.NewLimiter(maxCutLines, maxCutLines)
	return callers.New(callers.Deps{
		Bounds: slowread.ForMachine(int64(s.config.MemoryMB) << 20),
		Cut: func(cut callers.Cut) {
			if !lines.Allow() {
				metrics.GetOrRegisterCounter("callers.cut.unlogged", s.registry).Inc(1)
				return
			}
			s.log.WithFields(logrus.Fields{
				"request": cut.Request, "route": cut.Route, "reason": cut.Reason, "silent_ms": cut.Silence.Milliseconds(),
				"bytes": cut.Bytes, "held_bytes": cut.Held,
			}).Warn(logline.CallerCut)
		},
	})
}

// callerGauges registers the gauges of what is held for callers.
func (g *Gateway) callerGauges() {
	for name, value := range map[string]func(callers.Counts) int64{
		"callers.requests":   func(c callers.Counts) int64 { return c.Requests },
		"callers.held_bytes": func(c callers.Counts) int64 { return c.Bytes },
		"callers.waiting":    func(c callers.Counts) int64 { return c.Waiting },
		"callers.cut":        func(c callers.Counts) int64 { return c.Cuts },
		"callers.refused":    func(c callers.Counts) int64 { return c.Refusals },
	} {
		g.gauge(name, func() int64 { return value(g.callers.Counts()) })
	}
}
