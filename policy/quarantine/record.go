// Several homes write the quarantine object of a service at the same time after a crash, each having seen
// a part of it, and during an outage of the platform none of them can write. If one writer's record
// replaced another's, the second crash of a request would be lost and the request would run a third time.
// Operators would see a fingerprint change from quarantined back to suspect.
//
// A record therefore only grows: its crashes form a set, its other fields keep the latest time, and
// merging is commutative, associative and idempotent.

package quarantine

import (
	"cmp"
	"slices"
)

const (
	// maxCrashes is how many crashes a record keeps. Three are enough to decide; the others are shown to
	// operators.
	maxCrashes = 8
	// correlatedCrashes is how many crashes quarantine a request if all of them are correlated; see
	// crash.Correlated.
	correlatedCrashes = 3
)

// crash is one crash of a group while the request was in progress on it.
type crash struct {
	// ID identifies the crash, with the same value from all observers: the group and its boot id.
	ID string `json:"id"`
	// At is the time of the crash in Unix milliseconds, by the clock of the home that observed it.
	At int64 `json:"at_ms"`
	// Trial is set if the request was running there on trial, as the only suspect.
	Trial bool `json:"trial,omitempty"`
	// Correlated is set if there were MaxSuspects suspects already. Many groups failed at once, so that
	// this crash alone does not make the request a suspect. It still counts together with later crashes.
	Correlated bool `json:"mass,omitempty"`
}

// Trial is the permission to run a suspect once.
type Trial struct {
	// Group is where the request runs, and Home the entry that sends it.
	Group string `json:"group"`
	Home  string `json:"home"`
	// Until is when the trial expires, in Unix milliseconds: the request's deadline plus the possible
	// difference between clocks.
	Until int64 `json:"until_ms"`
	// Number counts the trials of the request. Ended is set once this one is over.
	Number uint64 `json:"number"`
	Ended  bool   `json:"ended,omitempty"`
}

// record holds what is known about one fingerprint. Its Crashes are sorted by compareCrashes.
type record struct {
	Crashes []crash `json:"crashes,omitempty"`
	// FinishedAt and LiftedAt are the latest times at which the request finished and at which an operator
	// lifted its quarantine, in Unix milliseconds.
	FinishedAt int64 `json:"finished_ms,omitempty"`
	LiftedAt   int64 `json:"lifted_ms,omitempty"`
	Trial      Trial `json:"trial,omitzero"`
}

// status is the state that follows from a record.
type status uint8

const (
	// clean: the request runs without restrictions.
	clean status = iota
	// suspect: the request runs on trial only.
	suspect
	// quarantined: the request is refused.
	quarantined
)

// countsAgainst reports whether a crash counts against the request. Finishing cancels earlier crashes
// except those in trials; lifting cancels all earlier ones.
func (r *record) countsAgainst(c crash) bool {
	return c.At > r.LiftedAt && (c.Trial || c.At > r.FinishedAt)
}

// evidence summarizes the crashes that count against a request.
type evidence struct {
	// count is the number of crashes, onTrial is set if one of them was in a trial, uncorrelated is set if
	// one of them was not correlated, and latest is the time of the last crash.
	count                 int
	onTrial, uncorrelated bool
	latest                int64
}

// evidence summarizes the crashes that count, are within SuspectFor of the latest such crash, and are not
// excluded by explained, which may be nil. latest covers all crashes that count.
func (r *record) evidence(config Config, explained func(id string) bool) evidence {
	var e evidence
	for _, c := range r.Crashes {
		if r.countsAgainst(c) {
			e.latest = max(e.latest, c.At)
		}
	}
	for _, c := range r.Crashes {
		if !r.countsAgainst(c) || c.At <= e.latest-config.SuspectFor.Milliseconds() {
			continue
		}
		if explained != nil && explained(c.ID) {
			continue
		}
		e.count++
		e.onTrial = e.onTrial || c.Trial
		e.uncorrelated = e.uncorrelated || !c.Correlated
	}
	return e
}

// quarantines reports whether the evidence is sufficient for a quarantine.
func (e evidence) quarantines(config Config) bool {
	return e.onTrial || e.count >= config.Crashes && e.uncorrelated || e.count >= max(correlatedCrashes, config.Crashes)
}

// statusAt returns the status that follows from the record alone at a time in Unix milliseconds.
func (r *record) statusAt(now int64, config Config) status {
	e := r.evidence(config, nil)
	switch {
	case e.quarantines(config) && now-e.latest < config.QuarantineFor.Milliseconds():
		return quarantined
	case e.uncorrelated && now-e.latest < config.SuspectFor.Milliseconds():
		return suspect
	}
	return clean
}

// inProgressAt reports whether the request was in progress at the crash, even if it was cleared of it,
// unless it was lifted since.
func (r *record) inProgressAt(id string) bool {
	return slices.ContainsFunc(r.Crashes, func(c crash) bool { return c.ID == id && c.At > r.LiftedAt })
}

// weight orders records by the number of crashes at which they were in progress; among equals, a record
// with a crash on trial is heavier.
func (r *record) weight() int {
	weight := 0
	for _, c := range r.Crashes {
		if c.At > r.LiftedAt {
			weight += 2
		}
	}
	if slices.ContainsFunc(r.Crashes, func(c crash) bool { return c.Trial && c.At > r.LiftedAt }) {
		weight++
	}
	return weight
}

// clearable reports whether a crash counts against the request that finishing would cancel.
func (r *record) clearable() bool {
	return slices.ContainsFunc(r.Crashes, func(c crash) bool { return !c.Trial && r.countsAgainst(c) })
}

// needed reports whether the record can still change a decision: by a crash that counts, or by a time that
// keeps an old crash in another entry's copy from counting.
func (r *record) needed(now int64, config Config) bool {
	return r.statusAt(now, config) != clean ||
		r.latestCrash() > now-config.SuspectFor.Milliseconds() ||
		r.FinishedAt > now-config.SuspectFor.Milliseconds() ||
		r.LiftedAt > now-config.QuarantineFor.Milliseconds()
}

// latestCrash returns the time of the last crash in Unix milliseconds, or 0.
func (r *record) latestCrash() int64 {
	latest := int64(0)
	for _, c := range r.Crashes {
		latest = max(latest, c.At)
	}
	return latest
}

// onTrial reports whether a trial is running.
func (r *record) onTrial(now int64) bool {
	return r.Trial.Number > 0 && !r.Trial.Ended && r.Trial.Until > now
}

// add records a crash, or combines it with what is known of the same crash.
func (r *record) add(c crash) {
	i := slices.IndexFunc(r.Crashes, func(known crash) bool { return known.ID == c.ID })
	if i >= 0 {
		c.Trial = c.Trial || r.Crashes[i].Trial
		c.Correlated = c.Correlated && r.Crashes[i].Correlated
		c.At = max(c.At, r.Crashes[i].At)
		r.Crashes = slices.Delete(r.Crashes, i, i+1)
	}
	r.Crashes = append(r.Crashes, c)
	slices.SortFunc(r.Crashes, compareCrashes)
	r.Crashes = r.Crashes[:min(len(r.Crashes), maxCrashes)]
}

// compareCrashes orders crashes by importance: those in trials first, then the latest.
func compareCrashes(a, b crash) int {
	if a.Trial != b.Trial {
		if a.Trial {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.ID, b.ID))
}

// merge adds what another copy of the record holds.
func (r *record) merge(other record) {
	for _, c := range other.Crashes {
		r.add(c)
	}
	r.FinishedAt = max(r.FinishedAt, other.FinishedAt)
	r.LiftedAt = max(r.LiftedAt, other.LiftedAt)
	if supersedes(other.Trial, r.Trial) {
		r.Trial = other.Trial
	}
}

// supersedes reports whether trial a replaces trial b. At most one of two different trials with the same
// number was confirmed. The ended one wins, otherwise the one that a fixed order puts last, because the
// claim of the other failed.
func supersedes(a, b Trial) bool {
	if a.Number != b.Number {
		return a.Number > b.Number
	}
	if a.Ended != b.Ended {
		return a.Ended
	}
	return cmp.Or(cmp.Compare(a.Until, b.Until), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Home, b.Home)) > 0
}

// clone returns a deep copy.
func (r *record) clone() record {
	copied := *r
	copied.Crashes = slices.Clone(r.Crashes)
	return copied
}
