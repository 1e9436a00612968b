package grouping

import (
	"math"
	"slices"
)

// Costs of loading weights onto a host, in loads.
const (
	// emptyHostCost applies to a host without weights.
	emptyHostCost = 1.0
	// replaceWeightsCost applies to a host that holds another model's weights, which are overwritten: one load for this model and, later,
	// another one to restore what was overwritten.
	replaceWeightsCost = 3.0
	// replaceNeedRatio is how many times more a model must be needed than the model whose weights it overwrites, while only the configured
	// shares indicate the demand. Overwriting pays off only for a model that has almost no groups compared with the other.
	replaceNeedRatio = 4.0
	// replaceVMsPerLoad is the number of VMs that one load must bring into service for replaceNeedRatio to apply: the size of a typical group
	// that lacks one member. For a load that brings sixteen VMs into service, a quarter of the need suffices.
	replaceVMsPerLoad = 4.0
	// spareLoadFraction is the fraction of the concurrent loads that spares may use.
	spareLoadFraction = 0.5
	// replaceGainRatio is how many times more a new group must be worth than the weights that are overwritten for it, while the demand is
	// known. Demand changes within seconds, but a load takes up to 16 s.
	replaceGainRatio = 2.0
)

// planStaging spends the remaining loads: first on groups that can be converted for a model that lacks groups, then on completing the most
// needed groups, then on spares.
func (d *decision) planStaging() {
	d.planConversions()
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
	d.planSurplusLoads()
}

// spareLoadBudget limits the loads spent on spares. Without the limit, a group that loses a member a second later would have to wait until
// a spare's load ends.
func (d *decision) spareLoadBudget() int {
	if d.in.BeforeTraffic || d.in.LoadsAtOnce == 0 {
		return d.loads
	}
	return max(0, int(spareLoadFraction*float64(d.in.LoadsAtOnce))-d.in.LoadsInProgress)
}

// completion is the set of loads that a domain needs for its next group of a model.
type completion struct {
	domain int
	model  Model
	vms    []VM
	value  float64
}

// bestCompletion returns the completion with the highest need per load among the domains that are not done.
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

// completion returns nil if the domain has too few free VMs for a group, if the group needs no loads, or if it is not worth the weights that
// would be overwritten.
func (d *decision) completion(i int, model Model) *completion {
	free := d.free[i]
	if len(free) < model.Size || d.converting[i] {
		return nil
	}
	missing := model.Size - countReadySoon(free, model.Name)
	if missing <= 0 {
		return nil
	}
	c := &completion{domain: i, model: model}
	cost := 0.0
	var dropped []string
	for _, vm := range sortByDistance(free, model.Name) {
		if missing == 0 {
			break
		}
		if vm.Staging != "" || vm.ready(model.Name) {
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

// worthReplacing reports whether a group of a model is worth the loads that it needs and the weights that are overwritten for it.
func (d *decision) worthReplacing(i int, model Model, loads int, dropped []string) bool {
	if d.demandKnown() && len(dropped) > 0 {
		retained := 0.0
		for n, name := range dropped {
			retained += d.retentionValue(i, name, n)
		}
		return d.isShort(model, d.loadingGroups(model)) && d.gainOfGroup(model) > replaceGainRatio*retained
	}
	need := d.need(model) * max(1, float64(model.Size)/float64(loads)/replaceVMsPerLoad)
	for _, name := range dropped {
		if need < replaceNeedRatio*d.needByName(name) {
			return false
		}
	}
	return true
}

// retentionValue is the value of keeping the weights of one more VM after some were overwritten: for replacing the next lost VM, or for
// completing another group, which counts more the fewer VMs that group lacks. If the domain has too few free VMs for that group, only a new
// VM or a conversion could complete it, and the weights are not kept for that.
func (d *decision) retentionValue(i int, name string, dropped int) float64 {
	model, ok := d.modelByName(name)
	if !ok {
		return 0
	}
	left := countReadySoon(d.free[i], name) - dropped
	value := d.costOfLoss(model) * d.lossProbability(i, model, max(1, left))
	if left <= model.Size && len(d.free[i]) >= model.Size {
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

// spareLoad is a load of a model's weights onto the host of a VM that is free or can be freed, with its value.
type spareLoad struct {
	domain int
	vm     VM
	model  Model
	value  float64
}

// bestSpareLoad returns the most valuable load for a future loss over all domains, or nil if there is none.
func (d *decision) bestSpareLoad() *spareLoad {
	var best *spareLoad
	for i, free := range d.free {
		if d.registering(i) {
			continue
		}
		at := slices.IndexFunc(free, func(vm VM) bool { return vm.Staged == "" && vm.Staging == "" })
		for _, model := range d.in.Models {
			candidate := d.standbyLoad(i, model)
			if at >= 0 {
				candidate = &spareLoad{domain: i, vm: free[at], model: model, value: d.spareValue(i, model)}
			}
			if candidate != nil && (best == nil || candidate.value > best.value) {
				best = candidate
			}
		}
	}
	return best
}

// spareValue is the value of another spare with a model's weights in a domain: the cost of losing a group of the model, weighted by the
// probability that more VMs are lost than there are spares before a load can replace them, or its contribution to completing another group.
// If both are zero, the need decides.
func (d *decision) spareValue(i int, model Model) float64 {
	spares := countReadySoon(d.free[i], model.Name)
	value := d.costOfLoss(model) * d.lossProbability(i, model, spares+1)
	if missing := model.Size - spares; missing > 0 && spares > 0 {
		value = max(value, d.gainOfGroup(model)/float64(missing))
	}
	return value + minSpareValue*d.need(model)/float64(1+spares)
}

// minSpareValue scales the need so that it decides only where no group can be lost.
const minSpareValue = 1e-6

// lossProbability is the probability that at least the given number of VMs of a model's groups in a domain are lost during one load.
func (d *decision) lossProbability(i int, model Model, losses int) float64 {
	return poissonTail(d.in.LossRate*model.LoadTime.Seconds()*float64(d.groups[i][model.Name]*model.Size), losses)
}

// poissonTail is the probability of at least the given number of independent losses with the given mean.
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
	markStaging(d.free[i], vm.ID, model.Name)
	for _, group := range d.serving[i] {
		markStaging(group.VMs, vm.ID, model.Name)
	}
}

func markStaging(vms []VM, id, model string) {
	for j := range vms {
		if vms[j].ID == id {
			vms[j].Staging = model
		}
	}
}

// planWarming lets the free VMs load the weights from their hosts into memory. A group that loses a member then recovers as soon as the
// spare has joined. If the spare read its weights only then, all other members would wait for it. A VM that holds the weights of a model that
// is needed more keeps them: it can serve either model.
func (d *decision) planWarming() {
	for _, free := range d.free {
		for _, vm := range free {
			if vm.Staged != "" && vm.Staging == "" && vm.Loaded != vm.Staged && !vm.WarmFailed && d.needByName(vm.Staged) > d.needByName(vm.Loaded) {
				d.plan.Warm = append(d.plan.Warm, Warming{VM: vm.ID, Model: vm.Staged})
			}
		}
	}
}
