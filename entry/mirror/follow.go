package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

const (
	// watchersPerKind is the number of entries that watch a kind. One may be dead for some seconds before the
	// others notice, and one may be on the wrong side of a partition; with three, one still works.
	watchersPerKind = 3
	// watcherCheckInterval is how often an entry checks whether it should be a watcher.
	watcherCheckInterval = time.Second
	// meanRetryDelay is the mean delay after a failed call to the platform.
	meanRetryDelay = 500 * time.Millisecond
	// topic is the topic of the rumours that carry objects.
	topic = "object"
)

// Kinds lists the kinds that every entry mirrors. Controllers read "vms", and homes and fronts read "attempt",
// directly from the platform where they need them.
var Kinds = []platform.Kind{
	platform.KindSettings, platform.KindEntry, platform.KindPlacement, platform.KindQuarantine,
}

// Broadcaster distributes rumours to the other entries; member.Members implements it. A rumour with a higher
// version replaces one with a lower version, each entry fetches a large body once, and lost rumours are repaired
// by comparison with a random peer.
type Broadcaster interface {
	Broadcast(r member.Rumour)
	Handle(topic string, handler func(member.Rumour))
}

// Membership provides the live entries, among which the watches are divided.
type Membership interface {
	Self() string
	Live() []string
}

// Follower keeps a Mirror up to date.
type Follower struct {
	mirror      *Mirror
	store       platform.Store
	membership  Membership
	broadcaster Broadcaster
	changed     func(kind platform.Kind, err error)
}

// NewFollower returns a Follower, which follows changes while Run is running. changed is called when reads of a kind begin to fail, and with
// a nil error when they succeed again.
func NewFollower(
	mirror *Mirror, store platform.Store, membership Membership, broadcaster Broadcaster, changed func(kind platform.Kind, err error),
) *Follower {
	f := &Follower{mirror: mirror, store: store, membership: membership, broadcaster: broadcaster, changed: changed}
	broadcaster.Handle(topic, f.handleRumour)
	return f
}

// Run follows changes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for _, kind := range Kinds {
		go f.watchWhileAssigned(ctx, kind)
	}
	<-ctx.Done()
}

// Load fills the mirror from the platform once. It must succeed before an entry starts.
func (f *Follower) Load(ctx context.Context) error {
	for _, kind := range Kinds {
		changes, err := f.store.List(ctx, kind)
		if err != nil {
			return err
		}
		f.mirror.MergeChanges(kind, changes)
	}
	return nil
}

// Publish stores an object that this entry wrote or read, and broadcasts it to the other entries if it is newer than
// the mirrored copy.
func (f *Follower) Publish(object platform.Object) {
	f.broadcast(f.mirror.Merge(object))
}

func (f *Follower) broadcast(objects []platform.Object) {
	for _, object := range objects {
		body, err := cbor.Marshal(object)
		if err != nil {
			continue
		}
		f.broadcaster.Broadcast(member.Rumour{
			Topic: topic, Name: string(object.Kind) + "/" + object.Name, Version: uint64(object.Version), Body: body,
		})
	}
}

// handleRumour merges an object received in a rumour. It does not broadcast it: the gossip layer forwards rumours
// itself.
func (f *Follower) handleRumour(r member.Rumour) {
	var object platform.Object
	if cbor.Unmarshal(r.Body, &object) != nil || uint64(object.Version) != r.Version {
		return
	}
	f.mirror.Merge(object)
}

// watchWhileAssigned watches a kind while this entry is one of its watchers.
func (f *Follower) watchWhileAssigned(ctx context.Context, kind platform.Kind) {
	revision := platform.Version(0)
	failing := false
	for ctx.Err() == nil {
		if !f.isWatcher(kind) {
			revision = 0
			wait.Pause(ctx, watcherCheckInterval)
			continue
		}
		next, err := f.watchOnce(ctx, kind, revision)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failing {
			failing = err != nil
			f.changed(kind, err)
		}
		if eris.Is(err, platform.ErrTimeout) {
			revision = 0 // the changes since may be too many for a response in time
		}
		if err != nil {
			wait.Pause(ctx, jitter(meanRetryDelay))
			continue
		}
		revision = next
	}
}

func (f *Follower) isWatcher(kind platform.Kind) bool {
	watchers := domain.Owners("watch/"+string(kind), f.membership.Live(), watchersPerKind)
	return slices.Contains(watchers, f.membership.Self())
}

// watchOnce waits for the next changes. The first call of a new watcher lists all objects, since the last revision
// that it saw may be outdated. A platform restored from an older state responds with a lower revision; the mirror
// keeps the higher versions, and the watch continues from the lower revision.
func (f *Follower) watchOnce(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Version, error) {
	changes, err := f.listOrWatch(ctx, kind, after)
	if err != nil {
		return 0, err
	}
	f.broadcast(f.mirror.MergeChanges(kind, changes))
	return changes.Revision, nil
}

func (f *Follower) listOrWatch(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Changes, error) {
	if after == 0 {
		return f.store.List(ctx, kind)
	}
	return f.store.Watch(ctx, kind, after)
}

func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
