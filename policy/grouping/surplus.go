package grouping

import "slices"

// This file divides the VMs that the demand leaves over.
//
// Load pattern: the demand for one model jumps by half for a few seconds, again and again, while another model has more than twice the groups that its
// demand fills. A load of weights takes longer than the jump lasts. VMs are lost every few seconds.
//
// Failure modes without this policy: every model has its goal before the jump, so that nothing moves, and during it requests for the one model are
// rejected beside idle groups of the other; what is moved then comes too late. Or so much is moved that the donor serves less after the next loss: a
// group of 16 VMs without a spare is unavailable for the load of one.
//
// Therefore, while every model has its ordinary goal, groups are converted until each model can grow by the same factor. The donor keeps the groups that
// its demand fills and those that losses are likely to make unavailable at the same time. Its groups serve until all their hosts have the weights: VMs
// that were drained before would be idle for a load.

const (
	// maxHeadroom bounds the factor: more groups than that for each one that the requests fill are of no use in a jump, and moving VMs costs loads.
	maxHeadroom = 2.0
	// usableShare is the share of the VMs that groups can take: domains are rarely divided without a rest, and some VMs are spares or recovering.
	usableShare = 0.8
	// reserveRisk is the probability, at any moment, that losses make more groups of a donor unavailable than its reserve has.
	reserveRisk = 0.02
	// maxDonorLossRisk is the probability that a donor's group loses a member before its hosts have the weights, above which no weights are loaded: the
	// load would be wasted, and would have overwritten weights that the group needs to form again.
	maxDonorLossRisk = 0.4
)

// surplusHeadroom returns the number of groups for each group that the requests would fill with which the models together need usableShare of the VMs.
func (d *decision) surplusHeadroom() float64 {
	needed := 0.0
	for _, model := range d.in.Models {
		needed += model.DemandGroups * float64(model.Size)
	}
	return min(maxHeadroom, max(demandHeadroom, usableShare*float64(d.total)/needed))
}

// surplusConversion returns the conversion that misses the fewest weights among those that bring the models nearer to the same room for growth, and its
// recipient. It returns nil while a model is below its ordinary goal, because a loss or a rise in demand takes precedence.
func (d *decision) surplusConversion() (*conversion, Model) {
	if !d.in.ShareSurplus || !d.demandKnown() {
		return nil, Model{}
	}
	for _, model := range d.in.Models {
		if d.lacksGroup(d.counts[model.Name], model) {
			return nil, Model{}
		}
	}
	headroom := d.surplusHeadroom()
	var best *conversion
	var bestRecipient Model
	for _, recipient := range d.in.Models {
		pending := d.dissolvingGroups(recipient) + d.loadingGroups(recipient)
		if headroom*recipient.DemandGroups-float64(d.counts[recipient.Name]+pending) < 0.5 {
			continue
		}
		for _, donor := range d.in.Models {
			groups := (recipient.Size + donor.Size - 1) / donor.Size
			gained := groups * donor.Size / recipient.Size
			if !d.sharesEvenly(donor, recipient, groups, gained, pending) {
				continue
			}
			for i := range d.in.Domains {
				c := d.surplusConversionIn(i, donor, recipient, groups, gained)
				if c != nil && (best == nil || c.missing < best.missing) {
					best, bestRecipient = c, recipient
				}
			}
		}
	}
	return best, bestRecipient
}

// surplusConversionIn returns the conversion of some groups of a domain, or nil if it has too few or is being converted already. All groups of the
// recipient that the donors' VMs make need the weights before the first VM is drained. The free VMs remain spares.
func (d *decision) surplusConversionIn(i int, donor, recipient Model, groups, gained int) *conversion {
	if d.in.Domains[i].DissolvingVMs > 0 || d.converting[i] {
		return nil
	}
	donors := d.byReadiness(i, donor, recipient)
	if len(donors) < groups {
		return nil
	}
	c := &conversion{domain: i, donors: donors[:groups]}
	ready, readySoon := 0, 0
	for _, group := range c.donors {
		ready += countReady(group.VMs, recipient.Name)
		readySoon += countReadySoon(group.VMs, recipient.Name)
	}
	c.missing, c.loads = max(0, gained*recipient.Size-ready), max(0, gained*recipient.Size-readySoon)
	lost := float64(groups*donor.Size) * d.in.LossRate * recipient.LoadTime.Seconds()
	if c.loads > 0 && poissonTail(lost, 1) > maxDonorLossRisk {
		return nil
	}
	return c
}

// sharesEvenly reports whether the donor keeps its reserve, and whether the recipient needs each of the new groups more than the donor then needs its
// own back. Otherwise the drained VMs would form a group of the donor again.
func (d *decision) sharesEvenly(donor, recipient Model, groups, gained, pending int) bool {
	left := float64(d.counts[donor.Name] - groups)
	if donor.Name == recipient.Name || left < max(d.goal(donor), donor.DemandGroups+float64(d.reserve(donor))) {
		return false
	}
	lastGroupNeed := needRatio(d.goal(recipient), float64(d.counts[recipient.Name]+pending+gained-1))
	return lastGroupNeed > needRatio(d.goal(donor), left)
}

// reserve returns the number of groups that a model needs beyond those that its demand fills so that losses rarely leave it with fewer. The number of
// unavailable groups is Poisson-distributed: each of the groups that the demand fills is lost at the rate of its VMs, for as long as it takes to recover.
func (d *decision) reserve(model Model) int {
	unavailable := model.DemandGroups * float64(model.Size) * d.in.LossRate * d.meanDowntime(model)
	groups := redundantGroups
	// The bound ends the loop for means whose exponential underflows.
	for groups < d.counts[model.Name] && poissonTail(unavailable, groups+1) > reserveRisk {
		groups++
	}
	return groups
}

// meanDowntime returns for how many seconds a lost group of a model is unavailable, on average over the domains that have groups of it: until a spare
// has joined, or until a load has ended where there are too few spares. A domain keeps fewer spares than the smallest group has VMs: more free VMs than
// that are the remainder of a lost group for the moment.
func (d *decision) meanDowntime(model Model) float64 {
	smallest := model.Size
	for _, other := range d.in.Models {
		smallest = min(smallest, other.Size)
	}
	groups, withoutSpare := 0.0, 0.0
	for i := range d.in.Domains {
		n := float64(d.groups[i][model.Name])
		spares := min(countReadySoon(d.free[i], model.Name), smallest-1)
		groups += n
		withoutSpare += n * d.lossProbability(i, model, spares+1)
	}
	if groups == 0 {
		return model.LoadTime.Seconds()
	}
	return groupRecoveryTime.Seconds() + withoutSpare/groups*model.LoadTime.Seconds()
}

// planSurplusLoads loads the weights for at most one surplus conversion onto the donors' hosts, from the loads that spares leave over: a loss takes
// precedence. Heads come last, because a group can't be closed while its head executes an order.
func (d *decision) planSurplusLoads() {
	if d.loads <= 0 {
		return
	}
	c, recipient := d.surplusConversion()
	if c == nil {
		return
	}
	d.converting[c.domain] = true
	var others, heads []VM
	for _, group := range c.donors {
		others = append(others, group.VMs[1:]...)
		heads = append(heads, group.VMs[0])
	}
	for _, vm := range slices.Concat(others, heads) {
		if c.loads > 0 && vm.Staging == "" && !vm.ready(recipient.Name) {
			d.stageVM(c.domain, vm, recipient)
			c.loads--
		}
	}
}
