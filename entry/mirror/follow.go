package mirror

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

const (
	// watchersPerKind is how many entries hold a watch on a kind. One may be dead for some seconds before
	// the others notice, and one may sit on the wrong side of a partition; three leave one at work.
	watchersPerKind = 3
	// ownershipCheck is how often an entry looks whether it should be a watcher.
	ownershipCheck = time.Second
	// retryPause is the mean pause after a failed call to the platform or a peer.
	retryPause = 500 * time.Millisecond
	// reconcileInterval is the mean pause between comparisons with a random peer. It heals what rumours
	// lost; with four kinds a comparison that finds nothing is about 100 bytes.
	reconcileInterval = 3 * time.Second
	// pullTries bounds how often one announcement is followed up; reconciliation heals the rest.
	pullTries = 4
	// pullTimeout bounds one pull from a peer.
	pullTimeout = 2 * time.Second
	// maxPull bounds the objects asked for in one pull.
	maxPull = 64
)

// Kinds are the kinds that every entry mirrors. "vms" is read by controllers, "attempt" by homes and
// fronts, where they need them.
var Kinds = []platform.Kind{
	platform.KindSettings, platform.KindEntry, platform.KindPlacement, platform.KindQuarantine,
}

// Peers is what a Follower needs of the other entries.
type Peers interface {
	// Self is the own name, Live the names of all live entries, own included.
	Self() string
	Live() []string
	// Announce spreads that this entry holds the object at that version.
	Announce(ref Ref)
	// Pull asks a peer for objects at or above the versions given.
	Pull(ctx context.Context, from string, refs []Ref) ([]platform.Object, error)
	// Compare sends the own digests to a peer and returns its refs of the kinds that differ.
	Compare(ctx context.Context, with string, digests []Digest) ([]Ref, error)
}

// Digest is a hash over all refs of a kind.
type Digest struct {
	Kind platform.Kind `cbor:"1,keyasint"`
	Hash uint64        `cbor:"2,keyasint"`
}

// Follower keeps a Mirror up to date.
type Follower struct {
	mirror *Mirror
	store  platform.Store
	peers  Peers
	heard  chan announcement
}

type announcement struct {
	from string
	ref  Ref
}

// NewFollower returns a follower; Run makes it work.
func NewFollower(mirror *Mirror, store platform.Store, peers Peers) *Follower {
	return &Follower{mirror: mirror, store: store, peers: peers, heard: make(chan announcement, 1024)}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for _, kind := range Kinds {
		go f.watchWhenChosen(ctx, kind)
	}
	go f.reconcile(ctx)
	f.followAnnouncements(ctx)
}

// Load fills the mirror from the platform once; a start needs it.
func (f *Follower) Load(ctx context.Context) error {
	for _, kind := range Kinds {
		changes, err := f.store.List(ctx, kind)
		if err != nil {
			return err
		}
		f.mirror.OfferChanges(kind, changes)
	}
	return nil
}

// Took takes in an object that this entry itself wrote or read, and announces it if it is news.
func (f *Follower) Took(object platform.Object) {
	f.announce(f.mirror.Offer(object))
}

// Heard takes in a peer's announcement. A full queue drops it: reconciliation heals that.
func (f *Follower) Heard(from string, ref Ref) {
	if len(f.mirror.Newer([]Ref{ref})) == 0 {
		return
	}
	select {
	case f.heard <- announcement{from: from, ref: ref}:
	default:
	}
}

func (f *Follower) announce(objects []platform.Object) {
	for _, object := range objects {
		f.peers.Announce(Ref{Kind: object.Kind, Name: object.Name, Version: object.Version})
	}
}

// watchWhenChosen holds the watch on a kind while this entry is one of its watchers.
func (f *Follower) watchWhenChosen(ctx context.Context, kind platform.Kind) {
	revision := platform.Version(0)
	for ctx.Err() == nil {
		if !f.chosen(kind) {
			revision = 0
			pause(ctx, ownershipCheck)
			continue
		}
		next, err := f.watchOnce(ctx, kind, revision)
		if err != nil {
			pause(ctx, jittered(retryPause))
			continue
		}
		revision = next
	}
}

func (f *Follower) chosen(kind platform.Kind) bool {
	watchers := domain.Owners("watch/"+string(kind), f.peers.Live(), watchersPerKind)
	return slices.Contains(watchers, f.peers.Self())
}

// watchOnce waits for the next changes. The first call of a new watcher lists, since the last revision it
// saw may be old. A platform restored from an older state would answer with a lower revision; the mirror
// keeps what is higher, and the watch goes on from there.
func (f *Follower) watchOnce(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Version, error) {
	changes, err := f.read(ctx, kind, after)
	if err != nil {
		return 0, err
	}
	f.announce(f.mirror.OfferChanges(kind, changes))
	return changes.Revision, nil
}

func (f *Follower) read(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Changes, error) {
	if after == 0 {
		return f.store.List(ctx, kind)
	}
	return f.store.Watch(ctx, kind, after)
}

func (f *Follower) followAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-f.heard:
			f.pull(ctx, first)
		}
	}
}

// pull asks the announcer, then others, for the announced object. The announcer held it when it
// announced, so the first try nearly always serves; it may be gone meanwhile.
func (f *Follower) pull(ctx context.Context, heard announcement) {
	from := heard.from
	for range pullTries {
		refs := f.mirror.Newer([]Ref{heard.ref})
		if len(refs) == 0 {
			return
		}
		if f.pullFrom(ctx, from, refs) {
			return
		}
		from = f.randomPeer()
	}
}

func (f *Follower) pullFrom(ctx context.Context, from string, refs []Ref) bool {
	if from == "" || from == f.peers.Self() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	objects, err := f.peers.Pull(ctx, from, refs)
	if err != nil || len(objects) == 0 {
		return false
	}
	f.announce(f.mirror.Offer(objects...))
	return true
}

// reconcile compares digests with a random peer now and then and pulls what differs. Without it an
// entry that missed a rumour (a cut link, a full queue) would keep an old version until the next change.
func (f *Follower) reconcile(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, jittered(reconcileInterval))
		f.ReconcileWith(ctx, f.randomPeer())
	}
}

// ReconcileWith pulls whatever the peer holds at higher versions.
func (f *Follower) ReconcileWith(ctx context.Context, peer string) {
	if peer == "" {
		return
	}
	compareCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	refs, err := f.peers.Compare(compareCtx, peer, f.Digests())
	if err != nil {
		return
	}
	newer := f.mirror.Newer(refs)
	for batch := range slices.Chunk(newer, maxPull) {
		f.pullFrom(ctx, peer, batch)
	}
}

// Digests hashes what is known, kind by kind.
func (f *Follower) Digests() []Digest {
	digests := make([]Digest, 0, len(Kinds))
	for _, kind := range Kinds {
		digests = append(digests, Digest{Kind: kind, Hash: hashRefs(f.mirror.Refs(kind))})
	}
	return digests
}

// Differing answers a peer's digests: the own refs of the kinds whose hash differs.
func (f *Follower) Differing(theirs []Digest) []Ref {
	var refs []Ref
	for _, digest := range theirs {
		own := f.mirror.Refs(digest.Kind)
		if hashRefs(own) != digest.Hash {
			refs = append(refs, own...)
		}
	}
	return refs
}

func hashRefs(refs []Ref) uint64 {
	hash := xxhash.New()
	var version [8]byte
	for _, ref := range refs {
		_, _ = hash.WriteString(ref.Name)
		binary.BigEndian.PutUint64(version[:], uint64(ref.Version))
		_, _ = hash.Write(version[:])
	}
	return hash.Sum64()
}

func (f *Follower) randomPeer() string {
	var others []string
	for _, name := range f.peers.Live() {
		if name != f.peers.Self() {
			others = append(others, name)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

func jittered(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
