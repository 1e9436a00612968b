package gateway

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/policy/presence"
)

// removeInterval is how often the leader looks for a registration to remove. It bounds the calls to the platform after the loss of many entries.
const removeInterval = time.Second

// removeLostEntries removes the registrations of entries that were lost, while this entry is the leader.
func (g *Gateway) removeLostEntries(ctx context.Context) {
	var absences presence.Absences
	for wait.Pause(ctx, removeInterval) {
		if !g.lease.Held() || !g.leader.Settled() {
			absences.Reset()
			continue
		}
		lost := absences.Removable(g.roster.Registered(), g.leader.Links, time.Since(g.started))
		if len(lost) == 0 {
			continue
		}
		log := g.log.WithField("lost", lost[0])
		if err := g.roster.Remove(ctx, lost[0]); err != nil {
			log.WithError(err).Warn(logline.NotRemoved)
			continue
		}
		log.Info(logline.Removed)
	}
}
