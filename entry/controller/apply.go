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

// writePlan writes the placement that results from the plan, if it differs from the current one. Nothing else of
// the plan takes effect before that write is confirmed.
func (r *reconciler) writePlan(ctx context.Context, view *forming.View) error {
	next := r.nextPlacement()
	if next == nil {
		return nil
	}
	if err := r.ensureFresh(ctx); err != nil {
		return err
	}
	before := r.placement
	if err := r.writePlacement(ctx, next); err != nil {
		return err
	}
	r.recordLoadStarts(view)
	r.recordStateChanges(before)
	return nil
}

// nextPlacement returns the placement that results from the plan's steps, or nil if nothing changes.
func (r *reconciler) nextPlacement() *vm.Placement {
	next := r.placement.Clone()
	next.Fence = max(next.Fence, r.highestFence())
	changed := next.Fence != r.placement.Fence
	for _, step := range r.plan.Steps {
		if r.applyStep(next, step) {
			changed = true
		}
	}
	if r.updateReport(next) || r.pruneAside(next) {
		changed = true
	}
	if !changed {
		return nil
	}
	return next
}

// highestFence returns the highest fencing number that any engine of the domain reports. It is higher than the
// placement's own only if the platform was restored to an older state.
func (r *reconciler) highestFence() uint64 {
	highest := uint64(0)
	for _, result := range r.probeResults {
		if result.responded {
			highest = max(highest, result.state.Fence)
		}
	}
	return highest
}

// applyStep applies one step of the plan to next and returns whether anything changed.
func (r *reconciler) applyStep(next *vm.Placement, step forming.Step) bool {
	if step.Kind == forming.StepForm {
		return r.applyForm(next, step)
	}
	group := next.Group(vm.GroupID(step.Group))
	if group == nil {
		return false
	}
	switch step.Kind {
	case forming.StepLoad:
		return r.applyLoad(next, group, step)
	case forming.StepServe:
		r.setGroupState(group, vm.Serving, step.Reason)
	case forming.StepDrain:
		next.Fence++
		group.Fence = next.Fence
		r.setGroupState(group, vm.Draining, step.Reason)
		r.setAside(next, step)
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

func (r *reconciler) setGroupState(group *vm.Group, state vm.GroupState, reason string) {
	group.State = state
	group.Reason = reason
	group.Since = r.c.Now().UnixMilli()
}

func (r *reconciler) applyForm(next *vm.Placement, step forming.Step) bool {
	model, version, _ := strings.Cut(step.Version, versionSeparator)
	group := vm.Group{
		ID:      vm.GroupID(step.Service + "-" + strings.ToLower(r.c.NewID())),
		Service: step.Service, Model: model, ModelVersion: version,
	}
	r.setGroupState(&group, vm.Forming, step.Reason)
	for _, name := range step.Members {
		listed, ok := r.listedVM(vm.Name(name))
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

// applyLoad records the boot id of each member that is to load. The new epoch and fencing number distinguish
// replies to this order from replies to earlier ones.
func (r *reconciler) applyLoad(next *vm.Placement, group *vm.Group, step forming.Step) bool {
	for i := range group.Members {
		result := r.probeResults[group.Members[i].VM]
		if !result.responded {
			return false
		}
		group.Members[i].BootID = result.state.BootID
	}
	next.Fence++
	group.Fence = next.Fence
	group.Epoch = next.Epoch
	r.setGroupState(group, vm.Loading, step.Reason)
	return true
}

func (r *reconciler) listedVM(name vm.Name) (vm.VM, bool) {
	i := slices.IndexFunc(r.vmList.VMs, func(v vm.VM) bool { return v.Name == name })
	if i < 0 {
		return vm.VM{}, false
	}
	return r.vmList.VMs[i], true
}

func (r *reconciler) setAside(next *vm.Placement, step forming.Step) {
	if step.VM == "" {
		return
	}
	next.Aside = append(next.Aside, vm.SetAsideVM{
		VM: vm.Name(step.VM), BootID: r.probeResults[vm.Name(step.VM)].state.BootID,
		Reason: step.Reason, Until: r.c.Now().Add(AsideDuration).UnixMilli(),
	})
}

// pruneAside removes from the aside list the VMs whose time is over, that restarted, or that are no longer
// listed. It returns whether it removed any.
func (r *reconciler) pruneAside(next *vm.Placement) bool {
	before := len(next.Aside)
	next.Aside = slices.DeleteFunc(next.Aside, func(a vm.SetAsideVM) bool {
		_, listed := r.listedVM(a.VM)
		result := r.probeResults[a.VM]
		return !listed || r.asideExpired(a) || (result.responded && result.state.BootID != a.BootID)
	})
	return len(next.Aside) != before
}

// updateReport sets the fields of the placement that the other controllers read and returns whether they changed.
func (r *reconciler) updateReport(next *vm.Placement) bool {
	count, accelerators := 0, 0
	for _, n := range r.plan.Live {
		count += n
	}
	for _, v := range r.vmList.VMs {
		if !v.Leaving && r.probeResults[v.Name].responded {
			accelerators += v.Accelerators
		}
	}
	position := next.Position
	if len(r.vmList.VMs) > 0 {
		position = r.vmList.VMs[0].Position
		position.FabricDomain = r.fabric
	}
	if maps.Equal(next.LiveByService, r.plan.Live) && next.Position == position {
		return false
	}
	next.LiveVMs = count
	next.LiveAccelerators = accelerators
	next.LiveByService = r.plan.Live
	next.Position = position
	return true
}

// recordLoadStarts counts the loads of the written plan against the pacing limit.
func (r *reconciler) recordLoadStarts(view *forming.View) {
	for _, step := range r.plan.Steps {
		if step.Kind != forming.StepLoad {
			continue
		}
		for _, s := range view.Services {
			if s.Name == step.Service {
				r.pacer.Started(r.now(), s, view.WaitingDomains())
			}
		}
	}
}

// recordStateChanges records a time line event for each group whose state changed.
func (r *reconciler) recordStateChanges(before *vm.Placement) {
	for _, g := range r.placement.Groups {
		if old := before.Group(g.ID); old == nil || old.State != g.State {
			r.recordState(g, string(g.State)+": "+g.Reason)
		}
	}
	for _, g := range before.Groups {
		if r.placement.Group(g.ID) == nil {
			r.recordState(g, "dissolved: "+r.dissolveReason(g.ID))
		}
	}
}

func (r *reconciler) dissolveReason(id vm.GroupID) string {
	for _, step := range r.plan.Steps {
		if step.Group == string(id) && step.Kind == forming.StepDissolve {
			return step.Reason
		}
	}
	return ""
}

func (r *reconciler) recordState(g vm.Group, detail string) {
	r.record(timeline.Event{Kind: timeline.GroupState, Group: string(g.ID), Service: g.Service, Detail: detail})
}
