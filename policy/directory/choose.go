// Package directory decides which entries a caller is told to connect to.
//
// Thousands of callers each ask any entry for addresses, keep the answer for a while, and connect to the first
// address that works. There is no load balancer in between, so the answers alone distribute the load.
//
// If all callers got the same sorted list, they would all connect to its first entry: it saturates while the
// others are idle, and when it dies all callers move to the second at once. If they got only entries nearby, a
// failure domain that holds most callers would saturate, and its loss would leave its callers without an
// address.
//
// Each answer is therefore drawn at random, from the caller's failure domain first and then from its place, the
// region that holds the failure domain. Entries that report overload are left out, which sends callers elsewhere,
// and the last entries of each answer are in other failure domains. Entries that have lost their connections to the
// backend servers are left out as well, unless all have: each request that they get has to be passed on.
package directory

import (
	"math/rand/v2"
	"time"
)

// Candidate is an entry that may be part of an answer.
type Candidate struct {
	Name          string
	Place         string
	FailureDomain string
	Leaving       bool
	Dead          bool
	Overloaded    bool
	// Isolated entries have lost their connections to the backend servers.
	Isolated bool
}

// Caller is the location of the caller. Empty fields are not known.
type Caller struct {
	Place         string
	FailureDomain string
}

// Config holds the settings of Choose and JitterTTL.
type Config struct {
	// Count is how many entries an answer holds. A caller needs one, and others as a fallback: with six, the
	// chance that all of them fail while the answer is kept is that of losing a whole place.
	Count int
	// OtherDomains is how many of them are in other failure domains than the first, since a domain fails as a
	// whole. It never covers the whole answer: the first entry is the nearest.
	OtherDomains int
	// PanicThreshold is the share of usable entries that must not be overloaded for overloaded ones to be left
	// out. If more than half report overload, the load is too high everywhere, and leaving them out would only
	// overload the remaining ones one after the other.
	PanicThreshold float64
	// MinDomainShare is the least size of the caller's failure domain, as a share of an even split over the
	// domains, for its entries to come first. A domain with one entry left can't serve all its callers.
	MinDomainShare float64
	// TTLJitter is the largest share by which the time to keep an answer is shortened at random, so that
	// callers that started together do not ask again together.
	TTLJitter float64
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{Count: 6, OtherDomains: 2, PanicThreshold: 0.5, MinDomainShare: 0.5, TTLJitter: 0.2}
}

// Choose returns the entries for the caller, best first. It returns none only if no entry is usable.
func Choose(cfg Config, entries []Candidate, caller Caller, r *rand.Rand) []Candidate {
	candidates := cfg.dropOverloaded(dropIsolated(usable(entries)))
	r.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	ranked := cfg.orderByProximity(candidates, caller)
	if len(ranked) <= cfg.Count {
		return ranked
	}
	return cfg.addOtherDomains(ranked)
}

// JitterTTL returns how long an answer may be kept: ttl, shortened by a random part of up to TTLJitter.
func JitterTTL(cfg Config, ttl time.Duration, r *rand.Rand) time.Duration {
	return ttl - time.Duration(cfg.TTLJitter*r.Float64()*float64(ttl))
}

func usable(entries []Candidate) []Candidate {
	return filter(entries, func(e Candidate) bool { return !e.Leaving && !e.Dead })
}

func filter(entries []Candidate, keep func(Candidate) bool) []Candidate {
	kept := make([]Candidate, 0, len(entries))
	for _, e := range entries {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	return kept
}

// dropIsolated leaves out isolated entries, unless all are: the servers are then more likely to be down.
func dropIsolated(entries []Candidate) []Candidate {
	rest := filter(entries, func(e Candidate) bool { return !e.Isolated })
	if len(rest) == 0 {
		return entries
	}
	return rest
}

// dropOverloaded leaves out overloaded entries, unless the others are less than PanicThreshold of all.
func (cfg Config) dropOverloaded(entries []Candidate) []Candidate {
	rest := filter(entries, func(e Candidate) bool { return !e.Overloaded })
	if float64(len(rest)) < cfg.PanicThreshold*float64(len(entries)) {
		return entries
	}
	return rest
}

// orderByProximity puts the caller's failure domain first, then its place, then the rest. Equally near entries
// keep their order.
func (cfg Config) orderByProximity(entries []Candidate, caller Caller) []Candidate {
	inPlace := func(e Candidate) bool { return caller.Place == "" || e.Place == caller.Place }
	near := func(e Candidate) bool { return inPlace(e) && e.FailureDomain == caller.FailureDomain }
	if !cfg.hasCapacity(filter(entries, inPlace), caller.FailureDomain) {
		near = func(Candidate) bool { return false }
	}
	ranked := filter(entries, near)
	ranked = append(ranked, filter(entries, func(e Candidate) bool { return inPlace(e) && !near(e) })...)
	return append(ranked, filter(entries, func(e Candidate) bool { return !inPlace(e) })...)
}

// hasCapacity reports whether a failure domain has at least MinDomainShare of an even split of the place's entries.
func (cfg Config) hasCapacity(inPlace []Candidate, domain string) bool {
	sizes := make(map[string]int)
	for _, e := range inPlace {
		sizes[e.FailureDomain]++
	}
	evenSize := float64(len(inPlace)) / float64(max(1, len(sizes)))
	return float64(sizes[domain]) >= cfg.MinDomainShare*evenSize && sizes[domain] > 0
}

// addOtherDomains truncates ranked to Count entries of which the last OtherDomains are in other failure domains than
// the first one. They are in different domains as far as there are enough.
func (cfg Config) addOtherDomains(ranked []Candidate) []Candidate {
	first := ranked[0]
	seen := map[string]bool{domainKey(first): true}
	var newDomains, repeated []int
	for i, e := range ranked {
		switch {
		case domainKey(e) == domainKey(first):
		case !seen[domainKey(e)]:
			seen[domainKey(e)] = true
			newDomains = append(newDomains, i)
		default:
			repeated = append(repeated, i)
		}
	}
	remote := append(newDomains, repeated...)
	remote = remote[:min(cfg.OtherDomains, cfg.Count-1, len(remote))]
	taken := make(map[int]bool, len(remote))
	for _, i := range remote {
		taken[i] = true
	}
	chosen := make([]Candidate, 0, cfg.Count)
	for i, e := range ranked {
		if !taken[i] && len(chosen) < cfg.Count-len(remote) {
			chosen = append(chosen, e)
		}
	}
	for _, i := range remote {
		chosen = append(chosen, ranked[i])
	}
	return chosen
}

// domainKey identifies a failure domain; its name alone is unique only within a place.
func domainKey(e Candidate) string { return e.Place + "/" + e.FailureDomain }
