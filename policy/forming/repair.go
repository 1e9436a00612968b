package forming

import (
	"sort"
	"time"
)

// This file answers the fault pattern of groups that lost a member for good, or for long. The plain
// answer, to dissolve each broken group and form new ones from whatever is free, throws away the state
// of replicas that would have come back whole, and in a domain that went dark and returned it makes
// every replica load anew. Here a broken group is taken apart only when its survivors make another
// group whole: with a free VM its own successor, or with the survivors of other broken groups. Until
// then it stays listed, and is whole again the moment its member returns with its state.

// ExcessGroupGrace is how long a group above the target stands before it is drained: the views of two
// controllers differ for some seconds after each change, and a drain can't be undone.
const ExcessGroupGrace = 10 * time.Second

// activeGroups counts the groups of a service here that are or will be a replica, after this plan.
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

// remainsActive says that the group is or will be a replica after this plan.
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

// formMissing forms what the target wants, for the service in greatest need first.
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

// dissolveBroken dissolves the broken group with the most survivors that s can use, if the survivors of all
// broken groups and the pool together make a group of s.
func (p *planner) dissolveBroken(s Service) bool {
	have := p.countFree(s)
	var best *Group
	most := 0
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if _, ok := p.broken[g.ID]; !ok || p.changed[g.ID] {
			continue
		}
		survivors := p.usableMembers(g, s)
		have += survivors
		if survivors > most {
			best, most = g, survivors
		}
	}
	if best == nil || have < s.GroupSize {
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

// dissolveUnrecoverable dissolves broken groups that can't come back as they were, and that nothing has used.
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

// makeRoom ends one group that is above the target of its service, for a service that misses one, unless
// VMs are on their way already.
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

// endExcess ends groups above the target, where the settings ask for spares that are missing, or weigh nothing.
// Elsewhere an extra group is worth more than idle VMs, and makes room once its VMs are wanted.
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

// freeOrDraining counts the VMs that s can use and that are free, or will be once what drains is drained.
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

// leastUseful returns the group of a service that is furthest from serving, or has the least in progress.
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

// updateNotWhole tells the controllers of other fabric domains which groups are not whole.
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

// formExtra turns free VMs beyond the spares into a group more than is wanted. One at a time, and not while
// anything else is in need of VMs.
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

// countFree counts the pool's VMs that fit s.
func (p *planner) countFree(s Service) int {
	count := 0
	for _, vm := range p.pool {
		if eligible(vm, s) {
			count++
		}
	}
	return count
}

// servicesByReplicaShare orders services by how many groups they have for their wish, fewest first.
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
