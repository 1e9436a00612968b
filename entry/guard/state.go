package guard

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/quarantine"
	"github.com/skylarkpond/skylarkpond/policy/suspicion"
)

// state is what is known about the requests of one service: about whole requests, and about the parts that requests share. It is the value of the
// service's object on the platform and is not safe for concurrent use.
type state struct {
	requests *quarantine.Register
	parts    suspicion.Evidence
	// ledger holds the decisions that follow from parts; nil after a change.
	ledger *suspicion.Ledger
}

func newState(config quarantine.Config) *state { return &state{requests: quarantine.New(config)} }

func (s *state) clone() *state { return &state{requests: s.requests.Clone(), parts: s.parts.Clone()} }

func (s *state) merge(now time.Time, other *state) {
	s.requests.Merge(now, other.requests)
	s.parts.Merge(other.parts)
	s.ledger = nil
}

func (s *state) expire(now time.Time) {
	s.requests.Expire(now)
	s.parts.Expire(now.UnixMilli())
	s.ledger = nil
}

func (s *state) decisions() *suspicion.Ledger {
	if s.ledger == nil {
		s.ledger = s.parts.Ledger()
	}
	return s.ledger
}

func sinceEpoch(now time.Time) time.Duration {
	return time.Duration(now.UnixMilli()) * time.Millisecond
}

// rules returns the rules by which requests are held back for their parts.
func (s *state) rules(now time.Time) []suspicion.Rule {
	if len(s.parts.Incidents) == 0 {
		return nil
	}
	return s.decisions().Rules(sinceEpoch(now))
}

// suspects returns the parts about which it is of interest whether requests with them finish.
func (s *state) suspects(now time.Time) []string {
	if len(s.parts.Incidents) == 0 {
		return nil
	}
	return s.decisions().Suspects(sinceEpoch(now))
}

// holdsParts reports whether a request is held back for its parts.
func (s *state) holdsParts(now time.Time, parts []string) bool {
	for _, rule := range s.rules(now) {
		if rule.Matches(parts) {
			return true
		}
	}
	return false
}

// recordCrash records that a server crashed while it ran some requests.
func (s *state) recordCrash(now time.Time, id string, parts map[string]suspicion.Seen) {
	s.parts.RecordCrash(id, suspicion.Incident{At: now.UnixMilli(), Traits: parts})
	s.ledger = nil
}

// recordFinish records that a request finished, and reports whether this changes anything about one of its parts.
func (s *state) recordFinish(now time.Time, parts []string) bool {
	if len(s.parts.Incidents) == 0 {
		return false
	}
	changed := false
	for _, part := range parts {
		if s.decisions().RecordFinish(sinceEpoch(now), sinceEpoch(now), part) {
			s.parts.RecordFinish(now.UnixMilli(), part)
			changed = true
		}
	}
	return changed
}

// lift releases what a rule holds back on behalf of an operator, and reports whether there is such a rule.
func (s *state) lift(now time.Time, key string) bool {
	for _, rule := range s.rules(now) {
		if ruleName(rule) == key {
			return s.recordFinish(now, rule.Traits)
		}
	}
	return false
}
