package suspicion

import (
	"maps"
	"slices"
	"time"
)

// derive finds the rules that follow from the evidence, and drops those that no longer do.
func (l *Ledger) derive(now time.Duration) {
	derived := make(map[string]bool)
	explained := l.explainedBy(func(rule *standing) bool { return rule.adopted })
	for _, tested := range []bool{false, true} {
		for {
			rule, crashes := l.nextRule(tested, explained)
			if len(crashes) == 0 {
				break
			}
			for _, id := range crashes {
				explained[id] = true
			}
			derived[rule.Key()] = true
			if known := l.rules[rule.Key()]; known != nil {
				known.adopted = false
				known.Crashes = max(known.Crashes, rule.Crashes)
				continue
			}
			found := &standing{Rule: rule}
			found.count(rule.Latest, rule.Crashes)
			l.rules[rule.Key()] = found
		}
	}
	for key, rule := range l.rules {
		if !rule.adopted && !derived[key] {
			delete(l.rules, key)
			l.released[key] = now
		}
	}
	l.dropRedundant()
}

// lastOf returns the last of some crashes of a trait.
func (l *Ledger) lastOf(crashes []string, trait string) string {
	r := l.records[trait]
	return slices.MaxFunc(crashes, func(a, b string) int { return int(r.crashes[a] - r.crashes[b]) })
}

// nextRule returns the rule that explains most of the crashes that are not explained yet, and the crashes that it explains. There are none if
// the evidence suffices for no rule. tested selects the traits that are considered.
func (l *Ledger) nextRule(tested bool, explained map[string]bool) (Rule, []string) {
	best := 0
	var tied []string
	for trait, r := range l.records {
		if len(r.crashes) < required(tested) || r.tested() != tested {
			continue
		}
		count := r.weight(explained)
		if count > best {
			best, tied = count, nil
		}
		if count == best && count > 0 {
			tied = append(tied, trait)
		}
	}
	if best < required(tested) {
		return Rule{}, nil
	}
	slices.Sort(tied)
	traits, crashes := l.undecided(tied, explained, required(tested))
	latest := l.records[traits[0]].crashes[l.lastOf(crashes, traits[0])]
	return Rule{Traits: traits, Crashes: len(crashes), Latest: latest}, crashes
}

// undecided returns the first of some traits and those between which and the first one the crashes don't decide, because they share enough of
// them; and the crashes that all of them share.
func (l *Ledger) undecided(tied []string, explained map[string]bool, enough int) (traits, shared []string) {
	shared = l.records[tied[0]].unexplained(explained)
	traits = tied[:1:1]
	for _, trait := range tied[1:] {
		both := slices.DeleteFunc(slices.Clone(shared), func(id string) bool { return !l.records[trait].has(id) })
		if len(both) >= enough {
			traits, shared = append(traits, trait), both
		}
	}
	return traits, shared
}

// required is the number of crashes that suffices for a rule.
func required(tested bool) int {
	if tested {
		return testedCrashes
	}
	return untestedCrashes
}

// weight is the number of unexplained crashes. Of a tested trait, those that are not some time apart count once.
func (r *record) weight(explained map[string]bool) int {
	ids := r.unexplained(explained)
	if !r.tested() {
		return len(ids)
	}
	spacing := progressedSpacing
	if r.finishedLately() {
		spacing = finishedSpacing
	}
	times := make([]time.Duration, 0, len(ids))
	for _, id := range ids {
		times = append(times, r.crashes[id])
	}
	slices.Sort(times)
	count := 0
	var last time.Duration
	for _, at := range times {
		if count == 0 || at-last >= spacing {
			count, last = count+1, at
		}
	}
	return count
}

// explained returns the crashes that the rules explain.
func (l *Ledger) explained() map[string]bool {
	return l.explainedBy(func(*standing) bool { return true })
}

// explainedBy returns the crashes that some of the rules explain: those at which all traits of a rule were in progress.
func (l *Ledger) explainedBy(use func(*standing) bool) map[string]bool {
	explained := make(map[string]bool)
	for _, rule := range l.rules {
		first := l.records[rule.Traits[0]]
		if first == nil || !use(rule) {
			continue
		}
		for id := range first.crashes {
			if l.allPresentAt(id, rule.Traits) {
				explained[id] = true
			}
		}
	}
	return explained
}

// dropRedundant drops rules that hold back only requests that another rule holds back.
func (l *Ledger) dropRedundant() {
	maps.DeleteFunc(l.rules, func(key string, rule *standing) bool {
		for otherKey, other := range l.rules {
			if otherKey != key && other.Matches(rule.Traits) {
				return true
			}
		}
		return false
	})
}
