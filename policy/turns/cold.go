package turns

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/quota"
)

// This file meters the requests to cold heads.
//
// Load pattern: the servers of a failure domain restart together while callers go on sending. Groups are formed of them within a second or two. Such a
// group has no requests in progress, so that it looks like the least loaded one, and its head, which takes few requests a second for some seconds,
// gets as many at once as it has slots, and crashes.
//
// A cold head is granted turns at the rate that its service states for cold servers, in addition to any limit that the server states itself. Waits and
// Retry-After count it at this rate. What another leader has granted before is unknown, so that a new meter permits nothing at first.

// meterCold makes or ends the meter of a group's head as the standing of the head requires.
func (s *Scheduler) meterCold(now time.Duration, g *group) {
	switch {
	case !g.Standing.Limited():
		g.cold = nil
	case g.cold == nil:
		g.cold = quota.NewMeter(now, g.Standing.PerSecond)
		g.cold.SetConfirmed(now, !s.unconfirmed)
	default:
		g.cold.SetLimit(now, g.Standing.PerSecond)
	}
}

// withinCold reports whether the head, if it is cold, may be granted another request.
func (g *group) withinCold(now time.Duration, yields bool) bool {
	return g.cold == nil || g.cold.Available(now, yields)
}

// ColdGrants returns how many turns were granted at cold heads since the last call.
func (s *Scheduler) ColdGrants() int {
	granted := s.coldGrants
	s.coldGrants = 0
	return granted
}
