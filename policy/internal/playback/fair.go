package playback

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
)

// FairQueue adapts a fairqueue.Queue to the Queue interface.
type FairQueue struct {
	queue    *fairqueue.Queue
	requests map[string]*Request
}

// NewFairQueue returns a FairQueue with an empty queue.
func NewFairQueue(config fairqueue.Config) *FairQueue {
	return &FairQueue{queue: fairqueue.New(config), requests: make(map[string]*Request)}
}

func toItem(r *Request) fairqueue.Item {
	return fairqueue.Item{
		ID: r.ID, Team: r.Team.Name, Share: r.Team.Share, Priority: r.Team.Priority,
		Work: r.Estimate, Deadline: r.Deadline(), Jitter: r.Jitter,
	}
}

// Offer implements Queue.
func (f *FairQueue) Offer(now time.Duration, r *Request) (Decision, time.Duration) {
	verdict := f.queue.Offer(now, toItem(r))
	switch verdict.Decision {
	case fairqueue.Admitted:
		return Admit, 0
	case fairqueue.Queued:
		f.requests[r.ID] = r
		return Enqueue, 0
	default:
		return Refuse, verdict.RetryAfter
	}
}

// Next implements Queue.
func (f *FairQueue) Next(now time.Duration) *Request {
	next, ok := f.queue.Next(now)
	if !ok {
		return nil
	}
	return f.take(next)
}

// Expire implements Queue.
func (f *FairQueue) Expire(now time.Duration) []*Request {
	var expired []*Request
	for _, late := range f.queue.Expire(now) {
		expired = append(expired, f.take(late))
	}
	return expired
}

func (f *FairQueue) take(item fairqueue.Item) *Request {
	r := f.requests[item.ID]
	delete(f.requests, item.ID)
	return r
}

// RetryAfter implements Queue.
func (f *FairQueue) RetryAfter(now time.Duration, r *Request) time.Duration {
	return f.queue.RetryAfter(now, toItem(r))
}

// Done implements Queue.
func (f *FairQueue) Done(now time.Duration, r *Request, work int) { f.queue.Done(now, r.ID, work) }

// SetLimit implements Queue.
func (f *FairQueue) SetLimit(limit int) { f.queue.SetLimit(limit) }

// SetStartLimit implements Queue.
func (f *FairQueue) SetStartLimit(limit int) { f.queue.SetStartLimit(limit) }

// Started implements Queue.
func (f *FairQueue) Started(r *Request) { f.queue.Started(r.ID) }
