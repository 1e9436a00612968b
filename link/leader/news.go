package leader

import (
	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// ChangeSet is what happened to a kind between two revisions. From is 0 where changes are missing, so that a follower has to read the
// kind for itself.
type ChangeSet struct {
	Kind    platform.Kind    `cbor:"1,keyasint"`
	From    platform.Version `cbor:"2,keyasint"`
	To      platform.Version `cbor:"3,keyasint"`
	Changes []Change         `cbor:"4,keyasint,omitempty"`
}

// Gap returns news that only say that there is something to read.
func Gap(kind platform.Kind, to platform.Version) ChangeSet { return ChangeSet{Kind: kind, To: to} }

// Change is the change of one object. One of its fields is set.
type Change struct {
	Object *platform.Object `cbor:"1,keyasint,omitempty"`
	// Server is a registration that was written. It takes a fifth of the bytes of its object, and is decoded by one entry for all.
	Server *backend.Server `cbor:"2,keyasint,omitempty"`
	// Removal is a registration that ended, or that names no server to use any more.
	Removal *Removal `cbor:"3,keyasint,omitempty"`
}

// Removal names a registration that ended.
type Removal struct {
	Server  backend.ID       `cbor:"1,keyasint"`
	Version platform.Version `cbor:"2,keyasint"`
}

// Version is the revision of the change.
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

// Name is the name of the object that changed.
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

// IsRemoval says that the object is no more.
func (c Change) IsRemoval() bool { return c.Removal != nil || (c.Object != nil && c.Object.Deleted) }
