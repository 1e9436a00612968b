// This file decides which requests may run and records what happened to them; the package comment
// describes the load and the rules.

package quarantine

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// MaxRecords bounds the register. A record takes about 500 bytes of JSON, so that the object stays
	// under half of the megabyte that the platform accepts.
	MaxRecords = 1000
	// clockSkew is the largest expected difference between the clocks of entries. A trial expires that
	// much later than the request's timeout.
	clockSkew = 10 * time.Second
)

// Verdict says whether a request may be sent to a group.
type Verdict uint8

// The verdicts, in increasing order of restriction.
const (
	// Free: nothing is held against the request.
	Free Verdict = iota
	// OnTrial: the request is a suspect and may be sent once Claim is confirmed.
	OnTrial
	// Waits: the request is a suspect, and it or another suspect of the group is on trial. Another group
	// may be available.
	Waits
	// Quarantined: the request is refused.
	Quarantined
)

var verdictNames = [...]string{"free", "on-trial", "waits", "quarantined"}

// String returns the name of the verdict in metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Register holds what is known about the requests of one service. It is the value of the service's
// quarantine object and is not safe for concurrent use.
//
// Writers modify a Clone, write it conditionally, and on a conflict start again from what they read. A
// Claim takes effect only once such a write is confirmed. RecordCrash, RecordFinish and Lift take effect
// locally at once, and are merged into what is read until they have been written.
type Register struct {
	config  Config
	records map[string]*record
}

// New returns an empty register. The configuration must have passed Check.
func New(config Config) *Register {
	return &Register{config: config, records: make(map[string]*record)}
}

// document is the JSON form of a register.
type document struct {
	Requests map[string]*record `json:"requests"`
}

// Decode parses the JSON form. Unknown fields are an error: they come from a later version, which records
// more than this one understands.
func Decode(config Config, data []byte) (*Register, error) {
	r := New(config)
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var doc document
	if err := decoder.Decode(&doc); err != nil {
		return nil, fmt.Errorf("quarantine object: %w", err)
	}
	for fingerprint, rec := range doc.Requests {
		if rec != nil {
			slices.SortFunc(rec.Crashes, compareCrashes)
			r.records[fingerprint] = rec
		}
	}
	return r, nil
}

// Encode returns the JSON form. Equal registers have equal encodings.
func (r *Register) Encode() ([]byte, error) { return json.Marshal(document{r.records}) }

// Clone returns a deep copy.
func (r *Register) Clone() *Register {
	copied := New(r.config)
	for fingerprint, rec := range r.records {
		c := rec.clone()
		copied.records[fingerprint] = &c
	}
	return copied
}

// Len returns the number of records, including those that only keep a clearance.
func (r *Register) Len() int { return len(r.records) }

// Verdict returns whether a request may be sent to a group now.
func (r *Register) Verdict(now time.Time, fingerprint, group string) Verdict {
	rec, known := r.records[fingerprint]
	if !known {
		return Free
	}
	at := now.UnixMilli()
	switch r.status(at, rec) {
	case clean:
		return Free
	case quarantined:
		return Quarantined
	}
	if rec.onTrial(at) || r.hasTrialOn(at, group) {
		return Waits
	}
	return OnTrial
}

// status returns the status of a record, taking the other records into account. Of two requests that are
// both quarantined for one crash, at most one caused it, and that one was in progress at the most crashes,
// because it was present at each. The crash is therefore excluded for the other one, or for both of them
// if they have equally many. A request whose remaining evidence is insufficient is a suspect, and its next
// trial decides. A harmless request that shared two groups with one that crashes engines is thus held back
// only until the latter is caught by a further crash of its own.
func (r *Register) status(now int64, rec *record) status {
	ownStatus := rec.statusAt(now, r.config)
	if ownStatus != quarantined {
		return ownStatus
	}
	explained := func(id string) bool {
		for _, other := range r.records {
			if other != rec && other.inProgressAt(id) && other.weight() >= rec.weight() && other.statusAt(now, r.config) == quarantined {
				return true
			}
		}
		return false
	}
	if rec.evidence(r.config, explained).quarantines(r.config) {
		return quarantined
	}
	return suspect
}

// hasTrialOn reports whether any suspect is on trial on a group.
func (r *Register) hasTrialOn(now int64, group string) bool {
	for _, rec := range r.records {
		if rec.Trial.Group == group && rec.onTrial(now) {
			return true
		}
	}
	return false
}

// Claim starts a trial that lasts until timeout has passed, if the verdict is OnTrial and none of running,
// the fingerprints in progress on the group, is a suspect. It returns the resulting verdict.
func (r *Register) Claim(now time.Time, fingerprint string, trial Trial, timeout time.Duration, running []string) Verdict {
	verdict := r.Verdict(now, fingerprint, trial.Group)
	if verdict != OnTrial {
		return verdict
	}
	if r.anySuspect(now.UnixMilli(), running) {
		return Waits
	}
	rec := r.records[fingerprint]
	rec.Trial = Trial{
		Group: trial.Group, Home: trial.Home, Number: rec.Trial.Number + 1,
		Until: now.Add(timeout + clockSkew).UnixMilli(),
	}
	return OnTrial
}

// anySuspect reports whether any of the fingerprints is suspect or quarantined by its own record.
func (r *Register) anySuspect(now int64, running []string) bool {
	return slices.ContainsFunc(running, func(fingerprint string) bool {
		rec, known := r.records[fingerprint]
		return known && rec.statusAt(now, r.config) != clean
	})
}

// Release ends a trial of the home that neither finished nor crashed because the request was not sent or
// was cancelled.
func (r *Register) Release(fingerprint, home string) {
	if rec, known := r.records[fingerprint]; known && rec.Trial.Home == home {
		rec.Trial.Ended = true
	}
}

// RecordCrash records that a group crashed with the given requests in progress. id identifies the crash
// with the same value from all observers: the group and the boot id that is gone. It returns the
// fingerprints that are quarantined now and were not before.
func (r *Register) RecordCrash(now time.Time, id, group string, running []string) []string {
	at := now.UnixMilli()
	var before []string
	for _, fingerprint := range running {
		if rec, known := r.records[fingerprint]; known && r.status(at, rec) == quarantined {
			before = append(before, fingerprint)
		}
	}
	suspects := r.count(at, suspect)
	for _, fingerprint := range running {
		rec, known := r.records[fingerprint]
		if !known {
			rec = &record{}
			r.records[fingerprint] = rec
		}
		was := rec.statusAt(at, r.config)
		trial := rec.onTrial(at) && rec.Trial.Group == group
		rec.add(crash{ID: id, At: at, Trial: trial, Correlated: suspects >= r.config.MaxSuspects})
		if trial {
			rec.Trial.Ended = true
		}
		if was == clean && rec.statusAt(at, r.config) == suspect {
			suspects++
		}
	}
	var newlyQuarantined []string
	for _, fingerprint := range running {
		if r.status(at, r.records[fingerprint]) == quarantined && !slices.Contains(before, fingerprint) {
			newlyQuarantined = append(newlyQuarantined, fingerprint)
		}
	}
	r.evictExcess(at)
	return newlyQuarantined
}

// RecordFinish records that a request finished on a group, which clears it. It reports whether the
// register changed and has to be written.
func (r *Register) RecordFinish(now time.Time, fingerprint, group string) bool {
	rec, known := r.records[fingerprint]
	if !known {
		return false
	}
	at := now.UnixMilli()
	changed := rec.clearable()
	if rec.onTrial(at) && rec.Trial.Group == group {
		rec.Trial.Ended = true
		changed = true
	}
	if changed {
		rec.FinishedAt = max(rec.FinishedAt, at)
	}
	return changed
}

// Lift removes all suspicion from a request on behalf of an operator. It reports whether the request was
// held.
func (r *Register) Lift(now time.Time, fingerprint string) bool {
	rec, known := r.records[fingerprint]
	if !known || r.status(now.UnixMilli(), rec) == clean {
		return false
	}
	rec.LiftedAt = max(rec.LiftedAt, now.UnixMilli())
	return true
}

// Merge adds what another copy of the register holds.
func (r *Register) Merge(now time.Time, other *Register) {
	for fingerprint, theirs := range other.records {
		mine, known := r.records[fingerprint]
		if !known {
			copied := theirs.clone()
			r.records[fingerprint] = &copied
			continue
		}
		mine.merge(*theirs)
	}
	r.evictExcess(now.UnixMilli())
}

// Expire deletes records that can no longer change a decision.
func (r *Register) Expire(now time.Time) {
	at := now.UnixMilli()
	maps.DeleteFunc(r.records, func(_ string, rec *record) bool {
		return !rec.needed(at, r.config) && !rec.onTrial(at)
	})
}

// HeldRequest describes a suspect or quarantined request to an operator.
type HeldRequest struct {
	Fingerprint string
	// Verdict is Quarantined, or OnTrial for any suspect.
	Verdict Verdict
	// Crashes is the number of crashes that count against the request, and Latest the time of the last
	// one.
	Crashes int
	Latest  time.Time
}

// Held lists the requests that are not free, the quarantined ones first, then by latest crash.
func (r *Register) Held(now time.Time) []HeldRequest {
	at := now.UnixMilli()
	var held []HeldRequest
	for fingerprint, rec := range r.records {
		state := r.status(at, rec)
		if state == clean {
			continue
		}
		h := HeldRequest{Fingerprint: fingerprint, Verdict: OnTrial}
		if state == quarantined {
			h.Verdict = Quarantined
		}
		for _, c := range rec.Crashes {
			if rec.countsAgainst(c) {
				h.Crashes++
				h.Latest = time.UnixMilli(max(h.Latest.UnixMilli(), c.At))
			}
		}
		held = append(held, h)
	}
	slices.SortFunc(held, func(a, b HeldRequest) int {
		return cmp.Or(cmp.Compare(b.Verdict, a.Verdict), b.Latest.Compare(a.Latest), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return held
}

// count returns the number of records with the given status.
func (r *Register) count(now int64, state status) int {
	count := 0
	for _, rec := range r.records {
		if r.status(now, rec) == state {
			count++
		}
	}
	return count
}

// evictExcess deletes records over MaxRecords: first those that only keep a clearance, then suspects, then
// quarantined ones, oldest first within each status.
func (r *Register) evictExcess(now int64) {
	excess := len(r.records) - MaxRecords
	if excess <= 0 {
		return
	}
	fingerprints := slices.SortedFunc(maps.Keys(r.records), func(a, b string) int {
		recA, recB := r.records[a], r.records[b]
		return cmp.Or(
			cmp.Compare(recA.statusAt(now, r.config), recB.statusAt(now, r.config)),
			cmp.Compare(recA.latest(), recB.latest()),
			cmp.Compare(a, b),
		)
	})
	for _, fingerprint := range fingerprints[:excess] {
		delete(r.records, fingerprint)
	}
}

// latest returns the time of the record's last change in Unix milliseconds.
func (r *record) latest() int64 { return max(r.latestCrash(), r.FinishedAt, r.LiftedAt) }
