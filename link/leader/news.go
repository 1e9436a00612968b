package leader

import (
	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// ChangeSet holds the changes of a kind of objects between two revisions. From is 0 if changes are missing, so that a
// follower has to read the objects itself.
type ChangeSet struct {
	Kind    platform.Kind    `cbor:"1,keyasint"`
	From    platform.Version `cbor:"2,keyasint"`
	To      platform.Version `cbor:"3,keyasint"`
	Changes []Change         `cbor:"4,keyasint,omitempty"`
	// Snapshot reports that Changes holds every object, of the servers every routable one, as of To, whatever the follower knew before.
	Snapshot bool `cbor:"5,keyasint,omitempty"`
	// AgeMs is how long before a snapshot was sent it was known to be current, in milliseconds.
	AgeMs int64 `cbor:"6,keyasint,omitempty"`
}

// RoutableChanges returns the change set for a follower that holds only the routable servers.
func (c ChangeSet) RoutableChanges() ChangeSet {
	routable := c
	routable.Changes = nil
	for _, change := range c.Changes {
		if !change.Unroutable {
			routable.Changes = append(routable.Changes, change)
		}
	}
	return routable
}

// Gap returns a change set that only states that there is something to read.
func Gap(kind platform.Kind, to platform.Version) ChangeSet { return ChangeSet{Kind: kind, To: to} }

// Change is the change of one object. Exactly one field is set.
type Change struct {
	Object *platform.Object `cbor:"1,keyasint,omitempty"`
	// Server is a registration that was written. It takes a fifth of the bytes of its object, and is decoded once by
	// the leader instead of by each entry.
	Server *backend.Server `cbor:"2,keyasint,omitempty"`
	// Removal is a registration that ended, or that no longer names a usable server.
	Removal *Removal `cbor:"3,keyasint,omitempty"`
	// Unroutable reports that the server was not routable before the change, and is not after it.
	Unroutable bool `cbor:"-"`
}

// Removal identifies a registration that ended.
type Removal struct {
	Server  backend.ID       `cbor:"1,keyasint"`
	Version platform.Version `cbor:"2,keyasint"`
}

// Version returns the revision of the change.
func (c Change) Version() platform.Version {
	switch {
	case c.Server != nil:
		return platform.Version(c.Server.Revision)
	case c.Removal != nil:
		return c.Removal.Version
	case c.Object != nil:
		return c.Object.Version
	}
	return 0
}

// Name returns the name of the changed object.
func (c Change) Name() string {
	switch {
	case c.Server != nil:
		return string(c.Server.ID)
	case c.Removal != nil:
		return string(c.Removal.Server)
	case c.Object != nil:
		return c.Object.Name
	}
	return ""
}

// changeOverhead is what a change occupies in memory beside its text, in bytes.
const changeOverhead = 512

// Size returns how much memory the change occupies, in bytes.
func (c Change) Size() int {
	size := changeOverhead + len(c.Name())
	switch {
	case c.Object != nil:
		size += len(c.Object.Value)
	case c.Server != nil:
		size += len(c.Server.Address) + len(c.Server.Service) + len(c.Server.Model) + len(c.Server.Group.Name)
		for _, model := range c.Server.Staged {
			size += len(model)
		}
	}
	return size
}

// IsRemoval reports whether the object was removed.
func (c Change) IsRemoval() bool { return c.Removal != nil || (c.Object != nil && c.Object.Deleted) }
