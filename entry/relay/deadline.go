package relay

import (
	"context"
	"time"
)

const (
	// deadlineCheckInterval is how often a request that has passed its deadline while its caller reads is looked at again.
	deadlineCheckInterval = 100 * time.Millisecond
	// maxExtension bounds the time after the deadline in which an answer is still passed on to a caller that reads slowly, and with it the time for
	// which a server's slot is taken. It was chosen, not measured: several times the longest deadline of the deployments (8 s).
	maxExtension = 30 * time.Second
)

// withDeadline returns a context that ends at the request's deadline, or later by the time for which writes waited for the caller. An answer that the
// caller reads slowly arrives late because of the caller, and is delivered whole. A caller that does not read is cut before (package callers). A write
// that is pending at the deadline is waited for. The cause of the end is context.DeadlineExceeded.
func (e *exchange) withDeadline(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	account, deadline := e.account, e.deadline
	timer := make(chan *time.Timer, 1)
	timer <- time.AfterFunc(time.Until(deadline), func() {
		now := time.Now()
		extended := deadline.Add(min(account.Blocked(), maxExtension))
		t := <-timer
		switch {
		case now.Before(extended):
			t.Reset(extended.Sub(now))
		case account.Writing() && now.Before(deadline.Add(maxExtension)):
			t.Reset(deadlineCheckInterval)
		default:
			cancel(context.DeadlineExceeded)
		}
		timer <- t
	})
	return ctx, func() {
		cancel(context.Canceled)
		t := <-timer
		t.Stop()
		timer <- t
	}
}
