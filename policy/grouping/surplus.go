package grouping

// This file divides the VMs that the demand leaves over.
//
// Load pattern: the demand for one model jumps by half for a few seconds, again and again, while another model has more than twice the groups that its
// demand fills. A load of weights takes longer than the jump lasts.
//
// Failure mode without this policy: every model has its goal before the jump, so that nothing moves, and during it requests for the one model are rejected
// beside idle groups of the other. What is moved then comes too late.
//
// Therefore the goals grow until they need most VMs, by the same factor for each model: a jump of any one of them then meets as much room as there is.

const (
	// maxHeadroom bounds the factor: more groups than that for each one that the requests fill are of no use in a jump, and moving VMs costs loads.
	maxHeadroom = 2.0
	// usableShare is the share of the VMs that groups can take: domains are rarely divided without a rest, and some VMs are spares or recovering.
	usableShare = 0.8
)

// surplusHeadroom returns the number of groups for each group that the requests would fill with which the models together need usableShare of the VMs.
func (d *decision) surplusHeadroom() float64 {
	if !d.demandKnown() {
		return demandHeadroom
	}
	needed := 0.0
	for _, model := range d.in.Models {
		needed += model.DemandGroups * float64(model.Size)
	}
	return min(maxHeadroom, max(demandHeadroom, usableShare*float64(d.total)/needed))
}

// gained returns how many groups of a recipient the VMs of some groups of a donor make.
func (d *decision) gained(donor, recipient Model, groups int) int {
	if !d.in.ShareSurplus {
		return 1
	}
	return max(1, groups*donor.Size/recipient.Size)
}
