package forming

import (
	"sort"
	"time"
)

// Repair of groups that lost a member permanently or for a long time. Dissolving every broken group at once
// and forming new ones from the free VMs would discard the state of replicas whose member returns, and
// would make every replica of a domain load again after a temporary outage of that domain. A broken group
// is therefore dissolved only when its remaining members complete another group, either its own successor
// with the help of free VMs, or a group with members of other broken groups. Until then it stays in the
// placement, and it is whole again as soon as its member returns with its state.

// ExcessGroupGrace is how long a group above the target exists before it is drained. The views of two
// controllers differ for some seconds after each change, and a drain can't be undone.
const ExcessGroupGrace = 10 * time.Second

// activeGroups counts the groups of a service in this domain that remain active after this plan.
func (p *planner) activeGroups(service string) int {
	count := p.formed[service]
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if g.Service == service && p.remainsActive(g) {
			count++
		}
	}
	return count
}

// remainsActive reports whether the group is a replica, or on the way to become one, after this plan.
func (p *planner) remainsActive(g *Group) bool {
	if g.State == Draining {
		return false
	}
	if _, ok := p.broken[g.ID]; ok {
		return false
	}
	return !p.endedByPlan(g.ID)
}

func (p *planner) endedByPlan(id string) bool {
	for _, s := range p.plan.Steps {
		if s.Group == id && (s.Kind == StepDrain || s.Kind == StepDissolve) {
			return true
		}
	}
	return false
}

// formMissing forms the groups that the targets ask for, for the service in greatest need first.
func (p *planner) formMissing() {
	for _, s := range p.servicesByNeed() {
		for p.activeGroups(s.Name) < p.plan.Targets[s.Name] {
			if p.form(s, "a replica is missing") {
				continue
			}
			if !p.dissolveBroken(s) {
				p.makeRoom(s)
				break
			}
		}
	}
	p.dissolveUnrecoverable()
}

func (p *planner) servicesByNeed() []Service {
	ordered := servicesByWeight(p.view.Services)
	sort.SliceStable(ordered, func(i, j int) bool {
		return p.need(ordered[i].Name) > p.need(ordered[j].Name)
	})
	return ordered
}

// dissolveBroken dissolves the broken group with the most members that s can use, provided that the usable
// members of all broken groups and the pool together suffice for a group of s.
func (p *planner) dissolveBroken(s Service) bool {
	available := p.countFree(s)
	var best *Group
	most := 0
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if _, ok := p.broken[g.ID]; !ok || p.changed[g.ID] {
			continue
		}
		survivors := p.usableMembers(g, s)
		available += survivors
		if survivors > most {
			best, most = g, survivors
		}
	}
	if best == nil || available < s.GroupSize {
		return false
	}
	p.dissolve(best, p.broken[best.ID].reason())
	return true
}

func (p *planner) usableMembers(g *Group, s Service) int {
	count := 0
	for _, m := range g.Members {
		if vm := p.vms[m.VM]; vm.usable() && eligible(vm, s) {
			count++
		}
	}
	return count
}

// dissolveUnrecoverable dissolves the broken groups that can't become whole again and that the plan has not
// changed yet.
func (p *planner) dissolveUnrecoverable() {
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		c, ok := p.broken[g.ID]
		if !ok || p.changed[g.ID] {
			continue
		}
		if c.unrecoverable() {
			p.dissolve(g, c.reason())
		}
	}
}

// makeRoom ends one group above the target of its service, to free VMs for a service that is missing a
// group. It does nothing if enough VMs are about to become free.
func (p *planner) makeRoom(s Service) {
	p.plan.BlockedReasons[s.Name] = "too few free VMs in the fabric domain"
	if p.freeOrDraining(s) >= s.GroupSize {
		return
	}
	for _, other := range p.servicesByNeed() {
		if other.Name == s.Name || p.activeGroups(other.Name) <= p.plan.Targets[other.Name] {
			continue
		}
		if g := p.leastUseful(other.Name); g != nil && p.usableMembers(g, s) > 0 {
			p.endGroup(g, "makes room for "+s.Name)
			return
		}
	}
}

// endExcess ends groups above the target if fewer VMs are free than the settings ask for as spares, or if
// the service has no use for extra groups. Otherwise an extra group is worth more than idle VMs, and
// makeRoom ends it once its VMs are needed.
func (p *planner) endExcess() {
	for _, s := range p.servicesByNeed() {
		for p.activeGroups(s.Name) > p.plan.Targets[s.Name] && p.excessUnwanted(s) {
			g := p.leastUseful(s.Name)
			if g == nil || g.InState < ExcessGroupGrace {
				break
			}
			p.endGroup(g, "more than the wanted replicas")
		}
	}
}

func (p *planner) excessUnwanted(s Service) bool {
	if p.rolling(s) || len(p.plan.BlockedReasons) > 0 {
		return false
	}
	return !s.wantsExtraGroups() || p.freeOrDraining(s) < p.requestedSpares(s)
}

// freeOrDraining counts the VMs eligible for s that are free, or become free once the draining groups are
// drained.
func (p *planner) freeOrDraining(s Service) int {
	count := p.countFree(s)
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if g.State == Draining || p.drainedByPlan(g.ID) {
			count += p.usableMembers(g, s)
		}
	}
	return count
}

func (p *planner) drainedByPlan(id string) bool {
	for _, s := range p.plan.Steps {
		if s.Group == id && s.Kind == StepDrain {
			return true
		}
	}
	return false
}

// leastUseful returns the group of a service that is furthest from serving or, if all serve, has the fewest
// requests in progress. It returns nil if none can be ended.
func (p *planner) leastUseful(service string) *Group {
	var worst *Group
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if g.Service != service || !p.remainsActive(g) || p.changed[g.ID] {
			continue
		}
		if worst == nil || usefulness(g) < usefulness(worst) {
			worst = g
		}
	}
	return worst
}

func usefulness(g *Group) int {
	switch g.State {
	case Forming:
		return -2
	case Loading:
		return -1
	}
	return g.InProgress
}

// endGroup drains a group that serves, and dissolves one that never did.
func (p *planner) endGroup(g *Group, reason string) {
	if g.State == Serving {
		p.drain(g, "", reason)
		return
	}
	p.dissolve(g, reason)
}

// updateNotWhole updates the NotWhole flag in the placement, from which the controllers of other fabric
// domains learn which groups are not whole.
func (p *planner) updateNotWhole() {
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		c, broken := p.broken[g.ID]
		if p.changed[g.ID] || g.State == Draining || broken == g.NotWhole {
			continue
		}
		if !broken && p.condition(g).worst != faultNone {
			continue
		}
		step := Step{Kind: StepMark, Group: g.ID, Service: g.Service, NotWhole: broken, Reason: "whole again"}
		if broken {
			step.Reason = c.reason()
		}
		p.addStep(step)
	}
}

// formExtra forms an extra group from free VMs beyond the spares. It forms one at a time, and none while a
// service lacks VMs or a rollout is in progress.
func (p *planner) formExtra() {
	if len(p.plan.BlockedReasons) > 0 {
		return
	}
	for _, s := range p.servicesByReplicaShare() {
		if p.rolling(s) {
			return
		}
	}
	for _, s := range p.servicesByReplicaShare() {
		if !s.wantsExtraGroups() || p.countFree(s)-s.GroupSize < p.requestedSpares(s) {
			continue
		}
		if p.form(s, "free VMs beyond the spares") {
			return
		}
	}
}

// countFree counts the VMs of the pool that are eligible for s.
func (p *planner) countFree(s Service) int {
	count := 0
	for _, vm := range p.pool {
		if eligible(vm, s) {
			count++
		}
	}
	return count
}

// servicesByReplicaShare orders services by the ratio of their groups in all domains to their wanted
// replicas, lowest first.
func (p *planner) servicesByReplicaShare() []Service {
	ordered := servicesByWeight(p.view.Services)
	share := func(s Service) float64 {
		count := p.activeGroups(s.Name)
		for _, d := range p.view.Others {
			for _, g := range d.Groups {
				if g.Service == s.Name && g.countsAsReplica() {
					count++
				}
			}
		}
		return float64(count) / float64(max(1, s.Replicas))
	}
	sort.SliceStable(ordered, func(i, j int) bool { return share(ordered[i]) < share(ordered[j]) })
	return ordered
}
