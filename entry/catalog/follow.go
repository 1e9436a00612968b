package catalog

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/wait"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
)

// Store is the part of the platform's API that a catalog uses.
type Store interface {
	List(ctx context.Context, kind store.Kind) (store.Changes, error)
	// WatchFor watches for changes and returns no later than after wait.
	WatchFor(ctx context.Context, kind store.Kind, after store.Version, wait time.Duration) (store.Changes, error)
}

// ChangeSet describes the changes of a kind between two revisions.
type ChangeSet = link.ChangeSet

// Change is the change of one object.
type Change = link.Change

// Update is a set of changes, or all objects of the kind if Complete is set.
type Update struct {
	Changes  []Change
	Revision store.Version
	Complete bool
	// FromLeader reports that the leader forwarded the changes. Otherwise, this entry read them from the platform.
	FromLeader bool
	// RoutableOnly reports that the changes concern only routable servers.
	RoutableOnly bool
	// Steady reports that the platform was not away for so long lately that registrations may have lapsed for that reason.
	Steady bool
}

// Objects returns the changed objects of a kind that has no decoder.
func (u Update) Objects() []store.Object {
	objects := make([]store.Object, 0, len(u.Changes))
	for _, change := range u.Changes {
		if change.Object != nil {
			objects = append(objects, *change.Object)
		}
	}
	return objects
}

const (
	// minBatchDelay is the minimum batch delay of an entry that is not the leader. Without a leader, all entries watch the
	// platform. The value is half of the time within which a leaving server must be known.
	minBatchDelay = 900 * time.Millisecond
	// unlinkedMaxAge is the age up to which the objects are not watched while there is no link to a leader. An entry that has just read
	// them is linked soon. The value is as long as an entry waits between two watches.
	unlinkedMaxAge = minBatchDelay
	// leaderCheckInterval is how often an entry that is fed by the leader checks whether it still is.
	leaderCheckInterval = 200 * time.Millisecond
	// minLeaderWait is the shortest wait for the leader's changes.
	minLeaderWait = 10 * time.Millisecond
	// An entry waits for the leader's objects for minSnapshotTimeout to minSnapshotTimeout + snapshotTimeoutSpread before it reads all
	// of them itself. After all entries were killed, the leader has them within a second; if hundreds of entries read all servers
	// meanwhile, their lists would fill the platform's link for seconds.
	minSnapshotTimeout    = time.Second
	snapshotTimeoutSpread = time.Second
)

// follower follows one kind, through the changes that the leader forwards if available, otherwise by its own watch.
type follower struct {
	catalog *Catalog
	kind    store.Kind
	policy  WatchPolicy
	// decode converts each object before it is applied and forwarded. If it is nil, objects are used as they are.
	decode func(store.Object) Change
	apply  func(Update)
	wake   chan struct{}
	// snapshots reports whether this entry takes the first list from the leader; nil if it never does.
	snapshots       func() bool
	snapshotTimeout time.Duration
	// holdsRoutableOnly reports whether only the routable servers are held; nil for other kinds.
	holdsRoutableOnly func() bool

	mu sync.Mutex // guards the fields below and the order of apply; acquired before any lock that apply takes
	// revision is the revision up to which the kind is known; 0 before the first list.
	revision store.Version
	// gap reports that changes were missed, so that this entry must read from the platform itself.
	gap bool
	// caughtUp reports that the current leader has forwarded everything that this entry had missed, so that this entry knows
	// all that the leader does.
	caughtUp bool
	history  history
	// completeAsOf is when the objects were known to be current that this entry last read itself, or was sent as a snapshot.
	completeAsOf time.Time
	// latest contains the objects that exist at revision, as their latest changes.
	latest map[string]Change
	// lackingSince is since when this entry has had no list without a gap. It is meaningless while it has one.
	lackingSince time.Time

	// The fields below are not guarded by mu, because their readers may hold locks that are acquired after mu.

	// current is nil before the first list.
	current atomic.Pointer[currency]
	// answeringSince is the time since which every call of this entry was answered; nil while it makes no calls, or after a
	// call failed. Only the goroutine that makes the calls writes it.
	answeringSince atomic.Pointer[time.Time]
}

// currency is what is known of how current a kind is.
type currency struct {
	// asOf is when the kind was last known to be current: the time at which the latest answered call was sent, by this entry or by the leader.
	asOf time.Time
	// steadySince is the time since which two such times were never lapseTime apart.
	steadySince time.Time
}

// noteCurrent records that the kind was known to be current at a time. An older time than the recorded one has no effect.
func (f *follower) noteCurrent(at time.Time) {
	for {
		current := f.current.Load()
		if current != nil && !current.asOf.Before(at) {
			return
		}
		next := currency{asOf: at, steadySince: at}
		if current != nil && at.Sub(current.asOf) < lapseTime {
			next.steadySince = current.steadySince
		}
		if f.current.CompareAndSwap(current, &next) {
			return
		}
	}
}

// steady reports whether the platform has answered for so long, up to a call that was sent at a time, that a registration which ended has not lapsed
// because the platform was away. It must be called before the time is noted.
func (f *follower) steady(sent time.Time) bool {
	current := f.current.Load()
	return current != nil && sent.Sub(current.asOf) < lapseTime && time.Since(sent) < lapseTime && time.Since(current.steadySince) > reregistrationGrace
}

// confirm processes the leader's statement that everything it has forwarded was current at the given age.
func (f *follower) confirm(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caughtUp && !f.gap {
		f.noteCurrent(time.Now().Add(-age))
	}
}

// leaderChanged records that this entry may lack changes that the new leader knows.
func (f *follower) leaderChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.caughtUp = false
}

// age returns how long ago the kind was last known to be current; 0 before the first list.
func (f *follower) age() time.Duration {
	current := f.current.Load()
	if current == nil {
		return 0
	}
	return time.Since(current.asOf)
}

func (f *follower) knownRevision() store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

func (f *follower) run(ctx context.Context) {
	var failedSince time.Time
	var incomplete, listNext bool
	for ctx.Err() == nil {
		if f.followsLeader() {
			f.noteCall(false)
			listNext = false
			f.waitForLeader(ctx)
			continue
		}
		if f.awaitsSnapshot() {
			f.waitForLeader(ctx)
			continue
		}
		if !f.catalog.outage.wait(ctx) {
			return
		}
		from := f.startRevision()
		if listNext {
			from = 0
		}
		sent := time.Now()
		changes, err := f.fetch(ctx, from)
		if ctx.Err() != nil {
			return
		}
		f.noteCall(err == nil)
		listNext = f.policy.SmallList && eris.Is(err, store.ErrTimeout)
		if err != nil {
			nowIncomplete := eris.Is(err, store.ErrIncomplete)
			if failedSince.IsZero() || nowIncomplete && !incomplete {
				f.catalog.deps.OnPlatformLost(f.kind, err)
			}
			if failedSince.IsZero() {
				failedSince = time.Now()
			}
			incomplete = incomplete || nowIncomplete
			f.catalog.outage.callFailed()
			continue
		}
		f.catalog.outage.callSucceeded()
		if !failedSince.IsZero() {
			f.catalog.deps.OnPlatformRegained(f.kind, time.Since(failedSince))
			failedSince, incomplete = time.Time{}, false
		}
		f.applyFetched(from, changes, sent)
		if len(changes.Objects) > 0 {
			wait.Pause(ctx, f.batchDelay())
		}
	}
}

// noteCall records whether the latest call was answered.
func (f *follower) noteCall(answered bool) {
	switch {
	case !answered:
		f.answeringSince.Store(nil)
	case f.answeringSince.Load() == nil:
		now := time.Now()
		f.answeringSince.Store(&now)
	}
}

// answeringFor returns for how long every call of this entry has been answered; 0 while it makes no calls.
func (f *follower) answeringFor() time.Duration {
	since := f.answeringSince.Load()
	if since == nil {
		return 0
	}
	return time.Since(*since)
}

func (f *follower) batchDelay() time.Duration {
	if f.catalog.deps.IsLeader() {
		return f.policy.BatchDelay
	}
	return max(f.policy.BatchDelay, minBatchDelay)
}

// followsLeader reports whether the changes that the leader forwards are sufficient, so that this entry need not watch the
// platform.
func (f *follower) followsLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision > 0 && !f.gap && !f.catalog.deps.IsLeader() && f.remaining() > 0
}

// remaining returns how long this entry need not watch the platform. It must be called with f.mu held.
func (f *follower) remaining() time.Duration {
	switch {
	case !f.catalog.deps.FedByLeader():
		return unlinkedMaxAge - time.Since(f.completeAsOf)
	case f.policy.MaxAge == 0:
		return leaderCheckInterval
	}
	return f.policy.MaxAge - f.age()
}

// awaitsSnapshot reports whether this entry waits for the leader's objects before it reads all of them itself.
func (f *follower) awaitsSnapshot() bool {
	if f.snapshots == nil || !f.snapshots() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return (f.revision == 0 || f.gap) && time.Since(f.lackingSince) < f.snapshotTimeout
}

// startRevision returns the revision after which this entry reads changes; 0 if it has to read all objects.
func (f *follower) startRevision() store.Version {
	if f.incomplete() && !f.snapshots() {
		return 0
	}
	return f.knownRevision()
}

// incomplete reports whether this entry holds only a part of the objects.
func (f *follower) incomplete() bool { return f.holdsRoutableOnly != nil && f.holdsRoutableOnly() }

func (f *follower) waitForLeader(ctx context.Context) {
	f.mu.Lock()
	remaining := f.remaining()
	f.mu.Unlock()
	select {
	case <-f.wake:
	case <-time.After(max(minLeaderWait, min(leaderCheckInterval, remaining))):
	case <-ctx.Done():
	}
}

func (f *follower) fetch(ctx context.Context, after store.Version) (store.Changes, error) {
	if after == 0 {
		return f.catalog.deps.Store.List(ctx, f.kind)
	}
	if f.catalog.deps.IsLeader() {
		return f.catalog.deps.Store.WatchFor(ctx, f.kind, after, f.policy.LeaderTimeout)
	}
	return f.catalog.deps.Store.WatchFor(ctx, f.kind, after, f.policy.Timeout)
}

// applyFetched applies and forwards the result of this entry's own call, which was sent at the time sent.
func (f *follower) applyFetched(from store.Version, fetched store.Changes, sent time.Time) {
	update := Update{Changes: f.decodeChanges(fetched.Objects), Revision: fetched.Revision, Complete: fetched.Complete, Steady: f.steady(sent)}
	f.mu.Lock()
	f.gap = false
	f.completeAsOf = sent
	changes := ChangeSet{Kind: f.kind, From: from, To: update.Revision, Changes: update.Changes}
	if update.Complete {
		changes = f.changesFromList(update)
	}
	f.markUnroutable(changes.Changes)
	f.record(changes)
	if len(update.Changes) > 0 || update.Complete {
		f.apply(update)
	}
	f.mu.Unlock()
	if changes.From == 0 {
		changes = link.Gap(f.kind, changes.To)
	}
	f.catalog.deps.OnChanges(changes)
	f.noteCurrent(sent) // only after forwarding, because the other entries trust this entry's statement about what it has forwarded
}

// changesFromList derives a change set from a list that was read because the platform dropped its history: the differences
// from the previous objects. Without it, every entry would have to read the list itself, which would cause hundreds of calls
// within a second. It must be called with f.mu held.
func (f *follower) changesFromList(list Update) ChangeSet {
	if f.revision == 0 || f.incomplete() {
		f.latest = nil
		f.history.reset(list.Revision) // no entry can be fed from a revision before the first complete list
		return ChangeSet{Kind: f.kind, To: list.Revision, Changes: list.Changes}
	}
	changes := ChangeSet{Kind: f.kind, From: f.revision, To: list.Revision}
	listedNames := make(map[string]bool, len(list.Changes))
	for _, change := range list.Changes {
		listedNames[change.Name()] = true
		if known, ok := f.latest[change.Name()]; !ok || known.Version() != change.Version() {
			changes.Changes = append(changes.Changes, change)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.latest)) {
		if !listedNames[name] {
			changes.Changes = append(changes.Changes, f.decodeChange(store.Object{Kind: f.kind, Name: name, Version: list.Revision, Deleted: true}))
		}
	}
	return changes
}

// decodeChanges decodes objects. If an object changed several times, only its last change is returned.
func (f *follower) decodeChanges(objects []store.Object) []Change {
	latest := make(map[string]int, len(objects))
	for i, object := range objects {
		latest[object.Name] = i
	}
	changes := make([]Change, 0, len(latest))
	for i, object := range objects {
		if latest[object.Name] == i {
			changes = append(changes, f.decodeChange(object))
		}
	}
	return changes
}

func (f *follower) decodeChange(object store.Object) Change {
	if f.decode != nil {
		return f.decode(object)
	}
	return Change{Object: &object}
}

// applyChanges applies changes that the leader forwarded. A change set that starts after the known revision leaves a gap.
func (f *follower) applyChanges(changes ChangeSet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.caughtUp = true
	switch {
	case changes.Snapshot:
		f.applySnapshot(changes)
	case changes.To <= f.revision:
		return // already known
	case changes.From == 0 || changes.From > f.revision:
		if !f.gap && f.revision > 0 {
			f.lackingSince = time.Now()
		}
		f.gap = true
	default:
		f.markUnroutable(changes.Changes)
		f.record(changes)
		if len(changes.Changes) > 0 {
			f.apply(Update{Changes: changes.Changes, Revision: changes.To, FromLeader: true, Steady: f.steady(time.Now())})
		}
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// applySnapshot replaces what this entry knows, unless that is newer. It must be called with f.mu held.
func (f *follower) applySnapshot(snapshot ChangeSet) {
	if snapshot.To < f.revision {
		return
	}
	f.gap = false
	f.completeAsOf = time.Now().Add(-time.Duration(snapshot.AgeMs) * time.Millisecond)
	f.noteCurrent(f.completeAsOf)
	f.latest = nil
	f.history.reset(snapshot.To)
	f.markUnroutable(snapshot.Changes)
	f.recordLatest(snapshot.Changes)
	f.revision = snapshot.To
	f.apply(Update{Changes: snapshot.Changes, Revision: snapshot.To, Complete: true, FromLeader: true, RoutableOnly: f.holdsRoutableOnly != nil})
}

// snapshot returns all objects, or the routable ones of the servers, for an entry that knows none.
func (f *follower) snapshot() (ChangeSet, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision == 0 || f.gap || f.incomplete() {
		return ChangeSet{}, false
	}
	snapshot := ChangeSet{Kind: f.kind, To: f.revision, Snapshot: true, AgeMs: f.age().Milliseconds()}
	for _, name := range slices.Sorted(maps.Keys(f.latest)) {
		if change := f.latest[name]; change.Server == nil || change.Server.Routable() {
			snapshot.Changes = append(snapshot.Changes, change)
		}
	}
	return snapshot, true
}

// markUnroutable marks the changes that an entry which holds only the routable servers need not be told. It must be called with f.mu held,
// before the changes are recorded.
func (f *follower) markUnroutable(changes []Change) {
	for i := range changes {
		change := &changes[i]
		known := f.latest[change.Name()].Server
		wasRoutable := known != nil && known.Routable()
		isRoutable := change.Server != nil && change.Server.Routable()
		change.Unroutable = change.Object == nil && !wasRoutable && !isRoutable
	}
}

// record adds a change set to the history. It must be called with f.mu held.
func (f *follower) record(changes ChangeSet) {
	f.revision = max(f.revision, changes.To)
	f.recordLatest(changes.Changes)
	f.history.record(changes.Changes)
}

// recordLatest updates the set of existing objects. It must be called with f.mu held.
func (f *follower) recordLatest(changes []Change) {
	if f.latest == nil {
		f.latest = make(map[string]Change)
	}
	for _, change := range changes {
		if change.IsRemoval() {
			delete(f.latest, change.Name())
			continue
		}
		f.latest[change.Name()] = change
	}
}

// changesSince returns the changes after a revision if all of them are still available.
func (f *follower) changesSince(revision store.Version) (ChangeSet, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision == 0 || f.incomplete() {
		return ChangeSet{}, false
	}
	changes, ok := f.history.since(revision)
	return ChangeSet{Kind: f.kind, From: revision, To: f.revision, Changes: changes}, ok
}

// historyBytes returns how much memory the history occupies, in bytes.
func (f *follower) historyBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history.bytes
}
