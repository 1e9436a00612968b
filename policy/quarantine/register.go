// Load pattern of this file: see the package comment. It says who may run, and takes in what happened.

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
	// MaxRecords bounds the register. A record takes some 500 bytes of JSON, so that the object stays
	// under half of the megabyte that the platform holds.
	MaxRecords = 1000
	// clockSkew is how much the clocks of entries may differ: a trial counts as running for longer than its
	// request may take by as much.
	clockSkew = 10 * time.Second
)

// Verdict says whether a request may be sent to a group.
type Verdict uint8

// The verdicts.
const (
	// Free: nothing is known against the request.
	Free Verdict = iota
	// OnTrial: it is a suspect, and may be sent once Claim is confirmed.
	OnTrial
	// Waits: it is a suspect, and it or another suspect of the group is on trial. Another group may be free.
	Waits
	// Quarantined: it is refused.
	Quarantined
)

var verdictNames = [...]string{"free", "on-trial", "waits", "quarantined"}

// String returns the verdict's name in metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Register is what is known of the requests of one service: the value of its quarantine object. It is not
// safe for concurrent use.
//
// Writers change a Clone, write it conditionally, and on a conflict start again from what they read. A
// Claim holds only once such a write is confirmed; Crash, Finish and Lift hold at once where they
// happened, and are merged into what is read until they are written.
type Register struct {
	config  Config
	records map[string]*record
}

// New returns an empty register. The configuration has passed Check.
func New(config Config) *Register {
	return &Register{config: config, records: make(map[string]*record)}
}

// document is the JSON form.
type document struct {
	Requests map[string]*record `json:"requests"`
}

// Decode reads the JSON form. Unknown fields are refused: they come from a later version, which knows more.
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
			slices.SortFunc(rec.Crashes, order)
			r.records[fingerprint] = rec
		}
	}
	return r, nil
}

// Encode returns the JSON form, the same for the same content.
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

// Len returns the number of records, those that only keep a clearance included.
func (r *Register) Len() int { return len(r.records) }

// Verdict says whether a request may be sent to a group now.
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
	if rec.onTrial(at) || r.trialOn(at, group) {
		return Waits
	}
	return OnTrial
}

// status returns the status of a record among the others. Of two requests that are both in quarantine for
// one crash, at most one caused it, and it has the most crashes: it was there each time. So the crash is
// taken out for the other one, or for both of them if they have as many, and who is left with too little
// is a suspect, whose next trial decides. An innocent that shared two groups with a poison request is so
// held back only until that one is caught by a crash of its own.
func (r *Register) status(now int64, rec *record) status {
	alone := rec.at(now, r.config)
	if alone != quarantined {
		return alone
	}
	explained := func(id string) bool {
		for _, other := range r.records {
			if other != rec && other.was(id) && other.weight() >= rec.weight() && other.at(now, r.config) == quarantined {
				return true
			}
		}
		return false
	}
	if rec.evidence(r.config, explained).guilty(r.config) {
		return quarantined
	}
	return suspect
}

// trialOn says whether any suspect is on trial on a group.
func (r *Register) trialOn(now int64, group string) bool {
	for _, rec := range r.records {
		if rec.Trial.Group == group && rec.onTrial(now) {
			return true
		}
	}
	return false
}

// Claim enters a trial that lasts as long as the request may take, if the verdict is OnTrial and none of
// running, which are the fingerprints now in progress on the group, is a suspect. It returns the verdict.
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

func (r *Register) anySuspect(now int64, running []string) bool {
	return slices.ContainsFunc(running, func(fingerprint string) bool {
		rec, known := r.records[fingerprint]
		return known && rec.at(now, r.config) != clean
	})
}

// Release ends a trial of a home that was neither finished nor crashed: not sent after all, or cancelled.
func (r *Register) Release(fingerprint, home string) {
	if rec, known := r.records[fingerprint]; known && rec.Trial.Home == home {
		rec.Trial.Ended = true
	}
}

// RecordCrash takes in that a group crashed with these requests in progress. id names the crash, alike for all
// who saw it: the group and the boot id that is gone. It returns the fingerprints that are quarantined now
// and were not before.
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
		was := rec.at(at, r.config)
		trial := rec.onTrial(at) && rec.Trial.Group == group
		rec.add(crash{ID: id, At: at, Trial: trial, Mass: suspects >= r.config.MaxSuspects})
		if trial {
			rec.Trial.Ended = true
		}
		if was == clean && rec.at(at, r.config) == suspect {
			suspects++
		}
	}
	var caught []string
	for _, fingerprint := range running {
		if r.status(at, r.records[fingerprint]) == quarantined && !slices.Contains(before, fingerprint) {
			caught = append(caught, fingerprint)
		}
	}
	r.bound(at)
	return caught
}

// RecordFinish takes in that a request finished on a group: it is cleared. It says whether anything changed, so
// that there is something to write.
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

// Lift is an operator's word that a request may run. It says whether the request was held.
func (r *Register) Lift(now time.Time, fingerprint string) bool {
	rec, known := r.records[fingerprint]
	if !known || r.status(now.UnixMilli(), rec) == clean {
		return false
	}
	rec.LiftedAt = max(rec.LiftedAt, now.UnixMilli())
	return true
}

// Merge takes in what another copy knows.
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
	r.bound(now.UnixMilli())
}

// Expire forgets what can no longer change a decision.
func (r *Register) Expire(now time.Time) {
	at := now.UnixMilli()
	maps.DeleteFunc(r.records, func(_ string, rec *record) bool {
		return !rec.needed(at, r.config) && !rec.onTrial(at)
	})
}

// HeldRequest is a request that is suspected or quarantined, for an operator.
type HeldRequest struct {
	Fingerprint string
	Verdict     Verdict
	// Crashes is how many crashes speak against it, and Latest the last of them.
	Crashes int
	Latest  time.Time
}

// Held lists the requests that are not free, the quarantined first, then the latest.
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
			if rec.counts(c) {
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

func (r *Register) count(now int64, state status) int {
	count := 0
	for _, rec := range r.records {
		if r.status(now, rec) == state {
			count++
		}
	}
	return count
}

// bound drops records over MaxRecords: what only keeps a clearance first, then suspects, then the
// quarantined, each the oldest first.
func (r *Register) bound(now int64) {
	over := len(r.records) - MaxRecords
	if over <= 0 {
		return
	}
	fingerprints := slices.SortedFunc(maps.Keys(r.records), func(a, b string) int {
		one, other := r.records[a], r.records[b]
		return cmp.Or(
			cmp.Compare(one.at(now, r.config), other.at(now, r.config)),
			cmp.Compare(one.latest(), other.latest()),
			cmp.Compare(a, b),
		)
	})
	for _, fingerprint := range fingerprints[:over] {
		delete(r.records, fingerprint)
	}
}

// latest returns the last time at which anything happened to the record.
func (r *record) latest() int64 { return max(r.latestCrash(), r.FinishedAt, r.LiftedAt) }
