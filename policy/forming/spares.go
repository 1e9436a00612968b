package forming

import "slices"

// Spares: VMs kept free so that a broken group can be formed again at once after a single VM fails. Without
// a free VM, the remaining members wait for the failed one to return; but a spare is idle until it is
// needed.
//
// If the free VMs suffice for a whole group, an extra group is worth more than spares. It covers the death
// of any member in any domain without the time of a load, and when one of its own members dies, the others
// serve as spares. Both costs go down, so the weights don't matter here. Keeping spares according to the
// weights was tried and gave more downtime as well as more stranded accelerators
// (docs/measurements/forming.md). The spares are therefore the VMs that do not fill a group, and those that
// the settings ask for.

// requestedSpares returns how many spares the settings ask for in this domain, summed over all services
// that can use the same VMs as s.
func (p *planner) requestedSpares(s Service) int {
	requested := 0
	for _, other := range p.view.Services {
		if other.Name == s.Name || (!other.Dedicated && !s.Dedicated) {
			requested += p.domainSpares(other)
		}
	}
	return requested
}

// domainSpares returns the part of the spares of s that this domain keeps. A spare helps only groups of its
// own domain, so spares are divided in proportion to the groups. Every controller computes the same parts,
// and they add up to s.Spares.
func (p *planner) domainSpares(s Service) int {
	names := make([]string, 0, len(p.targets))
	total := 0
	for name, groups := range p.targets {
		names = append(names, name)
		total += groups[s.Name]
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
