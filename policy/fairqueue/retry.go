package fairqueue

import "time"

// A burst is refused, and all its callers are told the same time to come back. They do, together, and
// are refused again: an operator notices refusals in waves, with idle time between them.
//
// Retry-After is worked out as a place in a line. Those of a team that were told to come back are
// expected at a part of the rate at which the team's items drain; the next one is told the time at which
// its place comes up, but no sooner than it would be taken in, moved by up to half either way by a random
// number. Callers then return about as fast as the group can take them, whatever the size of the burst.

// spreadWidth is the width of the random part of Retry-After, as a share of it.
const spreadWidth = 0.5

// RetryAfter says when the caller of an item that was given up may come back, and counts it among those
// who will.
func (q *Queue) RetryAfter(now time.Duration, item Item) time.Duration {
	t := q.team(&item)
	c := q.cfg.classOf(item.Work)
	excess := q.expect(now, t, c) - q.allowed(now, t, c)
	return q.retryAfter(now, t, c, &item, excess)
}

// retryAfter returns when to come back; excess is by how much the expected wait is over the allowed one.
func (q *Queue) retryAfter(now time.Duration, t *team, c class, item *Item, excess time.Duration) time.Duration {
	rate := q.speed(now, c) * t.share * q.cfg.ReturnShare
	t.returning = max(0, t.returning-rate*(now-t.returningAt).Seconds())
	t.returningAt = now
	place := seconds(t.returning / rate)
	t.returning += float64(item.Work)

	wait := max(q.cfg.MinRetryAfter, excess) + place
	wait = min(wait, seconds(q.cfg.MaxRetryAfter.Seconds()/(1+spreadWidth)))
	return max(q.cfg.MinRetryAfter, time.Duration(float64(wait)*(1+spreadWidth*(2*item.Jitter-1))))
}
