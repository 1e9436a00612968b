package forming

import (
	"math"
	"slices"
)

// This file answers the fault pattern of single VMs that go for a while. With a free VM beside it, a
// group that lost a member is whole again after one load; without, its survivors wait for the member to
// return. But a free VM is an accelerator that stands idle, and enough of them would make another
// replica, which also covers for one that is down. The weights of the settings decide: a spare is kept
// while the downtime that it saves is worth more than what stands idle.

// OutShare is the share of time for which a VM is away: over a fleet of 2,520 VMs, 14 a day fail and are
// back after about two hours, and 360 are restarted or replaced and away for about five minutes, which
// makes 28 h + 30 h of 60,480 VM-hours.
const OutShare = 0.001

// sparesWorth returns how many free VMs are worth more idle than in an extra group, for a domain of vms
// VMs with the given accelerators each. The j-th spare is in use while at least j VMs are away, which
// for VMs that go independently is a Poisson tail. Common causes (a rack) take more than any number of
// spares, so they don't count here.
func sparesWorth(s Service, vms, accelerators int) int {
	mean := OutShare * float64(vms)
	below := math.Exp(-mean)
	term := below
	spares := 0
	for spares < vms {
		used := 1 - below
		if s.DowntimeWeight*used <= s.StrandedWeight*float64(accelerators) {
			break
		}
		spares++
		term *= mean / float64(spares)
		below += term
		if used <= 0 {
			break
		}
	}
	return spares
}

// sparesWanted returns how many VMs that fit s the domain should keep free: what the weights say, or what the
// settings ask for if that is more.
func (p *planner) sparesWanted(s Service, accelerators int) int {
	return max(p.sparesAsked(s), sparesWorth(s, len(p.view.VMs), accelerators))
}

// sparesAsked is what the settings of all services that use the same VMs ask for in this domain.
func (p *planner) sparesAsked(s Service) int {
	asked := 0
	for _, other := range p.view.Services {
		if other.Name == s.Name || (!other.Dedicated && !s.Dedicated) {
			asked += p.spareShare(other)
		}
	}
	return asked
}

// spareShare is this domain's part of the spares of s: a spare helps only groups of its own domain, so they
// are spread like the groups are. Every controller works out the same parts, which add up to the whole.
func (p *planner) spareShare(s Service) int {
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
