package platform

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// Change is one entry of the history.
type Change struct {
	Time time.Time `json:"time"`
	// Replaced is the version that the change replaced, 0 for a creation.
	Replaced platform.Version `json:"replaced"`
	platform.Object
}

// table holds the objects of all kinds and the history of their changes.
type table struct {
	limit int // history limit, 0 for none; set before use

	mu        sync.Mutex // guards the fields below; no other lock is taken while it is held
	revision  platform.Version
	objects   map[platform.Kind]map[string]platform.Object
	history   []Change         // in order of Version
	compacted platform.Version // changes up to this version are no longer in history
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
	return t.snapshot(kind)
}

// snapshot returns every object of a kind at the current revision. It must be called with mu held.
func (t *table) snapshot(kind platform.Kind) platform.Changes {
	objects := make([]platform.Object, 0, len(t.objects[kind]))
	for _, object := range t.objects[kind] {
		objects = append(objects, object)
	}
	sortByVersion(objects)
	return platform.Changes{Objects: objects, Revision: t.revision, Complete: true}
}

// put writes value if the object is at version (0: does not exist) and returns the new version.
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

// delete removes the object if it is at version and returns the version of the deletion.
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

// record appends a change to the history and wakes watches. It must be called with mu held.
func (t *table) record(replaced platform.Version, object platform.Object) {
	t.revision = object.Version
	t.history = append(t.history, Change{Time: time.Now(), Replaced: replaced, Object: object})
	// Cutting at twice the limit amortizes the copy of the kept changes over as many new ones.
	if t.limit > 0 && len(t.history) > 2*t.limit {
		t.compacted = t.history[len(t.history)-t.limit-1].Version
		t.history = slices.Clone(t.history[len(t.history)-t.limit:])
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// changesAfter returns the latest change of each object of a kind after a revision, or every object of the kind
// if the history no longer reaches back that far. The channel closes at the next change of any kind.
func (t *table) changesAfter(kind platform.Kind, revision platform.Version) (platform.Changes, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision < t.compacted {
		return t.snapshot(kind), t.changed
	}
	return platform.Changes{Objects: latestPerObject(t.historySince(revision), kind), Revision: t.revision}, t.changed
}

// historySince returns the retained changes after a revision. It must be called with mu held.
func (t *table) historySince(revision platform.Version) []Change {
	first, _ := slices.BinarySearchFunc(t.history, revision+1, func(c Change, v platform.Version) int {
		return cmp.Compare(c.Version, v)
	})
	return t.history[first:]
}

// atTime returns the objects of the kind as they were at a time, as far back as the history goes.
func (t *table) atTime(kind platform.Kind, at time.Time) platform.Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	end, _ := slices.BinarySearchFunc(t.history, at, func(c Change, at time.Time) int { return c.Time.Compare(at) })
	return t.stateAfter(kind, end)
}

// atRevision returns the objects of the kind as they were at a revision, as far back as the history goes.
func (t *table) atRevision(kind platform.Kind, revision platform.Version) platform.Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stateAfter(kind, len(t.history)-len(t.historySince(revision)))
}

// stateAfter returns the objects of the kind after the first end changes of the history. It must be called with mu held.
func (t *table) stateAfter(kind platform.Kind, end int) platform.Changes {
	applied := t.history[:end]
	revision := t.compacted
	if end > 0 {
		revision = applied[end-1].Version
	}
	live := slices.DeleteFunc(latestPerObject(applied, kind), func(o platform.Object) bool { return o.Deleted })
	for _, object := range t.objects[kind] {
		if object.Version <= t.compacted {
			live = append(live, object)
		}
	}
	return platform.Changes{Objects: live, Revision: revision, Complete: true}
}

// compact discards the history.
func (t *table) compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.compacted = t.revision
	t.history = nil
}

// retainedHistory returns a copy of the retained history.
func (t *table) retainedHistory() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.history)
}

// latestPerObject returns the last state of each object of a kind in changes.
func latestPerObject(changes []Change, kind platform.Kind) []platform.Object {
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
