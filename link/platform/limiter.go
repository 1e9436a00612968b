package platform

import (
	"context"

	"golang.org/x/time/rate"
)

// Rates bounds the calls that one process makes to the platform, in calls a second.
type Rates struct {
	// Shared is the rate open to reads and writes alike.
	Shared float64
	// Reserved is the rate that only writes may use, on top.
	Reserved float64
}

// DefaultRates suit some twenty entries before a platform that takes about two thousand reads and several
// hundred writes a second: all entries together stay below its reads, and the reserved parts below its
// writes. A larger fleet sets lower ones.
var DefaultRates = Rates{Shared: 80, Reserved: 15}

// limiter bounds calls in two classes. What goes wrong with one class: when many reads wait (say, all
// mirrors reload after an outage) a claim or an epoch write queues behind them, misses its deadline, and
// an owner loses what it owns. Reads use the shared part only, so however many wait, writes go on at the
// reserved rate at least.
type limiter struct {
	shared   *rate.Limiter
	reserved *rate.Limiter
}

// burstSeconds is how many seconds of a rate may be used at once.
const burstSeconds = 2

func newLimiter(r Rates) *limiter {
	return &limiter{shared: newBucket(r.Shared), reserved: newBucket(r.Reserved)}
}

func newBucket(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(burstSeconds*perSecond)))
}

// wait returns nil when the call may be made, or an error if ctx ends before that.
func (l *limiter) wait(ctx context.Context, write bool) error {
	if !write {
		return l.shared.Wait(ctx)
	}
	if ctx.Err() == nil && (l.shared.Allow() || l.reserved.Allow()) {
		return nil
	}
	return l.reserved.Wait(ctx)
}
