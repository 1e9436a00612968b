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

// settingsInForce holds the settings snapshot that this entry uses. Each request reads it once and keeps that
// version.
//
// Invariant: the version in force never decreases. Otherwise a stale read or a slow peer could restore an older
// tree, and an accepted change would silently revert on one entry.
type settingsInForce struct {
	recorder *timeline.Recorder
	log      *logrus.Entry

	current atomic.Pointer[settings.Snapshot]

	mu    sync.Mutex // guards updates of current, and the fields below
	since time.Time
	// activated is set once received versions may come into force. Until then pending holds the newest one.
	activated bool
	pending   *settings.Snapshot
}

func newSettingsInForce(recorder *timeline.Recorder, log *logrus.Entry) *settingsInForce {
	f := &settingsInForce{recorder: recorder, log: log}
	empty := &settings.Snapshot{}
	empty.BuildIndex()
	f.current.Store(empty)
	return f
}

// Snapshot returns the settings in force, or an empty snapshot of version 0 before the first.
func (f *settingsInForce) Snapshot() *settings.Snapshot { return f.current.Load() }

// Since returns when the current version came into force.
func (f *settingsInForce) Since() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since
}

// applyTree brings a settings tree into force. If the tree cannot be parsed or resolved, the current version
// stays: the entry that accepted the tree validated it, so it was written by a newer release, and continuing to
// serve is better than stopping.
func (f *settingsInForce) applyTree(object platform.Object) {
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
	if f.activated {
		f.setCurrent(snapshot)
	} else if f.pending == nil || snapshot.Version > f.pending.Version {
		f.pending = snapshot
	}
}

// activate brings the newest version received so far into force. Later versions come into force as they arrive.
func (f *settingsInForce) activate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activated = true
	if f.pending != nil {
		f.setCurrent(f.pending)
	}
}

// setCurrent brings the snapshot into force if it is newer than the current one. mu must be held.
func (f *settingsInForce) setCurrent(snapshot *settings.Snapshot) {
	if snapshot.Version <= f.current.Load().Version {
		return
	}
	f.current.Store(snapshot)
	f.since = time.Now()
	f.recorder.Record(timeline.Event{Kind: timeline.SettingsInForce, Version: snapshot.Version})
}
