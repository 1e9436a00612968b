// Package grouping decides which VMs form which model groups, and which VMs load model weights in advance.
//
// Workload: a VM is lost permanently every few seconds, occasionally a whole fabric domain is lost, and new VMs arrive without weights.
// Each loss breaks the group that the VM belonged to. Weights are loaded from a weight store that can start only a few loads per second,
// and a load takes ten times as long as reading the weights from the VM's own host.
//
// Failure modes without this policy: the survivors of a broken group wait for a replacement although they could complete another group in
// the same domain; a group is formed with one member that still has to load, and all its members wait 12 to 16 s for that one; all loads
// start at once and each takes several times as long; one model gets all VMs and requests for the other model are refused.
//
// The policy therefore forms groups from VMs that already have the weights. Before the first request it may also use VMs without weights,
// following a plan for whole domains. It divides VMs among models in proportion to the VMs that their demand needs, and spends the few loads
// on completing the most needed group with the fewest loads. A group that can be formed without a load is put into service. The remaining
// VMs of a domain load the weights that the next loss will need, so that a broken group recovers within a second. Hosts of VMs in groups
// that can be spared load the weights of other models while they serve, because a host's weights are not used by a running group.
package grouping

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Model is one model of the service.
type Model struct {
	Name string
	// Size is the number of VMs in one group.
	Size int
	// Share is the fraction of the VMs that the model's demand needs. Only the ratio between the models' shares counts.
	Share float64
	// LoadTime is the duration of loading the weights from the weight store.
	LoadTime time.Duration
	// DemandGroups is the number of groups that the current requests would keep fully occupied; 0 if unknown.
	DemandGroups float64
}

// VM is a VM that belongs to no group that is serving or being formed.
type VM struct {
	ID string
	// Staged is the model whose weights are stored on the host; empty if there are none.
	Staged string
	// Loaded is the model of the VM's last group, whose weights it still holds and can serve again at once.
	Loaded string
	// Staging is the model whose weights are being loaded onto the host; empty if there is none.
	Staging string
	// Cold reports that the VM takes few requests a second for some seconds. That matters for heads alone.
	Cold bool
	// WarmFailed reports that a recent attempt to load the host's weights into the VM failed.
	WarmFailed bool
}

// ready reports whether the VM can join a group of the model without a load from the weight store.
func (v VM) ready(model string) bool {
	return v.Loaded == model || (v.Staged == model && v.Staging == "")
}

// readySoon reports whether the VM is ready for the model, or will be once its current load has ended.
func (v VM) readySoon(model string) bool { return v.ready(model) || v.Staging == model }

// ServingGroup is a complete group that is serving.
type ServingGroup struct {
	// Head identifies the group.
	Head  string
	Model string
	// VMs are the group's VMs, the head first. Their weights in memory are in use, but those of their hosts are not.
	VMs []VM
}

// Domain is a fabric domain. A group never spans two domains.
type Domain struct {
	Name string
	Free []VM
	// Groups counts the groups that are serving or being formed, by model.
	Groups map[string]int
	// Serving lists the complete groups that are serving, ordered by head.
	Serving []ServingGroup
	// DissolvingVMs counts the VMs of groups that are being dissolved.
	DissolvingVMs int
	// Total counts all usable VMs of the domain.
	Total int
	// Registering reports that the domain's VMs are still being listed one by one. A partly listed domain only has room for groups of the
	// smallest model, and groups formed then would take the VMs that the larger models need.
	Registering bool
}

// Input is the state known at one moment.
type Input struct {
	Models  []Model
	Domains []Domain
	// BeforeTraffic reports that no request has arrived yet. Loads are short then, and groups that need loads may be formed.
	BeforeTraffic bool
	// ShareSurplus divides the VMs that the demand leaves over among the models in proportion to their demand, so that each can grow by the same factor.
	// A model keeps in reserve what losses are likely to take. Otherwise a model keeps what it has beyond its goal.
	ShareSurplus bool
	// LossRate is the fraction of the VMs in groups that is lost per second; 0 if unknown.
	LossRate float64
	// AvailableLoads is the number of loads that may start now. LoadsInProgress is the number of running loads, and LoadsAtOnce the number
	// that can run concurrently at full speed.
	AvailableLoads, LoadsInProgress, LoadsAtOnce int
}

// Formation is a group to form. Its first member is the head.
type Formation struct {
	Domain  string
	Model   string
	Members []string
	// Loads is the number of members that must load the weights from the weight store.
	Loads int
}

// Staging tells a VM to load a model's weights from the weight store onto its host.
type Staging struct {
	VM    string
	Model string
}

// Warming tells a free VM to load a model's weights from its host into the VM.
type Warming struct {
	VM    string
	Model string
}

// Drain is a group that finishes its requests and then gives its VMs to another model.
type Drain struct {
	Domain string
	// Head and Model are the head and the model of the drained group, Recipient is the model that gets its VMs.
	Head      string
	Model     string
	Recipient string
	// Ahead reports that the recipient has its goal and gets the VMs before its demand rises.
	Ahead bool
}

// Plan lists the actions to take now.
type Plan struct {
	Form  []Formation
	Stage []Staging
	Warm  []Warming
	Drain []Drain
}

const (
	// groupRecoveryTime is how long a group that lost a member is unavailable if a spare VM has the weights: the loss is detected, the old
	// group closed, the spare joined and the new group opened.
	groupRecoveryTime = 3 * time.Second
	// redundantGroups is the number of groups that a model should have beyond its goal, because most of the time one group is recovering.
	redundantGroups = 1
	// shortageThreshold is the fraction of its goal below which a model is short of groups while the demand is unknown.
	shortageThreshold = 0.75
	// demandHeadroom is the number of groups to provide for each group that the requests would fill. Demand varies by this factor within
	// seconds.
	demandHeadroom = 1.2
)

// Decide plans the next actions. It is deterministic: equal inputs give equal plans.
func Decide(in Input) Plan {
	if in.LossRate <= 0 {
		in.LossRate = defaultLossRate
	}
	d := newDecision(in)
	if in.BeforeTraffic {
		d.mix = d.planMix()
	}
	for d.formNext() {
	}
	if !d.blocked {
		d.planDrains()
		d.planStaging()
	}
	d.planWarming()
	return d.plan
}

func newDecision(in Input) *decision {
	d := &decision{
		in: in, loads: in.AvailableLoads, counts: make(map[string]int), converting: make(map[int]bool),
		free: make([][]VM, len(in.Domains)), serving: make([][]ServingGroup, len(in.Domains)), groups: make([]map[string]int, len(in.Domains)),
	}
	for i, domain := range in.Domains {
		d.free[i] = slices.Clone(domain.Free)
		for _, group := range domain.Serving {
			group.VMs = slices.Clone(group.VMs)
			d.serving[i] = append(d.serving[i], group)
		}
		d.total += domain.Total
		d.groups[i] = make(map[string]int, len(in.Models))
		maps.Copy(d.groups[i], domain.Groups)
		for model, n := range domain.Groups {
			d.counts[model] += n
		}
	}
	return d
}

type decision struct {
	in    Input
	loads int
	// counts is the number of groups by model, including those in the plan.
	counts map[string]int
	// free lists the remaining VMs by domain, and serving the serving groups. groups counts the groups by domain and model, including those
	// in the plan.
	free    [][]VM
	serving [][]ServingGroup
	groups  []map[string]int
	total   int
	// converting marks the domains for which the plan contains a conversion or the loads for one.
	converting map[int]bool
	// mix is the number of groups of each model that each domain should have before the first request, by domain.
	mix []map[string]int
	// blocked reports that the most needed group waits for loads, so that no loads may be spent on anything less needed.
	blocked bool
	plan    Plan
}

// goal is the number of groups that a model should have: the number that its requests fill, plus headroom. While the demand of any model is
// unknown, it is the model's number of groups if all VMs were divided in proportion to the shares.
func (d *decision) goal(model Model) float64 {
	if d.demandKnown() {
		return max(1, demandHeadroom*model.DemandGroups)
	}
	sum := 0.0
	for _, other := range d.in.Models {
		sum += other.Share
	}
	if sum == 0 {
		return 0
	}
	return model.Share / sum * float64(d.total) / float64(model.Size)
}

func (d *decision) demandKnown() bool {
	for _, model := range d.in.Models {
		if model.DemandGroups <= 0 {
			return false
		}
	}
	return true
}

// need rates how urgently a model needs groups. It grows as the number of groups falls relative to the goal.
func (d *decision) need(model Model) float64 {
	return needRatio(d.goal(model), float64(d.counts[model.Name]))
}

// needRatio is the ratio of the goal to the number of groups, and is finite for a model without groups.
func needRatio(goal, groups float64) float64 { return goal / (groups + needOffset) }

// needOffset is added to the number of groups to avoid a division by zero. It is small because a model without any group refuses all its
// requests.
const needOffset = 0.25

// gainOfGroup is the decrease of a model's shortfall cost with one more group, and costOfLoss the increase with one group less. The cost is
// the cube of the need, so a group is worth more the larger its fraction of the model's groups is and the greater the model's need is.
func (d *decision) gainOfGroup(model Model) float64 {
	goal, groups := d.goal(model), float64(d.counts[model.Name])
	return shortfallCost(goal, groups) - shortfallCost(goal, groups+1)
}

func (d *decision) costOfLoss(model Model) float64 {
	goal, groups := d.goal(model), float64(d.counts[model.Name])
	return shortfallCost(goal, max(0, groups-1)) - shortfallCost(goal, groups)
}

// shortfallCost is the cube of the need. Cubing makes a large shortfall of one model cost more than small ones of several.
func shortfallCost(goal, groups float64) float64 {
	need := needRatio(goal, groups)
	return need * need * need
}

// isShort reports whether a model has fewer groups, with the pending ones, than it should have most of the time.
func (d *decision) isShort(model Model, pending int) bool {
	count := float64(d.counts[model.Name] + pending)
	if model.DemandGroups > 0 {
		return count < demandHeadroom*model.DemandGroups+redundantGroups
	}
	return count < shortageThreshold*d.goal(model)
}

// candidate is a group that could be formed.
type candidate struct {
	domain int
	model  Model
	loads  int
	need   float64
	// groups is the number of groups of the model in the domain.
	groups int
}

// formNext adds the most needed group to the plan and returns false if there is none. If the most needed group has to wait for loads, no
// other group that needs fewer loads is formed before it; otherwise the larger model would never get its share.
func (d *decision) formNext() bool {
	var best *candidate
	for i := range d.in.Domains {
		for _, model := range d.in.Models {
			if c := d.candidate(i, model); c != nil && (best == nil || c.preferredOver(best)) {
				best = c
			}
		}
	}
	if best == nil {
		return false
	}
	if best.loads > max(0, d.loads) {
		d.blocked = true
		return false
	}
	d.addFormation(best)
	return true
}

// preferredOver orders candidates by the need of their model, then by how few groups of it the domain has, then by how few loads they need.
// Loads come last because candidates with loads exist only before the first request, when loads cost almost nothing.
func (c *candidate) preferredOver(other *candidate) bool {
	switch {
	case c.need != other.need:
		return c.need > other.need
	case c.groups != other.groups:
		return c.groups < other.groups
	}
	return c.loads < other.loads
}

func (d *decision) candidate(i int, model Model) *candidate {
	if !d.canForm(i, model) {
		return nil
	}
	loads := max(0, model.Size-countReady(d.free[i], model.Name))
	if loads > 0 && !d.in.BeforeTraffic {
		return nil
	}
	return &candidate{domain: i, model: model, loads: loads, need: d.need(model), groups: d.groups[i][model.Name]}
}

// canForm reports whether a domain has enough VMs for another group of a model and should have that group.
func (d *decision) canForm(i int, model Model) bool {
	left := len(d.free[i]) - model.Size
	switch {
	case left < 0:
		return false
	case d.in.BeforeTraffic:
		return !d.registering(i) && d.groups[i][model.Name] < d.mix[i][model.Name]
	}
	return float64(d.counts[model.Name]) < d.goal(model) || !d.reservedForUnderserved(i)
}

// registering reports that the domain's VMs are still being listed, so that nothing is planned for it yet.
func (d *decision) registering(i int) bool { return d.in.BeforeTraffic && d.in.Domains[i].Registering }

// countReady counts the VMs that can join a group of the model without a load.
func countReady(vms []VM, model string) int {
	n := 0
	for _, vm := range vms {
		if vm.ready(model) {
			n++
		}
	}
	return n
}

// countReadySoon counts the VMs that are ready for the model or loading its weights.
func countReadySoon(vms []VM, model string) int {
	n := 0
	for _, vm := range vms {
		if vm.readySoon(model) {
			n++
		}
	}
	return n
}

// sortByDistance returns the VMs ordered by how little they have to do to serve the model.
func sortByDistance(vms []VM, model string) []VM {
	sorted := slices.Clone(vms)
	slices.SortStableFunc(sorted, func(a, b VM) int {
		return cmp.Or(cmp.Compare(a.distance(model), b.distance(model)), cmp.Compare(a.ID, b.ID))
	})
	return sorted
}

// Distances of a VM from serving a model, in ascending order of effort.
const (
	distanceLoaded = iota
	// distanceOtherStaged is a VM that holds the weights in memory only. Its host has or loads those of another model.
	distanceOtherStaged
	distanceStaged
	distanceLoad
	// distanceReplace is a load that overwrites another model's weights.
	distanceReplace
	// distanceStaging is a VM whose host is loading weights now.
	distanceStaging
)

func (v VM) distance(model string) int {
	switch {
	case v.Loaded == model && v.Staged == model && v.Staging == "":
		return distanceLoaded
	case v.Loaded == model:
		return distanceOtherStaged
	case v.Staging != "":
		return distanceStaging
	case v.Staged == model:
		return distanceStaged
	case v.Staged == "":
		return distanceLoad
	}
	return distanceReplace
}

// warmFirst moves the first VM that is not cold to the front: only the head takes requests, and a cold one takes few of them.
func warmFirst(members []VM) []VM {
	warm := slices.IndexFunc(members, func(vm VM) bool { return !vm.Cold })
	if warm <= 0 {
		return members
	}
	head := members[warm]
	return slices.Insert(slices.Delete(members, warm, warm+1), 0, head)
}

func (d *decision) addFormation(c *candidate) {
	formation := Formation{Domain: d.in.Domains[c.domain].Name, Model: c.model.Name, Loads: c.loads}
	for _, vm := range warmFirst(sortByDistance(d.free[c.domain], c.model.Name)[:c.model.Size]) {
		formation.Members = append(formation.Members, vm.ID)
		d.free[c.domain] = slices.DeleteFunc(d.free[c.domain], func(other VM) bool { return other.ID == vm.ID })
	}
	d.plan.Form = append(d.plan.Form, formation)
	d.counts[c.model.Name]++
	d.groups[c.domain][c.model.Name]++
	d.loads -= c.loads
}
