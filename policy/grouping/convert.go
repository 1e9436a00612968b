package grouping

// This file gives VMs from a model that has more groups than its demand needs to one that turns callers away.
//
// Load pattern: the demand of the models changes, or losses hit one more than the other. The free VMs of a domain are too few for a group of
// the model that lacks them.
//
// What goes wrong without it: half of the VMs run groups that are nearly idle, while the callers of the other model are refused all day.
//
// A group is drained, so that nothing is cut, only for a model that lacks groups now and after what is under way, and only of a model that
// keeps more than it needs. Its VMs serve nobody for the time of a load.

// belowDemand says whether some groups are fewer than the requests of a model would fill.
func (d *decision) belowDemand(groups int, model Model) bool {
	return d.demandKnown() && float64(groups) < model.DemandGroups
}

// pendingGroups counts the domains that will have one more group of a model without further steps, but for loads.
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

// reservedForUnderserved says whether the free VMs of a domain are to make a group of a model that lacks groups.
func (d *decision) reservedForUnderserved(i int) bool {
	for _, model := range d.in.Models {
		if len(d.free[i]) >= model.Size && d.belowDemand(d.counts[model.Name], model) {
			return true
		}
	}
	return false
}

// planDrain plans at most one conversion.
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

// cheapestDrain returns the group whose VMs make one of a model with the fewest loads, or nil if there is none to spare.
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

// canSpare says whether a model keeps enough with one group less: what its requests fill, and one more where the other model has a group at
// least.
func (d *decision) canSpare(donor, recipient Model) bool {
	required := d.goal(donor)
	if d.counts[recipient.Name] > 0 {
		required += redundantGroups
	}
	return donor.Name != recipient.Name && float64(d.counts[donor.Name]-1) >= required
}
