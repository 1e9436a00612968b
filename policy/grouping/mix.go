package grouping

import "slices"

// This file plans the groups of all domains together, before callers come.
//
// Load pattern: groups are formed within seconds, from nothing, for a demand of which only the models' shares are known; a domain holds one
// or two groups of the larger models, and some VMs remain that fit none. Later, VMs are lost one by one.
//
// What goes wrong without it: each group is chosen by itself, and what is chosen first leaves no room for the rest. A domain of 11 VMs that
// gets three groups of three holds none of six; with all domains like that, one model has twice its part and the other's callers are turned
// away all day. Or VMs are counted as spares that are enough for a group: once callers come they form one, of the model whose weights they happen to have.
//
// So each way to fill a domain, up to the last group that fits, is valued by the groups that would stand on average, given the spares that it leaves.

// initialLossRate is the part of the VMs that is taken to be lost in a second, one of two hundred, while nothing is known of losses yet. Where more are lost,
// spares are loaded for it once callers come.
const initialLossRate = 0.005

// maxMixPasses bounds how often all domains are looked at again; two or three settle it.
const maxMixPasses = 8

// packing is one packing to use the VMs of a domain.
type packing struct {
	// groups are formed and standing are those that stand on average, by model.
	groups    []int
	available []float64
}

// mixPlanner is a plan in the making.
type mixPlanner struct {
	models []Model
	// goals are the groups that the models are to have, and available the groups of all domains that stand on average, by model.
	goals, available []float64
	// packings are the packings to use a number of VMs.
	packings map[int][]packing
}

// planMix returns how many groups of each model each domain is to have.
func (d *decision) planMix() []map[string]int {
	p := &mixPlanner{models: d.in.Models, available: make([]float64, len(d.in.Models)), packings: make(map[int][]packing)}
	for _, model := range p.models {
		p.goals = append(p.goals, d.goal(model))
	}
	none := packing{groups: make([]int, len(p.models)), available: make([]float64, len(p.models))}
	chosen := make([]packing, len(d.in.Domains))
	for i := range chosen {
		chosen[i] = none
	}
	for range maxMixPasses {
		changed := false
		for i, domain := range d.in.Domains {
			changed = p.improve(&chosen[i], domain.Total) || changed
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

// improve changes the way of a domain to the best one, the other domains being as they are, and says whether it did.
func (p *mixPlanner) improve(current *packing, total int) bool {
	best, improved := *current, false
	bestValue := p.value(*current, best)
	for _, other := range p.packingsFor(total) {
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

// minGain keeps two ways of the same value from taking turns.
const minGain = 1e-9

// value is higher where less is lacking when a domain that is used in one way is used in another. Cubes make it worst to lack much of one
// model.
func (p *mixPlanner) value(current, next packing) float64 {
	value := 0.0
	for m := range p.available {
		value -= shortfallCost(p.goals[m], p.available[m]-current.available[m]+next.available[m])
	}
	return value
}

// packingsFor returns the ways to use some VMs. None leaves enough for one more group.
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

// newPacking gives each spare the weights that keep most from being missed, and works out what stands on average.
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

// expectedAvailable is how many of a domain's groups of a model stand on average, with some spares that have its weights.
func (p *mixPlanner) expectedAvailable(m, groups, spares int) float64 {
	model := p.models[m]
	lossRate := initialLossRate * float64(model.Size) // groups a second, for each that stands
	noSpareProbability := poissonTail(float64(groups*model.Size)*initialLossRate*model.LoadTime.Seconds(), spares+1)
	downtime := groupRecoveryTime.Seconds() + noSpareProbability*model.LoadTime.Seconds()
	return float64(groups) / (1 + lossRate*downtime)
}
