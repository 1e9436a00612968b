package leader

import (
	"math"

	"github.com/skylarkpond/skylarkpond/entry/catalog"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
)

// catchUp sends the changes that a follower has missed. If they are no longer known, the follower is sent a gap and
// reads the objects from the platform. A follower that holds only the routable servers is sent those instead.
func (l *Leader) catchUp(entry string, to recipient, revisions map[store.Kind]store.Version, routableOnly bool) {
	for kind, revision := range revisions {
		changes, ok := l.deps.ChangesSince(kind, revision)
		filtered := routableOnly && kind == platform.KindServers
		switch {
		case !ok && filtered:
			l.requestSnapshot(entry, to)
			continue
		case !ok:
			changes = link.Gap(kind, revision+1)
		case filtered:
			changes = changes.RoutableChanges()
		}
		to.Send(link.Down{ChangeSet: &changes})
	}
}

// requestSnapshot schedules that a follower is sent the routable servers, once this entry has a list.
func (l *Leader) requestSnapshot(entry string, to recipient) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if follower := l.followers[entry]; follower != nil && follower.recipient == to {
		follower.awaitsSnapshot = true
	}
}

// SendSnapshots sends the routable servers to the followers that wait for them.
func (l *Leader) SendSnapshots() {
	if !l.snapshotAwaited() {
		return
	}
	snapshot, ok := l.deps.RoutableServers() // takes locks under which l.mu is acquired
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if snapshot.To < l.broadcastUpTo[snapshot.Kind] {
		return // later changes were broadcast meanwhile, and would leave a gap
	}
	shared := &link.Shared{Down: link.Down{ChangeSet: &snapshot}}
	budget := l.snapshotBudget()
	for _, to := range l.followers {
		if !to.awaitsSnapshot {
			continue
		}
		to.awaitsSnapshot = false
		to.SendShared(shared)
		if budget -= shared.Size(); budget <= 0 {
			return
		}
	}
}

// snapshotBudget returns how many bytes of snapshots are sent at a time: half of what the link transmits in a tick. If all entries were
// sent theirs at once, the link would carry nothing else for seconds, and the links to the followers would time out.
func (l *Leader) snapshotBudget() int {
	if l.deps.LinkMbps == 0 {
		return math.MaxInt
	}
	return int(l.deps.LinkMbps * 1e6 / 8 * tickInterval.Seconds() / 2)
}

func (l *Leader) snapshotAwaited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, to := range l.followers {
		if to.awaitsSnapshot {
			return true
		}
	}
	return false
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
	var all, routableOnly []*follower
	for _, to := range l.followers {
		if to.routableOnly && changes.Kind == platform.KindServers {
			routableOnly = append(routableOnly, to)
			continue
		}
		all = append(all, to)
	}
	if !sendChanges(all, changes) {
		sendGap(all, changes)
	}
	l.sendRoutable(routableOnly, changes)
}

// sendRoutable sends changes to the followers that hold only the routable servers. It must be called with l.mu held.
func (l *Leader) sendRoutable(to []*follower, changes catalog.ChangeSet) {
	if changes.From != 0 {
		changes = changes.RoutableChanges()
		if l.routableUpTo > 0 {
			changes.From = min(changes.From, l.routableUpTo)
		}
		if len(changes.Changes) == 0 && changes.To-changes.From < maxUnsentRevisions {
			return
		}
	}
	l.routableUpTo = changes.To
	if sendChanges(to, changes) {
		return
	}
	for _, follower := range to {
		follower.awaitsSnapshot = true
	}
}

// maxUnsentRevisions bounds how far the revision that a follower knows may fall behind while no routable server changes. If the leader
// dies, the follower watches from there, which the platform must not have dropped from its history.
const maxUnsentRevisions = 200

// sendChanges sends the same changes to several followers. It reports whether they are known and small enough.
func sendChanges(to []*follower, changes catalog.ChangeSet) bool {
	if changes.From == 0 {
		return false
	}
	if len(to) == 0 {
		return true
	}
	shared := &link.Shared{Down: link.Down{ChangeSet: &changes}}
	if shared.Size()*len(to) > maxBroadcastBytes {
		return false
	}
	for _, follower := range to {
		if !follower.awaitsSnapshot {
			follower.SendShared(shared)
		}
	}
	return true
}

func sendGap(to []*follower, changes catalog.ChangeSet) {
	gap := link.Gap(changes.Kind, changes.To)
	shared := &link.Shared{Down: link.Down{ChangeSet: &gap}}
	for _, follower := range to {
		follower.SendShared(shared)
	}
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
