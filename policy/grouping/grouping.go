// Package grouping decides which VMs form which groups, and which weights to stage ahead.
//
// Load pattern: VMs are lost for good every few seconds, now and then a whole fabric domain, and new, empty VMs come.
// Each loss breaks the group that the VM was in. Weights come from a store that starts only a few loads a second, and a load takes
// ten times as long as reading the weights from the VM's own host.
//
// What goes wrong without it: survivors wait for a replacement of their own group although another group of the domain
// could be completed with them; a group is formed that needs a load, and all its members wait 12 to 16 s for the one; all loads
// begin at once and each takes several times as long; one model gets all VMs and the callers of the other are refused.
//
// So groups are formed of VMs that have the weights at hand (before callers come, also of others, by a plan for whole domains), models in
// proportion to the VMs that their demand needs, and the few loads go to whatever completes the most needed group with the fewest. What makes
// a group without a load serves; what is left over in a domain gets the weights that the next loss will need, so that the group stands
// again within a second.
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
	// Size is how many VMs one group takes.
	Size int
	// Share is the part of the VMs that the model's demand needs. Only the ratio of the models' shares counts.
	Share float64
	// LoadTime is how long its weights take from the weight store.
	LoadTime time.Duration
	// DemandGroups is how many groups the requests that come would fill; 0 where that is not known.
	DemandGroups float64
}

// VM is one VM that is in no group that serves or forms.
type VM struct {
	ID string
	// Staged is the model whose weights lie on the host; empty for none.
	Staged string
	// Loaded is the model of its last group, which it takes up again at once.
	Loaded string
	// Staging is the model that is being staged; empty for none.
	Staging string
	// WarmFailed says that it could lately not take up the weights on its host.
	WarmFailed bool
}

// Domain is one fabric domain. Groups do not cross it.
type Domain struct {
	Name string
	Free []VM
	// Groups counts the groups that serve or form, by model.
	Groups map[string]int
	// DissolvingVMs counts the VMs of groups that are being dissolved.
	DissolvingVMs int
	// Total counts all usable VMs.
	Total int
	// Registering says that its VMs are still being listed one by one. A domain of which a few are listed holds but the smallest model's groups,
	// and what is formed then takes the place of the others.
	Registering bool
}

// Input is what is known at one moment.
type Input struct {
	Models  []Model
	Domains []Domain
	// BeforeTraffic says that no caller has come yet: loads are short and groups may be formed that need them.
	BeforeTraffic bool
	// LossRate is the part of the VMs in groups that is lost in a second; 0 where nothing is known of it.
	LossRate float64
	// AvailableLoads is how many loads may begin now, LoadsInProgress how many are in progress of the LoadsAtOnce that run at full speed.
	AvailableLoads, LoadsInProgress, LoadsAtOnce int
}

// Formation is one group to form. The first member is the head.
type Formation struct {
	Domain  string
	Model   string
	Members []string
	// Loads is how many members need the weights from the store.
	Loads int
}

// Staging is one VM whose host is to hold a model's weights.
type Staging struct {
	VM    string
	Model string
}

// Warming is one free VM that is to take a model's weights up from its host.
type Warming struct {
	VM    string
	Model string
}

// Drain is a group that is to end its work and give its VMs to another model.
type Drain struct {
	Domain string
	// Model is that of the group, For the one that gets the VMs.
	Model     string
	Recipient string
}

// Plan is what to do now.
type Plan struct {
	Form  []Formation
	Stage []Staging
	Warm  []Warming
	Drain []Drain
}

const (
	// groupRecoveryTime is how long a group that lost a member is away where a spare has the weights: noticed, closed, joined and opened.
	groupRecoveryTime = 3 * time.Second
	// redundantGroups is how many groups more than its goal a model is to have: at most times one is being formed again.
	redundantGroups = 1
	// shortageThreshold is the part of a model's goal below which it is short while the demand is not known.
	shortageThreshold = 0.75
	// demandHeadroom is how many groups a model is to have for each that its requests fill: demand varies by as much within seconds.
	demandHeadroom = 1.2
)

// Decide plans the next steps. Equal inputs give equal plans.
func Decide(in Input) Plan {
	if in.LossRate <= 0 {
		in.LossRate = defaultLossRate
	}
	d := &decision{in: in, loads: in.AvailableLoads, counts: make(map[string]int), free: make([][]VM, len(in.Domains)), groups: make([]map[string]int, len(in.Domains))}
	for i, domain := range in.Domains {
		d.free[i] = slices.Clone(domain.Free)
		d.total += domain.Total
		d.groups[i] = make(map[string]int, len(in.Models))
		maps.Copy(d.groups[i], domain.Groups)
		for model, n := range domain.Groups {
			d.counts[model] += n
		}
	}
	if in.BeforeTraffic {
		d.mix = d.planMix()
	}
	for d.formNext() {
	}
	if !d.blocked {
		d.planStaging()
	}
	d.planWarming()
	d.planDrain()
	return d.plan
}

type decision struct {
	in    Input
	loads int
	// counts are groups by model, those of the plan included.
	counts map[string]int
	// free are the VMs left, groups the groups by model, those of the plan included, by domain.
	free   [][]VM
	groups []map[string]int
	total  int
	// mix is how many groups of each model a domain is to have before callers come, by domain.
	mix []map[string]int
	// blocked says that a group waits for loads, so that none are to be spent on less.
	blocked bool
	plan    Plan
}

// goal is how many groups a model is to have: what its requests fill, with room, or, where the demand of a model is not known yet, its part when
// all VMs serve in proportion to the shares.
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

// need is how much a model lacks: higher for one whose groups are few beside its goal.
func (d *decision) need(model Model) float64 {
	return needRatio(d.goal(model), float64(d.counts[model.Name]))
}

// needRatio is finite for a model without groups.
func needRatio(goal, groups float64) float64 { return goal / (groups + needOffset) }

// needOffset is what no group counts as. It is small: callers of a model without any are all turned away.
const needOffset = 0.25

// gainOfGroup is how much less a model lacks with one more group, and cost how much more with one less, by the cubes of its need. So a group is
// worth what part of its model it is, and more where the model lacks more.
func (d *decision) gainOfGroup(model Model) float64 {
	goal, groups := d.goal(model), float64(d.counts[model.Name])
	return shortfallCost(goal, groups) - shortfallCost(goal, groups+1)
}

func (d *decision) costOfLoss(model Model) float64 {
	goal, groups := d.goal(model), float64(d.counts[model.Name])
	return shortfallCost(goal, max(0, groups-1)) - shortfallCost(goal, groups)
}

func shortfallCost(goal, groups float64) float64 {
	need := needRatio(goal, groups)
	return need * need * need
}

// isShort says whether a model has fewer groups than it is to have at most times.
func (d *decision) isShort(model Model) bool {
	count := float64(d.counts[model.Name])
	if model.DemandGroups > 0 {
		return count < demandHeadroom*model.DemandGroups+redundantGroups
	}
	return count < shortageThreshold*d.goal(model)
}

// candidate is one group that could be formed.
type candidate struct {
	domain int
	model  Model
	loads  int
	need   float64
	// groups is how many of the model the domain has.
	groups int
}

// formNext adds the most needed group to the plan, and returns false when there is none. A group that is needed more than all others
// and waits for loads is not overtaken by one that needs fewer: the larger model would never get its share.
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

// preferredOver prefers the model that lacks more, then the domain with fewer groups of it, then fewer loads: only before callers come are there any,
// and then they cost next to nothing.
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
	loads := max(0, model.Size-countStaged(d.free[i], model.Name))
	if loads > 0 && !d.in.BeforeTraffic {
		return nil
	}
	return &candidate{domain: i, model: model, loads: loads, need: d.need(model), groups: d.groups[i][model.Name]}
}

// canForm says whether a domain has the VMs for one more group of a model, and should have it.
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

// registering says that the VMs of a domain are still being listed.
func (d *decision) registering(i int) bool { return d.in.BeforeTraffic && d.in.Domains[i].Registering }

// countStaged counts the VMs that have a model's weights.
func countStaged(free []VM, model string) int {
	n := 0
	for _, vm := range free {
		if vm.Staged == model && vm.Staging == "" {
			n++
		}
	}
	return n
}

// sortByDistance returns the VMs in the order in which they would take up the model.
func sortByDistance(vms []VM, model string) []VM {
	sorted := slices.Clone(vms)
	slices.SortStableFunc(sorted, func(a, b VM) int {
		return cmp.Or(cmp.Compare(a.distance(model), b.distance(model)), cmp.Compare(a.ID, b.ID))
	})
	return sorted
}

// Distances of a VM from serving a model.
const (
	distanceLoaded = iota
	distanceStaged
	distanceLoad
	// distanceReplace is a load that drops another model's weights.
	distanceReplace
	// distanceStaging is a VM that is staging now.
	distanceStaging
)

func (v VM) distance(model string) int {
	switch {
	case v.Staging != "":
		return distanceStaging
	case v.Loaded == model && v.Staged == model:
		return distanceLoaded
	case v.Staged == model:
		return distanceStaged
	case v.Staged == "":
		return distanceLoad
	}
	return distanceReplace
}

func (d *decision) addFormation(c *candidate) {
	formation := Formation{Domain: d.in.Domains[c.domain].Name, Model: c.model.Name, Loads: c.loads}
	for _, vm := range sortByDistance(d.free[c.domain], c.model.Name)[:c.model.Size] {
		formation.Members = append(formation.Members, vm.ID)
		d.free[c.domain] = slices.DeleteFunc(d.free[c.domain], func(other VM) bool { return other.ID == vm.ID })
	}
	d.plan.Form = append(d.plan.Form, formation)
	d.counts[c.model.Name]++
	d.groups[c.domain][c.model.Name]++
	d.loads -= c.loads
}
