package callers

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/slowread"
)

// Account is what one request holds. Its methods may be called by one goroutine at a time, except Writing, Blocked and CutReason, which also work on nil.
type Account struct {
	watch *Watch
	// conn is nil if the request's connection is not watched.
	conn    *conn
	request string
	route   string
	limit   time.Duration
	taken   atomic.Int64
	// blocked is how long writes that have ended waited for the caller, in nanoseconds.
	blocked atomic.Int64
}

// Open opens the account of a request, and returns false if memory is too short for it; such a request must be refused. longestPause is the
// objective for the time between two parts of its answer, or 0. Close must be called on an account that was opened.
func (w *Watch) Open(ctx context.Context, request, route string, longestPause time.Duration) (*Account, bool) {
	a := &Account{watch: w, request: request, route: route, limit: slowread.PauseLimit(longestPause)}
	if !a.Take(slowread.RequestBytes) {
		return nil, false
	}
	w.requests.Add(1)
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		a.conn = c
		c.account.Store(a)
	}
	return a, true
}

// Take takes a number of bytes for a request that has not run, and returns false if memory is short; the request must be refused then.
func (a *Account) Take(bytes int64) bool {
	if !a.watch.deps.Bounds.Admits(a.watch.held(), bytes) {
		a.watch.refusals.Add(1)
		return false
	}
	a.Charge(bytes)
	return true
}

// TryCharge takes a number of bytes for an answer that can be passed on without them, and returns false if memory is short.
func (a *Account) TryCharge(bytes int64) bool {
	if !a.watch.deps.Bounds.Admits(a.watch.held(), bytes) {
		return false
	}
	a.Charge(bytes)
	return true
}

// Charge takes a number of bytes for an answer that is ready. It never fails: while memory is short, requests are refused and callers that do not read
// are cut, but no answer is withheld.
func (a *Account) Charge(bytes int64) {
	a.taken.Add(bytes)
	a.watch.taken.Add(bytes)
}

// Release gives back a number of bytes.
func (a *Account) Release(bytes int64) { a.Charge(-bytes) }

// Close gives back all that is taken.
func (a *Account) Close() {
	a.watch.taken.Add(-a.taken.Swap(0))
	a.watch.requests.Add(-1)
}

// Writing reports whether a write to the caller is pending. It is safe for concurrent use.
func (a *Account) Writing() bool { return a != nil && a.conn != nil && a.conn.writes.Load()%2 == 1 }

// Blocked returns how long writes that have ended waited for the caller. A write that is pending is not included.
func (a *Account) Blocked() time.Duration {
	if a == nil {
		return 0
	}
	return time.Duration(a.blocked.Load())
}

// CutReason returns why the caller was cut, if it was.
func (a *Account) CutReason() (slowread.Reason, bool) {
	if a == nil || a.conn == nil {
		return "", false
	}
	reason := a.conn.reason.Load()
	if reason == nil {
		return "", false
	}
	return *reason, true
}
