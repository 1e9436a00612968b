package turns

import (
	"math"
	"time"
)

// This file decides when callers return that are rejected because no slot is free.
//
// Load pattern: a burst of some seconds exceeds the capacity. Callers that are all told about the same time return together, find the slots taken by
// new requests, and are rejected again.
//
// With Config.FairTeams each caller is told the next place: places follow each other at the rate of the slots that new requests are expected to leave,
// which is the rate at which turns end less the rate of new requests.

const (
	// newRequestsWindow is the time constant of the measured rate of new requests. With 400 requests per second its standard deviation is 14, and a
	// burst is known after a second or two.
	newRequestsWindow = time.Second
	// usefulShare is the longest Retry-After that a caller obeys, as a share of the time left until its deadline.
	usefulShare = 1.0 / 3
	// assumedTimeLeft is the time until the deadline of a caller if its entry does not send it: the shortest one in use on streaming routes.
	assumedTimeLeft = 6 * time.Second
	// minUseful is the shortest latest useful time, for callers whose deadline is near.
	minUseful = 50 * time.Millisecond
	// latestSpread is the share of the latest useful time over which the callers are spread that are told it. Dozens may be rejected at one moment.
	latestSpread = 0.1
)

// decayingRate measures a rate of events with an exponentially decaying weight.
type decayingRate struct {
	perSecond float64
	updatedAt time.Duration
}

// at returns the rate at a time.
func (r *decayingRate) at(now time.Duration) float64 {
	return r.perSecond * math.Exp(-float64(now-r.updatedAt)/float64(newRequestsWindow))
}

// add counts an event.
func (r *decayingRate) add(now time.Duration) {
	*r = decayingRate{perSecond: r.at(now) + 1/newRequestsWindow.Seconds(), updatedAt: now}
}

// noteArrival counts a request if it is new.
func (s *Scheduler) noteArrival(now time.Duration, m *modelQueue, request Request) {
	if s.config.FairTeams && !request.Retry && len(request.TriedHeads) == 0 {
		m.fair.arrivals.add(now)
	}
}

// retryAfterFull returns when the caller of a request is to retry that was rejected because no slot is free in time. random is in [0, 1).
func (s *Scheduler) retryAfterFull(now time.Duration, request Request, d *Decision, random float64) time.Duration {
	if s.config.FairTeams && !request.Optional {
		return s.nextPlace(now, request, d, random)
	}
	jitter := time.Duration(random * float64(s.config.RetryAfterJitter))
	return max(s.config.MinRetryAfter, s.expectedWait(now, request, d.Waiting), s.promise(now, request, *d)) + jitter
}

// nextPlace returns when a slot is expected to be left for the caller of a rejected request, after those promised to others. If new requests leave
// none that is of use to the caller, it returns the latest useful time. It sets d.Order.
func (s *Scheduler) nextPlace(now time.Duration, request Request, d *Decision, random float64) time.Duration {
	m := s.model(request.Model)
	latest := latestUseful(request)
	rate, _ := s.serviceRate(now, request)
	left := rate - m.fair.arrivals.at(now)
	place := max(m.promisedUntil, now+max(s.config.MinRetryAfter, s.expectedWait(now, request, d.Waiting)))
	d.Order = &RejectionOrder{Team: request.Team, Running: m.fair.inProgress[request.Team], Place: place - now}
	if left <= 0 || place-now > latest {
		d.Order.Latest = true
		m.fair.stats.Latest++
		return latest - time.Duration(latestSpread*random*float64(latest))
	}
	m.fair.stats.Placed++
	m.promisedUntil = place + time.Duration(float64(time.Second)/left)
	return place - now
}

// latestUseful returns the longest Retry-After that the caller of a request obeys. Its deadline is callerRTT nearer once it has the answer.
func latestUseful(request Request) time.Duration {
	left := request.TimeLeft
	if left == 0 {
		left = assumedTimeLeft
	}
	return max(minUseful, time.Duration(usefulShare*float64(left-callerRTT)))
}
