package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// settingsInForce holds the snapshot that this entry works by. A request takes it once and keeps it.
//
// Invariant: the version in force never goes down. What goes wrong otherwise: a stale read or a slow peer
// would bring an older tree back, and an accepted change would revert on one entry without a trace.
type settingsInForce struct {
	recorder *timeline.Recorder
	log      *logrus.Entry

	current atomic.Pointer[settings.Snapshot]

	mu    sync.Mutex // guards the swap, and what follows
	since time.Time
	// opened is set once what was taken in may come into force; pending is the newest of before.
	opened  bool
	pending *settings.Snapshot
}

func newSettingsInForce(recorder *timeline.Recorder, log *logrus.Entry) *settingsInForce {
	f := &settingsInForce{recorder: recorder, log: log}
	empty := &settings.Snapshot{}
	empty.BuildIndex()
	f.current.Store(empty)
	return f
}

// Snapshot returns the settings in force; version 0 and empty before the first.
func (f *settingsInForce) Snapshot() *settings.Snapshot { return f.current.Load() }

// Since returns when the version in force came into force.
func (f *settingsInForce) Since() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since
}

// take puts a tree in force. One that can't be resolved leaves the version in force as it is: the entry that
// accepted it checked it, so this is a newer release's tree, and serving on is better than stopping.
func (f *settingsInForce) take(object platform.Object) {
	if object.Deleted || object.Name != platform.SettingsName {
		return
	}
	tree, err := settings.ParseTree(object.Value)
	if err != nil {
		f.log.WithError(err).WithField("version", object.Version).Error("settings tree can't be read; the version in force stays")
		return
	}
	snapshot, err := tree.Resolve(uint64(object.Version))
	if err != nil {
		f.log.WithError(err).WithField("version", object.Version).Error("settings tree does not resolve; the version in force stays")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opened {
		f.swap(snapshot)
	} else if f.pending == nil || snapshot.Version > f.pending.Version {
		f.pending = snapshot
	}
}

// open puts the newest that was taken in so far in force, and from then on whatever is newer.
func (f *settingsInForce) open() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opened = true
	if f.pending != nil {
		f.swap(f.pending)
	}
}

// swap must be called with mu held.
func (f *settingsInForce) swap(snapshot *settings.Snapshot) {
	if snapshot.Version <= f.current.Load().Version {
		return
	}
	f.current.Store(snapshot)
	f.since = time.Now()
	f.recorder.Record(timeline.Event{Kind: timeline.SettingsInForce, Version: snapshot.Version})
}
