package grouping

import (
	"math"
	"slices"
)

// Prices of a staging, in loads.
const (
	// emptyHostCost is that of a host without weights.
	emptyHostCost = 1.0
	// replaceWeightsCost is that of a host with another model's weights, which are lost: a load for this model, and later one to make up
	// for the other.
	replaceWeightsCost = 3.0
	// replaceNeedRatio is how many times more a model must be needed than the one whose weights are dropped for it, while nothing but the shares
	// tells what callers ask for: only a model that is nearly without groups beside the other is worth it.
	replaceNeedRatio = 4.0
	// replaceVMsPerLoad is how many VMs a load must bring to serve for that: the size of a usual group that lacks one. A load that brings
	// sixteen is worth it at a quarter of the need.
	replaceVMsPerLoad = 4.0
	// spareLoadFraction is the part of the loads at once that spares may take.
	spareLoadFraction = 0.5
	// replaceGainRatio is how many times more the new group must be worth than the weights that are dropped for it, where the demand is known.
	// Demand changes within seconds while a load takes up to 16.
	replaceGainRatio = 2.0
)

// planStaging spends the loads that are left: first on what completes the most needed groups, then on spares.
func (d *decision) planStaging() {
	done := make(map[int]bool)
	for d.loads > 0 {
		best := d.bestCompletion(done)
		if best == nil {
			break
		}
		done[best.domain] = true
		for _, vm := range best.vms {
			d.stageVM(best.domain, vm, best.model)
		}
	}
	d.loads = min(d.loads, d.spareLoadBudget())
	for d.loads > 0 {
		best := d.bestSpareLoad()
		if best == nil {
			break
		}
		d.stageVM(best.domain, best.vm, best.model)
	}
}

// spareLoadBudget leaves loads for what completes groups: a loss a second later would wait until a spare's load ends.
func (d *decision) spareLoadBudget() int {
	if d.in.BeforeTraffic || d.in.LoadsAtOnce == 0 {
		return d.loads
	}
	return max(0, int(spareLoadFraction*float64(d.in.LoadsAtOnce))-d.in.LoadsInProgress)
}

// completion is what a domain lacks for its next group of a model.
type completion struct {
	domain int
	model  Model
	vms    []VM
	value  float64
}

// bestCompletion returns the most worthwhile one of the domains that are not done: need for each load.
func (d *decision) bestCompletion(done map[int]bool) *completion {
	var best *completion
	for i := range d.in.Domains {
		if done[i] || d.registering(i) {
			continue
		}
		for _, model := range d.in.Models {
			if c := d.completion(i, model); c != nil && (best == nil || c.value > best.value) {
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
	missing := model.Size - countStagedOrStaging(free, model.Name)
	if missing <= 0 {
		return nil
	}
	c := &completion{domain: i, model: model}
	cost := 0.0
	var dropped []string
	for _, vm := range sortByDistance(free, model.Name) {
		if missing == 0 || vm.Staging != "" {
			break
		}
		if vm.Staged == model.Name {
			continue
		}
		cost += emptyHostCost
		if vm.Staged != "" {
			cost += replaceWeightsCost - emptyHostCost
			dropped = append(dropped, vm.Staged)
		}
		c.vms = append(c.vms, vm)
		missing--
	}
	if missing > 0 || len(c.vms) == 0 || !d.worthReplacing(i, model, len(c.vms), dropped) {
		return nil
	}
	c.value = d.need(model) / cost
	return c
}

// worthReplacing says whether a group of a model is worth the loads that it lacks and the weights that are dropped for it.
func (d *decision) worthReplacing(i int, model Model, loads int, dropped []string) bool {
	if d.demandKnown() && len(dropped) > 0 {
		retained := 0.0
		for n, name := range dropped {
			retained += d.retentionValue(i, name, n)
		}
		return d.isShort(model) && d.gainOfGroup(model) > replaceGainRatio*retained
	}
	need := d.need(model) * max(1, float64(model.Size)/float64(loads)/replaceVMsPerLoad)
	for _, name := range dropped {
		if need < replaceNeedRatio*d.needByName(name) {
			return false
		}
	}
	return true
}

// retentionValue is what the weights of one more VM are worth, after some were dropped: for the next loss, or to complete a further group, the more
// the fewer that one lacks.
func (d *decision) retentionValue(i int, name string, dropped int) float64 {
	model, ok := d.modelByName(name)
	if !ok {
		return 0
	}
	left := countStagedOrStaging(d.free[i], name) - dropped
	value := d.costOfLoss(model) * d.lossProbability(i, model, max(1, left))
	if left <= model.Size {
		value = max(value, d.gainOfGroup(model)/float64(model.Size-left+1))
	}
	return value
}

func (d *decision) modelByName(name string) (Model, bool) {
	for _, model := range d.in.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

func (d *decision) needByName(name string) float64 {
	if model, ok := d.modelByName(name); ok {
		return d.need(model)
	}
	return 0
}

// countStagedOrStaging counts the VMs that have a model's weights, or will have them.
func countStagedOrStaging(free []VM, model string) int {
	n := countStaged(free, model)
	for _, vm := range free {
		if vm.Staging == model {
			n++
		}
	}
	return n
}

// spareLoad is a load for an empty host, with what it is worth.
type spareLoad struct {
	domain int
	vm     VM
	model  Model
	value  float64
}

// bestSpareLoad returns the load of an empty host that is worth most, over all domains, or nil if no host is empty.
func (d *decision) bestSpareLoad() *spareLoad {
	var best *spareLoad
	for i, free := range d.free {
		if d.registering(i) {
			continue
		}
		at := slices.IndexFunc(free, func(vm VM) bool { return vm.Staged == "" && vm.Staging == "" })
		if at < 0 {
			continue
		}
		for _, model := range d.in.Models {
			value := d.spareValue(i, model)
			if best == nil || value > best.value {
				best = &spareLoad{domain: i, vm: free[at], model: model, value: value}
			}
		}
	}
	return best
}

// spareValue is what another spare of a model is worth in a domain: by the chance that so many members are lost before a load can replace
// them, and by what the model's groups are worth; or by what it does to complete a further group. Where there are neither, the need decides.
func (d *decision) spareValue(i int, model Model) float64 {
	spares := countStagedOrStaging(d.free[i], model.Name)
	value := d.costOfLoss(model) * d.lossProbability(i, model, spares+1)
	if missing := model.Size - spares; missing > 0 && spares > 0 {
		value = max(value, d.gainOfGroup(model)/float64(missing))
	}
	return value + minSpareValue*d.need(model)/float64(1+spares)
}

// minSpareValue makes the need decide where no group can be lost.
const minSpareValue = 1e-6

// lossProbability is the chance that so many VMs of a model's groups in a domain are lost in the time of a load.
func (d *decision) lossProbability(i int, model Model, losses int) float64 {
	return poissonTail(d.in.LossRate*model.LoadTime.Seconds()*float64(d.groups[i][model.Name]*model.Size), losses)
}

// poissonTail is the chance of at least so many losses where the mean is known, and VMs are lost independently.
func poissonTail(mean float64, losses int) float64 {
	exactly := math.Exp(-mean)
	fewer := 0.0
	for n := range losses {
		fewer += exactly
		exactly *= mean / float64(n+1)
	}
	return 1 - fewer
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

// planWarming lets the VMs that stay free take up the weights of their hosts. A group that loses a member then stands again as soon as the spare has
// joined; a spare that reads its weights only then keeps all the other members waiting for that.
func (d *decision) planWarming() {
	for _, free := range d.free {
		for _, vm := range free {
			if vm.Staged != "" && vm.Staging == "" && vm.Loaded != vm.Staged && !vm.WarmFailed {
				d.plan.Warm = append(d.plan.Warm, Warming{VM: vm.ID, Model: vm.Staged})
			}
		}
	}
}
