// Load pattern of this file: requests that share long prompt prefixes, over groups that each hold few of
// them in their cache. Without affinity, each group sees every prefix and its cache holds the wrong ones:
// an operator would notice a low share of prefix hits, and first tokens and refusals that rise far below
// the engines' capacity. With affinity alone, a prefix that takes a fifth of the load takes down the one
// group it belongs to. So a prefix goes to the first group in its rendezvous order that is below a
// bound, and a request without a prefix to the less loaded of two random groups, since the least loaded
// of all, known late, is where every front goes at once.
//
// Thresholds (figures: docs/measurements/group-choice.md): below FreeLoad of its limit a group meets its
// objectives, as its home measures them, and a prefix gains nothing by leaving it; the rest up to the
// limit is room for what the other fronts sent since the report. BoundSlack weighs hits against balance:
// at 0.1 hits fall by 8 in 100 in a burst, at 1 first tokens at 95 in 100 are 6 times as long under
// skewed prefixes. A near group saves a few milliseconds, so it is left as soon as it is above the mean,
// and NearLoad only keeps chance from deciding while there is plenty of room.

package balance

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// MaxTried is how many groups of Request.Tried are taken into account.
const MaxTried = 8

// Request is what a choice depends on.
type Request struct {
	// Prefix is the hash of the prompt's prefix; 0: none.
	Prefix uint64
	// Tried are the groups that an earlier try of the request went to. They are not chosen again.
	Tried []string
}

// Reason says why a group was chosen.
type Reason uint8

// The reasons.
const (
	// NoGroup: none is ready, or all that are were tried.
	NoGroup Reason = iota
	// Affine: the first of the prefix's groups.
	Affine
	// Spilled: a later one of the prefix's groups, since the earlier ones are over the bound.
	Spilled
	// Spread: the less loaded of two of the groups over which a popular prefix is spread.
	Spread
	// Near: the less loaded of two in the front's own failure domain.
	Near
	// LessLoaded: the less loaded of two of all.
	LessLoaded
	// Trial: a slow group, to see whether it recovered.
	Trial
	// OnlySlow: every other group was tried or is not ready.
	OnlySlow
)

var reasonNames = [...]string{"no-group", "affine", "spilled", "spread", "near", "less-loaded", "trial", "only-slow"}

// String returns the reason's name in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Choice is the outcome of a decision.
type Choice struct {
	// ID is the group's; empty if there is none.
	ID     string
	Reason Reason
}

// Choose picks a group. It allocates nothing but at a refresh after the table grew.
func (t *Table) Choose(now time.Duration, request Request, random *rand.Rand) Choice {
	t.refresh(now)
	tried := t.triedGroups(request.Tried)
	i, reason := t.choose(now, request.Prefix, &tried, random)
	if i < 0 {
		return Choice{}
	}
	return Choice{ID: t.groups[i].ID, Reason: reason}
}

func (t *Table) choose(now time.Duration, prefix uint64, tried *triedSet, random *rand.Rand) (int, Reason) {
	if i := t.trial(tried, random); i >= 0 {
		return i, Trial
	}
	bound := t.bound()
	if prefix != 0 {
		if i, reason := t.affine(now, prefix, bound, tried, random); i >= 0 {
			return i, reason
		}
	}
	if i := t.lessLoaded(t.near, tried, random); i >= 0 && t.loads[i] < max(t.config.NearLoad, t.mean()) {
		return i, Near
	}
	if i := t.lessLoaded(t.open, tried, random); i >= 0 {
		return i, LessLoaded
	}
	return t.lessLoaded(t.avoided, tried, random), OnlySlow
}

// bound is the load from which affinity passes a group over.
func (t *Table) bound() float64 {
	return max(t.config.MinLoadBound, (1+t.config.BoundSlack)*t.mean())
}

// affine returns the group of a prefix, or the less loaded of two if it is spread over several; -1 if all
// are at the bound.
func (t *Table) affine(now time.Duration, prefix uint64, bound float64, tried *triedSet, random *rand.Rand) (int, Reason) {
	share := t.popular.share(now, prefix)
	places := int(math.Ceil(share * t.config.SpreadFactor * float64(len(t.open))))
	if places <= 1 {
		return t.firstBelow(bound, prefix, tried)
	}
	i, reason := t.firstBelow(bound, place(prefix, random.IntN(places)), tried)
	if i < 0 || reason == Spilled {
		return i, reason
	}
	j, _ := t.firstBelow(bound, place(prefix, random.IntN(places)), tried)
	if t.loads[j] < t.loads[i] {
		return j, Spread
	}
	return i, Spread
}

// place is the hash that stands for a prefix in one of its places; the first is the prefix itself.
func place(prefix uint64, number int) uint64 {
	return prefix + uint64(number)*0x9e3779b97f4a7c15
}

// firstBelow returns the first group in the rendezvous order of a hash with a load below bound, or -1.
func (t *Table) firstBelow(bound float64, hash uint64, tried *triedSet) (int, Reason) {
	chosen, first := -1, -1
	var chosenWeight, firstWeight uint64
	for i, load := range t.loads {
		weight := mix(hash ^ t.hashes[i])
		if weight < chosenWeight || math.IsInf(load, 1) || tried.has(i) {
			continue
		}
		if weight >= firstWeight {
			first, firstWeight = i, weight
		}
		if load < bound {
			chosen, chosenWeight = i, weight
		}
	}
	if chosen != first {
		return chosen, Spilled
	}
	return chosen, Affine
}

// lessLoaded returns the less loaded of two random groups of those listed, or -1.
func (t *Table) lessLoaded(listed []int, tried *triedSet, random *rand.Rand) int {
	count := len(listed)
	if count == 0 {
		return -1
	}
	start := random.IntN(count)
	a := pick(listed, start, tried)
	if count == 1 || a < 0 {
		return a
	}
	b := pick(listed, start+1+random.IntN(count-1), tried)
	if t.loads[b] < t.loads[a] {
		return b
	}
	return a
}

// pick returns the first group from start on, of those listed, that was not tried, or -1.
func pick(listed []int, start int, tried *triedSet) int {
	for k := range listed {
		i := listed[(start+k)%len(listed)]
		if !tried.has(i) {
			return i
		}
	}
	return -1
}

// trial returns an avoided group that it is time to try, or -1.
func (t *Table) trial(tried *triedSet, random *rand.Rand) int {
	if len(t.avoided) == 0 {
		return -1
	}
	fair := float64(len(t.avoided)) / float64(t.ready)
	if random.Float64() >= fair*t.config.SlowTrialShare {
		return -1
	}
	i := pick(t.avoided, random.IntN(len(t.avoided)), tried)
	if i < 0 || t.groups[i].work(t.correction) >= t.groups[i].capacity {
		return -1
	}
	return i
}

// triedSet holds the indexes of tried groups.
type triedSet struct {
	indexes [MaxTried]int
	count   int
}

func (t *Table) triedGroups(ids []string) triedSet {
	var set triedSet
	for _, id := range ids {
		i, known := t.index[id]
		if known && set.count < MaxTried {
			set.indexes[set.count] = i
			set.count++
		}
	}
	return set
}

func (s *triedSet) has(i int) bool {
	for _, tried := range s.indexes[:s.count] {
		if tried == i {
			return true
		}
	}
	return false
}

// hashID is alike on all fronts, so that a prefix has the same order of groups everywhere.
func hashID(id string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id))
	return mix(digest.Sum64())
}

// mix spreads every bit of x over all bits (the finalizer of MurmurHash3), so that prefixes and ids that
// differ in few bits order the groups independently.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
