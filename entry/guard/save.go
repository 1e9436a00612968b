package guard

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/quarantine"
)

const (
	// expireInterval is how often what no longer matters is forgotten.
	expireInterval = time.Minute
	// saveInterval is how often a write that the platform did not take is tried again.
	saveInterval = time.Second
)

// Run writes what the platform did not take yet, and forgets what no longer matters, until ctx ends.
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
			g.save(ctx)
		}
	}
}

// save writes crashes that other entries must know of. Without it a crash during an outage of the platform
// would be known to one entry alone, also after it.
func (g *Guard) save(ctx context.Context) {
	g.mu.Lock()
	owed := g.unsaved
	g.unsaved = make(map[string]bool)
	g.mu.Unlock()
	for service := range owed {
		if g.update(ctx, service, func(*quarantine.Register) bool { return true }) != nil {
			g.owe(service)
		}
	}
}

func (g *Guard) expire() {
	now := g.deps.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.services {
		r.Expire(now)
	}
}
