package forming

import (
	"slices"
	"time"
)

// This file answers the fault pattern of a VM that works, but slowly: a throttled accelerator, a bad
// link. Every step of its group waits for it, so that one slow VM makes a whole replica slow, and probes
// see nothing wrong. Callers that land there miss their deadlines. The group is drained and formed anew
// without its slowest member, but only where that costs no replica: a slow one is better than none.

// Bounds for stragglers.
const (
	// SlowGroupFactor times the median time between tokens of its service is where a group counts as slow.
	// Groups of a service differ by load by some tens of percent; a factor of two is far outside.
	SlowGroupFactor = 2
	// SlowGroupMinDuration is how long it must stay slow: long prompts and cold caches make a group slow for seconds.
	SlowGroupMinDuration = 60 * time.Second
	// SlowGroupMinSamples is the least number of groups whose median says anything.
	SlowGroupMinSamples = 3
	// SlowMemberFactor times the median step time within the group is where a member stands out.
	SlowMemberFactor = 1.5
)

// slowGroups returns the ids of the view's serving groups that are slow for their service.
func slowGroups(v *View) map[string]bool {
	gaps := make(map[string][]time.Duration)
	collect := func(groups []Group) {
		for _, g := range groups {
			if g.State == Serving && g.TokenGap > 0 {
				gaps[g.Service] = append(gaps[g.Service], g.TokenGap)
			}
		}
	}
	collect(v.Groups)
	for _, d := range v.Others {
		collect(d.Groups)
	}
	slow := make(map[string]bool)
	for _, g := range v.Groups {
		known := gaps[g.Service]
		if g.State != Serving || len(known) < SlowGroupMinSamples {
			continue
		}
		if g.TokenGap > SlowGroupFactor*median(known) {
			slow[g.ID] = true
		}
	}
	return slow
}

// median returns the lower median. It may reorder values.
func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// drainStraggler drains at most one slow group of the domain at a time.
func (p *planner) drainStraggler() {
	if p.anyDraining() {
		return
	}
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if g.SlowFor < SlowGroupMinDuration || p.changed[g.ID] || !p.isServing(g) {
			continue
		}
		if p.drainSlowGroup(g) {
			return
		}
	}
}

// anyDraining says that some group of the domain drains, or is to by this plan.
func (p *planner) anyDraining() bool {
	for _, g := range p.view.Groups {
		if g.State == Draining {
			return true
		}
	}
	for _, s := range p.plan.Steps {
		if s.Kind == StepDrain {
			return true
		}
	}
	return false
}

func (p *planner) drainSlowGroup(g *Group) bool {
	s, ok := p.services[g.Service]
	if !ok || p.servingInAllDomains(s.Name) < s.Replicas {
		return false
	}
	if p.countFree(s) == 0 && p.activeGroups(s.Name) <= p.plan.Targets[s.Name] {
		p.plan.BlockedReasons[s.Name] = "a group is slow, and no VM is free to take its slowest member's place"
		return false
	}
	member := p.slowestMember(g)
	if member == "" {
		p.plan.BlockedReasons[s.Name] = "a group is slow, and no member of it stands out"
		return false
	}
	p.drain(g, member, member+" is slow")
	return true
}

// slowestMember returns the member that stands out in step time, or "".
func (p *planner) slowestMember(g *Group) string {
	times := make([]time.Duration, 0, len(g.Members))
	name := ""
	longest := time.Duration(0)
	for _, m := range g.Members {
		step := p.vms[m.VM].StepTime
		if step == 0 {
			return ""
		}
		times = append(times, step)
		if step > longest {
			name, longest = m.VM, step
		}
	}
	if len(times) > 1 && float64(longest) < SlowMemberFactor*float64(median(times)) {
		return ""
	}
	return name
}
