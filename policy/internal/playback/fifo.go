package playback

import (
	"slices"
	"time"
)

// FIFO is the baseline Queue: first in, first out over all teams, with bounded length and bounded wait. It ignores deadlines and returns the
// same Retry-After to every caller.
type FIFO struct {
	MaxItems int
	MaxWait  time.Duration
	Retry    time.Duration

	limit, running int
	items          []*Request
}

// Offer implements Queue.
func (f *FIFO) Offer(_ time.Duration, r *Request) (Decision, time.Duration) {
	if f.running < f.limit && len(f.items) == 0 {
		f.running++
		return Admit, 0
	}
	if len(f.items) >= f.MaxItems {
		return Refuse, f.Retry
	}
	f.items = append(f.items, r)
	return Enqueue, 0
}

// Next implements Queue.
func (f *FIFO) Next(time.Duration) *Request {
	if f.running >= f.limit || len(f.items) == 0 {
		return nil
	}
	r := f.items[0]
	f.items = f.items[1:]
	f.running++
	return r
}

// Expire implements Queue.
func (f *FIFO) Expire(now time.Duration) []*Request {
	var expired []*Request
	f.items = slices.DeleteFunc(f.items, func(r *Request) bool {
		late := now-r.Arrived > f.MaxWait
		if late {
			expired = append(expired, r)
		}
		return late
	})
	return expired
}

// RetryAfter implements Queue.
func (f *FIFO) RetryAfter(time.Duration, *Request) time.Duration { return f.Retry }

// Done implements Queue.
func (f *FIFO) Done(time.Duration, *Request, int) { f.running-- }

// SetLimit implements Queue.
func (f *FIFO) SetLimit(limit int) { f.limit = limit }

// SetStartLimit implements Queue. The baseline has no start limit.
func (f *FIFO) SetStartLimit(int) {}

// Started implements Queue.
func (f *FIFO) Started(*Request) {}
