package controller_test

import (
	"slices"

	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/vm"
)

// checkRest checks that after all of it what is wanted serves, and nothing else is held by any engine.
func (s *schedule) checkRest() {
	p := s.placement()
	wanted := min(s.services["chat"].Replicas, len(s.engines)/s.services["chat"].GroupSize)
	if len(p.Groups) != wanted {
		s.breaks("at rest: %d groups, not %d: %+v", len(p.Groups), wanted, p.Groups)
	}
	held := make(map[vm.Name]bool)
	for _, g := range p.Groups {
		for _, m := range g.Members {
			held[m.VM] = true
			state := s.engine(string(m.VM)).state
			if g.State != vm.Serving || state.Group != g.ID || state.Epoch != g.Epoch || state.BootID != m.BootID {
				s.breaks("at rest: member %+v of %+v", state, g)
			}
		}
	}
	for _, e := range s.engines {
		if !held[e.state.VM] && e.state.Group != "" {
			s.breaks("at rest: free VM %+v", e.state)
		}
	}
}

// checkHistory checks the placements one after the other, without the code that wrote them.
func (s *schedule) checkHistory() {
	before := vm.Placement{}
	gone := make(map[vm.GroupID]bool)
	for _, object := range s.placements() {
		p := decode[vm.Placement](object)
		s.checkVMs(p)
		if p.Epoch < before.Epoch || p.Fence < before.Fence {
			s.breaks("epoch or fence went down at version %d", object.Version)
		}
		if p.Controller != before.Controller && p.Epoch == before.Epoch {
			s.breaks("%s wrote at the epoch of %s", p.Controller, before.Controller)
		}
		for _, g := range p.Groups {
			if gone[g.ID] {
				s.breaks("group %s came back", g.ID)
			}
			old := before.Group(g.ID)
			if !follows(old, g.State) {
				s.breaks("group %s: %v to %s", g.ID, old, g.State)
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

// checkLoaded checks that each member of a group that is to serve had said that it was ready in it.
func (s *schedule) checkLoaded(g vm.Group) {
	for _, m := range g.Members {
		if !s.engine(string(m.VM)).readyIn[g.ID] {
			s.breaks("group %s serves, but %s was never ready in it", g.ID, m.VM)
		}
	}
}

func (s *schedule) checkVMs(p vm.Placement) {
	group := make(map[vm.Name]vm.GroupID)
	for _, g := range p.Groups {
		for _, m := range g.Members {
			if other, ok := group[m.VM]; ok {
				s.breaks("VM %s in groups %s and %s", m.VM, other, g.ID)
			}
			group[m.VM] = g.ID
		}
	}
}

func follows(old *vm.Group, state vm.GroupState) bool {
	if old == nil {
		return state == vm.Forming
	}
	life := []vm.GroupState{vm.Forming, vm.Loading, vm.Serving, vm.Draining}
	step := slices.Index(life, state) - slices.Index(life, old.State)
	return step == 0 || step == 1
}

// checkOrders checks that orders with one fencing number ask one thing of a VM. Otherwise an engine that
// checks fencing numbers could not tell which of two is the later one.
func (s *schedule) checkOrders() {
	type key struct {
		to    vm.Name
		fence uint64
	}
	first := make(map[key]engine.Order)
	for _, o := range s.orders {
		k := key{o.to, o.order.Fence}
		if other, ok := first[k]; ok && (other.Kind != o.order.Kind || other.Group != o.order.Group) {
			s.breaks("orders %+v and %+v to %s", other, o.order, o.to)
		}
		first[k] = o.order
	}
}
