package entry

import (
	"encoding/json"
	"sync"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// addressBook knows the entries that the platform has listed: where they are, and the fingerprint each may
// show. It is a leaf in the lock order.
type addressBook struct {
	incarnation string

	mu       sync.RWMutex // guards what follows
	entries  map[string]platform.Entry
	versions map[string]platform.Version
	names    map[string]string // by fingerprint
}

func newAddressBook(incarnation string) *addressBook {
	return &addressBook{
		incarnation: incarnation,
		entries:     make(map[string]platform.Entry),
		versions:    make(map[string]platform.Version),
		names:       make(map[string]string),
	}
}

// take takes in an object of kind "entry" and returns its value, and false if it is old or can't be read.
func (b *addressBook) take(object platform.Object) (platform.Entry, bool) {
	var entry platform.Entry
	if object.Deleted || json.Unmarshal(object.Value, &entry) != nil {
		return entry, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if object.Version <= b.versions[entry.Name] {
		return entry, false
	}
	delete(b.names, b.entries[entry.Name].Fingerprint)
	b.versions[entry.Name] = object.Version
	b.entries[entry.Name] = entry
	b.names[entry.Fingerprint] = entry.Name
	return entry, true
}

// Trusted implements peer.Trust: only what an entry published in the platform is accepted, and only
// from its present incarnation.
func (b *addressBook) Trusted(fingerprint string) (string, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	name, ok := b.names[fingerprint]
	return name, ok
}

func (b *addressBook) entry(name string) (platform.Entry, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	entry, ok := b.entries[name]
	return entry, ok
}

func (b *addressBook) peerAddress(name string) (string, bool) {
	entry, ok := b.entry(name)
	return entry.PeerAddress, ok
}

func (b *addressBook) all() []platform.Entry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	entries := make([]platform.Entry, 0, len(b.entries))
	for _, entry := range b.entries {
		entries = append(entries, entry)
	}
	return entries
}
