package fairqueue

import "time"

// If all callers refused in a burst are given the same Retry-After, they return together and are refused
// again. Operators would see waves of refusals with idle time between them.
//
// Retry-After is therefore computed as a position in a line. The refused work of a team is expected to
// return at a fraction (ReturnShare) of the rate at which the team's items drain. The next refused caller
// is told the time at which its position is reached, but not a time at which it would still be refused,
// with a random offset of up to half in either direction. Callers then return about as fast as the group
// can serve them, whatever the size of the burst.

// jitterFraction is the largest random offset of Retry-After, as a fraction of it in either direction.
const jitterFraction = 0.5

// RetryAfter returns when the caller of an item that left the queue unsent may retry, and counts that
// caller among those expected to return.
func (q *Queue) RetryAfter(now time.Duration, item Item) time.Duration {
	t := q.team(&item)
	c := q.cfg.classOf(item.Work)
	excess := q.expectedWait(now, t, c) - q.allowedWait(now, t, c)
	return q.retryAfter(now, t, c, &item, excess)
}

// retryAfter implements RetryAfter; excess is the part of the expected wait that is over the allowed wait.
func (q *Queue) retryAfter(now time.Duration, t *team, c class, item *Item, excess time.Duration) time.Duration {
	rate := q.drainRate(now, c) * t.share * q.cfg.ReturnShare
	t.returningWork = max(0, t.returningWork-rate*(now-t.returningAt).Seconds())
	t.returningAt = now
	lineWait := durationOf(t.returningWork / rate)
	t.returningWork += float64(item.Work)

	wait := max(q.cfg.MinRetryAfter, excess) + lineWait
	wait = min(wait, durationOf(q.cfg.MaxRetryAfter.Seconds()/(1+jitterFraction)))
	return max(q.cfg.MinRetryAfter, time.Duration(float64(wait)*(1+jitterFraction*(2*item.Jitter-1))))
}
