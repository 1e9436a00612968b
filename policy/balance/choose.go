// Requests share long prompt prefixes, and each group's cache holds only a few of them. Without affinity every
// group sees every prefix and evicts what it needs next: the cache hit rate is low, and times to first token
// and refusals rise far below the engines' capacity. With affinity alone, a prefix that takes a fifth of the
// load overloads the one group it belongs to. A prefix therefore goes to the first group in its rendezvous
// hashing order whose load is below a bound. A request without a prefix goes to the less loaded of two random
// groups: the least loaded of all is known only from late reports, so every front would pick it at once.
//
// Thresholds (figures: docs/measurements/group-choice.md): below MinLoadBound of its limit a group meets its
// objectives, as measured by its home, and a prefix gains nothing by leaving it; the rest up to the limit is
// headroom for what other fronts sent since the report. BoundSlack trades cache hits against balance: at 0.1,
// hits fall by 8 % in a burst; at 1, the 95th percentile of the time to first token is 6 times as long under
// skewed prefixes. A group in the same failure domain saves only a few milliseconds, so it is left as soon as
// its load is above the mean; NearLoad only keeps chance from deciding while there is plenty of capacity.

package balance

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// MaxTried is how many groups of Request.Tried are taken into account.
const MaxTried = 8

// Request holds the properties of a request that a choice depends on.
type Request struct {
	// Prefix is the hash of the prompt's prefix, or 0 if it has none.
	Prefix uint64
	// Tried lists the groups that earlier attempts of the request went to. They are not chosen again.
	Tried []string
}

// Reason says why a group was chosen.
type Reason uint8

// The reasons.
const (
	// NoGroup: no group is ready, or all ready groups were tried.
	NoGroup Reason = iota
	// Affine: the first group in the prefix's rendezvous order.
	Affine
	// Spilled: a later group in the prefix's rendezvous order; the earlier ones are above the load bound.
	Spilled
	// Spread: the less loaded of two of the groups over which a popular prefix is spread.
	Spread
	// Near: the less loaded of two groups in the front's own failure domain.
	Near
	// LessLoaded: the less loaded of two groups out of all.
	LessLoaded
	// Trial: an avoided slow group, to find out whether it recovered.
	Trial
	// OnlySlow: a slow group, because every other one was tried or is not ready.
	OnlySlow
)

var reasonNames = [...]string{"no-group", "affine", "spilled", "spread", "near", "less-loaded", "trial", "only-slow"}

// String returns the reason's name in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Choice is the result of Table.Choose.
type Choice struct {
	// ID names the chosen group; it is empty if there is none.
	ID     string
	Reason Reason
}

// Choose picks a group. It allocates only in the first refresh after the table has grown.
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
	if i := t.trialGroup(tried, random); i >= 0 {
		return i, Trial
	}
	bound := t.loadBound()
	if prefix != 0 {
		if i, reason := t.chooseAffine(now, prefix, bound, tried, random); i >= 0 {
			return i, reason
		}
	}
	if i := t.lessLoadedOfTwo(t.near, tried, random); i >= 0 && t.loads[i] < max(t.config.NearLoad, t.meanLoad()) {
		return i, Near
	}
	if i := t.lessLoadedOfTwo(t.eligible, tried, random); i >= 0 {
		return i, LessLoaded
	}
	return t.lessLoadedOfTwo(t.avoided, tried, random), OnlySlow
}

// loadBound returns the load at which affinity passes over a group.
func (t *Table) loadBound() float64 {
	return max(t.config.MinLoadBound, (1+t.config.BoundSlack)*t.meanLoad())
}

// chooseAffine returns the group of a prefix, or for a popular prefix the less loaded of two of its groups. It
// returns -1 if all groups have reached the bound.
func (t *Table) chooseAffine(now time.Duration, prefix uint64, bound float64, tried *triedSet, random *rand.Rand) (int, Reason) {
	share := t.popular.observe(now, prefix)
	copies := int(math.Ceil(share * t.config.SpreadFactor * float64(len(t.eligible))))
	if copies <= 1 {
		return t.firstBelow(bound, prefix, tried)
	}
	i, reason := t.firstBelow(bound, spreadHash(prefix, random.IntN(copies)), tried)
	if i < 0 || reason == Spilled {
		return i, reason
	}
	j, _ := t.firstBelow(bound, spreadHash(prefix, random.IntN(copies)), tried)
	if t.loads[j] < t.loads[i] {
		return j, Spread
	}
	return i, Spread
}

// spreadHash returns the hash of one copy of a prefix. Each copy has its own rendezvous order of groups; copy 0
// uses the prefix itself.
func spreadHash(prefix uint64, copyIndex int) uint64 {
	return prefix + uint64(copyIndex)*0x9e3779b97f4a7c15
}

// firstBelow returns the first group in the rendezvous order of hash whose load is below bound, or -1.
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

// lessLoadedOfTwo returns the less loaded of two random candidates that were not tried, or -1.
func (t *Table) lessLoadedOfTwo(candidates []int, tried *triedSet, random *rand.Rand) int {
	count := len(candidates)
	if count == 0 {
		return -1
	}
	start := random.IntN(count)
	a := firstUntried(candidates, start, tried)
	if count == 1 || a < 0 {
		return a
	}
	b := firstUntried(candidates, start+1+random.IntN(count-1), tried)
	if t.loads[b] < t.loads[a] {
		return b
	}
	return a
}

// firstUntried returns the first candidate from index start on, wrapping around, that was not tried, or -1.
func firstUntried(candidates []int, start int, tried *triedSet) int {
	for k := range candidates {
		i := candidates[(start+k)%len(candidates)]
		if !tried.has(i) {
			return i
		}
	}
	return -1
}

// trialGroup returns an avoided group if this request is drawn as its trial, or -1.
func (t *Table) trialGroup(tried *triedSet, random *rand.Rand) int {
	if len(t.avoided) == 0 {
		return -1
	}
	fair := float64(len(t.avoided)) / float64(t.readyCount)
	if random.Float64() >= fair*t.config.SlowTrialShare {
		return -1
	}
	i := firstUntried(t.avoided, random.IntN(len(t.avoided)), tried)
	if i < 0 || t.groups[i].estimatedRequests(t.correction) >= t.groups[i].capacity {
		return -1
	}
	return i
}

// triedSet holds the indexes of the groups that were tried.
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

// hashID returns the same hash on all fronts, so that a prefix has the same order of groups everywhere.
func hashID(id string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id))
	return mix(digest.Sum64())
}

// mix makes every bit of the result depend on all bits of x (the finalizer of MurmurHash3), so that prefixes
// and ids that differ in few bits get independent orders of groups.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
