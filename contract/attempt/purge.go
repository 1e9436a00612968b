package attempt

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// purgeGrace is added to each record's expiry. Expiry is a time of the writer's clock, read by the
// purger's; entries' clocks differ by far less.
const purgeGrace = 10 * time.Minute

// Purger deletes expired records.
//
// Deleting shares the platform's writes with claims and seals, and after an outage or a quiet night very
// many records are due at once. Unbounded, a purge would hold up the requests that it cleans up behind.
type Purger struct {
	store   platform.Store
	clock   func() time.Time
	limiter *rate.Limiter
}

// NewPurger returns a purger that deletes at most perSecond records a second.
func NewPurger(store platform.Store, clock func() time.Time, perSecond float64) *Purger {
	return &Purger{store: store, clock: clock, limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// Run purges every interval, as long as mine says that this entry is the one to do it. Two entries that
// both think so only waste calls: a record is deleted at its version or not at all. Each purge is
// reported: one that fails again and again lets the records pile up until no list of them fits into a call.
func (p *Purger) Run(ctx context.Context, interval time.Duration, mine func() bool, report func(deleted int, err error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if mine() {
			report(p.Purge(ctx))
		}
	}
}

// Purge deletes what has expired and returns how many records it deleted. It stops at the first call that
// the platform does not take: during an outage its tries would only be in the way.
func (p *Purger) Purge(ctx context.Context) (deleted int, err error) {
	all, err := p.store.List(ctx, platform.KindAttempt)
	if err != nil {
		return 0, err
	}
	for _, object := range all.Objects {
		if !p.expired(object) {
			continue
		}
		if err := p.limiter.Wait(ctx); err != nil {
			return deleted, err
		}
		err := p.store.Delete(ctx, object.Kind, object.Name, object.Version)
		switch {
		case err == nil:
			deleted++
		case untaken(err):
			return deleted, err
		}
	}
	return deleted, nil
}

func (p *Purger) expired(object platform.Object) bool {
	var record contract.AttemptRecord
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return false
	}
	due := time.Unix(record.ExpiresAt, 0).Add(purgeGrace)
	return p.clock().After(due)
}
