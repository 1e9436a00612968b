package leader

import (
	"maps"
	"slices"
	"time"

	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// settled is how long entries have to link to a new leader before one that did not counts as down.
const settled = 1500 * time.Millisecond

// BroadcastRenewal tells all followers that the lease is held, how old what they were passed on is, and which of them have come and gone.
func (l *Leader) BroadcastRenewal() {
	version, _ := l.deps.Config()
	l.mu.Lock()
	defer l.mu.Unlock()
	message := link.Renewed{
		Version: l.deps.LeaseVersion(), ConfigVersion: version, Settled: l.inCharge && time.Since(l.since) >= settled, Ages: l.deps.Ages(),
	}
	first := message
	if len(l.fresh) > 0 {
		first.Live = slices.Sorted(maps.Keys(l.followers))
	}
	message.Joined, message.Left = l.changedLive()
	shared := &link.Shared{Down: link.Down{Renewed: &message}}
	whole := &link.Shared{Down: link.Down{Renewed: &first}}
	for entry, to := range l.followers {
		if l.fresh[entry] {
			to.SendShared(whole)
			continue
		}
		to.SendShared(shared)
	}
	clear(l.fresh)
}

// changedLive returns which followers came and went since the last call. It is called under the lock.
func (l *Leader) changedLive() (joined, left []string) {
	for entry := range l.followers {
		if !l.told[entry] {
			joined = append(joined, entry)
		}
	}
	for entry := range l.told {
		if l.followers[entry] == nil {
			left = append(left, entry)
		}
	}
	for _, entry := range joined {
		l.told[entry] = true
	}
	for _, entry := range left {
		delete(l.told, entry)
	}
	return joined, left
}

// share tells every follower the same. It is called under the lock.
func (l *Leader) share(shared *link.Shared) {
	for _, to := range l.followers {
		to.SendShared(shared)
	}
}
