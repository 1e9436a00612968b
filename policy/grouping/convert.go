package grouping

// This file moves VMs from a model that has more groups than its demand needs to one that refuses requests.
//
// Workload: the demand of the models shifts, or losses hit one model more than another. The free VMs of a domain are too few for a group of
// the model that lacks groups.
//
// Failure mode without this policy: half of the VMs run groups that are nearly idle, while requests for the other model are refused all day.
//
// A group is drained rather than closed, so that no request is cut off. That happens only for a model that lacks groups even after the
// pending ones are counted, and only to a model that keeps more groups than it needs. The VMs of the drained group serve no requests for the
// duration of a load.

// belowDemand reports whether the given number of groups is less than the requests of a model would fill.
func (d *decision) belowDemand(groups int, model Model) bool {
	return d.demandKnown() && float64(groups) < model.DemandGroups
}

// pendingGroups counts the domains that will get another group of a model without further decisions, apart from starting loads.
func (d *decision) pendingGroups(model Model) int {
	n := 0
	for i, domain := range d.in.Domains {
		loading := countStagedOrStaging(d.free[i], model.Name) >= model.Size
		if loading || (domain.DissolvingVMs > 0 && domain.DissolvingVMs+len(d.free[i]) >= model.Size) {
			n++
		}
	}
	return n
}

// reservedForUnderserved reports whether the free VMs of a domain are reserved for a group of a model that lacks groups.
func (d *decision) reservedForUnderserved(i int) bool {
	for _, model := range d.in.Models {
		if len(d.free[i]) >= model.Size && d.belowDemand(d.counts[model.Name], model) {
			return true
		}
	}
	return false
}

// planDrain plans at most one drain.
func (d *decision) planDrain() {
	for _, model := range d.in.Models {
		if !d.belowDemand(d.counts[model.Name]+d.pendingGroups(model), model) {
			continue
		}
		if best := d.cheapestDrain(model); best != nil {
			d.plan.Drain = append(d.plan.Drain, *best)
			return
		}
	}
}

// cheapestDrain returns the group to drain that lets the domain form a group of the model with the fewest loads, or nil if no group can be
// spared.
func (d *decision) cheapestDrain(model Model) *Drain {
	var best *Drain
	fewest := 0
	for i, domain := range d.in.Domains {
		free := len(d.free[i])
		if free >= model.Size || domain.DissolvingVMs > 0 {
			continue // it needs but loads, or is being converted
		}
		for _, donor := range d.in.Models {
			if d.groups[i][donor.Name] == 0 || !d.canSpare(donor, model) || free+donor.Size < model.Size {
				continue
			}
			loads := model.Size - countStagedOrStaging(d.free[i], model.Name)
			if best == nil || loads < fewest {
				best, fewest = &Drain{Domain: domain.Name, Model: donor.Name, Recipient: model.Name}, loads
			}
		}
	}
	return best
}

// canSpare reports whether the donor has enough groups after losing one: its goal, plus one redundant group unless the recipient has no
// group at all.
func (d *decision) canSpare(donor, recipient Model) bool {
	required := d.goal(donor)
	if d.counts[recipient.Name] > 0 {
		required += redundantGroups
	}
	return donor.Name != recipient.Name && float64(d.counts[donor.Name]-1) >= required
}
