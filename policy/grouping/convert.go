package grouping

import (
	"cmp"
	"slices"
)

// This file moves VMs from a model that has more groups than its demand needs to one that refuses requests.
//
// Workload: the demand of the models shifts, or losses hit one model more than another. The free VMs of a domain are too few for a group of
// the model that lacks groups.
//
// Failure mode without this policy: half of the VMs run groups that are nearly idle, while requests for the other model are refused all day.
//
// A group is drained rather than closed, so that no request is cut off. That happens only for a model that lacks groups even after the
// pending ones are counted, and only to a model that keeps the groups that its requests fill. The hosts of the groups to drain load the other
// model's weights while the groups are still serving, so that their VMs serve no requests only while they drain and join.

// belowDemand reports whether the given number of groups is less than the requests of a model would fill.
func (d *decision) belowDemand(groups int, model Model) bool {
	return d.demandKnown() && float64(groups) < model.DemandGroups
}

// lacksGroup reports whether a model with the given number of groups is nearer to its goal with one more.
func (d *decision) lacksGroup(groups int, model Model) bool {
	return d.demandKnown() && d.goal(model)-float64(groups) >= 0.5
}

// dissolvingGroups counts the domains that get another group of a model once the groups that are being dissolved have ended.
func (d *decision) dissolvingGroups(model Model) int {
	n := 0
	for i, domain := range d.in.Domains {
		if domain.DissolvingVMs > 0 && domain.DissolvingVMs+len(d.free[i]) >= model.Size {
			n++
		}
	}
	return n
}

// loadingGroups counts the groups of a model that can be formed in the other domains once the loads in progress have ended.
func (d *decision) loadingGroups(model Model) int {
	n := 0
	for i, domain := range d.in.Domains {
		if domain.DissolvingVMs == 0 {
			n += countReadySoon(d.free[i], model.Name) / model.Size
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

// conversion is the replacement of one or more groups of a domain by a group of another model.
type conversion struct {
	domain int
	// donors are the groups to drain.
	donors []ServingGroup
	// missing is the number of VMs that are not ready for the recipient yet, and loads the number of those that no load in progress makes
	// ready.
	missing, loads int
}

// planDrains starts at most one conversion whose hosts have all weights.
func (d *decision) planDrains() {
	for _, model := range d.in.Models {
		pending := d.dissolvingGroups(model)
		if !d.lacksGroup(d.counts[model.Name]+pending, model) {
			continue
		}
		if best := d.bestConversion(model, pending); best != nil && best.missing == 0 {
			d.drainDonors(best, model, false)
			return
		}
	}
	if best, recipient := d.surplusConversion(); best != nil && best.missing == 0 {
		d.drainDonors(best, recipient, true)
	}
}

func (d *decision) drainDonors(c *conversion, recipient Model, ahead bool) {
	d.converting[c.domain] = true
	for _, group := range c.donors {
		d.plan.Drain = append(d.plan.Drain, Drain{
			Domain: d.in.Domains[c.domain].Name, Head: group.Head, Model: group.Model, Recipient: recipient.Name, Ahead: ahead,
		})
	}
}

// planConversions loads the weights for conversions that are worth it.
func (d *decision) planConversions() {
	for _, model := range d.in.Models {
		pending := d.dissolvingGroups(model) + d.loadingGroups(model)
		for ; d.lacksGroup(d.counts[model.Name]+pending, model); pending++ {
			best := d.bestConversion(model, pending)
			if best == nil {
				break
			}
			d.converting[best.domain] = true
			for _, vm := range d.hostsToLoad(best, model) {
				d.stageVM(best.domain, vm, model)
			}
		}
	}
}

// bestConversion returns the conversion that misses the fewest weights, or nil if no groups can be spared.
func (d *decision) bestConversion(recipient Model, pending int) *conversion {
	var best *conversion
	for i := range d.in.Domains {
		for _, donor := range d.in.Models {
			c := d.conversion(i, donor, recipient, pending)
			if c != nil && (best == nil || c.missing < best.missing) {
				best = c
			}
		}
	}
	return best
}

// conversion returns the conversion of a domain's groups of the donor, or nil if there are too few or they are worth more than a group of
// the recipient beyond the pending ones.
func (d *decision) conversion(i int, donor, recipient Model, pending int) *conversion {
	free := d.free[i]
	if d.in.Domains[i].DissolvingVMs > 0 || d.converting[i] {
		return nil
	}
	groups := max(1, (recipient.Size-len(free)+donor.Size-1)/donor.Size)
	spare := d.belowDemand(d.counts[recipient.Name]+pending, recipient) && d.canSpare(donor, recipient, groups)
	if !spare && !d.worthConverting(donor, recipient, groups, pending) {
		return nil
	}
	donors := d.byReadiness(i, donor, recipient)
	if len(donors) < groups {
		return nil
	}
	c := &conversion{domain: i, donors: donors[:groups]}
	ready, readySoon := countReady(free, recipient.Name), countReadySoon(free, recipient.Name)
	for _, group := range c.donors {
		ready += countReady(group.VMs, recipient.Name)
		readySoon += countReadySoon(group.VMs, recipient.Name)
	}
	c.missing, c.loads = max(0, recipient.Size-ready), max(0, recipient.Size-readySoon)
	if len(free) >= recipient.Size && c.missing > 0 {
		return nil // the free VMs only need loads
	}
	return c
}

// hostsToLoad returns the VMs of a conversion whose hosts need the recipient's weights: empty hosts first, those with weights that a loss may
// need last. A head comes after the other VMs, because its group can't be closed while it executes an order.
func (d *decision) hostsToLoad(c *conversion, recipient Model) []VM {
	var empty, others, heads, staged []VM
	for _, vm := range d.free[c.domain] {
		if vm.Staged == "" {
			empty = append(empty, vm)
		} else {
			staged = append(staged, vm)
		}
	}
	for _, group := range c.donors {
		others = append(others, group.VMs[1:]...)
		heads = append(heads, group.VMs[0])
	}
	hosts := slices.DeleteFunc(slices.Concat(empty, others, heads, staged), func(vm VM) bool {
		return vm.Staging != "" || vm.ready(recipient.Name)
	})
	return hosts[:min(len(hosts), c.loads)]
}

// byReadiness returns a domain's serving groups of the donor, those with the most hosts with the recipient's weights first.
func (d *decision) byReadiness(i int, donor, recipient Model) []ServingGroup {
	var groups []ServingGroup
	for _, group := range d.serving[i] {
		if group.Model == donor.Name && len(group.VMs) > 0 {
			groups = append(groups, group)
		}
	}
	slices.SortStableFunc(groups, func(a, b ServingGroup) int {
		return cmp.Compare(countReadySoon(b.VMs, recipient.Name), countReadySoon(a.VMs, recipient.Name))
	})
	return groups
}

// canSpare reports whether the donor has enough groups after losing the given number: its goal, plus one redundant group unless the
// recipient has no group at all.
func (d *decision) canSpare(donor, recipient Model, groups int) bool {
	required := d.goal(donor)
	if d.counts[recipient.Name] > 0 {
		required += redundantGroups
	}
	return donor.Name != recipient.Name && float64(d.counts[donor.Name]-groups) >= required
}

// worthConverting reports whether one more group of the recipient is worth more than the given number of groups of the donor, which keeps
// enough groups for its requests. Most of the recipient's VMs are often free already: the survivors of a group that lost a member.
func (d *decision) worthConverting(donor, recipient Model, groups, pending int) bool {
	left := d.counts[donor.Name] - groups
	if donor.Name == recipient.Name || !d.demandKnown() || float64(left) < donor.DemandGroups {
		return false
	}
	goal, have := d.goal(recipient), float64(d.counts[recipient.Name]+pending)
	gain := shortfallCost(goal, have) - shortfallCost(goal, have+1)
	goal = d.goal(donor)
	return gain > conversionGainRatio*(shortfallCost(goal, float64(left))-shortfallCost(goal, float64(d.counts[donor.Name])))
}

// conversionGainRatio is how many times more the new group must be worth than the groups that are drained for it: demand changes while the
// weights are loaded.
const conversionGainRatio = 2.0

const (
	// standbyLoadFraction is the fraction of the concurrent loads below which weights are loaded onto hosts of serving VMs for future losses.
	standbyLoadFraction = 0.25
	// standbyBenefit is the benefit of weights on the host of a serving VM relative to those of a free VM: the VM's group has to be drained
	// before the VM can replace a lost one.
	standbyBenefit = 0.7
	// minStandbyProbability is the probability that the weights are needed during one load below which they are not worth the load.
	minStandbyProbability = 0.05
)

// standbyLoad returns a load of a model's weights onto the host of a serving VM in a domain that has groups of the model. If more VMs are
// lost than there are spares, the VM's group can be drained and the lost VMs be replaced without a load. Whether that is worth the group is
// decided then. It returns nil if a further load is not worth it.
func (d *decision) standbyLoad(i int, model Model) *spareLoad {
	busy := float64(d.in.LoadsInProgress+d.in.AvailableLoads-d.loads) >= standbyLoadFraction*float64(d.in.LoadsAtOnce)
	if d.groups[i][model.Name] == 0 || (busy && !d.in.BeforeTraffic) {
		return nil
	}
	spares := countReadySoon(d.free[i], model.Name)
	for _, donor := range d.in.Models {
		if donor.Name == model.Name || d.counts[donor.Name] <= redundantGroups {
			continue
		}
		groups := d.byReadiness(i, donor, model)
		if len(groups) == 0 {
			continue
		}
		probability := d.lossProbability(i, model, spares+countReadySoon(groups[0].VMs, model.Name)+1)
		if probability < minStandbyProbability {
			continue
		}
		for _, vm := range groups[0].VMs[1:] {
			if vm.Staging == "" && !vm.ready(model.Name) {
				return &spareLoad{domain: i, vm: vm, model: model, value: standbyBenefit * d.costOfLoss(model) * probability}
			}
		}
	}
	return nil
}
