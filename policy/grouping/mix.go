package grouping

import "slices"

// This file plans the groups of all domains together, before the first request.
//
// Workload: groups are formed within seconds from VMs without weights, for a demand of which only the models' shares are known. A domain
// holds one or two groups of the larger models, and some VMs remain that fit no group. Later, VMs are lost one by one.
//
// Failure modes without this policy: each group is chosen on its own, and the first choices leave no room for the rest. A domain of 11 VMs
// that gets three groups of three has no room for one of six; if all domains are filled that way, one model gets twice its share and the
// requests of the other are refused all day. Or enough VMs for a whole group are counted as spares, and with the first requests they form a
// group of whichever model's weights they happen to have.
//
// The planner therefore evaluates each way to pack a domain with groups until no further group fits, by the expected number of available
// groups given the spares that it leaves.

// initialLossRate is the fraction of the VMs assumed to be lost per second, 1 of 200, before any losses are observed. If more are lost, spares
// for that are loaded after the first requests.
const initialLossRate = 0.005

// maxMixPasses bounds the passes over all domains; the plan usually converges after two or three.
const maxMixPasses = 8

// packing is one way to divide the VMs of a domain into groups.
type packing struct {
	// groups is the number of groups formed, and available the expected number of groups that are available, both by model.
	groups    []int
	available []float64
}

// mixPlanner searches for the best packing of each domain.
type mixPlanner struct {
	models []Model
	// goals is the number of groups that each model should have, and available the expected number of available groups over all domains, by
	// model.
	goals, available []float64
	// packings caches the possible packings by the number of VMs.
	packings map[int][]packing
}

// planMix returns the number of groups of each model that each domain should have. Domains are listed one after the other, so a plan
// changes until the last one is. It keeps the groups that exist already: their VMs would be missing from any other plan.
func (d *decision) planMix() []map[string]int {
	p := &mixPlanner{models: d.in.Models, available: make([]float64, len(d.in.Models)), packings: make(map[int][]packing)}
	for _, model := range p.models {
		p.goals = append(p.goals, d.goal(model))
	}
	chosen := make([]packing, len(d.in.Domains))
	existing := make([][]int, len(d.in.Domains))
	for i, domain := range d.in.Domains {
		left := domain.Total
		for _, model := range p.models {
			existing[i] = append(existing[i], d.groups[i][model.Name])
			left -= d.groups[i][model.Name] * model.Size
		}
		chosen[i] = p.newPacking(existing[i], max(0, left))
		for m := range p.models {
			p.available[m] += chosen[i].available[m]
		}
	}
	for range maxMixPasses {
		changed := false
		for i, domain := range d.in.Domains {
			changed = p.improve(&chosen[i], domain.Total, existing[i]) || changed
		}
		if !changed {
			break
		}
	}
	mix := make([]map[string]int, len(chosen))
	for i, choice := range chosen {
		mix[i] = make(map[string]int, len(p.models))
		for m, n := range choice.groups {
			mix[i][p.models[m].Name] = n
		}
	}
	return mix
}

// improve replaces the packing of a domain by the best one that keeps the existing groups, with the other domains unchanged, and reports
// whether it changed.
func (p *mixPlanner) improve(current *packing, total int, existing []int) bool {
	best, improved := *current, false
	bestValue := p.value(*current, best)
	for _, other := range p.packingsFor(total) {
		if !other.keeps(existing) {
			continue
		}
		if value := p.value(*current, other); value > bestValue+minGain {
			best, bestValue, improved = other, value, true
		}
	}
	for m := range p.available {
		p.available[m] += best.available[m] - current.available[m]
	}
	*current = best
	return improved
}

// keeps reports whether the packing has at least the given numbers of groups.
func (w packing) keeps(groups []int) bool {
	for m, n := range groups {
		if w.groups[m] < n {
			return false
		}
	}
	return true
}

// minGain prevents the planner from alternating between two packings of the same value. It also stands in for a goal of zero in a division.
const minGain = 1e-9

// value is higher the lower the total shortfall cost is after a domain changes from the current packing to the next one. The cost is cubic,
// so a large shortfall of one model counts more than small shortfalls of several.
func (p *mixPlanner) value(current, next packing) float64 {
	value := 0.0
	for m := range p.available {
		value -= shortfallCost(p.goals[m], p.available[m]-current.available[m]+next.available[m])
	}
	return value
}

// packingsFor returns the ways to divide the given number of VMs. No packing leaves enough VMs for another group.
func (p *mixPlanner) packingsFor(total int) []packing {
	if packings, ok := p.packings[total]; ok {
		return packings
	}
	smallest := total + 1
	for _, model := range p.models {
		smallest = min(smallest, model.Size)
	}
	var packings []packing
	groups := make([]int, len(p.models))
	var fill func(m, left int)
	fill = func(m, left int) {
		if m == len(p.models) {
			if left < smallest {
				packings = append(packings, p.newPacking(slices.Clone(groups), left))
			}
			return
		}
		size := p.models[m].Size
		for n := 0; n*size <= left; n++ {
			groups[m] = n
			fill(m+1, left-n*size)
		}
		groups[m] = 0
	}
	fill(0, total)
	p.packings[total] = packings
	return packings
}

// newPacking gives each spare the weights of the model that gains most availability relative to its goal, and computes the expected number
// of available groups.
func (p *mixPlanner) newPacking(groups []int, spares int) packing {
	w := packing{groups: groups, available: make([]float64, len(groups))}
	sparesOf := make([]int, len(groups))
	for range spares {
		best, bestGain := 0, -1.0
		for m := range groups {
			gain := (p.expectedAvailable(m, groups[m], sparesOf[m]+1) - p.expectedAvailable(m, groups[m], sparesOf[m])) / max(p.goals[m], minGain)
			if gain > bestGain {
				best, bestGain = m, gain
			}
		}
		sparesOf[best]++
	}
	for m := range groups {
		w.available[m] = p.expectedAvailable(m, groups[m], sparesOf[m])
	}
	return w
}

// expectedAvailable is the expected number of a domain's groups of a model that are available, given the number of spares with its weights.
func (p *mixPlanner) expectedAvailable(m, groups, spares int) float64 {
	model := p.models[m]
	lossRate := initialLossRate * float64(model.Size) // losses per second of one available group
	noSpareProbability := poissonTail(float64(groups*model.Size)*initialLossRate*model.LoadTime.Seconds(), spares+1)
	downtime := groupRecoveryTime.Seconds() + noSpareProbability*model.LoadTime.Seconds()
	return float64(groups) / (1 + lossRate*downtime)
}
