package turns

import (
	"maps"
	"time"
)

// returnsWithin is how long a request that was turned away may take to come again: callers wait as they are told, and some a little longer.
const returnsWithin = 8 * time.Second

// recognise tells a caller that comes again from others. How long it will still wait does not tell: callers differ by more in that than the time
// for which they were sent away, and taken for ones that come again, all would wait until their answers are late.
func (s *Scheduler) recognise(now time.Duration, request Request) Request {
	at, refused := s.refused[request.Fingerprint]
	if !refused || request.Fingerprint == 0 || now-at > returnsWithin {
		return request
	}
	request.Retry, request.FirstTokenBudget, request.MaxWait = true, 0, MaxRetryWait
	return request
}

// forgetRefused drops the requests that will not come again.
func (s *Scheduler) forgetRefused(now time.Duration) {
	maps.DeleteFunc(s.refused, func(_ uint64, at time.Duration) bool { return now-at > returnsWithin })
}
