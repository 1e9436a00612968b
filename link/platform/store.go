// Package platform is the client side of the platform's object API: the only place where anything of
// skylarkpond lasts.
//
// Objects are JSON under a kind and a name. Each has a Version, which is the platform's global
// revision at the object's last change: it grows with every change and is never given twice, not even
// to an object that was deleted and created anew. Writes are conditional on the version they replace.
//
// A write may take effect although its answer is lost. Put then returns ErrUnconfirmed, and only a read
// tells; Confirm does so by the writer's nonce.
package platform

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Kind is a kind of object.
type Kind string

// The kinds. docs/DESIGN.md says who writes which.
const (
	// KindVMs is read only: one object per fabric domain, named after it, whose value is a vm.List.
	KindVMs Kind = "vms"
	// KindSettings has one object, SettingsName.
	KindSettings Kind = "settings"
	// KindPlacement has one object per fabric domain, a vm.Placement.
	KindPlacement Kind = "placement"
	// KindEntry has one object per entry, an Entry.
	KindEntry Kind = "entry"
	// KindAttempt has one object per request that may not be repeated, named "team/key".
	KindAttempt Kind = "attempt"
	// KindQuarantine has one object per service.
	KindQuarantine Kind = "quarantine"
)

// SettingsName names the one object of KindSettings.
const SettingsName = "tree"

// Version is a global revision. 0 stands for "does not exist".
type Version uint64

// Object is one object at one version.
type Object struct {
	Kind    Kind            `json:"kind" cbor:"1,keyasint"`
	Name    string          `json:"name" cbor:"2,keyasint"`
	Version Version         `json:"version" cbor:"3,keyasint"`
	Value   json.RawMessage `json:"value,omitempty" cbor:"4,keyasint,omitempty"`
	// Deleted marks a deletion in a watch or a list of changes; Version is then that of the deletion.
	Deleted bool `json:"deleted,omitempty" cbor:"5,keyasint,omitempty"`
}

// Changes is what a List or a Watch returns: objects, and the revision up to which they are complete.
type Changes struct {
	Objects  []Object `json:"objects"`
	Revision Version  `json:"revision"`
	// Complete says that Objects is the whole kind (a List, or a Watch whose start was compacted), so
	// that what is not in it does not exist.
	Complete bool `json:"complete"`
}

// Errors of a Store. Every other failure is wrapped into one of them.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = eris.New("object not found")
	// ErrConflict: the object is not at the version that the write names. Nothing was changed by this call.
	ErrConflict = eris.New("object has another version")
	// ErrUnavailable: the platform did not take the call: nothing was changed by it.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrThrottled: the rate limit refused the call: nothing was changed by it.
	ErrThrottled = eris.New("platform call over the rate limit")
	// ErrUnconfirmed: the call may have taken effect, or may yet take effect.
	ErrUnconfirmed = eris.New("platform write unconfirmed")
	// ErrTooLarge: the value exceeds MaxValueBytes.
	ErrTooLarge = eris.New("value too large for the platform")
)

// MaxValueBytes is the largest value that the platform holds, in bytes.
const MaxValueBytes = 1 << 20

// Store is the platform's object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns an object, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind Kind) (Changes, error)
	// Put writes value if the object is at version (0: does not exist) and returns the new version.
	Put(ctx context.Context, kind Kind, name string, version Version, value json.RawMessage) (Version, error)
	// Delete deletes the object if it is at version.
	Delete(ctx context.Context, kind Kind, name string, version Version) error
	// Watch waits until something of the kind has changed after the given revision, or until the
	// platform's waiting time is over (it then returns no objects and the current revision).
	Watch(ctx context.Context, kind Kind, after Version) (Changes, error)
}

// Entry is the value of an object of KindEntry: one entry VM, as others find it.
type Entry struct {
	Name string `json:"name"`
	// PublicAddress is where callers connect, PeerAddress where entries do (HTTP/3), AdminAddress where
	// operators do; each IP:port.
	PublicAddress string `json:"public_address"`
	PeerAddress   string `json:"peer_address"`
	AdminAddress  string `json:"admin_address"`
	Place         string `json:"place"`
	FailureDomain string `json:"failure_domain"`
	// Incarnation is a new random value at each start of the process.
	Incarnation string `json:"incarnation"`
	// Fingerprint is the SHA-256 of the entry's TLS certificate, in hex.
	Fingerprint string `json:"fingerprint"`
	// Leaving is set when the entry takes itself out of the directory.
	Leaving bool   `json:"leaving,omitempty"`
	Nonce   string `json:"nonce"`
}
