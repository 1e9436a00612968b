package turns

import (
	"maps"
	"time"
)

// retryWindow is how long after its rejection a request still counts as a retry. Callers wait as long as Retry-After
// tells them, and some a little longer.
const retryWindow = 8 * time.Second

// markRetry marks a request as a retry if its fingerprint was rejected within retryWindow. The caller's remaining
// deadline can't be used to detect this: deadlines differ between callers by more than the Retry-After delay, and if
// all requests were taken for retries, all would wait until their answers are late.
func (s *Scheduler) markRetry(now time.Duration, request Request) Request {
	at, rejected := s.rejectedAt[request.Fingerprint]
	if !rejected || request.Fingerprint == 0 || now-at > retryWindow {
		return request
	}
	request.Retry, request.FirstTokenBudget, request.MaxWait = true, 0, MaxRetryWait
	return request
}

// expireRejected removes the rejections that are older than retryWindow.
func (s *Scheduler) expireRejected(now time.Duration) {
	maps.DeleteFunc(s.rejectedAt, func(_ uint64, at time.Duration) bool { return now-at > retryWindow })
}
