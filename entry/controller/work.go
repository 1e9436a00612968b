package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/forming"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Errors that end a round early.
var (
	ErrNotOwner  = eris.New("fabric domain is owned by another entry")
	ErrTakenOver = eris.New("another entry took the fabric domain over")
	ErrOutdated  = eris.New("placement changed since it was read")
	// ErrNoSettings means that no settings are known, so neither wanted nor unwanted groups can be determined.
	ErrNoSettings = eris.New("no settings known yet")
	// ErrEmptyList means that the VM list is empty although members of groups respond. Such a list is ignored,
	// because a fault of the platform would otherwise drain every replica.
	ErrEmptyList = eris.New("the platform lists no VMs, but members answer")
)

// reconciler holds an entry's state of one fabric domain. Controller.mu guards inRound and status; the
// round in progress owns the other fields.
type reconciler struct {
	c       *Controller
	fabric  domain.FabricDomain
	inRound bool
	status  Status

	tracker  *forming.Tracker
	pacer    forming.Pacer
	plan     forming.Plan
	roundErr error

	vmList       vm.List
	vmListKnown  bool
	probeResults map[vm.Name]probeResult

	placement *vm.Placement
	version   platform.Version
	// confirmedAt is when the last confirmed read or write of the placement was started.
	confirmedAt time.Time
	// takenOverAt is when this entry noticed that another one had taken the domain over.
	takenOverAt time.Time

	measuredAt         time.Time
	gauges             map[string]int
	lastRecordedDetail string
}

// probeResult is the outcome of probing one VM.
type probeResult struct {
	responded bool
	state     engine.State
}

func newReconciler(c *Controller, fabric domain.FabricDomain) *reconciler {
	return &reconciler{c: c, fabric: fabric, tracker: forming.NewTracker()}
}

// Reconcile does one round over a domain: it probes the VMs, decides, writes the placement and sends orders. It
// returns the error that ended the round early, or nil, also if another round over the domain is in progress.
// A later round does what is left.
func (c *Controller) Reconcile(ctx context.Context, fabric domain.FabricDomain) error {
	r := c.acquire(fabric)
	if r == nil {
		return nil
	}
	err := r.round(ctx)
	r.roundErr = err
	c.release(r, !eris.Is(err, ErrNotOwner))
	return err // not r.roundErr: after release, r belongs to the next round
}

func (r *reconciler) round(ctx context.Context) error {
	if !r.c.owns(r.fabric) {
		return ErrNotOwner
	}
	if r.c.Settings() == nil {
		return ErrNoSettings
	}
	if err := r.ensureOwnership(ctx); err != nil {
		return err
	}
	if err := r.readVMList(ctx); err != nil {
		return err
	}
	r.probeAll(ctx)
	if len(r.vmList.VMs) == 0 && r.anyMemberResponds() {
		return eris.Wrap(ErrEmptyList, string(r.fabric))
	}
	view := r.buildView()
	r.plan = forming.Decide(view)
	r.updateMetrics()
	if err := r.writePlan(ctx, &view); err != nil {
		return err
	}
	return r.sendOrders(ctx)
}

// ensureOwnership reads the placement if necessary and takes the domain over if this entry does not hold it. It
// returns ErrTakenOver if this entry noticed less than ReclaimDelay ago that another one took the domain from it.
func (r *reconciler) ensureOwnership(ctx context.Context) error {
	if r.placement == nil || r.mirrorIsAhead() {
		if err := r.readPlacement(ctx); err != nil {
			return err
		}
	}
	if r.ownsPlacement() {
		return nil
	}
	if r.ownedBefore() {
		if r.takenOverAt.IsZero() {
			r.takenOverAt = r.c.Now()
		}
		if r.c.Now().Sub(r.takenOverAt) < ReclaimDelay {
			r.placement = nil
			return eris.Wrap(ErrTakenOver, string(r.fabric))
		}
	}
	return r.takeOver(ctx)
}

func (r *reconciler) ownsPlacement() bool {
	return r.placement.Controller == r.c.Membership.Self() && r.placement.Incarnation == r.c.Incarnation
}

// ownedBefore returns whether this entry has held the domain and considered itself the owner ever since. In that
// case the entry that took the domain over considers itself the owner too, whether or not it is live in this
// entry's view. A domain that this entry did not hold before is taken over at once.
func (r *reconciler) ownedBefore() bool { return r.plan.Targets != nil }

func (r *reconciler) takeOver(ctx context.Context) error {
	next := r.placement.Clone()
	next.Epoch++
	if err := r.writePlacement(ctx, next); err != nil {
		return err
	}
	r.takenOverAt = time.Time{}
	r.tracker = forming.NewTracker()
	r.pacer = forming.Pacer{}
	r.record(timeline.Event{Kind: timeline.DomainTaken, Version: next.Epoch})
	return nil
}

func (r *reconciler) mirrorIsAhead() bool {
	for _, object := range r.c.Placements.Placements() {
		if object.Name == string(r.fabric) {
			return object.Version > r.version
		}
	}
	return false
}

// readPlacement reads the placement. A placement that does not exist yet is empty and has version 0.
func (r *reconciler) readPlacement(ctx context.Context) error {
	startedAt := r.c.Now()
	object, err := r.c.Store.Get(ctx, platform.KindPlacement, string(r.fabric))
	if err != nil && !eris.Is(err, platform.ErrNotFound) {
		return err
	}
	placement := &vm.Placement{}
	if err == nil {
		if err := json.Unmarshal(object.Value, placement); err != nil {
			return eris.Wrap(err, "placement")
		}
		r.c.OnPlacement(object)
	}
	r.setPlacement(placement, object.Version, startedAt)
	return nil
}

func (r *reconciler) setPlacement(placement *vm.Placement, version platform.Version, startedAt time.Time) {
	r.placement = placement
	r.version = version
	r.confirmedAt = startedAt
}

// ensureFresh returns nil if the entry may act on the placement that it holds: it owns the domain, and the
// placement was confirmed within MaxPlacementAge. An older placement is read again and must be unchanged.
//
// Without this check, a process that was paused for a minute would go on to send the orders of a placement
// that its successor replaced long ago, and engines that ignore fencing numbers would obey them.
func (r *reconciler) ensureFresh(ctx context.Context) error {
	if !r.c.owns(r.fabric) {
		return ErrNotOwner
	}
	if r.placementFresh() {
		return nil
	}
	version := r.version
	if err := r.readPlacement(ctx); err != nil {
		return err
	}
	if r.version != version {
		return eris.Wrap(ErrOutdated, string(r.fabric))
	}
	return nil
}

func (r *reconciler) placementFresh() bool { return r.c.Now().Sub(r.confirmedAt) < MaxPlacementAge }

// writePlacement writes a placement and makes it the current one once the write is confirmed. After a failure
// the stored placement is unknown, and the next round reads it.
func (r *reconciler) writePlacement(ctx context.Context, next *vm.Placement) error {
	next.Controller = r.c.Membership.Self()
	next.Incarnation = r.c.Incarnation
	next.Nonce = r.c.NewID()
	if err := next.Check(); err != nil {
		return err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "placement")
	}
	startedAt := r.c.Now()
	ctx, cancel := context.WithTimeout(ctx, WriteTimeout)
	defer cancel()
	version, err := platform.PutConfirmed(ctx, r.c.Store, platform.KindPlacement, string(r.fabric), r.version, value, next.Nonce)
	if err != nil {
		r.placement = nil
		return err
	}
	r.setPlacement(next, version, startedAt)
	r.c.OnPlacement(platform.Object{Kind: platform.KindPlacement, Name: string(r.fabric), Version: version, Value: value})
	r.record(timeline.Event{Kind: timeline.PlacementWritten, Version: uint64(version)})
	return nil
}

// readVMList reads the list of the domain's VMs. During an outage of the platform the last list stays in use;
// no placement can be written then anyway.
func (r *reconciler) readVMList(ctx context.Context) error {
	object, err := r.c.Store.Get(ctx, platform.KindVMs, string(r.fabric))
	if eris.Is(err, platform.ErrNotFound) {
		r.vmList = vm.List{}
		r.vmListKnown = true
		return nil
	}
	if err != nil {
		if r.vmListKnown {
			return nil
		}
		return err
	}
	list := vm.List{}
	if err := json.Unmarshal(object.Value, &list); err != nil {
		return eris.Wrap(err, "vms")
	}
	r.vmList = list
	r.vmListKnown = true
	return nil
}

func (r *reconciler) anyMemberResponds() bool {
	for _, result := range r.probeResults {
		if result.responded {
			return true
		}
	}
	return false
}

func (r *reconciler) record(e timeline.Event) {
	e.Domain = string(r.fabric)
	r.c.Recorder.Record(e)
}
