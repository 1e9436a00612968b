package controller_test

import (
	"slices"

	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/vm"
)

// checkConverged checks that the wanted groups serve and that no engine is in any other group.
func (s *schedule) checkConverged() {
	p := s.placement()
	wanted := min(s.services["chat"].Replicas, len(s.engines)/s.services["chat"].GroupSize)
	if len(p.Groups) != wanted {
		s.reportViolation("after convergence: %d groups, not %d: %+v", len(p.Groups), wanted, p.Groups)
	}
	held := make(map[vm.Name]bool)
	for _, g := range p.Groups {
		for _, m := range g.Members {
			held[m.VM] = true
			state := s.engine(string(m.VM)).state
			if g.State != vm.Serving || state.Group != g.ID || state.Epoch != g.Epoch || state.BootID != m.BootID {
				s.reportViolation("after convergence: member %+v of %+v", state, g)
			}
		}
	}
	for _, e := range s.engines {
		if !held[e.state.VM] && e.state.Group != "" {
			s.reportViolation("after convergence: free VM %+v", e.state)
		}
	}
}

// checkHistory checks the sequence of stored placements without using the code that wrote them.
func (s *schedule) checkHistory() {
	before := vm.Placement{}
	gone := make(map[vm.GroupID]bool)
	for _, object := range s.placements() {
		p := decode[vm.Placement](object)
		s.checkVMs(p)
		if p.Epoch < before.Epoch || p.Fence < before.Fence {
			s.reportViolation("epoch or fence went down at version %d", object.Version)
		}
		if p.Controller != before.Controller && p.Epoch == before.Epoch {
			s.reportViolation("%s wrote at the epoch of %s", p.Controller, before.Controller)
		}
		for _, g := range p.Groups {
			if gone[g.ID] {
				s.reportViolation("group %s came back", g.ID)
			}
			old := before.Group(g.ID)
			if !validTransition(old, g.State) {
				s.reportViolation("group %s: %v to %s", g.ID, old, g.State)
			}
			if old != nil && old.State == vm.Loading && g.State == vm.Serving {
				s.checkLoaded(g)
			}
		}
		for _, g := range before.Groups {
			gone[g.ID] = p.Group(g.ID) == nil
		}
		before = p
	}
}

// checkLoaded checks that each member of a group that starts to serve had reported that it was ready in it.
func (s *schedule) checkLoaded(g vm.Group) {
	for _, m := range g.Members {
		if !s.engine(string(m.VM)).readyIn[g.ID] {
			s.reportViolation("group %s serves, but %s was never ready in it", g.ID, m.VM)
		}
	}
}

func (s *schedule) checkVMs(p vm.Placement) {
	group := make(map[vm.Name]vm.GroupID)
	for _, g := range p.Groups {
		for _, m := range g.Members {
			if other, ok := group[m.VM]; ok {
				s.reportViolation("VM %s in groups %s and %s", m.VM, other, g.ID)
			}
			group[m.VM] = g.ID
		}
	}
}

func validTransition(old *vm.Group, state vm.GroupState) bool {
	if old == nil {
		return state == vm.Forming
	}
	order := []vm.GroupState{vm.Forming, vm.Loading, vm.Serving, vm.Draining}
	step := slices.Index(order, state) - slices.Index(order, old.State)
	return step == 0 || step == 1
}

// checkOrders checks that all orders to a VM with the same fencing number ask for the same thing. Otherwise an
// engine that checks fencing numbers could not tell which of two orders is the later one.
func (s *schedule) checkOrders() {
	type key struct {
		to    vm.Name
		fence uint64
	}
	first := make(map[key]engine.Order)
	for _, o := range s.orders {
		k := key{o.to, o.order.Fence}
		if other, ok := first[k]; ok && (other.Kind != o.order.Kind || other.Group != o.order.Group) {
			s.reportViolation("orders %+v and %+v to %s", other, o.order, o.to)
		}
		first[k] = o.order
	}
}
