package turns

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/backoff"
)

// This file withholds turns from heads that fail requests.
//
// Load pattern: some servers answer every probe, and reset the connection of each request, or answer it with an error at once. Such a head always has the
// fewest requests in progress, so that it is granted more turns than all others, and a request that may be sent to two heads often meets two of them.
//
// A single failure says little: the request itself may fail, or connections of all servers are reset at one moment, with many requests in progress. Therefore a
// head counts as failing only if a request that was sent after the first failure fails as well, for another client, with none accepted in between. It
// then gets one request at a time, at growing intervals, until it has accepted one.

// failureWindow is how long after the first failure of a head further ones count. A head that serves accepts requests several times a second.
const failureWindow = 2 * time.Second

// failureRun is the first failure since the head last accepted a request.
type failureRun struct {
	at     time.Duration
	client string
}

// fail records that the head of a turn has failed its request.
func (s *Scheduler) fail(now time.Duration, t turn) {
	if known := s.pauses[t.head]; known != nil && known.Shedding() {
		known.Break(now)
		return
	}
	first, known := s.failing[t.head]
	switch {
	case !known || now-first.at > failureWindow:
		s.failing[t.head] = failureRun{at: now, client: t.client}
	case t.grantedAt > first.at && t.client != first.client:
		delete(s.failing, t.head)
		if s.pauses[t.head] == nil {
			s.pauses[t.head] = &backoff.Server{}
		}
		s.pauses[t.head].Break(now)
	}
}

// succeed records that a head has accepted a request that was granted at a time.
func (s *Scheduler) succeed(head string, grantedAt time.Duration) {
	if first, known := s.failing[head]; known && grantedAt >= first.at {
		delete(s.failing, head)
	}
}

// sweepFailures forgets what counts no longer.
func (s *Scheduler) sweepFailures(now time.Duration) {
	for head, first := range s.failing {
		if now-first.at > failureWindow {
			delete(s.failing, head)
		}
	}
}
