package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

const (
	// watchersPerKind is how many entries hold a watch on a kind. One may be dead for some seconds before
	// the others notice, and one may sit on the wrong side of a partition; three leave one at work.
	watchersPerKind = 3
	// ownershipCheck is how often an entry looks whether it should be a watcher.
	ownershipCheck = time.Second
	// retryPause is the mean pause after a failed call to the platform.
	retryPause = 500 * time.Millisecond
	// topic is that of the rumours that carry objects.
	topic = "object"
)

// Kinds are the kinds that every entry mirrors. "vms" is read by controllers, "attempt" by homes and
// fronts, where they need them.
var Kinds = []platform.Kind{
	platform.KindSettings, platform.KindEntry, platform.KindPlacement, platform.KindQuarantine,
}

// Broadcaster is what a Follower needs of the other entries: member.Members has it. A rumour of a higher
// version replaces a lower one, large bodies are fetched once by each entry, and what got lost on the way
// is healed by comparison with a random peer.
type Broadcaster interface {
	Broadcast(r member.Rumour)
	Handle(topic string, handler func(member.Rumour))
}

// Membership names the live entries, which share out the watches.
type Membership interface {
	Self() string
	Live() []string
}

// Follower keeps a Mirror up to date.
type Follower struct {
	mirror  *Mirror
	store   platform.Store
	owners  Membership
	rumours Broadcaster
}

// NewFollower returns a follower; Run makes it work.
func NewFollower(mirror *Mirror, store platform.Store, owners Membership, rumours Broadcaster) *Follower {
	f := &Follower{mirror: mirror, store: store, owners: owners, rumours: rumours}
	rumours.Handle(topic, f.heard)
	return f
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for _, kind := range Kinds {
		go f.watchWhenChosen(ctx, kind)
	}
	<-ctx.Done()
}

// Load fills the mirror from the platform once; a start needs it.
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
	f.spread(f.mirror.Merge(object))
}

func (f *Follower) spread(objects []platform.Object) {
	for _, object := range objects {
		body, err := cbor.Marshal(object)
		if err != nil {
			continue
		}
		f.rumours.Broadcast(member.Rumour{
			Topic: topic, Name: string(object.Kind) + "/" + object.Name, Version: uint64(object.Version), Body: body,
		})
	}
}

// heard takes in a rumour. It is not spread from here: rumours carry themselves on.
func (f *Follower) heard(r member.Rumour) {
	var object platform.Object
	if cbor.Unmarshal(r.Body, &object) != nil || uint64(object.Version) != r.Version {
		return
	}
	f.mirror.Merge(object)
}

// watchWhenChosen holds the watch on a kind while this entry is one of its watchers.
func (f *Follower) watchWhenChosen(ctx context.Context, kind platform.Kind) {
	revision := platform.Version(0)
	for ctx.Err() == nil {
		if !f.chosen(kind) {
			revision = 0
			wait.Pause(ctx, ownershipCheck)
			continue
		}
		next, err := f.watchOnce(ctx, kind, revision)
		if err != nil {
			wait.Pause(ctx, jittered(retryPause))
			continue
		}
		revision = next
	}
}

func (f *Follower) chosen(kind platform.Kind) bool {
	watchers := domain.Owners("watch/"+string(kind), f.owners.Live(), watchersPerKind)
	return slices.Contains(watchers, f.owners.Self())
}

// watchOnce waits for the next changes. The first call of a new watcher lists, since the last revision it
// saw may be old. A platform restored from an older state would answer with a lower revision; the mirror
// keeps what is higher, and the watch goes on from there.
func (f *Follower) watchOnce(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Version, error) {
	changes, err := f.read(ctx, kind, after)
	if err != nil {
		return 0, err
	}
	f.spread(f.mirror.MergeChanges(kind, changes))
	return changes.Revision, nil
}

func (f *Follower) read(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Changes, error) {
	if after == 0 {
		return f.store.List(ctx, kind)
	}
	return f.store.Watch(ctx, kind, after)
}

func jittered(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
