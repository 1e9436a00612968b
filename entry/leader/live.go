package leader

import (
	"maps"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/entry/lease"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// settleTime is how long after a change of leader an entry may take to connect before it counts as down.
const settleTime = 1500 * time.Millisecond

// Settled reports whether this entry has been the leader for so long that one which is not linked to it is down.
func (l *Leader) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settled()
}

// settled must be called with l.mu held.
func (l *Leader) settled() bool { return l.leading && time.Since(l.leadingSince) >= settleTime }

// BroadcastRenewal tells all followers that the lease was renewed, how old this entry's copies of the platform's
// objects are, and which followers have joined or left since the last call.
func (l *Leader) BroadcastRenewal() {
	version, _ := l.deps.Config()
	l.mu.Lock()
	defer l.mu.Unlock()
	message := link.Renewal{
		Version: l.deps.LeaseVersion(), ConfigVersion: version, Settled: l.settled(), Ages: l.deps.Ages(),
	}
	full := message
	if len(l.newFollowers) > 0 {
		full.Live = slices.Sorted(maps.Keys(l.followers))
	}
	message.Joined, message.Left = l.liveChanges()
	shared := &link.Shared{Down: link.Down{Renewal: &message}}
	sharedFull := &link.Shared{Down: link.Down{Renewal: &full}}
	for entry, to := range l.followers {
		if l.newFollowers[entry] {
			to.SendShared(sharedFull)
			continue
		}
		to.SendShared(shared)
	}
	clear(l.newFollowers)
	l.renewedAt = time.Now()
	l.broadcastRevisions()
}

// confirmLeadership tells a new follower that this entry holds the lease, without waiting for the next renewal: until then, the follower
// would go on to watch the platform itself.
func (l *Leader) confirmLeadership(to recipient) {
	l.mu.Lock()
	renewedAt := l.renewedAt
	l.mu.Unlock()
	if renewedAt.IsZero() || time.Since(renewedAt) >= lease.Validity {
		return
	}
	version, _ := l.deps.Config()
	to.Send(link.Down{Renewal: &link.Renewal{Version: l.deps.LeaseVersion(), ConfigVersion: version, Ages: l.deps.Ages()}})
}

// liveChanges returns which followers have joined and left since the last call. It must be called with l.mu held.
func (l *Leader) liveChanges() (joined, left []string) {
	for entry := range l.followers {
		if !l.announced[entry] {
			joined = append(joined, entry)
		}
	}
	for entry := range l.announced {
		if l.followers[entry] == nil {
			left = append(left, entry)
		}
	}
	for _, entry := range joined {
		l.announced[entry] = true
	}
	for _, entry := range left {
		delete(l.announced, entry)
	}
	return joined, left
}

// sendToAll sends the same message to every follower. It must be called with l.mu held.
func (l *Leader) sendToAll(shared *link.Shared) {
	for _, to := range l.followers {
		to.SendShared(shared)
	}
}
