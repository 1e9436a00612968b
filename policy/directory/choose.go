// Package directory decides which entries a caller is told to use.
//
// Load pattern: thousands of callers, each of which asks any entry, keeps the answer for a while, and
// connects to the first address that works. No balancer stands in between: the answers are the
// balance.
//
// What goes wrong without it: given the same sorted list, all callers connect to its first entry; it
// saturates while the others idle, and when it dies all go to the second at once. Given only near
// entries, a failure domain in which most callers sit saturates, and its loss leaves its callers
// without an address.
//
// So each answer is drawn anew, from the caller's failure domain first, then from its place; entries
// that say they are overloaded are left out, which turns the rest elsewhere; and the end of each answer
// stands in other failure domains.
package directory

import (
	"math/rand/v2"
	"time"
)

// Candidate is an entry that a caller could be told.
type Candidate struct {
	Name          string
	Place         string
	FailureDomain string
	Leaving       bool
	Dead          bool
	Overloaded    bool
}

// Caller says where the caller is; empty fields are not known.
type Caller struct {
	Place         string
	FailureDomain string
}

// Config holds the thresholds.
type Config struct {
	// Count is how many entries an answer holds. A caller needs one, and others to turn to: with six,
	// the chance that all of them fail within the time that an answer is kept is that of a lost place.
	Count int
	// OtherDomains is how many of them stand in other failure domains than the first, since a domain
	// fails as a whole. Never all of them: the first is the nearest.
	OtherDomains int
	// PanicThreshold is the least share of usable entries that must not be overloaded for the others to be
	// left out. When more than half of all say so, the load is too high everywhere, and leaving
	// them out would only crush the rest one after the other.
	PanicThreshold float64
	// MinDomainShare is the least size of the caller's failure domain, as a share of an even split, for it to
	// go first. A domain with one entry left can't take all its callers.
	MinDomainShare float64
	// TTLJitter is the share by which the time to keep an answer varies, so that callers that were
	// started together do not come back together.
	TTLJitter float64
}

// DefaultConfig returns the thresholds in use.
func DefaultConfig() Config {
	return Config{Count: 6, OtherDomains: 2, PanicThreshold: 0.5, MinDomainShare: 0.5, TTLJitter: 0.2}
}

// Choose returns the entries to tell the caller, best first. It returns none only if none is usable.
func Choose(cfg Config, entries []Candidate, caller Caller, r *rand.Rand) []Candidate {
	candidates := cfg.calm(usable(entries))
	r.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	ranked := cfg.nearFirst(candidates, caller)
	if len(ranked) <= cfg.Count {
		return ranked
	}
	return cfg.spread(ranked)
}

// JitterTTL returns how long an answer may be kept, at most ttl.
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

func (cfg Config) calm(entries []Candidate) []Candidate {
	calm := filter(entries, func(e Candidate) bool { return !e.Overloaded })
	if float64(len(calm)) < cfg.PanicThreshold*float64(len(entries)) {
		return entries
	}
	return calm
}

// nearFirst orders by nearness and keeps the given order among equals.
func (cfg Config) nearFirst(entries []Candidate, caller Caller) []Candidate {
	inPlace := func(e Candidate) bool { return caller.Place == "" || e.Place == caller.Place }
	near := func(e Candidate) bool { return inPlace(e) && e.FailureDomain == caller.FailureDomain }
	if !cfg.carries(filter(entries, inPlace), caller.FailureDomain) {
		near = func(Candidate) bool { return false }
	}
	ranked := filter(entries, near)
	ranked = append(ranked, filter(entries, func(e Candidate) bool { return inPlace(e) && !near(e) })...)
	return append(ranked, filter(entries, func(e Candidate) bool { return !inPlace(e) })...)
}

// carries reports whether a failure domain of the place has its share of entries.
func (cfg Config) carries(inPlace []Candidate, domain string) bool {
	sizes := make(map[string]int)
	for _, e := range inPlace {
		sizes[e.FailureDomain]++
	}
	even := float64(len(inPlace)) / float64(max(1, len(sizes)))
	return float64(sizes[domain]) >= cfg.MinDomainShare*even && sizes[domain] > 0
}

// spread takes the first of the ranked and, for the end, entries of other failure domains than the
// first one's, each of another domain as long as there are any.
func (cfg Config) spread(ranked []Candidate) []Candidate {
	first := ranked[0]
	seen := map[string]bool{domainOf(first): true}
	var fresh, other []int
	for i, e := range ranked {
		switch {
		case domainOf(e) == domainOf(first):
		case !seen[domainOf(e)]:
			seen[domainOf(e)] = true
			fresh = append(fresh, i)
		default:
			other = append(other, i)
		}
	}
	elsewhere := append(fresh, other...)
	elsewhere = elsewhere[:min(cfg.OtherDomains, cfg.Count-1, len(elsewhere))]
	taken := make(map[int]bool, len(elsewhere))
	for _, i := range elsewhere {
		taken[i] = true
	}
	chosen := make([]Candidate, 0, cfg.Count)
	for i, e := range ranked {
		if !taken[i] && len(chosen) < cfg.Count-len(elsewhere) {
			chosen = append(chosen, e)
		}
	}
	for _, i := range elsewhere {
		chosen = append(chosen, ranked[i])
	}
	return chosen
}

func domainOf(e Candidate) string { return e.Place + "/" + e.FailureDomain }
