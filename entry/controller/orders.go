package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/policy/forming"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// pendingOrder is an order to be sent to one VM.
type pendingOrder struct {
	target  vm.Name
	address string
	order   engine.Order
}

// sendOrders sends the orders that the confirmed placement calls for. Orders are idempotent. If one is lost, the
// probes of the next round do not show its effect, and that round sends it again.
func (r *reconciler) sendOrders(ctx context.Context) error {
	orders := append(r.loadOrders(), r.releaseOrders()...)
	orders = append(orders, r.orphanReleaseOrders()...)
	if len(orders) == 0 {
		return nil
	}
	if err := r.ensureFresh(ctx); err != nil {
		return err
	}
	forEachConcurrently(orders, func(pending pendingOrder) { r.sendOrder(ctx, pending) })
	return nil
}

// loadOrders returns the orders to members of loading groups that have not yet followed theirs.
func (r *reconciler) loadOrders() []pendingOrder {
	var orders []pendingOrder
	for _, g := range r.placement.Groups {
		if g.State != vm.Loading {
			continue
		}
		names := make([]vm.Name, 0, len(g.Members))
		for _, m := range g.Members {
			names = append(names, m.VM)
		}
		for rank, m := range g.Members {
			if result := r.probeResults[m.VM]; !result.responded || result.state.BootID != m.BootID || inGroup(result.state, g) {
				continue
			}
			orders = append(orders, pendingOrder{target: m.VM, address: m.Address, order: engine.Order{
				ID: orderID(engine.OrderLoad, g.Fence, m.VM), Kind: engine.OrderLoad, Fence: g.Fence, BootID: m.BootID,
				DeadlineMillis: OrderDeadline.Milliseconds(), Group: g.ID, Epoch: g.Epoch, Service: g.Service,
				Model: g.Model, ModelVersion: g.ModelVersion, Rank: rank, Members: names,
			}})
		}
	}
	return orders
}

func inGroup(state engine.State, g vm.Group) bool {
	return state.Group == g.ID && state.Epoch == g.Epoch
}

// releaseOrders returns the orders to members of drained groups that still report being in the group.
func (r *reconciler) releaseOrders() []pendingOrder {
	var orders []pendingOrder
	for _, step := range r.plan.Steps {
		g := r.placement.Group(vm.GroupID(step.Group))
		if step.Kind != forming.StepRelease || g == nil {
			continue
		}
		for _, m := range g.Members {
			if result := r.probeResults[m.VM]; result.responded && result.state.Group == g.ID {
				orders = append(orders, newReleaseOrder(m.VM, m.Address, result.state.BootID, g.Fence))
			}
		}
	}
	return orders
}

// orphanReleaseOrders returns the orders to VMs that are in no group of the placement but report being in one:
// survivors of a dissolved group, or VMs that obeyed a late order of an earlier controller.
func (r *reconciler) orphanReleaseOrders() []pendingOrder {
	grouped := make(map[vm.Name]bool)
	for _, g := range r.placement.Groups {
		for _, m := range g.Members {
			grouped[m.VM] = true
		}
	}
	var orders []pendingOrder
	for _, v := range r.vmList.VMs {
		result := r.probeResults[v.Name]
		if !grouped[v.Name] && result.responded && result.state.Group != "" {
			orders = append(orders, newReleaseOrder(v.Name, v.Address, result.state.BootID, r.placement.Fence))
		}
	}
	return orders
}

func newReleaseOrder(to vm.Name, address string, boot vm.BootID, fence uint64) pendingOrder {
	return pendingOrder{target: to, address: address, order: engine.Order{
		ID: orderID(engine.OrderRelease, fence, to), Kind: engine.OrderRelease, Fence: fence, BootID: boot,
		DeadlineMillis: OrderDeadline.Milliseconds(),
	}}
}

func orderID(kind engine.OrderKind, fence uint64, to vm.Name) string {
	return fmt.Sprintf("%s-%d-%s", kind, fence, to)
}

// sendOrder sends one order, unless the entry has lost the domain or the placement is no longer fresh.
func (r *reconciler) sendOrder(ctx context.Context, pending pendingOrder) {
	if !r.placementFresh() || !r.c.owns(r.fabric) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	event := timeline.Event{
		Kind: timeline.OrderSent, VM: string(pending.target), Group: string(pending.order.Group), Version: pending.order.Fence,
		Detail: string(pending.order.Kind),
	}
	r.record(event)
	startedAt := r.c.Now()
	_, err := r.c.Engines.Order(ctx, pending.address, pending.order)
	if err == nil {
		return
	}
	event.Kind = timeline.OrderRefused
	event.Detail = eris.Cause(err).Error()
	event.Millis = r.c.Now().Sub(startedAt).Round(time.Millisecond).Milliseconds()
	r.record(event)
}
