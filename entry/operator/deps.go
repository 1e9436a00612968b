// Package operator is the operators' side of an entry: the HTTP API on the admin address, and the apply
// that makes a change of settings last.
//
// The flow of an apply: read the tree from the platform, merge the change into it, check the whole, write it
// on the condition that it is still at the version read, and only then say "accepted". Any entry can
// do it at any time; two that race are told apart by the platform's condition.
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

// Snapshots gives the settings in force at this entry.
type Snapshots interface {
	// Snapshot returns nil, or one of version 0, before the first.
	Snapshot() *settings.Snapshot
}

// Mirror is this entry's mirror of the platform's objects.
type Mirror interface {
	Get(kind platform.Kind, name string) (platform.Object, bool)
	// Version is the highest version seen of the object, 0 if none.
	Version(kind platform.Kind, name string) platform.Version
}

// Publisher takes in an object that this entry wrote or read, and spreads it.
type Publisher interface {
	Publish(object platform.Object)
}

// StatusSource reports all entries and groups, as this entry knows them or finds out. It leaves
// Status.Services to this package.
type StatusSource interface {
	Status(ctx context.Context) (admin.Status, error)
}

// TimelineSource collects events over all entries, oldest first.
type TimelineSource interface {
	Timeline(ctx context.Context, query admin.TimelineQuery) (admin.Timeline, error)
}

// QuarantineSource lists and lifts quarantined requests. Lift returns ErrNotQuarantined, or an error of the
// platform.
type QuarantineSource interface {
	Quarantined(ctx context.Context) ([]admin.QuarantinedRequest, error)
	Lift(ctx context.Context, service, fingerprint string) error
}

// VMLists gives the VMs as the platform lists them; they lag. An error means that they are not known.
type VMLists interface {
	VMLists(ctx context.Context) ([]vm.List, error)
}

// Recorder records events of the time line.
type Recorder interface {
	Record(e timeline.Event)
}

// Deps is what a Server works with. All are required but BootstrapKeyHash.
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
	// Metrics are the process's metrics, shown as JSON.
	Metrics metrics.Registry
	Log     logrus.FieldLogger
	Clock   func() time.Time
	// NewNonce makes the writer's mark of each write; no two may be equal.
	NewNonce func() string
	// BootstrapKeyHash is the hash of the token accepted while the platform holds no tree; empty: none.
	BootstrapKeyHash string
}
