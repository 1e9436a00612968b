package guard

import (
	"context"
	"time"
)

const (
	// expireInterval is how often records that can no longer change a decision are deleted.
	expireInterval = time.Minute
	// saveInterval is how often a failed write to the platform is retried.
	saveInterval = time.Second
)

// Run stores changes that the platform has not accepted yet and deletes expired records, until ctx is done.
func (g *Guard) Run(ctx context.Context) {
	expiry := time.NewTicker(expireInterval)
	defer expiry.Stop()
	saving := time.NewTicker(saveInterval)
	defer saving.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			g.expire()
		case <-saving.C:
			g.saveUnsaved(ctx)
		}
	}
}

// saveUnsaved writes crashes that other entries must know of. Without it, only this entry would ever know of a
// crash that happened during an outage of the platform, even after the outage.
func (g *Guard) saveUnsaved(ctx context.Context) {
	g.mu.Lock()
	unsaved := g.unsaved
	g.unsaved = make(map[string]bool)
	g.mu.Unlock()
	for service := range unsaved {
		if g.update(ctx, service, func(*state) bool { return true }) != nil {
			g.markUnsaved(service)
		}
	}
}

func (g *Guard) expire() {
	now := g.deps.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.services {
		s.expire(now)
	}
}
