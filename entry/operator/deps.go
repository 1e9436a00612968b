// Package operator implements the operators' HTTP API on an entry's admin address, including the apply operation
// that changes the settings.
//
// An apply reads the settings tree from the platform, merges the change into it, validates the result, writes it
// on condition that the tree is still at the version that was read, and only then reports "accepted". Every entry
// can do this at any time; the conditional write serializes concurrent applies.
package operator

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Snapshots provides the settings in force at this entry.
type Snapshots interface {
	// Snapshot returns nil or a snapshot of version 0 until the first settings are in force.
	Snapshot() *settings.Snapshot
}

// Mirror is this entry's local copy of the platform's objects.
type Mirror interface {
	Get(kind platform.Kind, name string) (platform.Object, bool)
	// Version returns the highest version seen of the object, or 0 if it is unknown.
	Version(kind platform.Kind, name string) platform.Version
}

// Publisher stores an object that this entry wrote or read in the mirror and sends it to the other entries.
type Publisher interface {
	Publish(object platform.Object)
}

// StatusSource reports the status of all entries and groups. It leaves Status.Services empty; this package fills
// it in.
type StatusSource interface {
	Status(ctx context.Context) (admin.Status, error)
}

// TimelineSource collects time line events from all entries, oldest first.
type TimelineSource interface {
	Timeline(ctx context.Context, query admin.TimelineQuery) (admin.Timeline, error)
}

// QuarantineSource lists quarantined requests and releases them. Lift returns ErrNotQuarantined if there is no
// such request, or an error of the platform.
type QuarantineSource interface {
	Quarantined(ctx context.Context) ([]admin.QuarantinedRequest, error)
	Lift(ctx context.Context, service, fingerprint string) error
}

// VMLists provides the platform's lists of VMs, which lag behind the actual state. An error means that the lists
// are unavailable.
type VMLists interface {
	VMLists(ctx context.Context) ([]vm.List, error)
}

// Recorder records time line events.
type Recorder interface {
	Record(e timeline.Event)
}

// Deps holds the dependencies of a Server. All are required except BootstrapKeyHash.
type Deps struct {
	// Entry is this entry's name.
	Entry      string
	Store      platform.Store
	Snapshots  Snapshots
	Mirror     Mirror
	Publisher  Publisher
	Status     StatusSource
	Timeline   TimelineSource
	Quarantine QuarantineSource
	VMs        VMLists
	Recorder   Recorder
	// Metrics holds the process's metrics, which the API returns as JSON.
	Metrics metrics.Registry
	Log     logrus.FieldLogger
	Clock   func() time.Time
	// NewNonce returns a unique value that identifies each write.
	NewNonce func() string
	// BootstrapKeyHash is the hash of the token accepted while the platform holds no settings tree. If it is
	// empty, no such token is accepted.
	BootstrapKeyHash string
}
