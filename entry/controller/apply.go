package controller

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/skylarkpond/skylarkpond/policy/forming"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// write writes the placement that the plan makes, if it differs from the one that stands. It is the only
// change that a plan makes before its write is confirmed.
func (w *work) write(ctx context.Context, view *forming.View) error {
	next := w.next()
	if next == nil {
		return nil
	}
	if err := w.fresh(ctx); err != nil {
		return err
	}
	before := w.placement
	if err := w.put(ctx, next); err != nil {
		return err
	}
	w.noteLoads(view)
	w.recordStates(before)
	return nil
}

// next returns the placement after the plan's steps, or nil if nothing changes.
func (w *work) next() *vm.Placement {
	next := w.placement.Clone()
	next.Fence = max(next.Fence, w.highestFence())
	changed := next.Fence != w.placement.Fence
	for _, step := range w.plan.Steps {
		if w.apply(next, step) {
			changed = true
		}
	}
	if w.report(next) || w.dropAside(next) {
		changed = true
	}
	if !changed {
		return nil
	}
	return next
}

// highestFence is the highest fencing number that an engine of the domain says it has seen. It is above
// the placement's own only if the platform was set back to an older state.
func (w *work) highestFence() uint64 {
	highest := uint64(0)
	for _, answer := range w.states {
		if answer.ok {
			highest = max(highest, answer.state.Fence)
		}
	}
	return highest
}

// apply changes next by one step and returns whether anything changed.
func (w *work) apply(next *vm.Placement, step forming.Step) bool {
	if step.Kind == forming.StepForm {
		return w.applyForm(next, step)
	}
	group := next.Group(vm.GroupID(step.Group))
	if group == nil {
		return false
	}
	switch step.Kind {
	case forming.StepLoad:
		return w.applyLoad(next, group, step)
	case forming.StepServe:
		w.enter(group, vm.Serving, step.Reason)
	case forming.StepDrain:
		next.Fence++
		group.Fence = next.Fence
		w.enter(group, vm.Draining, step.Reason)
		w.setAside(next, step)
	case forming.StepDissolve:
		next.Fence++
		next.Groups = slices.DeleteFunc(next.Groups, func(g vm.Group) bool { return g.ID == group.ID })
	case forming.StepMark:
		group.NotWhole = step.NotWhole
		group.Reason = step.Reason
	default:
		return false
	}
	return true
}

func (w *work) enter(group *vm.Group, state vm.GroupState, reason string) {
	group.State = state
	group.Reason = reason
	group.Since = w.c.Now().UnixMilli()
}

func (w *work) applyForm(next *vm.Placement, step forming.Step) bool {
	model, version, _ := strings.Cut(step.Version, versionSeparator)
	group := vm.Group{
		ID:      vm.GroupID(step.Service + "-" + strings.ToLower(w.c.NewID())),
		Service: step.Service, Model: model, ModelVersion: version,
	}
	w.enter(&group, vm.Forming, step.Reason)
	for _, name := range step.Members {
		listed, ok := w.listedVM(vm.Name(name))
		if !ok {
			return false
		}
		group.Members = append(group.Members, vm.Member{
			VM: listed.Name, Address: listed.Address, Accelerators: listed.Accelerators,
		})
	}
	next.Groups = append(next.Groups, group)
	return true
}

// applyLoad names the boots that are to load. The epoch and the fencing number make answers to earlier
// orders tell apart.
func (w *work) applyLoad(next *vm.Placement, group *vm.Group, step forming.Step) bool {
	for i := range group.Members {
		answer := w.states[group.Members[i].VM]
		if !answer.ok {
			return false
		}
		group.Members[i].BootID = answer.state.BootID
	}
	next.Fence++
	group.Fence = next.Fence
	group.Epoch = next.Epoch
	w.enter(group, vm.Loading, step.Reason)
	return true
}

func (w *work) listedVM(name vm.Name) (vm.VM, bool) {
	i := slices.IndexFunc(w.list.VMs, func(v vm.VM) bool { return v.Name == name })
	if i < 0 {
		return vm.VM{}, false
	}
	return w.list.VMs[i], true
}

func (w *work) setAside(next *vm.Placement, step forming.Step) {
	if step.VM == "" {
		return
	}
	next.Aside = append(next.Aside, vm.Aside{
		VM: vm.Name(step.VM), BootID: w.states[vm.Name(step.VM)].state.BootID,
		Reason: step.Reason, Until: w.c.Now().Add(AsideDuration).UnixMilli(),
	})
}

// dropAside forgets VMs whose time aside is over, or that restarted or are no longer listed.
func (w *work) dropAside(next *vm.Placement) bool {
	before := len(next.Aside)
	next.Aside = slices.DeleteFunc(next.Aside, func(a vm.Aside) bool {
		_, listed := w.listedVM(a.VM)
		answer := w.states[a.VM]
		return !listed || w.asideOver(a) || (answer.ok && answer.state.BootID != a.BootID)
	})
	return len(next.Aside) != before
}

// report writes what the other controllers need to know, and returns whether it changed.
func (w *work) report(next *vm.Placement) bool {
	count, accelerators := 0, 0
	for _, n := range w.plan.Live {
		count += n
	}
	for _, v := range w.list.VMs {
		if !v.Leaving && w.states[v.Name].ok {
			accelerators += v.Accelerators
		}
	}
	position := next.Position
	if len(w.list.VMs) > 0 {
		position = w.list.VMs[0].Position
		position.FabricDomain = w.fabric
	}
	if maps.Equal(next.LiveByService, w.plan.Live) && next.Position == position {
		return false
	}
	next.LiveVMs = count
	next.LiveAccelerators = accelerators
	next.LiveByService = w.plan.Live
	next.Position = position
	return true
}

// noteLoads books the loads of the plan that was written.
func (w *work) noteLoads(view *forming.View) {
	for _, step := range w.plan.Steps {
		if step.Kind != forming.StepLoad {
			continue
		}
		for _, s := range view.Services {
			if s.Name == step.Service {
				w.pacer.Started(w.now(), s, view.WaitingDomains())
			}
		}
	}
}

// recordStates tells the time line which groups changed their state.
func (w *work) recordStates(before *vm.Placement) {
	for _, g := range w.placement.Groups {
		if old := before.Group(g.ID); old == nil || old.State != g.State {
			w.recordState(g, string(g.State)+": "+g.Reason)
		}
	}
	for _, g := range before.Groups {
		if w.placement.Group(g.ID) == nil {
			w.recordState(g, "dissolved: "+w.dissolvedBecause(g.ID))
		}
	}
}

func (w *work) dissolvedBecause(id vm.GroupID) string {
	for _, step := range w.plan.Steps {
		if step.Group == string(id) && step.Kind == forming.StepDissolve {
			return step.Reason
		}
	}
	return ""
}

func (w *work) recordState(g vm.Group, detail string) {
	w.record(timeline.Event{Kind: timeline.GroupState, Group: string(g.ID), Service: g.Service, Detail: detail})
}
