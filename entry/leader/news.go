package leader

import (
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
)

// catchUp sends the changes that a follower has missed. If they are no longer known, the follower is sent a gap and
// reads the objects from the platform.
func (l *Leader) catchUp(to recipient, revisions map[store.Kind]store.Version) {
	for kind, revision := range revisions {
		changes, ok := l.deps.ChangesSince(kind, revision)
		if !ok {
			changes = link.Gap(kind, revision+1)
		}
		to.Send(link.Down{ChangeSet: &changes})
	}
}

// Broadcast sends changes that this entry's watch returned to all followers. Followers may connect before this entry
// knows that it holds the lease, so it also broadcasts before it is leading.
func (l *Leader) Broadcast(changes catalog.ChangeSet) {
	if len(changes.Changes) == 0 && changes.From != 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if previous := l.broadcastUpTo[changes.Kind]; previous > 0 {
		changes.From = min(changes.From, previous) // there were no changes in between, so that nothing was broadcast
	}
	l.broadcastUpTo[changes.Kind] = changes.To
	if len(l.followers) == 0 {
		return
	}
	shared := &link.Shared{Down: link.Down{ChangeSet: &changes}}
	if shared.Size()*len(l.followers) > maxBroadcastBytes {
		gap := link.Gap(changes.Kind, changes.To)
		shared = &link.Shared{Down: link.Down{ChangeSet: &gap}}
	}
	l.sendToAll(shared)
}

// maxBroadcastBytes limits the size of one broadcast, summed over all followers. A leader with a link of 14 Mbit/s
// sends this much in half a second, during which it can't send anything else. If a large configuration were broadcast,
// links would time out and the configuration would take effect late. Each follower reads larger changes from the
// platform itself.
const maxBroadcastBytes = 900 << 10

// sendNewerConfig sends the configuration to a follower that has an older version.
func (l *Leader) sendNewerConfig(to recipient, has uint64) {
	version, spec := l.deps.Config()
	if version > has && spec != nil {
		to.Send(link.Down{Config: &link.Config{Spec: spec}})
	}
}
