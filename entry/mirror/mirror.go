// Package mirror keeps an entry's copy of the platform's objects.
//
// The flow: a few entries, chosen by rendezvous hashing for each kind, hold a waiting watch on the
// platform. What they learn they spread as rumours among the entries. So the platform's calls depend on
// the number of kinds and of changes, not on the number of entries; and an entry that is cut off from the
// platform still follows.
//
// Invariant: the version of an object never goes down, whichever way a copy arrives: watches repeat,
// peers lag, and reads of a partitioned replica are stale.
package mirror

import (
	"slices"
	"sync"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

type key struct {
	kind platform.Kind
	name string
}

// Mirror is the copy. It is safe for concurrent use.
type Mirror struct {
	mu      sync.RWMutex // guards objects and listeners; not held while a listener is called
	objects map[key]platform.Object

	listeners map[platform.Kind][]func(platform.Object)
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{
		objects:   make(map[key]platform.Object),
		listeners: make(map[platform.Kind][]func(platform.Object)),
	}
}

// OnChange has f called after each change of an object of the kind, without a lock held. Two changes
// may reach f out of order: f compares versions, or reads the mirror. Call it before Run.
func (m *Mirror) OnChange(kind platform.Kind, f func(platform.Object)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners[kind] = append(m.listeners[kind], f)
}

// Get returns the object if it is known to exist.
func (m *Mirror) Get(kind platform.Kind, name string) (platform.Object, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	object, ok := m.objects[key{kind, name}]
	return object, ok && !object.Deleted
}

// Version returns the version known of the object, also if that is its deletion; 0 if unknown.
func (m *Mirror) Version(kind platform.Kind, name string) platform.Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.objects[key{kind, name}].Version
}

// All returns the existing objects of a kind, sorted by name.
func (m *Mirror) All(kind platform.Kind) []platform.Object {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var found []platform.Object
	for k, object := range m.objects {
		if k.kind == kind && !object.Deleted {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b platform.Object) int { return compareNames(a.Name, b.Name) })
	return found
}

// Merge takes in copies, from whatever source, and returns those that were newer than what was known.
func (m *Mirror) Merge(objects ...platform.Object) []platform.Object {
	var taken []platform.Object
	m.mu.Lock()
	for _, object := range objects {
		if m.take(object) {
			taken = append(taken, object)
		}
	}
	m.mu.Unlock()
	m.notify(taken)
	return taken
}

// MergeChanges takes in the answer of a list or a watch. A complete one also tells what was deleted:
// whatever is known at or below its revision and is not in it.
func (m *Mirror) MergeChanges(kind platform.Kind, changes platform.Changes) []platform.Object {
	offered := changes.Objects
	if changes.Complete {
		offered = append(slices.Clone(offered), m.missing(kind, changes)...)
	}
	return m.Merge(offered...)
}

// missing returns deletions for what the complete list does not name any more.
func (m *Mirror) missing(kind platform.Kind, changes platform.Changes) []platform.Object {
	listed := make(map[string]bool, len(changes.Objects))
	for _, object := range changes.Objects {
		listed[object.Name] = true
	}
	var gone []platform.Object
	for _, object := range m.All(kind) {
		if !listed[object.Name] && object.Version < changes.Revision {
			gone = append(gone, platform.Object{Kind: kind, Name: object.Name, Version: changes.Revision, Deleted: true})
		}
	}
	return gone
}

// take must be called with mu held.
func (m *Mirror) take(object platform.Object) bool {
	k := key{object.Kind, object.Name}
	if object.Version <= m.objects[k].Version {
		return false
	}
	m.objects[k] = object
	return true
}

func (m *Mirror) notify(objects []platform.Object) {
	for _, object := range objects {
		m.mu.RLock()
		listeners := m.listeners[object.Kind]
		m.mu.RUnlock()
		for _, listener := range listeners {
			listener(object)
		}
	}
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
