package gateway

import (
	"encoding/json"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// This file connects the reservation of slots while callers return to the lease, the log and the metrics.

// Values of Config.Returning.
const (
	returningQueue   = "queue"
	returningReserve = "reserve"
)

func (c *Config) reservesForNew() bool { return c.Returning == returningReserve }

// storedCallers returns what was learned of callers, for the attachment of the lease.
func (s *shared) storedCallers() json.RawMessage {
	if !s.config.reservesForNew() {
		return nil
	}
	return s.components.leader.StoreCallers()
}

// restoreCallers restores what the attachment of the lease holds of callers. The same fault is logged once: the lease is read again and again.
func (s *shared) restoreCallers(body json.RawMessage) {
	if len(body) == 0 || !s.config.reservesForNew() {
		return
	}
	fault := ""
	if err := s.components.leader.RestoreCallers(body); err != nil {
		fault = err.Error()
	}
	if fault != "" && fault != s.callersFault {
		metrics.GetOrRegisterCounter("returning.invalid", s.registry).Inc(1)
		s.log.WithField("error", fault).Warn(logline.CallersInvalid)
	}
	s.callersFault = fault
}

// returningReported logs to which model callers return, and which slots they get. This entry is the leader.
func (s *shared) returningReported(count turns.ReturningCount) {
	for name, n := range map[string]int{
		"returning.recognized": count.Recognized, "returning.remembered": count.Remembered,
		"returning.granted": count.Granted, "returning.refused": count.Rejected,
	} {
		metrics.GetOrRegisterCounter(name, s.registry).Inc(int64(n))
	}
	s.log.WithFields(logrus.Fields{
		"model": count.Model, "recognized": count.Recognized, "remembered": count.Remembered, "granted": count.Granted, "refused": count.Rejected,
		"running": count.Running, "places": count.Allowed, "left_per_second": count.PerSecond, "fresh_per_second": count.NewPerSecond,
		"bound_ms": count.Bound.Milliseconds(),
	}).Info(logline.CallersReturn)
}
