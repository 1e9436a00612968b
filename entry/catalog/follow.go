package catalog

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/wait"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
)

// Store is what a catalog needs of the platform.
type Store interface {
	List(ctx context.Context, kind store.Kind) (store.Changes, error)
	// WatchFor is a watch that waits no longer than wait.
	WatchFor(ctx context.Context, kind store.Kind, after store.Version, wait time.Duration) (store.Changes, error)
}

// News is what happened to a kind between two revisions.
type News = link.ChangeSet

// Change is the change of one object.
type Change = link.Change

// Update is what a follower applies: some changes, or all objects of the kind where Complete is set.
type Update struct {
	Changes  []Change
	Revision store.Version
	Complete bool
	// FromLeader says that the leader passed the changes on; else this entry read them from the platform.
	FromLeader bool
}

// Objects returns the objects that changed, for a kind that is not decoded.
func (u Update) Objects() []store.Object {
	objects := make([]store.Object, 0, len(u.Changes))
	for _, change := range u.Changes {
		if change.Object != nil {
			objects = append(objects, *change.Object)
		}
	}
	return objects
}

// Pace says how a kind is watched.
type Pace struct {
	// Gather is the pause after a change, in which further ones gather: each change ends the watch, and each call is priced.
	Gather time.Duration
	// Wait is how long a watch waits. A watch can go deaf when the platform drops its history, so this bounds how late a change is
	// heard of.
	Wait time.Duration
	// LeaderWait is Wait for the leader: what it tells the others is known to be current as of when the last watch that was answered began.
	LeaderWait time.Duration
	// Within is how long ago the leader's list may have been current; an entry that hears of none as new reads for itself. 0 for any time.
	Within time.Duration
}

// EntriesPace is that of the other entries' registrations.
var EntriesPace = Pace{Gather: time.Second, Wait: 3 * time.Second, LeaderWait: 3 * time.Second}

// promptPace is that of configurations, which must be in force within 2 s, and of servers, whose leaving must be known within 2 s. Within leaves
// time for a call and for a connection to a server, and is above the age that what a sound leader has told can have: two watches, a gathering
// and the time between two renewals of the lease.
var promptPace = Pace{
	Gather: 150 * time.Millisecond, Wait: 800 * time.Millisecond, LeaderWait: 350 * time.Millisecond, Within: 1600 * time.Millisecond,
}

const (
	// aloneGather is the least gathering of an entry that passes nothing on: when there is nobody in charge, all entries watch. It is half
	// of the time in which a leaving server must be known.
	aloneGather = 900 * time.Millisecond
	// fedLook is how often an entry that is fed looks whether it still is.
	fedLook = 200 * time.Millisecond
	// keptNews bounds the changes of a kind that are kept for entries that come late.
	keptNews = 2048
)

// follower follows one kind: by the news of the entry in charge where there is one, else by a watch of its own.
type follower struct {
	catalog *Catalog
	kind    store.Kind
	pace    Pace
	// decode is what is made of each object before it is applied and passed on; nil leaves it as it is.
	decode func(store.Object) Change
	apply  func(Update)
	fed    chan struct{}

	mu sync.Mutex // guards what follows, and the order of apply; taken before the locks of whoever applies
	// revision is up to which the kind is known; 0 before the first list.
	revision store.Version
	// gap says that news were missed, so that only a watch of its own helps.
	gap bool
	// caughtUp says that the present leader has passed on what this entry had missed, so that it knows all that the leader does.
	caughtUp bool
	// news are the latest changes, oldest first, complete since oldest.
	news   []Change
	oldest store.Version
	// held are the objects that there are at revision, with their versions.
	held map[string]store.Version

	// What follows is not under mu, since those who ask may hold locks that are taken after mu.

	// asOf is when the kind was last known to be current: when the latest call that was answered was sent, here or by the leader; nil before
	// the first list.
	asOf atomic.Pointer[time.Time]
	// answered is since when every call of this entry was answered; nil while it makes none, or after one failed. The goroutine that makes
	// the calls writes it.
	answered atomic.Pointer[time.Time]
}

// currentAt notes that the kind was known to be current at a time.
func (f *follower) currentAt(at time.Time) {
	for {
		held := f.asOf.Load()
		if held != nil && !held.Before(at) || f.asOf.CompareAndSwap(held, &at) {
			return
		}
	}
}

// confirm takes the leader's word that all it has passed on was current some time ago.
func (f *follower) confirm(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caughtUp && !f.gap {
		f.currentAt(time.Now().Add(-age))
	}
}

// newLeader notes that what this entry knows may lack what the leader does.
func (f *follower) newLeader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.caughtUp = false
}

// age is how long ago the kind was last known to be current; 0 before the first list.
func (f *follower) age() time.Duration {
	asOf := f.asOf.Load()
	if asOf == nil {
		return 0
	}
	return time.Since(*asOf)
}

func (f *follower) known() store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

func (f *follower) run(ctx context.Context) {
	var failedSince time.Time
	for ctx.Err() == nil {
		if f.feeds() {
			f.noteCall(false)
			f.waitFed(ctx)
			continue
		}
		if !f.catalog.outage.wait(ctx) {
			return
		}
		from := f.known()
		sent := time.Now()
		changes, err := f.read(ctx, from)
		if ctx.Err() != nil {
			return
		}
		f.noteCall(err == nil)
		if err != nil {
			if failedSince.IsZero() {
				failedSince = time.Now()
				f.catalog.deps.Lost(f.kind, err)
			}
			f.catalog.outage.failed()
			continue
		}
		f.catalog.outage.over()
		if !failedSince.IsZero() {
			f.catalog.deps.Regained(f.kind, time.Since(failedSince))
			failedSince = time.Time{}
		}
		f.take(from, changes, sent)
		if len(changes.Objects) > 0 {
			wait.Pause(ctx, f.gather())
		}
	}
}

// noteCall notes whether the latest call was answered.
func (f *follower) noteCall(answered bool) {
	switch {
	case !answered:
		f.answered.Store(nil)
	case f.answered.Load() == nil:
		now := time.Now()
		f.answered.Store(&now)
	}
}

// answeredFor is for how long every call of this entry was answered; 0 while it makes none.
func (f *follower) answeredFor() time.Duration {
	since := f.answered.Load()
	if since == nil {
		return 0
	}
	return time.Since(*since)
}

func (f *follower) gather() time.Duration {
	if f.catalog.deps.Leads() {
		return f.pace.Gather
	}
	return max(f.pace.Gather, aloneGather)
}

// feeds says whether the news of the entry in charge suffice.
func (f *follower) feeds() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision > 0 && !f.gap && f.left() > 0 && f.catalog.deps.Fed() && !f.catalog.deps.Leads()
}

// left is how long the leader's latest word suffices.
func (f *follower) left() time.Duration {
	if f.pace.Within == 0 {
		return fedLook
	}
	return f.pace.Within - f.age()
}

func (f *follower) waitFed(ctx context.Context) {
	select {
	case <-f.fed:
	case <-time.After(min(fedLook, f.left())):
	case <-ctx.Done():
	}
}

func (f *follower) read(ctx context.Context, after store.Version) (store.Changes, error) {
	if after == 0 {
		return f.catalog.deps.Store.List(ctx, f.kind)
	}
	if f.catalog.deps.Leads() {
		return f.catalog.deps.Store.WatchFor(ctx, f.kind, after, f.pace.LeaderWait)
	}
	return f.catalog.deps.Store.WatchFor(ctx, f.kind, after, f.pace.Wait)
}

// take applies what a call of its own brought, which was sent at sent, and passes it on.
func (f *follower) take(from store.Version, read store.Changes, sent time.Time) {
	update := Update{Changes: f.changes(read.Objects), Revision: read.Revision, Complete: read.Complete}
	f.mu.Lock()
	f.gap = false
	news := News{Kind: f.kind, From: from, To: update.Revision, Changes: update.Changes}
	if update.Complete {
		news = f.missed(update)
	}
	f.advance(news)
	if len(update.Changes) > 0 || update.Complete {
		f.apply(update)
	}
	f.mu.Unlock()
	if news.From == 0 {
		news = link.Gap(f.kind, news.To)
	}
	f.catalog.deps.News(news)
	f.currentAt(sent) // not before the others are told, who take this entry's word for what it has passed on
}

// missed makes news of a list that was read because the platform has dropped its history: what differs from the objects that were there before.
// Without it every entry would have to read the list for itself, hundreds of calls within a second. It is called under the lock.
func (f *follower) missed(list Update) News {
	if f.revision == 0 {
		f.oldest = list.Revision // nobody can be fed from before the first list
		return News{Kind: f.kind, To: list.Revision, Changes: list.Changes}
	}
	news := News{Kind: f.kind, From: f.revision, To: list.Revision}
	listed := make(map[string]bool, len(list.Changes))
	for _, change := range list.Changes {
		listed[change.Name()] = true
		if f.held[change.Name()] != change.Version() {
			news.Changes = append(news.Changes, change)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.held)) {
		if !listed[name] {
			news.Changes = append(news.Changes, f.change(store.Object{Kind: f.kind, Name: name, Version: list.Revision, Deleted: true}))
		}
	}
	return news
}

// changes decodes objects. Of one that changed several times, the last change is kept.
func (f *follower) changes(objects []store.Object) []Change {
	latest := make(map[string]int, len(objects))
	for i, object := range objects {
		latest[object.Name] = i
	}
	changes := make([]Change, 0, len(latest))
	for i, object := range objects {
		if latest[object.Name] == i {
			changes = append(changes, f.change(object))
		}
	}
	return changes
}

func (f *follower) change(object store.Object) Change {
	if f.decode != nil {
		return f.decode(object)
	}
	return Change{Object: &object}
}

// feed applies what the entry in charge passed on. News that begin later than what is known leave a gap.
func (f *follower) feed(news News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.caughtUp = true
	switch {
	case news.To <= f.revision:
		return // known already
	case news.From == 0 || news.From > f.revision:
		f.gap = true
	default:
		f.advance(news)
		if len(news.Changes) > 0 {
			f.apply(Update{Changes: news.Changes, Revision: news.To, FromLeader: true})
		}
	}
	select {
	case f.fed <- struct{}{}:
	default:
	}
}

// advance notes news. It is called under the lock.
func (f *follower) advance(news News) {
	f.revision = max(f.revision, news.To)
	f.hold(news.Changes)
	f.news = append(f.news, news.Changes...)
	if over := len(f.news) - keptNews; over > 0 {
		f.oldest = f.news[over-1].Version()
		f.news = slices.Delete(f.news, 0, over)
	}
}

// hold notes which objects there are. It is called under the lock.
func (f *follower) hold(changes []Change) {
	if f.held == nil {
		f.held = make(map[string]store.Version)
	}
	for _, change := range changes {
		if change.IsRemoval() {
			delete(f.held, change.Name())
			continue
		}
		f.held[change.Name()] = change.Version()
	}
}

// since returns the news after a revision, if all of them are kept.
func (f *follower) since(revision store.Version) (News, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.oldest || f.revision == 0 {
		return News{}, false
	}
	news := News{Kind: f.kind, From: revision, To: f.revision}
	for _, change := range f.news {
		if change.Version() > revision {
			news.Changes = append(news.Changes, change)
		}
	}
	return news, true
}
