package forming

import (
	"slices"
	"time"
)

// Stragglers: VMs that work but are slow, for example because of a throttled accelerator or a bad link.
// Every step of a group waits for its slowest member, so that one slow VM slows the whole replica; its
// callers miss their deadlines while all probes succeed. A slow group is drained and formed again without
// its slowest member, but only where that costs no replica: a slow replica is better than none.

// Thresholds for the detection of stragglers.
const (
	// SlowGroupFactor is the multiple of the median time between tokens of its service above which a group
	// is slow. The groups of a service differ by some tens of percent under load; a factor of two is far
	// outside that range.
	SlowGroupFactor = 2
	// SlowGroupMinDuration is how long a group must stay slow before it is drained. Long prompts and cold
	// caches slow a group down for seconds.
	SlowGroupMinDuration = 60 * time.Second
	// SlowGroupMinSamples is the least number of groups with a known time between tokens for which the
	// median is meaningful.
	SlowGroupMinSamples = 3
	// SlowMemberFactor is the multiple of the median step time in its group from which a member is a
	// straggler.
	SlowMemberFactor = 1.5
)

// slowGroups returns the IDs of the serving groups of the view that are slow compared with the other groups
// of their service.
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

// drainStraggler drains a slow group and sets its slowest member aside, at most one group of the domain at
// a time.
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

// anyDraining reports whether any group of the domain is draining, or is to be drained by this plan.
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

// slowestMember returns the member with the longest step time if it is a straggler. It returns "" if none
// is, or if a step time is unknown.
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
