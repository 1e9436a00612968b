// Package platform is the client of the platform's object API, the only persistent storage that
// skylarkpond uses.
//
// Objects are JSON values identified by a kind and a name. The Version of an object is the platform's
// global revision at the object's last change. It increases with every change and is never reused, not
// even for an object that is deleted and created again. Writes are conditional on the version that they
// replace.
//
// A write may take effect although its response is lost. Put then returns ErrUnconfirmed, and only a read
// reveals the outcome; PutConfirmed determines it by means of the writer's nonce.
package platform

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Kind identifies a type of object.
type Kind string

// Object kinds. docs/DESIGN.md lists the writer of each.
const (
	// KindVMs is read-only. It has one object per fabric domain, named after the domain; the value is a vm.List.
	KindVMs Kind = "vms"
	// KindSettings has a single object, named SettingsName.
	KindSettings Kind = "settings"
	// KindPlacement has one object per fabric domain; the value is a vm.Placement.
	KindPlacement Kind = "placement"
	// KindEntry has one object per entry; the value is an Entry.
	KindEntry Kind = "entry"
	// KindAttempt has one object per non-repeatable request, named "team/key".
	KindAttempt Kind = "attempt"
	// KindQuarantine has one object per service.
	KindQuarantine Kind = "quarantine"
)

// SettingsName is the name of the only object of KindSettings.
const SettingsName = "tree"

// Version is a global revision. 0 means that the object does not exist.
type Version uint64

// Object is an object at a specific version.
type Object struct {
	Kind    Kind            `json:"kind" cbor:"1,keyasint"`
	Name    string          `json:"name" cbor:"2,keyasint"`
	Version Version         `json:"version" cbor:"3,keyasint"`
	Value   json.RawMessage `json:"value,omitempty" cbor:"4,keyasint,omitempty"`
	// Deleted marks a deletion in the result of a watch or a list; Version is then the version of the deletion.
	Deleted bool `json:"deleted,omitempty" cbor:"5,keyasint,omitempty"`
	// Invalid is why the object can't be decoded; nil if it can. Such an object has no value. It is not passed on to other entries.
	Invalid error `json:"-" cbor:"-"`
}

// Changes is the result of a List or a Watch: objects, and the revision up to which they are complete.
type Changes struct {
	Objects  []Object `json:"objects"`
	Revision Version  `json:"revision"`
	// Complete means that Objects holds every object of the kind (after a List, or a Watch whose start was
	// compacted), so that an object not in it does not exist.
	Complete bool `json:"complete"`
}

// Errors returned by a Store. Every failure wraps one of them.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = eris.New("object not found")
	// ErrConflict means that the object is not at the version given in the write. This call changed nothing.
	ErrConflict = eris.New("object has another version")
	// ErrUnavailable means that the platform did not accept the call. It changed nothing.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrThrottled means that a rate limit rejected the call. It changed nothing.
	ErrThrottled = eris.New("platform call over the rate limit")
	// ErrUnconfirmed means that the write may have taken effect, or may still do so later.
	ErrUnconfirmed = eris.New("platform write unconfirmed")
	// ErrIncomplete means that the response to a read began, but ended early, took too long or was too large. Reading less may succeed. It is
	// always returned together with ErrUnavailable (errors.Is holds for both).
	ErrIncomplete = eris.New("platform response incomplete")
	// ErrTimeout means that the response to a read did not begin in time. It is always returned together with ErrUnavailable.
	ErrTimeout = eris.New("no platform response in time")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = eris.New("value too large for the platform")
)

// MaxValueBytes is the maximum size of a value on the platform.
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
	// Watch blocks until an object of the kind has changed after the given revision, or until the platform's
	// wait limit expires (it then returns no objects and the current revision).
	Watch(ctx context.Context, kind Kind, after Version) (Changes, error)
}

// Entry is the value of an object of KindEntry. It describes one entry to callers and to other entries.
type Entry struct {
	Name string `json:"name"`
	// PublicAddress serves callers, PeerAddress other entries (HTTP/3), and AdminAddress operators. Each is
	// an IP:port.
	PublicAddress string `json:"public_address"`
	PeerAddress   string `json:"peer_address"`
	AdminAddress  string `json:"admin_address"`
	Place         string `json:"place"`
	FailureDomain string `json:"failure_domain"`
	// Incarnation is a random value generated at each start of the process.
	Incarnation string `json:"incarnation"`
	// Fingerprint is the SHA-256 of the entry's TLS certificate in hex.
	Fingerprint string `json:"fingerprint"`
	// Leaving means that the entry is removing itself from the directory.
	Leaving bool   `json:"leaving,omitempty"`
	Nonce   string `json:"nonce"`
}
