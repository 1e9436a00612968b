// Package suspicion finds what requests have in common that crash backend servers.
//
// Load pattern: one part of a prompt crashes each server that begins to answer it, whatever else the request holds. Requests with that part
// come many times a second, at any entry, no two with the same content. Sound requests share the caller and all other parts; they run on the
// servers that crash and are lost with them.
//
// Without this decision each such request takes a server down, and callers of sound requests find none.
//
// A request is described by its traits: its whole content, and each part of its prompt. Evidence is counted per trait:
//
//   - A crash is one piece of evidence against each trait that was in progress on the server, however many requests had it and however many
//     entries report it.
//   - A request that finishes clears its traits of all earlier crashes. Traits that many requests share finish many times a second; one that
//     crashes servers never does.
//   - A trait that has neither finished lately nor belonged to a request that got past the beginning of its answer is held after
//     untestedCrashes crashes. One that has is held only after testedCrashes crashes at different moments: servers that crash for another reason,
//     with their VMs' rack, take many such requests along at once.
//   - Each crash has one cause. The trait that explains most crashes is held first, untested ones before tested ones, and those crashes no
//     longer count against others.
//   - Traits between which the crashes don't decide are held together: only requests that have all of them are refused. One that has some of
//     them decides it, at the cost of one crash at most.
//
// A held trait is tried again with one request, at intervals that double with each crash, so that an error is found and a trait that always
// crashes servers takes few of them down.
package suspicion

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// untestedCrashes is the number of crashes after which an untested trait is held. Servers that crash for other reasons often meet the same
	// rare trait twice: its request is repeated at a second server.
	untestedCrashes = 3
	// testedCrashes is the number of crashes after which a tested trait is held. They count if they are progressedSpacing apart, which crashes of one
	// rack are not, or finishedSpacing if requests with the trait finished lately.
	testedCrashes     = 5
	progressedSpacing = 150 * time.Millisecond
	finishedSpacing   = 500 * time.Millisecond
	// finishedFor is how long a trait counts as tested after a request with it has finished.
	finishedFor = 30 * time.Second
	// suspectCrashes is the number of crashes from which on a trait is a suspect: finished requests with it are of interest.
	suspectCrashes = 2
	// evidenceFor is how long a crash counts.
	evidenceFor = 10 * time.Minute
	// firstTrial is the time from the last crash to the first trial of a trait that is held after untestedCrashes crashes. It doubles with each
	// further crash, up to maxTrial.
	firstTrial = 30 * time.Second
	maxTrial   = time.Hour
	// trialRetry is the time after which a trial without a result is granted again.
	trialRetry = 10 * time.Second
	// holdFor is how long traits are held after their last crash.
	holdFor = 24 * time.Hour
	// adoptedSlack is the most by which observers differ on the time of a crash.
	adoptedSlack = 2 * time.Second
	// expiryInterval is the interval between searches for outdated evidence.
	expiryInterval = time.Second
	// maxRecords and maxSuspects bound the traits that are remembered and reported as suspects. maxRecordCrashes bounds the crashes that are
	// remembered of each.
	maxRecords       = 4096
	maxSuspects      = 64
	maxRecordCrashes = 64
)

// Observation is what an observer of a crash knows of a trait that was in progress on the server.
type Observation struct {
	Trait string
	// Finished is whether a request with the trait has finished, as far as the observer remembers, and FinishedAt when the last one did.
	Finished   bool
	FinishedAt time.Duration
	// Progressed is set if the server had sent more than the beginning of an answer to a request with the trait.
	Progressed bool
}

// Rule holds requests back that have all of its traits.
type Rule struct {
	// Traits is sorted.
	Traits []string
	// Crashes is the number of crashes that stand against the traits, and Latest the time of the last one.
	Crashes int
	Latest  time.Duration
}

// Matches reports whether a request with these traits is held back.
func (r Rule) Matches(traits []string) bool {
	return !slices.ContainsFunc(r.Traits, func(trait string) bool { return !slices.Contains(traits, trait) })
}

// Key identifies the rule among those of a service.
func (r Rule) Key() string { return strings.Join(r.Traits, " ") }

// record is the evidence about one trait.
type record struct {
	// crashes holds the time of each crash that counts, by its id.
	crashes    map[string]time.Duration
	finished   bool
	finishedAt time.Duration
	progressed bool
}

// standing is a rule in force.
type standing struct {
	Rule
	// adopted is set if the rule comes from an earlier leader, whose evidence is not here.
	adopted bool
	// nextTrial is when the next trial is due.
	nextTrial time.Duration
}

// Ledger holds the evidence about the requests of one service. Times are durations since any fixed instant. It is not safe for concurrent
// use.
type Ledger struct {
	records map[string]*record
	rules   map[string]*standing
	// released holds when rules were released, by key.
	released map[string]time.Duration
	// changed is set while rules don't reflect the latest evidence.
	changed bool
	// expiredAt is when outdated evidence was last looked for.
	expiredAt time.Duration
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{records: make(map[string]*record), rules: make(map[string]*standing), released: make(map[string]time.Duration)}
}

// RecordCrash records what an observer saw of a crash. All observers give a crash the same id.
func (l *Ledger) RecordCrash(now time.Duration, id string, observations []Observation) {
	known := l.rulesPresentAt(id)
	for _, o := range observations {
		r := l.records[o.Trait]
		if r == nil {
			r = &record{crashes: make(map[string]time.Duration)}
			l.records[o.Trait] = r
		}
		if o.Finished {
			r.finish(o.FinishedAt)
		}
		r.progressed = r.progressed || o.Progressed
		if _, known := r.crashes[id]; !known {
			r.add(id, now)
		}
	}
	for key, rule := range l.rulesPresentAt(id) {
		// An adopted rule counts the crashes of the earlier leader already, and observers report them again.
		if known[key] == nil && (!rule.adopted || now > rule.Latest+adoptedSlack) {
			rule.count(max(now, rule.Latest), rule.Crashes+1)
		}
	}
	l.evict()
	l.changed = true
}

// rulesPresentAt returns, by key, the rules whose traits were all in progress at a crash.
func (l *Ledger) rulesPresentAt(id string) map[string]*standing {
	present := make(map[string]*standing)
	for key, rule := range l.rules {
		if l.allPresentAt(id, rule.Traits) {
			present[key] = rule
		}
	}
	return present
}

// allPresentAt reports whether all of some traits were in progress at a crash.
func (l *Ledger) allPresentAt(id string, traits []string) bool {
	return !slices.ContainsFunc(traits, func(trait string) bool {
		r := l.records[trait]
		return r == nil || !r.has(id)
	})
}

// count sets the number of crashes and the time of the last one.
func (s *standing) count(now time.Duration, crashes int) {
	s.Crashes, s.Latest = crashes, now
	s.nextTrial = now + trialInterval(crashes)
}

// trialInterval is the time from the last crash to the next trial.
func trialInterval(crashes int) time.Duration {
	interval := firstTrial
	for range max(0, crashes-untestedCrashes) {
		interval = min(2*interval, maxTrial)
	}
	return interval
}

// RecordFinish records that a request with a trait finished on a server, and reports whether this changed anything.
func (l *Ledger) RecordFinish(now, at time.Duration, trait string) bool {
	l.update(now)
	changed := false
	for key, rule := range l.rules {
		if slices.Contains(rule.Traits, trait) && at >= rule.Latest {
			delete(l.rules, key)
			l.released[key] = now
			changed = true
		}
	}
	if r := l.records[trait]; r != nil && (!r.finished || at > r.finishedAt) {
		r.finish(at)
		changed = true
	}
	l.changed = l.changed || changed
	return changed
}

// Adopt adds the rules of an earlier leader, which may have a trial in progress. Rules that were released since their last crash are left out.
func (l *Ledger) Adopt(now time.Duration, rules []Rule) {
	for _, rule := range rules {
		if known := l.rules[rule.Key()]; known != nil && known.Crashes >= rule.Crashes {
			continue
		}
		if releasedAt, released := l.released[rule.Key()]; released && rule.Latest <= releasedAt {
			continue
		}
		adopted := &standing{Rule: rule, adopted: true}
		adopted.count(rule.Latest, rule.Crashes)
		adopted.nextTrial = max(adopted.nextTrial, now+firstTrial)
		l.rules[rule.Key()] = adopted
	}
	l.dropRedundant()
}

// Rules returns the rules in force, ordered by key.
func (l *Ledger) Rules(now time.Duration) []Rule {
	l.update(now)
	var rules []Rule
	for _, key := range slices.Sorted(maps.Keys(l.rules)) {
		rules = append(rules, l.rules[key].Rule)
	}
	return rules
}

// Suspects returns, sorted, the traits about which it is of interest whether requests with them finish: those of the rules, and those that
// were in progress at several crashes that no rule explains.
func (l *Ledger) Suspects(now time.Duration) []string {
	l.update(now)
	explained := l.explained()
	var suspects []string
	for trait, r := range l.records {
		if len(r.crashes) >= suspectCrashes && len(r.unexplained(explained)) >= suspectCrashes {
			suspects = append(suspects, trait)
		}
	}
	slices.SortFunc(suspects, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(l.records[b].crashes), len(l.records[a].crashes)), cmp.Compare(a, b))
	})
	suspects = suspects[:min(len(suspects), maxSuspects)]
	for _, rule := range l.rules {
		suspects = append(suspects, rule.Traits...)
	}
	slices.Sort(suspects)
	return slices.Compact(suspects)
}

// DueTrials returns the rules of which one request is to be tried now. Each is returned again after trialRetry unless the trial has a result.
func (l *Ledger) DueTrials(now time.Duration) []Rule {
	l.update(now)
	var due []Rule
	for _, key := range slices.Sorted(maps.Keys(l.rules)) {
		if rule := l.rules[key]; now >= rule.nextTrial {
			rule.nextTrial = now + trialRetry
			due = append(due, rule.Rule)
		}
	}
	return due
}

// update brings the rules up to date with the evidence.
func (l *Ledger) update(now time.Duration) {
	if now-l.expiredAt >= expiryInterval {
		l.expiredAt = now
		l.expire(now)
	}
	if l.changed {
		l.changed = false
		l.derive(now)
	}
}

// expire forgets what no longer counts. The evidence for a rule counts as long as the rule stands.
func (l *Ledger) expire(now time.Duration) {
	maps.DeleteFunc(l.rules, func(_ string, rule *standing) bool { return now-rule.Latest > holdFor })
	maps.DeleteFunc(l.released, func(_ string, at time.Duration) bool { return now-at > holdFor })
	held := l.heldTraits()
	maps.DeleteFunc(l.records, func(trait string, r *record) bool {
		if held[trait] {
			return false
		}
		maps.DeleteFunc(r.crashes, func(_ string, at time.Duration) bool { return now-at > evidenceFor })
		return len(r.crashes) == 0
	})
}

func (l *Ledger) heldTraits() map[string]bool {
	held := make(map[string]bool)
	for _, rule := range l.rules {
		for _, trait := range rule.Traits {
			held[trait] = true
		}
	}
	return held
}

// evict forgets the records with the fewest crashes, the oldest first, if there are more than maxRecords, and those of held traits last. It makes
// room for more than one crash at a time.
func (l *Ledger) evict() {
	if len(l.records) <= maxRecords {
		return
	}
	excess := len(l.records) - maxRecords*7/8
	held := l.heldTraits()
	traits := slices.SortedFunc(maps.Keys(l.records), func(a, b string) int {
		if held[a] != held[b] {
			if held[a] {
				return 1
			}
			return -1
		}
		recordA, recordB := l.records[a], l.records[b]
		return cmp.Or(
			cmp.Compare(len(recordA.crashes), len(recordB.crashes)), cmp.Compare(recordA.latest(), recordB.latest()), cmp.Compare(a, b),
		)
	})
	for _, trait := range traits[:excess] {
		delete(l.records, trait)
	}
}

func (r *record) has(id string) bool {
	_, ok := r.crashes[id]
	return ok
}

// add records a crash, and forgets the oldest one beyond maxRecordCrashes.
func (r *record) add(id string, at time.Duration) {
	if r.finished && at <= r.finishedAt {
		return
	}
	r.crashes[id] = at
	if len(r.crashes) <= maxRecordCrashes {
		return
	}
	oldest := id
	for other, otherAt := range r.crashes {
		if otherAt < r.crashes[oldest] {
			oldest = other
		}
	}
	delete(r.crashes, oldest)
}

// finish forgets the crashes up to a time at which a request finished.
func (r *record) finish(at time.Duration) {
	if r.finished && at <= r.finishedAt {
		return
	}
	r.finished, r.finishedAt = true, at
	maps.DeleteFunc(r.crashes, func(_ string, crashedAt time.Duration) bool { return crashedAt <= at })
}

// latest returns the time of the last crash that counts, or the smallest value if there is none.
func (r *record) latest() time.Duration {
	latest := time.Duration(math.MinInt64)
	for _, at := range r.crashes {
		latest = max(latest, at)
	}
	return latest
}

// tested reports whether requests with the trait are known to do well otherwise.
func (r *record) tested() bool { return r.progressed || r.finishedLately() }

func (r *record) finishedLately() bool { return r.finished && r.latest()-r.finishedAt < finishedFor }

// unexplained returns the ids of the crashes that are not explained by others.
func (r *record) unexplained(explained map[string]bool) []string {
	var ids []string
	for id := range r.crashes {
		if !explained[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// Len returns the number of traits that are remembered.
func (l *Ledger) Len() int { return len(l.records) }
