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

// ErrNotOwner and its kin say why a round ended early.
var (
	ErrNotOwner  = eris.New("fabric domain is owned by another entry")
	ErrTakenOver = eris.New("another entry took the fabric domain over")
	ErrOutdated  = eris.New("placement changed since it was read")
	// ErrNoSettings: without settings nothing is known to be wanted, and nothing to be unwanted either.
	ErrNoSettings = eris.New("no settings known yet")
	// ErrEmptyList: the list of VMs names none, while members of groups answer. It is not believed, or a
	// fault of the platform would drain every replica.
	ErrEmptyList = eris.New("the platform lists no VMs, but members answer")
)

// work is what one entry knows of one fabric domain. busy and status are guarded by Controller.mu; the
// rest belongs to the round under way.
type domainReconciler struct {
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
	// confirmed is when the last read or write of the placement that was confirmed was begun.
	confirmedAt time.Time
	// rivalSeen is when another entry was seen to have taken the domain.
	takenOverAt time.Time

	measuredAt         time.Time
	gauges             map[string]int
	lastRecordedDetail string
}

// probed is a probe answer.
type probeResult struct {
	responded bool
	state     engine.State
}

func newDomainReconciler(c *Controller, fabric domain.FabricDomain) *domainReconciler {
	return &domainReconciler{c: c, fabric: fabric, tracker: forming.NewTracker()}
}

// Reconcile does one round over a domain: it looks, decides, writes, and orders. It returns why the
// round ended early, or nil. What is left undone is done by a later round.
func (c *Controller) Reconcile(ctx context.Context, fabric domain.FabricDomain) error {
	r := c.acquire(fabric)
	if r == nil {
		return nil
	}
	err := r.round(ctx)
	r.roundErr = err
	c.release(r, !eris.Is(err, ErrNotOwner))
	return err // not w.problem: from end on, w is the next round's
}

func (r *domainReconciler) round(ctx context.Context) error {
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

// hold makes sure that the placement is known and is this entry's, and takes it over if it is not.
func (r *domainReconciler) ensureOwnership(ctx context.Context) error {
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

func (r *domainReconciler) ownsPlacement() bool {
	return r.placement.Controller == r.c.Membership.Self() && r.placement.Incarnation == r.c.Incarnation
}

// wasOurs says that this entry held the domain, and has thought without a break that it owns it. Whoever
// took it since thinks the same of itself, whether or not it is held dead here. A domain that this entry
// did not hold is taken at once.
func (r *domainReconciler) ownedBefore() bool { return r.plan.Targets != nil }

func (r *domainReconciler) takeOver(ctx context.Context) error {
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

func (r *domainReconciler) mirrorIsAhead() bool {
	for _, object := range r.c.Placements.Placements() {
		if object.Name == string(r.fabric) {
			return object.Version > r.version
		}
	}
	return false
}

// read reads the placement. One that does not exist yet is version 0 and empty.
func (r *domainReconciler) readPlacement(ctx context.Context) error {
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

func (r *domainReconciler) setPlacement(placement *vm.Placement, version platform.Version, startedAt time.Time) {
	r.placement = placement
	r.version = version
	r.confirmedAt = startedAt
}

// fresh returns nil if the entry may act on the placement that it holds: it owns the domain, and the
// placement was confirmed within MaxPlacementAge, by reading it again where need be.
//
// What goes wrong without it: a process that was paused for a minute goes on with the orders of a
// placement that its successor has long replaced. Engines that ignore fencing numbers would obey.
func (r *domainReconciler) ensureFresh(ctx context.Context) error {
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

func (r *domainReconciler) placementFresh() bool {
	return r.c.Now().Sub(r.confirmedAt) < MaxPlacementAge
}

// put writes a placement and adopts it once the write is confirmed. After any failure the placement is
// unknown: the next round reads it.
func (r *domainReconciler) writePlacement(ctx context.Context, next *vm.Placement) error {
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

// readList reads the VMs of the domain. During an outage of the platform the last list stands: nothing
// can be written then anyway.
func (r *domainReconciler) readVMList(ctx context.Context) error {
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

func (r *domainReconciler) anyMemberResponds() bool {
	for _, result := range r.probeResults {
		if result.responded {
			return true
		}
	}
	return false
}

func (r *domainReconciler) record(e timeline.Event) {
	e.Domain = string(r.fabric)
	r.c.Recorder.Record(e)
}
