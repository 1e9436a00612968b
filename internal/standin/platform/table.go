package platform

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// Change is one line of the history.
type Change struct {
	Time time.Time `json:"time"`
	// Replaced is the version that the change replaced, 0 for a creation.
	Replaced platform.Version `json:"replaced"`
	platform.Object
}

// table holds the objects and the history of their changes, over all kinds.
type table struct {
	limit int // fixed before use

	mu        sync.Mutex // guards what follows; a leaf lock
	revision  platform.Version
	objects   map[platform.Kind]map[string]platform.Object
	history   []Change         // in the order of Version
	compacted platform.Version // changes up to here are no longer in history
	changed   chan struct{}    // closed and replaced at each change
}

func newTable() *table {
	return &table{objects: make(map[platform.Kind]map[string]platform.Object), changed: make(chan struct{})}
}

func (t *table) get(kind platform.Kind, name string) (platform.Object, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	object, ok := t.objects[kind][name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

func (t *table) list(kind platform.Kind) platform.Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.whole(kind)
}

// whole must be called with mu held.
func (t *table) whole(kind platform.Kind) platform.Changes {
	all := make([]platform.Object, 0, len(t.objects[kind]))
	for _, object := range t.objects[kind] {
		all = append(all, object)
	}
	sortByVersion(all)
	return platform.Changes{Objects: all, Revision: t.revision, Complete: true}
}

// put writes value if the object is at version, and returns the new version.
func (t *table) put(kind platform.Kind, name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.objects[kind][name].Version != version {
		return 0, platform.ErrConflict
	}
	object := platform.Object{Kind: kind, Name: name, Version: t.revision + 1, Value: value}
	if t.objects[kind] == nil {
		t.objects[kind] = make(map[string]platform.Object)
	}
	t.objects[kind][name] = object
	t.record(version, object)
	return object.Version, nil
}

func (t *table) delete(kind platform.Kind, name string, version platform.Version) (platform.Version, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.objects[kind][name]
	if !ok {
		return 0, platform.ErrNotFound
	}
	if current.Version != version {
		return 0, platform.ErrConflict
	}
	delete(t.objects[kind], name)
	object := platform.Object{Kind: kind, Name: name, Version: t.revision + 1, Deleted: true}
	t.record(version, object)
	return object.Version, nil
}

// record must be called with mu held.
func (t *table) record(replaced platform.Version, object platform.Object) {
	t.revision = object.Version
	t.history = append(t.history, Change{Time: time.Now(), Replaced: replaced, Object: object})
	// Twice the limit, so that the moving of what is kept is paid for by as many changes.
	if t.limit > 0 && len(t.history) > 2*t.limit {
		t.compacted = t.history[len(t.history)-t.limit-1].Version
		t.history = slices.Clone(t.history[len(t.history)-t.limit:])
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// after returns the changes of a kind after a revision, and a channel that closes at the next change of
// any kind.
func (t *table) after(kind platform.Kind, revision platform.Version) (platform.Changes, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision < t.compacted {
		return t.whole(kind), t.changed
	}
	return platform.Changes{Objects: latest(t.since(revision), kind), Revision: t.revision}, t.changed
}

// since must be called with mu held.
func (t *table) since(revision platform.Version) []Change {
	first, _ := slices.BinarySearchFunc(t.history, revision+1, func(c Change, v platform.Version) int {
		return cmp.Compare(c.Version, v)
	})
	return t.history[first:]
}

// asOf returns the kind as it was at a time, as far back as the history goes.
func (t *table) asOf(kind platform.Kind, at time.Time) platform.Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	end, _ := slices.BinarySearchFunc(t.history, at, func(c Change, at time.Time) int { return c.Time.Compare(at) })
	return t.state(kind, end)
}

// at returns the kind as it was at a revision, as far back as the history goes.
func (t *table) at(kind platform.Kind, revision platform.Version) platform.Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(kind, len(t.history)-len(t.since(revision)))
}

// state returns the kind after the first end changes of the history. It must be called with mu held.
func (t *table) state(kind platform.Kind, end int) platform.Changes {
	past := t.history[:end]
	revision := t.compacted
	if end > 0 {
		revision = past[end-1].Version
	}
	live := slices.DeleteFunc(latest(past, kind), func(o platform.Object) bool { return o.Deleted })
	for _, object := range t.objects[kind] {
		if object.Version <= t.compacted {
			live = append(live, object)
		}
	}
	return platform.Changes{Objects: live, Revision: revision, Complete: true}
}

// compact forgets the history.
func (t *table) compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.compacted = t.revision
	t.history = nil
}

func (t *table) past() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.history)
}

// latest returns the last state of each object of a kind in changes.
func latest(changes []Change, kind platform.Kind) []platform.Object {
	seen := make(map[string]bool)
	objects := make([]platform.Object, 0)
	for _, change := range slices.Backward(changes) {
		if change.Kind == kind && !seen[change.Name] {
			seen[change.Name] = true
			objects = append(objects, change.Object)
		}
	}
	slices.Reverse(objects)
	return objects
}

func sortByVersion(objects []platform.Object) {
	slices.SortFunc(objects, func(a, b platform.Object) int { return cmp.Compare(a.Version, b.Version) })
}
