package leader

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/entry/catalog"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
)

// catchUp sends the changes that a follower has missed. If they are no longer known, the follower is sent a gap and
// reads the objects from the platform. One that knows nothing yet, or holds only the routable servers, is sent a snapshot later. Broadcasts
// to the follower must begin after it: one that came before would claim to hold what the follower missed. Those that the follower is not
// sent meanwhile leave a gap, which it notices.
func (l *Leader) catchUp(to *follower, revisions map[store.Kind]store.Version) {
	for kind, revision := range revisions {
		changes, ok := l.deps.ChangesSince(kind, revision)
		filtered := to.routableOnly && kind == platform.KindServers
		switch {
		case !ok && (filtered || (revision == 0 && kind != platform.KindServers)):
			to.awaitSnapshot(kind)
			continue
		case !ok:
			changes = link.Gap(kind, revision+1)
		case filtered:
			changes = changes.RoutableChanges()
		}
		to.SendShared(l.objects.ofChanges(changes, filtered))
	}
}

// SendSnapshots sends the followers the snapshots that they wait for.
func (l *Leader) SendSnapshots() {
	budget := l.snapshotBudget()
	for _, kind := range l.awaitedSnapshots() {
		snapshot, ok := l.deps.Snapshot(kind) // takes locks under which l.mu is acquired
		if ok {
			budget = l.sendSnapshot(snapshot, budget)
		}
	}
}

// sendSnapshot sends a snapshot to the followers that wait for it, and returns what is left of the budget in bytes.
func (l *Leader) sendSnapshot(snapshot catalog.ChangeSet, budget int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if done := l.progressOf(snapshot.Kind); snapshot.To < max(done.sentUpTo, done.routableUpTo) {
		return budget // later changes were broadcast meanwhile, and would leave a gap
	}
	shared := &link.Shared{Down: link.Down{ChangeSet: &snapshot}}
	for _, to := range l.followers {
		if !to.awaitsSnapshot[snapshot.Kind] || budget <= 0 {
			continue
		}
		delete(to.awaitsSnapshot, snapshot.Kind)
		to.SendShared(shared)
		budget -= shared.Size()
	}
	return budget
}

// awaitedSnapshots returns the kinds of which followers wait for a snapshot, in a fixed order.
func (l *Leader) awaitedSnapshots() []store.Kind {
	l.mu.Lock()
	defer l.mu.Unlock()
	kinds := make(map[store.Kind]bool)
	for _, to := range l.followers {
		maps.Copy(kinds, to.awaitsSnapshot)
	}
	return slices.Sorted(maps.Keys(kinds))
}

// snapshotBudget returns how many bytes of snapshots are sent at a time: half of what the link transmits in a tick. If all entries were
// sent theirs at once, the link would carry nothing else for seconds, and the links to the followers would time out.
func (l *Leader) snapshotBudget() int {
	if l.deps.LinkMbps == 0 {
		return math.MaxInt
	}
	return int(l.deps.LinkMbps * 1e6 / 8 * tickInterval.Seconds() / 2)
}

// Broadcast sends changes that this entry's watch returned to all followers. Followers may connect before this entry
// knows that it holds the lease, so it also broadcasts before it is leading.
func (l *Leader) Broadcast(changes catalog.ChangeSet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := l.progressOf(changes.Kind)
	done.knownUpTo = changes.To
	if done.sentUpTo == 0 {
		done.sentUpTo, done.routableUpTo = changes.From, changes.From
	}
	if len(changes.Changes) > 0 || changes.From == 0 {
		l.broadcast(changes)
	}
}

// progress is how far the followers were sent the changes of a kind of objects.
type progress struct {
	// knownUpTo is the revision up to which this entry has passed on every change.
	knownUpTo store.Version
	// sentUpTo is the revision that the followers were last sent, and routableUpTo the one that those were sent which hold only the
	// routable servers. There were no changes for them from there to knownUpTo.
	sentUpTo, routableUpTo store.Version
	sentAt                 time.Time
}

// progressOf must be called with l.mu held.
func (l *Leader) progressOf(kind store.Kind) *progress {
	if l.progress[kind] == nil {
		l.progress[kind] = &progress{}
	}
	return l.progress[kind]
}

// maxRevisionAge is how long the followers are not sent a later revision without changes. If the leader dies, they watch the platform
// from the revision that they know, which it must not have dropped from its history.
const maxRevisionAge = 3 * time.Second

// broadcastRevisions sends the followers the revisions up to which there were no changes. It must be called with l.mu held.
func (l *Leader) broadcastRevisions() {
	for kind, done := range l.progress {
		if min(done.sentUpTo, done.routableUpTo) < done.knownUpTo && time.Since(done.sentAt) > maxRevisionAge {
			done.sentAt = time.Now()
			l.broadcast(catalog.ChangeSet{Kind: kind, From: done.knownUpTo, To: done.knownUpTo})
		}
	}
}

// broadcast must be called with l.mu held.
func (l *Leader) broadcast(changes catalog.ChangeSet) {
	var all, routableOnly []*follower
	for _, to := range l.followers {
		if to.routableOnly && changes.Kind == platform.KindServers {
			routableOnly = append(routableOnly, to)
			continue
		}
		all = append(all, to)
	}
	done := l.progressOf(changes.Kind)
	if !sendChanges(all, extend(changes, &done.sentUpTo)) {
		sendGap(all, changes)
	}
	routable := changes.RoutableChanges()
	if len(routable.Changes) == 0 && len(changes.Changes) > 0 && changes.From != 0 {
		return
	}
	done.sentAt = time.Now()
	if !sendChanges(routableOnly, extend(routable, &done.routableUpTo)) {
		for _, to := range routableOnly {
			to.awaitSnapshot(changes.Kind)
		}
	}
}

// extend returns a change set that begins where the previous one ended, since there were no changes in between.
func extend(changes catalog.ChangeSet, sentUpTo *store.Version) catalog.ChangeSet {
	if *sentUpTo > 0 {
		changes.From = min(changes.From, *sentUpTo)
	}
	*sentUpTo = changes.To
	return changes
}

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
		if !follower.awaitsSnapshot[changes.Kind] {
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
		to.SendShared(l.objects.ofConfig(version, spec))
	}
}
