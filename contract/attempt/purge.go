package attempt

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// clockSkewMargin is added to the expiry of each record. The expiry was set by the writer's clock and is checked
// against the purger's; the clocks of entries differ by much less than this.
const clockSkewMargin = 10 * time.Minute

// Purger deletes expired records.
//
// Its deletions share the platform's write rate with claims and seals, and after an outage or a quiet night very many
// records expire at once. Without a rate limit a purge would delay current requests.
type Purger struct {
	store   platform.Store
	now     func() time.Time
	limiter *rate.Limiter
}

// NewPurger returns a purger that deletes at most perSecond records per second.
func NewPurger(store platform.Store, now func() time.Time, perSecond float64) *Purger {
	return &Purger{store: store, now: now, limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// Run purges at every interval while responsible reports that this entry is in charge of purging. Two entries that
// both believe so only waste calls, because a record is deleted at its version or not at all. The result of every
// purge is reported: if purges keep failing, records accumulate until their list no longer fits into one call.
func (p *Purger) Run(ctx context.Context, interval time.Duration, responsible func() bool, report func(deleted int, err error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if responsible() {
			report(p.Purge(ctx))
		}
	}
}

// Purge deletes the expired records and returns how many it deleted. It stops at the first call that the platform
// does not accept, so as not to add load during an outage.
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
		case notAccepted(err):
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
	due := time.Unix(record.ExpiresAt, 0).Add(clockSkewMargin)
	return p.now().After(due)
}
