package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/standing"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/logline"
)

// This file connects what is known of servers (package standing) to the platform's objects, the log and the metrics.

// applyEvacuations applies changes of the failure domains that operators evacuate. Each is an object of that name.
func (g *Gateway) applyEvacuations(update catalog.Update) {
	if update.Complete {
		clear(g.evacuations)
	}
	for _, object := range update.Objects() {
		if object.Deleted {
			delete(g.evacuations, domain.FailureDomain(object.Name))
		} else {
			g.evacuations[domain.FailureDomain(object.Name)] = true
		}
	}
	names := make([]domain.FailureDomain, 0, len(g.evacuations))
	for name := range g.evacuations {
		names = append(names, name)
	}
	g.standing.SetEvacuated(names)
	g.leader.RefreshGroups()
	g.controller.Wake()
}

// permits reports whether a server may be sent anything.
func (s *shared) permits(to upstream.Endpoint) bool {
	if s.components.standing.Permits(to) {
		return true
	}
	metrics.GetOrRegisterCounter("evacuated.withheld", s.registry).Inc(1)
	return false
}

func (s *shared) evacuationBegan(failureDomain domain.FailureDomain, servers int) {
	s.log.WithFields(logrus.Fields{"failure_domain": failureDomain, "servers": servers}).Warn(logline.EvacuationBegins)
}

func (s *shared) evacuationEnded(failureDomain domain.FailureDomain, servers int, lasted time.Duration) {
	s.log.WithFields(logrus.Fields{"failure_domain": failureDomain, "servers": servers, "age_ms": lasted.Milliseconds()}).Warn(logline.EvacuationEnds)
}

// coldBegan logs a server that is cold. The leader does for all entries.
func (s *shared) coldBegan(cold standing.Cold) {
	if !s.components.lease.IsLeader() {
		return
	}
	metrics.GetOrRegisterCounter("cold.began", s.registry).Inc(1)
	s.log.WithFields(logrus.Fields{
		"vm": cold.Server.ID, "service": cold.Server.Service, "left_ms": cold.For.Milliseconds(), "per_second": cold.PerSecond, "source": cold.Source,
	}).Info(logline.ServerCold)
}

func (s *shared) coldEnded(server backend.ID) {
	if s.components.lease.IsLeader() {
		s.log.WithField("vm", server).Info(logline.ServerWarm)
	}
}

func (s *shared) coldInvalid(server backend.ID, text string) {
	metrics.GetOrRegisterCounter("cold.invalid", s.registry).Inc(1)
	s.log.WithFields(logrus.Fields{"vm": server, "cold_ms": text}).Warn(logline.ColdInvalid)
}

// countColdGrants adds the turns that this entry has granted at cold heads to the metrics.
func (g *Gateway) countColdGrants() {
	metrics.GetOrRegisterCounter("cold.granted", g.registry).Inc(int64(g.leader.TakeColdGrants()))
}
