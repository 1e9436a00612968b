// Package mirror maintains an entry's local copy of the platform's objects.
//
// For each kind of object a few entries, chosen by rendezvous hashing, hold a long-polling watch on the platform
// and broadcast the changes that they see to the other entries by gossip ("rumours"). The number of platform calls
// therefore depends on the number of kinds and of changes and not on the number of entries, and an entry that is
// cut off from the platform still receives changes.
//
// Invariant: the version of an object never decreases, whichever way a copy arrives. Watches repeat changes, peers
// lag behind, and reads from a partitioned replica are stale.
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

// Mirror is the local copy. It is safe for concurrent use.
type Mirror struct {
	mu      sync.RWMutex // guards objects and listeners; not held during calls to listeners
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

// OnChange registers f, which is called after each change of an object of the kind, without a lock held. Two
// changes may reach f out of order, so f must compare versions or read the mirror. Call OnChange before
// Follower.Run.
func (m *Mirror) OnChange(kind platform.Kind, f func(platform.Object)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners[kind] = append(m.listeners[kind], f)
}

// Get returns the object if it is known and not deleted.
func (m *Mirror) Get(kind platform.Kind, name string) (platform.Object, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	object, ok := m.objects[key{kind, name}]
	return object, ok && !object.Deleted
}

// Version returns the latest known version of the object, including that of its deletion, or 0 if it is unknown.
func (m *Mirror) Version(kind platform.Kind, name string) platform.Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.objects[key{kind, name}].Version
}

// All returns the objects of a kind that are not deleted, sorted by name.
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

// Merge stores those of the given copies that are newer than the known ones, and returns them.
func (m *Mirror) Merge(objects ...platform.Object) []platform.Object {
	var stored []platform.Object
	m.mu.Lock()
	for _, object := range objects {
		if m.storeIfNewer(object) {
			stored = append(stored, object)
		}
	}
	m.mu.Unlock()
	m.notify(stored)
	return stored
}

// MergeChanges merges the response to a list or a watch. A complete response also implies deletions: of every
// known object that is older than its revision and missing from it.
func (m *Mirror) MergeChanges(kind platform.Kind, changes platform.Changes) []platform.Object {
	objects := changes.Objects
	if changes.Complete {
		objects = append(slices.Clone(objects), m.inferDeletions(kind, changes)...)
	}
	return m.Merge(objects...)
}

// inferDeletions returns a deletion for every known object that a complete list no longer contains.
func (m *Mirror) inferDeletions(kind platform.Kind, changes platform.Changes) []platform.Object {
	listed := make(map[string]bool, len(changes.Objects))
	for _, object := range changes.Objects {
		listed[object.Name] = true
	}
	var deletions []platform.Object
	for _, object := range m.All(kind) {
		if !listed[object.Name] && object.Version < changes.Revision {
			deletions = append(deletions, platform.Object{Kind: kind, Name: object.Name, Version: changes.Revision, Deleted: true})
		}
	}
	return deletions
}

// storeIfNewer stores the object if it is newer than the known copy, and reports whether it was. mu must be held.
func (m *Mirror) storeIfNewer(object platform.Object) bool {
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
