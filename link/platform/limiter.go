package platform

import (
	"context"

	"golang.org/x/time/rate"
)

// Rates limits the calls that one process makes to the platform, in calls per second.
type Rates struct {
	// Shared is the rate available to both reads and writes.
	Shared float64
	// Reserved is an additional rate that only writes may use.
	Reserved float64
}

// DefaultRates suits about 20 entries and a platform that handles about 2000 reads and several hundred
// writes per second: the combined rate of all entries stays below the platform's read capacity, and their
// combined reserved rate below its write capacity. Larger deployments must set lower rates.
var DefaultRates = Rates{Shared: 80, Reserved: 15}

// limiter limits reads and writes separately. With a single limit, many waiting reads (for example, when all
// caches reload after an outage) would delay claims and epoch writes past their deadlines, and an owner would
// lose what it owns. Reads use only the shared rate, so writes always proceed at least at the reserved rate.
type limiter struct {
	shared   *rate.Limiter
	reserved *rate.Limiter
}

// burstSeconds is the burst size of a limiter, expressed in seconds of its rate.
const burstSeconds = 2

func newLimiter(r Rates) *limiter {
	return &limiter{shared: newBucket(r.Shared), reserved: newBucket(r.Reserved)}
}

func newBucket(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(burstSeconds*perSecond)))
}

// wait blocks until the call may be made. It returns an error if ctx ends first.
func (l *limiter) wait(ctx context.Context, write bool) error {
	if !write {
		return l.shared.Wait(ctx)
	}
	if ctx.Err() == nil && (l.shared.Allow() || l.reserved.Allow()) {
		return nil
	}
	return l.reserved.Wait(ctx)
}
