package forming

import "slices"

// This file answers the fault pattern of single VMs that go for a while, in a place that has more VMs than
// the wanted groups need. A free VM lets a broken group load anew at once; without one, its survivors
// wait for the member to return. But a free VM stands idle until then.
//
// Whole groups' worth of free VMs are worth more as an extra group. It covers the death of any member in
// any domain, and without the time of a load; and once one of its own members dies, its survivors are as
// many spares. Both measures gain, so the weights don't decide this: keeping spares by weighing the one
// against the other was tried, and gave more downtime as well as more stranded accelerators
// (docs/measurements/forming.md). Spares are what does not fill a group, and what the settings ask for.

// requestedSpares is what the settings of all services that use the same VMs ask for in this domain.
func (p *planner) requestedSpares(s Service) int {
	asked := 0
	for _, other := range p.view.Services {
		if other.Name == s.Name || (!other.Dedicated && !s.Dedicated) {
			asked += p.domainSpares(other)
		}
	}
	return asked
}

// domainSpares is this domain's part of the spares of s: a spare helps only groups of its own domain, so they
// are spread like the groups are. Every controller works out the same parts, which add up to the whole.
func (p *planner) domainSpares(s Service) int {
	names := make([]string, 0, len(p.targets))
	total := 0
	for name, held := range p.targets {
		names = append(names, name)
		total += held[s.Name]
	}
	if total == 0 {
		return 0
	}
	slices.Sort(names)
	before := 0
	for _, name := range names {
		after := before + p.targets[name][s.Name]
		if name == p.view.Domain {
			return s.Spares*after/total - s.Spares*before/total
		}
		before = after
	}
	return 0
}
