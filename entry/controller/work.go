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
type work struct {
	c      *Controller
	fabric domain.FabricDomain
	busy   bool
	status Status

	tracker *forming.Tracker
	pacer   forming.Pacer
	plan    forming.Plan
	problem error

	list   vm.List
	listed bool
	states map[vm.Name]probed

	placement *vm.Placement
	version   platform.Version
	// confirmed is when the last read or write of the placement that was confirmed was begun.
	confirmed time.Time
	// rivalSeen is when another entry was seen to have taken the domain.
	rivalSeen time.Time

	measured     time.Time
	gauges       map[string]int
	lastMeasured string
}

// probed is a probe answer.
type probed struct {
	ok    bool
	state engine.State
}

func newWork(c *Controller, fabric domain.FabricDomain) *work {
	return &work{c: c, fabric: fabric, tracker: forming.NewTracker()}
}

// Reconcile does one round over a domain: it looks, decides, writes, and orders. It returns why the
// round ended early, or nil. What is left undone is done by a later round.
func (c *Controller) Reconcile(ctx context.Context, fabric domain.FabricDomain) error {
	w := c.begin(fabric)
	if w == nil {
		return nil
	}
	err := w.round(ctx)
	w.problem = err
	c.end(w, !eris.Is(err, ErrNotOwner))
	return err // not w.problem: from end on, w is the next round's
}

func (w *work) round(ctx context.Context) error {
	if !w.c.owns(w.fabric) {
		return ErrNotOwner
	}
	if w.c.Settings() == nil {
		return ErrNoSettings
	}
	if err := w.hold(ctx); err != nil {
		return err
	}
	if err := w.readList(ctx); err != nil {
		return err
	}
	w.probeAll(ctx)
	if len(w.list.VMs) == 0 && w.anyAnswers() {
		return eris.Wrap(ErrEmptyList, string(w.fabric))
	}
	view := w.view()
	w.plan = forming.Decide(view)
	w.measure()
	if err := w.write(ctx, &view); err != nil {
		return err
	}
	return w.order(ctx)
}

// hold makes sure that the placement is known and is this entry's, and takes it over if it is not.
func (w *work) hold(ctx context.Context) error {
	if w.placement == nil || w.mirrorIsAhead() {
		if err := w.read(ctx); err != nil {
			return err
		}
	}
	if w.isOurs() {
		return nil
	}
	if w.wasOurs() {
		if w.rivalSeen.IsZero() {
			w.rivalSeen = w.c.Now()
		}
		if w.c.Now().Sub(w.rivalSeen) < ReclaimDelay {
			w.placement = nil
			return eris.Wrap(ErrTakenOver, string(w.fabric))
		}
	}
	return w.takeOver(ctx)
}

func (w *work) isOurs() bool {
	return w.placement.Controller == w.c.Membership.Self() && w.placement.Incarnation == w.c.Incarnation
}

// wasOurs says that this entry held the domain, and has thought without a break that it owns it. Whoever
// took it since thinks the same of itself, whether or not it is held dead here. A domain that this entry
// did not hold is taken at once.
func (w *work) wasOurs() bool { return w.plan.Targets != nil }

func (w *work) takeOver(ctx context.Context) error {
	next := w.placement.Clone()
	next.Epoch++
	if err := w.put(ctx, next); err != nil {
		return err
	}
	w.rivalSeen = time.Time{}
	w.tracker = forming.NewTracker()
	w.pacer = forming.Pacer{}
	w.record(timeline.Event{Kind: timeline.DomainTaken, Version: next.Epoch})
	return nil
}

func (w *work) mirrorIsAhead() bool {
	for _, object := range w.c.Placements.Placements() {
		if object.Name == string(w.fabric) {
			return object.Version > w.version
		}
	}
	return false
}

// read reads the placement. One that does not exist yet is version 0 and empty.
func (w *work) read(ctx context.Context) error {
	begun := w.c.Now()
	object, err := w.c.Store.Get(ctx, platform.KindPlacement, string(w.fabric))
	if err != nil && !eris.Is(err, platform.ErrNotFound) {
		return err
	}
	placement := &vm.Placement{}
	if err == nil {
		if err := json.Unmarshal(object.Value, placement); err != nil {
			return eris.Wrap(err, "placement")
		}
		w.c.OnPlacement(object)
	}
	w.adopt(placement, object.Version, begun)
	return nil
}

func (w *work) adopt(placement *vm.Placement, version platform.Version, begun time.Time) {
	w.placement = placement
	w.version = version
	w.confirmed = begun
}

// fresh returns nil if the entry may act on the placement that it holds: it owns the domain, and the
// placement was confirmed within MaxPlacementAge, by reading it again where need be.
//
// What goes wrong without it: a process that was paused for a minute goes on with the orders of a
// placement that its successor has long replaced. Engines that ignore fencing numbers would obey.
func (w *work) fresh(ctx context.Context) error {
	if !w.c.owns(w.fabric) {
		return ErrNotOwner
	}
	if w.mayAct() {
		return nil
	}
	version := w.version
	if err := w.read(ctx); err != nil {
		return err
	}
	if w.version != version {
		return eris.Wrap(ErrOutdated, string(w.fabric))
	}
	return nil
}

func (w *work) mayAct() bool { return w.c.Now().Sub(w.confirmed) < MaxPlacementAge }

// put writes a placement and adopts it once the write is confirmed. After any failure the placement is
// unknown: the next round reads it.
func (w *work) put(ctx context.Context, next *vm.Placement) error {
	next.Controller = w.c.Membership.Self()
	next.Incarnation = w.c.Incarnation
	next.Nonce = w.c.NewID()
	if err := next.Check(); err != nil {
		return err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "placement")
	}
	begun := w.c.Now()
	ctx, cancel := context.WithTimeout(ctx, WriteTimeout)
	defer cancel()
	version, err := platform.PutConfirmed(ctx, w.c.Store, platform.KindPlacement, string(w.fabric), w.version, value, next.Nonce)
	if err != nil {
		w.placement = nil
		return err
	}
	w.adopt(next, version, begun)
	w.c.OnPlacement(platform.Object{Kind: platform.KindPlacement, Name: string(w.fabric), Version: version, Value: value})
	w.record(timeline.Event{Kind: timeline.PlacementWritten, Version: uint64(version)})
	return nil
}

// readList reads the VMs of the domain. During an outage of the platform the last list stands: nothing
// can be written then anyway.
func (w *work) readList(ctx context.Context) error {
	object, err := w.c.Store.Get(ctx, platform.KindVMs, string(w.fabric))
	if eris.Is(err, platform.ErrNotFound) {
		w.list = vm.List{}
		w.listed = true
		return nil
	}
	if err != nil {
		if w.listed {
			return nil
		}
		return err
	}
	list := vm.List{}
	if err := json.Unmarshal(object.Value, &list); err != nil {
		return eris.Wrap(err, "vms")
	}
	w.list = list
	w.listed = true
	return nil
}

func (w *work) anyAnswers() bool {
	for _, answer := range w.states {
		if answer.ok {
			return true
		}
	}
	return false
}

func (w *work) record(e timeline.Event) {
	e.Domain = string(w.fabric)
	w.c.Recorder.Record(e)
}
