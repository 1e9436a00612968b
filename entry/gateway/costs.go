package gateway

import (
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/policy/cost"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// This file learns what the answers of this entry's requests cost, and measures how well that can be expected. No decision depends on it: knowing the
// lengths of answers gained callers nothing in trials (docs/design/request-cost.md). It also states what the leader has learned.

// costs learns the costs of requests by kind. It is safe for concurrent use.
type costs struct {
	registry metrics.Registry
	started  time.Time

	mu        sync.Mutex // guards estimator; no other lock is taken while it is held
	estimator *cost.Estimator
}

func newCosts(registry metrics.Registry, started time.Time) *costs {
	return &costs{registry: registry, started: started, estimator: cost.New(cost.DefaultConfig())}
}

// learn records a request that has ended. table is the configuration in force.
func (c *costs) learn(report relay.Report, table *route.Table) {
	sample, ok := sampleOf(report, table)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimator.Learn(time.Since(c.started), sample)
	if off, known := c.estimator.ErrorOf(sample.Kind); known {
		metrics.GetOrRegisterGauge("cost.error_percent."+kindName(sample.Kind), c.registry).Update(int64(100 * off))
	}
}

// sampleOf returns the cost of a request: the tokens of a stream, of which the engine sends those of one pass in each event, or the seconds that a plain
// server took. ok is false if the answer says nothing of its cost.
func sampleOf(report relay.Report, table *route.Table) (sample cost.Sample, ok bool) {
	complete := report.Outcome == relay.Served && report.Status < http.StatusMultipleChoices && !report.Resumed && !report.PartialEvent &&
		!report.Forwarded && report.Via == "" && report.Framing != framing.Closed
	if !complete || table == nil {
		return cost.Sample{}, false
	}
	sample = cost.Sample{Kind: cost.Kind{Service: report.Service, Route: report.Route}, Team: report.Team, Complete: true, Actual: report.ServerTime.Seconds()}
	if engine := table.Services[report.Service].Engine; engine != nil {
		sample.Kind.Model = report.Model
		sample.Stated = float64(report.StatedTokens)
		sample.Actual = float64(report.Events * max(1, engine.StepsPerPass))
	}
	return sample, sample.Actual > 0
}

func kindName(kind cost.Kind) string {
	if kind.Model == "" {
		return kind.Service + "." + kind.Route
	}
	return kind.Service + "." + kind.Model + "." + kind.Route
}

// measurePrefill states the ratio between the time that a model's prompts take and the one that its engine states. This entry is the leader.
func (s *shared) measurePrefill(demand turns.Demand) {
	if s.costs != nil && !strings.HasSuffix(demand.Model, "/") { // plain services have no model
		name := strings.ReplaceAll(demand.Model, "/", ".")
		metrics.GetOrRegisterGauge("cost.prefill_percent."+name, s.registry).Update(int64(math.Round(100 * demand.PrefillRatio)))
	}
}

// plainChanged logs that a plain server begins or ceases to reject more than the others. This entry is the leader.
func (s *shared) plainChanged(change leader.PlainChange) {
	line, by := logline.PlainAlike, int64(-1)
	if change.Apart {
		line, by = logline.PlainApart, 1
	}
	metrics.GetOrRegisterCounter("plain.apart", s.registry).Inc(by)
	s.log.WithFields(logrus.Fields{"vm": change.Server, "service": change.Service}).Info(line)
}
