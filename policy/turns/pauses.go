package turns

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/backoff"
)

// Pause records that a head has rejected a request of a client, and wants no more from it for a time.
func (s *Scheduler) Pause(now time.Duration, head, client string, length time.Duration) {
	known := s.pauses[head]
	if known == nil {
		known = &backoff.Server{}
		s.pauses[head] = known
	}
	known.Reject(now, client, length)
}

// Accepted records that the head of a turn has accepted its request, and returns the decisions that this makes possible. What the answer stated must
// have been applied before.
func (s *Scheduler) Accepted(now time.Duration, key string, random func() float64) []Decision {
	t, ok := s.turns[key]
	if !ok {
		return nil
	}
	if t.meter != nil {
		t.meter.Verify()
	}
	s.succeed(t.head, t.grantedAt)
	if known := s.pauses[t.head]; known != nil {
		known.Accept(now, t.grantedAt)
	}
	return s.serveQueueOf(now, t.head, random)
}

// SweepPauses forgets the heads for which forget returns true, and those of which nothing matters any more. It returns the decisions that this makes
// possible.
func (s *Scheduler) SweepPauses(now time.Duration, forget func(head string) bool, random func() float64) []Decision {
	s.sweepFailures(now)
	var decisions []Decision
	for head, known := range s.pauses {
		if forget(head) || known.Expired(now) {
			delete(s.pauses, head)
			decisions = append(decisions, s.serveQueueOf(now, head, random)...)
		}
	}
	return decisions
}

// mayGrant reports whether a head may be sent a request of a client, and whether that is a probe.
func (s *Scheduler) mayGrant(now time.Duration, head, client string) (allowed, probe bool) {
	if len(s.pauses) == 0 {
		return true, false
	}
	known := s.pauses[head]
	if known == nil {
		return true, false
	}
	return known.Allows(now, client)
}

// blocked returns the earliest time at which a head may be sent a request of a client.
func (s *Scheduler) blocked(now time.Duration, head, client string) time.Duration {
	if len(s.pauses) == 0 {
		return now
	}
	known := s.pauses[head]
	if known == nil {
		return now
	}
	return known.Blocked(now, client)
}

// unblocked returns when the first of the groups that may still serve a request is no longer blocked; now if one isn't. ok is false if there is none.
func (s *Scheduler) unblocked(now time.Duration, request Request) (first time.Duration, ok bool) {
	for _, g := range s.groups {
		if !s.candidate(g, request) {
			continue
		}
		if at := s.blocked(now, g.Head, request.Client); !ok || at < first {
			first, ok = at, true
		}
	}
	return first, ok
}

// maxPauseTold is the latest time, from a rejection, at which a caller is told to come back: other groups may serve by then.
const maxPauseTold = 10 * time.Second

// describePauses returns how many heads that could serve a request are blocked, and the one that is so for the shortest time.
func (s *Scheduler) describePauses(now time.Duration, request Request) (found Pauses) {
	for _, g := range s.groups {
		if !s.candidate(g, request) {
			continue
		}
		at := s.blocked(now, g.Head, request.Client)
		if at <= now {
			continue
		}
		if found.Heads == 0 || at-now < found.Left || at-now == found.Left && g.Head < found.First {
			found.First, found.Left = g.Head, at-now
		}
		found.Heads++
	}
	return found
}

// SheddingGroups returns how many of a model's groups are missing because their heads have rejected all clients for long.
func (s *Scheduler) SheddingGroups(now time.Duration, name string) int {
	missing := 0
	for head, known := range s.pauses {
		if g := s.groups[head]; g != nil && !g.removed && g.Model == name && known.SheddingFor(now) >= limitAge {
			missing++
		}
	}
	return missing
}
