package grouping

import "slices"

// Prices of a staging, in loads.
const (
	// emptyPrice is that of a host without weights.
	emptyPrice = 1.0
	// otherPrice is that of a host with another model's weights, which are lost: a load for this model, and later one to make up
	// for the other.
	otherPrice = 3.0
	// restageNeed is how many times more a model must be needed than the one whose weights are dropped for it. Needs change within
	// seconds while a load takes up to 16, so only a model that is nearly without groups beside the other is worth it.
	restageNeed = 4.0
	// restageVMs is how many VMs a load must bring to serve for that: the size of a usual group that lacks one. A load that brings
	// sixteen is worth it at a quarter of the need.
	restageVMs = 4.0
)

// stage spends the loads that are left: first on what completes the most needed groups, then on spares.
func (d *decision) stage() {
	done := make(map[int]bool)
	for d.loads > 0 {
		best := d.nextCompletion(done)
		if best == nil {
			break
		}
		done[best.domain] = true
		for _, vm := range best.vms {
			d.stageVM(best.domain, vm, best.model)
		}
	}
	for i := range d.in.Domains {
		d.stageSpares(i)
	}
}

// completion is what a domain lacks for its next group of a model.
type completion struct {
	domain int
	model  Model
	vms    []VM
	worth  float64
}

// nextCompletion returns the most worthwhile one of the domains that are not done: need for each load.
func (d *decision) nextCompletion(done map[int]bool) *completion {
	var best *completion
	for i := range d.in.Domains {
		if done[i] {
			continue
		}
		for _, model := range d.in.Models {
			if c := d.completion(i, model); c != nil && (best == nil || c.worth > best.worth) {
				best = c
			}
		}
	}
	return best
}

// completion returns nil where the free VMs make no group, or one that lacks no loads, or none that is worth what would be dropped.
func (d *decision) completion(i int, model Model) *completion {
	free := d.free[i]
	if len(free) < model.Size {
		return nil
	}
	lacking := model.Size - atHand(free, model.Name)
	if lacking <= 0 {
		return nil
	}
	c := &completion{domain: i, model: model}
	restageWorth := d.need(model) * max(1, float64(model.Size)/float64(lacking)/restageVMs)
	price := 0.0
	for _, vm := range nearest(free, model.Name) {
		if lacking == 0 || vm.Staging != "" {
			break
		}
		if vm.Staged == model.Name {
			continue
		}
		if vm.Staged == "" {
			price += emptyPrice
		} else {
			if restageWorth < restageNeed*d.needOf(vm.Staged) {
				return nil
			}
			price += otherPrice
		}
		c.vms = append(c.vms, vm)
		lacking--
	}
	if lacking > 0 || len(c.vms) == 0 {
		return nil
	}
	c.worth = d.need(model) / price
	return c
}

func (d *decision) needOf(name string) float64 {
	for _, model := range d.in.Models {
		if model.Name == name {
			return d.need(model)
		}
	}
	return 0
}

// atHand counts the VMs that have a model's weights, or will have them.
func atHand(free []VM, model string) int {
	n := 0
	for _, vm := range free {
		if (vm.Staged == model && vm.Staging == "") || vm.Staging == model {
			n++
		}
	}
	return n
}

// stageSpares gives empty hosts of a domain the weights that its groups would most likely need next.
func (d *decision) stageSpares(i int) {
	for _, vm := range slices.Clone(d.free[i]) {
		if d.loads <= 0 {
			return
		}
		if vm.Staged != "" || vm.Staging != "" {
			continue
		}
		d.stageVM(i, vm, d.spareModel(i))
	}
}

// spareModel is the model with the most to lose in the domain for each spare: a loss hits one of its members, and leaves all others of the
// group without work. Where a group takes 16 VMs beside five groups of four, a spare for it is worth three for the others: without, 15 VMs
// wait 16 s for a load. Where there are no groups, it is the model most needed.
func (d *decision) spareModel(i int) Model {
	var best Model
	bestWorth := -1.0
	for _, model := range d.in.Models {
		atRisk := float64(d.groups[i][model.Name] * model.Size * model.Size)
		worth := (atRisk + 0.1*d.need(model)) / float64(1+atHand(d.free[i], model.Name))
		if worth > bestWorth {
			best, bestWorth = model, worth
		}
	}
	return best
}

func (d *decision) stageVM(i int, vm VM, model Model) {
	if d.loads <= 0 || model.Name == "" {
		return
	}
	d.loads--
	d.plan.Stage = append(d.plan.Stage, Staging{VM: vm.ID, Model: model.Name})
	for j := range d.free[i] {
		if d.free[i][j].ID == vm.ID {
			d.free[i][j].Staging = model.Name
		}
	}
}
