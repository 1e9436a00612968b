// Load pattern of this file: several homes write the same service's object at once, after a crash that each
// of them saw a part of, and during an outage of the platform none of them can. If one writer's knowledge
// replaced another's, the second crash of a request would be forgotten, and it would run a third time. An
// operator would notice a fingerprint that goes from quarantined back to suspect. So a record only grows:
// crashes are a set, the rest are the latest times, and a merge is the same in any order and any number
// of times.

package quarantine

import (
	"cmp"
	"slices"
)

const (
	// maxCrashes is how many crashes a record keeps: three decide, the others tell an operator.
	maxCrashes = 8
	// massCrashes is how many crashes quarantine a request if each was one of many: see crash.Mass.
	massCrashes = 3
)

// crash is one crash of a group while the request was in progress on it.
type crash struct {
	// ID names the crash, alike for all who saw it: the group and its boot id.
	ID string `json:"id"`
	// At is when, in Unix milliseconds by the clock of the home that saw it.
	At int64 `json:"at_ms"`
	// Trial says that the request ran there as the only suspect.
	Trial bool `json:"trial,omitempty"`
	// Mass says that there were MaxSuspects suspects already: much went down at once, so that the crash
	// alone does not hold the request back. It counts all the same when others follow.
	Mass bool `json:"mass,omitempty"`
}

// Trial is the right to run a suspect once.
type Trial struct {
	// Group is where it runs, and Home the entry that sends it.
	Group string `json:"group"`
	Home  string `json:"home"`
	// Until is when the trial counts as over, in Unix milliseconds: after the request's deadline, plus what
	// clocks may differ by.
	Until int64 `json:"until_ms"`
	// Number counts the trials of the request; Ended says that this one is over.
	Number uint64 `json:"number"`
	Ended  bool   `json:"ended,omitempty"`
}

// record is what is known of one fingerprint. Its Crashes are sorted by order.
type record struct {
	Crashes []crash `json:"crashes,omitempty"`
	// FinishedAt and LiftedAt are the latest times at which it finished, and at which an operator lifted
	// its quarantine, in Unix milliseconds.
	FinishedAt int64 `json:"finished_ms,omitempty"`
	LiftedAt   int64 `json:"lifted_ms,omitempty"`
	Trial      Trial `json:"trial,omitzero"`
}

// status is what follows from a record.
type status uint8

const (
	// clean: it runs freely.
	clean status = iota
	// suspect: it runs on trial only.
	suspect
	quarantined
)

// counts says whether a crash speaks against the request.
func (r *record) counts(c crash) bool {
	return c.At > r.LiftedAt && (c.Trial || c.At > r.FinishedAt)
}

// evidence is what the crashes of a record say.
type evidence struct {
	counted       int
	tried, single bool
	latest        int64
}

// evidence weighs the crashes that count, are within SuspectFor of the latest, and that explained, if
// given, does not take out.
func (r *record) evidence(config Config, explained func(id string) bool) evidence {
	var e evidence
	for _, c := range r.Crashes {
		if r.counts(c) {
			e.latest = max(e.latest, c.At)
		}
	}
	for _, c := range r.Crashes {
		if !r.counts(c) || c.At <= e.latest-config.SuspectFor.Milliseconds() {
			continue
		}
		if explained != nil && explained(c.ID) {
			continue
		}
		e.counted++
		e.tried = e.tried || c.Trial
		e.single = e.single || !c.Mass
	}
	return e
}

// guilty says whether the evidence is enough for a quarantine.
func (e evidence) guilty(config Config) bool {
	return e.tried || e.counted >= config.Crashes && e.single || e.counted >= max(massCrashes, config.Crashes)
}

// at returns the status that follows from the record alone, at a time in Unix milliseconds.
func (r *record) at(now int64, config Config) status {
	e := r.evidence(config, nil)
	switch {
	case e.guilty(config) && now-e.latest < config.QuarantineFor.Milliseconds():
		return quarantined
	case e.single && now-e.latest < config.SuspectFor.Milliseconds():
		return suspect
	}
	return clean
}

// was says whether the request was in progress at a crash, cleared of it or not, unless it was lifted since.
func (r *record) was(id string) bool {
	return slices.ContainsFunc(r.Crashes, func(c crash) bool { return c.ID == id && c.At > r.LiftedAt })
}

// weight orders records by how often they were in progress at a crash, and of as many, puts one that was
// on trial first.
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

// clearable says whether a crash speaks against the request that finishing clears.
func (r *record) clearable() bool {
	return slices.ContainsFunc(r.Crashes, func(c crash) bool { return !c.Trial && r.counts(c) })
}

// needed says whether a record can still change a decision: by a crash that counts, or by a time that
// keeps an old crash, in the copy of another entry, from counting.
func (r *record) needed(now int64, config Config) bool {
	return r.at(now, config) != clean ||
		r.latestCrash() > now-config.SuspectFor.Milliseconds() ||
		r.FinishedAt > now-config.SuspectFor.Milliseconds() ||
		r.LiftedAt > now-config.QuarantineFor.Milliseconds()
}

// latestCrash returns when the last crash was, in Unix milliseconds.
func (r *record) latestCrash() int64 {
	latest := int64(0)
	for _, c := range r.Crashes {
		latest = max(latest, c.At)
	}
	return latest
}

// onTrial says whether a trial is running.
func (r *record) onTrial(now int64) bool {
	return r.Trial.Number > 0 && !r.Trial.Ended && r.Trial.Until > now
}

// add puts a crash into the record, unless it is known.
func (r *record) add(c crash) {
	i := slices.IndexFunc(r.Crashes, func(known crash) bool { return known.ID == c.ID })
	if i >= 0 {
		c.Trial = c.Trial || r.Crashes[i].Trial
		c.Mass = c.Mass && r.Crashes[i].Mass
		c.At = max(c.At, r.Crashes[i].At)
		r.Crashes = slices.Delete(r.Crashes, i, i+1)
	}
	r.Crashes = append(r.Crashes, c)
	slices.SortFunc(r.Crashes, order)
	r.Crashes = r.Crashes[:min(len(r.Crashes), maxCrashes)]
}

// order puts the crashes that matter most first: those in trials, then the latest.
func order(a, b crash) int {
	if a.Trial != b.Trial {
		if a.Trial {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.ID, b.ID))
}

// merge takes in what another copy of the record knows.
func (r *record) merge(other record) {
	for _, c := range other.Crashes {
		r.add(c)
	}
	r.FinishedAt = max(r.FinishedAt, other.FinishedAt)
	r.LiftedAt = max(r.LiftedAt, other.LiftedAt)
	if laterTrial(other.Trial, r.Trial) {
		r.Trial = other.Trial
	}
}

// laterTrial says whether a replaces b. Of two with one number, of which only one was confirmed, the ended
// one, then any fixed one, is taken: the claim of the other failed.
func laterTrial(a, b Trial) bool {
	if a.Number != b.Number {
		return a.Number > b.Number
	}
	if a.Ended != b.Ended {
		return a.Ended
	}
	return cmp.Or(cmp.Compare(a.Until, b.Until), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Home, b.Home)) > 0
}

func (r *record) clone() record {
	copied := *r
	copied.Crashes = slices.Clone(r.Crashes)
	return copied
}
