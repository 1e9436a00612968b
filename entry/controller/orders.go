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

// sending is one order to one VM.
type sending struct {
	to      vm.Name
	address string
	order   engine.Order
}

// order sends what the confirmed placement calls for. Orders are idempotent: one that was lost is sent
// again by the next round, since the probe does not show what it asks for.
func (w *work) order(ctx context.Context) error {
	orders := append(w.loadOrders(), w.releaseOrders()...)
	orders = append(orders, w.strayOrders()...)
	if len(orders) == 0 {
		return nil
	}
	if err := w.fresh(ctx); err != nil {
		return err
	}
	each(orders, func(s sending) { w.send(ctx, s) })
	return nil
}

// loadOrders go to members of loading groups that have not taken theirs.
func (w *work) loadOrders() []sending {
	var orders []sending
	for _, g := range w.placement.Groups {
		if g.State != vm.Loading {
			continue
		}
		names := make([]vm.Name, 0, len(g.Members))
		for _, m := range g.Members {
			names = append(names, m.VM)
		}
		for rank, m := range g.Members {
			if answer := w.states[m.VM]; !answer.ok || answer.state.BootID != m.BootID || joined(answer.state, g) {
				continue
			}
			orders = append(orders, sending{to: m.VM, address: m.Address, order: engine.Order{
				ID: orderID(engine.OrderLoad, g.Fence, m.VM), Kind: engine.OrderLoad, Fence: g.Fence, BootID: m.BootID,
				DeadlineMillis: OrderDeadline.Milliseconds(), Group: g.ID, Epoch: g.Epoch, Service: g.Service,
				Model: g.Model, ModelVersion: g.ModelVersion, Rank: rank, Members: names,
			}})
		}
	}
	return orders
}

func joined(state engine.State, g vm.Group) bool {
	return state.Group == g.ID && state.Epoch == g.Epoch
}

// releaseOrders go to members of drained groups that still have the group's state.
func (w *work) releaseOrders() []sending {
	var orders []sending
	for _, step := range w.plan.Steps {
		g := w.placement.Group(vm.GroupID(step.Group))
		if step.Kind != forming.StepRelease || g == nil {
			continue
		}
		for _, m := range g.Members {
			if answer := w.states[m.VM]; answer.ok && answer.state.Group == g.ID {
				orders = append(orders, release(m.VM, m.Address, answer.state.BootID, g.Fence))
			}
		}
	}
	return orders
}

// strayOrders go to VMs that are in no group of the placement but say they are in one: survivors of a
// group that was dissolved, or VMs that obeyed a late order of an earlier controller.
func (w *work) strayOrders() []sending {
	taken := make(map[vm.Name]bool)
	for _, g := range w.placement.Groups {
		for _, m := range g.Members {
			taken[m.VM] = true
		}
	}
	var orders []sending
	for _, v := range w.list.VMs {
		answer := w.states[v.Name]
		if !taken[v.Name] && answer.ok && answer.state.Group != "" {
			orders = append(orders, release(v.Name, v.Address, answer.state.BootID, w.placement.Fence))
		}
	}
	return orders
}

func release(to vm.Name, address string, boot vm.BootID, fence uint64) sending {
	return sending{to: to, address: address, order: engine.Order{
		ID: orderID(engine.OrderRelease, fence, to), Kind: engine.OrderRelease, Fence: fence, BootID: boot,
		DeadlineMillis: OrderDeadline.Milliseconds(),
	}}
}

func orderID(kind engine.OrderKind, fence uint64, to vm.Name) string {
	return fmt.Sprintf("%s-%d-%s", kind, fence, to)
}

// send sends one order, unless the placement was confirmed too long ago meanwhile.
func (w *work) send(ctx context.Context, s sending) {
	if !w.mayAct() || !w.c.owns(w.fabric) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	event := timeline.Event{
		Kind: timeline.OrderSent, VM: string(s.to), Group: string(s.order.Group), Version: s.order.Fence,
		Detail: string(s.order.Kind),
	}
	w.record(event)
	begun := w.c.Now()
	_, err := w.c.Engines.Order(ctx, s.address, s.order)
	if err == nil {
		return
	}
	event.Kind = timeline.OrderRefused
	event.Detail = eris.Cause(err).Error()
	event.Millis = w.c.Now().Sub(begun).Round(time.Millisecond).Milliseconds()
	w.record(event)
}
