// An entry may flap: its VM pauses, its link drops packets, or it restarts in a loop. The home of a group, the entry
// that queues the group's requests and sends them to its backend servers, is computed from the live entries, so each
// time the homes of some groups move to the entry and away again. Each move drops a queue, doubles a concurrency limit
// for a moment, and leaves the groups without dispatches until the new home has probed their members. Operators see
// groups, always those of one entry, that are incomplete for a second again and again, and callers whose front sends
// to an entry that is no longer the home are refused.
//
// An entry that leaves loses its groups at once. When it returns it may be a home again only after it was live for a
// hold time, which grows with each absence. An entry that has just started waits as well: it does not know the groups
// yet. It measures this hold time itself and announces that it is joining until then, so that all entries make it
// eligible at the same time, however long ago each of them has seen it first. An entry that is joining itself can't
// tell who was there before, and holds nobody back whom it sees for the first time.
//
// The entries' views differ for a moment, and so does the home that each of them computes. The limit is doubled for
// that time, and a front may ask an entry that is not the home (HomeQuery). An entry that was itself cut off sees all
// others return; if it held them back, it would be the home of every group. Therefore, while fewer than half of the
// live entries are eligible, all live ones count that do not announce that they are joining. While most are joining,
// as after a start of all entries, all live ones count.
//
// Thresholds (figures: docs/measurements/shifting.md): DefaultHold is longer than the few seconds in which all
// entries learn that one has returned. It grows by a factor of four up to DefaultMaxHold, so that an entry that
// leaves every minute is out after its third absence; with a factor of two, it would be out after its fifth.
// DefaultForgetAfter is several times the longest hold.

package shift

import (
	"fmt"
	"slices"
	"time"
)

// Defaults of a HoldConfig.
const (
	DefaultHold        = 5 * time.Second
	DefaultMaxHold     = 2 * time.Minute
	DefaultForgetAfter = 10 * time.Minute

	// holdGrowth is the factor by which the hold time grows with each absence.
	holdGrowth = 4
)

// HoldConfig holds the hold times of a FlapDamper.
type HoldConfig struct {
	// Hold is how long an entry must be live before it may be a home, when it is new or after its first absence.
	// Range: 0 to 1 min.
	Hold time.Duration
	// MaxHold is the upper bound of the hold time after repeated absences. Range: Hold to 1 h.
	MaxHold time.Duration
	// ForgetAfter is how long after its last absence the absences of an entry are forgotten. Range: MaxHold to
	// 24 h.
	ForgetAfter time.Duration
}

// DefaultHoldConfig returns the default hold times.
func DefaultHoldConfig() HoldConfig {
	return HoldConfig{Hold: DefaultHold, MaxHold: DefaultMaxHold, ForgetAfter: DefaultForgetAfter}
}

// Check returns an error that wraps ErrRange and names the first value out of range.
func (c HoldConfig) Check() error {
	switch {
	case c.Hold < 0 || c.Hold > time.Minute:
		return fmt.Errorf("%w: hold %v is not in 0 to 1m", ErrRange, c.Hold)
	case c.MaxHold < c.Hold || c.MaxHold > time.Hour:
		return fmt.Errorf("%w: longest hold %v is not in %v to 1h", ErrRange, c.MaxHold, c.Hold)
	case c.ForgetAfter < c.MaxHold || c.ForgetAfter > 24*time.Hour:
		return fmt.Errorf("%w: time to forget absences %v is not in %v to 24h", ErrRange, c.ForgetAfter, c.MaxHold)
	}
	return nil
}

// entryState is the liveness history of one entry.
type entryState struct {
	live        bool
	joining     bool          // as announced
	eligibleAt  time.Duration // when it becomes eligible, if it stays live and is not joining
	absences    int           // how often it left
	lastAbsence time.Duration
	lastRound   uint64 // the last call of Observe that listed it
}

// FlapDamper decides which of the live entries may be homes of groups. It is not safe for concurrent use.
type FlapDamper struct {
	config  HoldConfig
	entries map[string]*entryState
	self    string
	started bool
	round   uint64 // counts the calls of Observe
}

// NewFlapDamper returns a FlapDamper for the entry self that knows no entries yet. config must have passed Check.
func NewFlapDamper(config HoldConfig, self string) *FlapDamper {
	return &FlapDamper{config: config, entries: make(map[string]*entryState), self: self}
}

// Observe updates the set of live entries, and of those among them that announce that they are joining. What self
// announces is not used. Entries that are seen for the first time while self is joining, as all are in the first call,
// are not held back. If most of the live entries return in the same call, self was the one that was cut off, and an
// absence of self is recorded.
func (d *FlapDamper) Observe(now time.Duration, live, joining []string) {
	d.round++
	rejoined := 0
	selfJoining := d.Joining(now)
	for _, name := range live {
		announced := slices.Contains(joining, name)
		if d.markLive(now, name, name == d.self || !selfJoining && !announced) {
			rejoined++
		}
		d.entries[name].joining = announced && name != d.self
	}
	for _, s := range d.entries {
		if s.live && s.lastRound != d.round {
			s.live = false
			s.absences++
			s.lastAbsence = now
		}
	}
	if d.started && 2*rejoined > len(live) {
		d.RecordAbsence(now, d.self)
	}
	d.started = d.started || len(live) > 0
	d.prune(now)
}

// RecordAbsence counts an absence of a live entry that no call of Observe showed, and holds the entry back again. The
// entry, usually self, was declared dead although it is alive.
func (d *FlapDamper) RecordAbsence(now time.Duration, name string) {
	s, known := d.entries[name]
	if !known || !s.live {
		return
	}
	s.absences++
	s.lastAbsence = now
	s.eligibleAt = now + d.holdTime(s.absences)
}

// markLive records that an entry is live and reports whether it is a known entry that returned. An entry that returned,
// or that is new while holdNew is set, is eligible only after its hold time.
func (d *FlapDamper) markLive(now time.Duration, name string, holdNew bool) bool {
	s, known := d.entries[name]
	if !known {
		s = &entryState{}
		d.entries[name] = s
	}
	s.lastRound = d.round
	if s.live {
		return false
	}
	s.live = true
	s.eligibleAt = now
	if known || holdNew {
		s.eligibleAt = now + d.holdTime(s.absences)
	}
	return known
}

// holdTime returns how long an entry with that many absences must be live before it is eligible.
func (d *FlapDamper) holdTime(absences int) time.Duration {
	hold := d.config.Hold
	for range absences - 1 {
		hold = min(holdGrowth*hold, d.config.MaxHold)
	}
	return hold
}

// prune resets the absences of entries whose last absence is ForgetAfter ago and drops those that are not live, so that
// the map does not grow beyond the entries in use.
func (d *FlapDamper) prune(now time.Duration) {
	for name, s := range d.entries {
		if now-s.lastAbsence < d.config.ForgetAfter {
			continue
		}
		if !s.live {
			delete(d.entries, name)
		}
		s.absences = 0
	}
}

// Joining reports whether self may not be a home yet. Self announces it to the other entries.
func (d *FlapDamper) Joining(now time.Duration) bool {
	s := d.entries[d.self]
	return s == nil || !s.live || s.eligibleAt > now
}

// Eligible returns the live entries that may be homes, sorted.
func (d *FlapDamper) Eligible(now time.Duration) []string {
	var live, settled, eligible []string
	for name, s := range d.entries {
		if !s.live {
			continue
		}
		live = append(live, name)
		if s.joining || name == d.self && s.eligibleAt > now {
			continue
		}
		settled = append(settled, name)
		if s.eligibleAt <= now {
			eligible = append(eligible, name)
		}
	}
	if 2*len(eligible) < len(live) {
		eligible = settled
	}
	if 2*len(eligible) < len(live) {
		eligible = live
	}
	slices.Sort(eligible)
	return eligible
}

// NextChange returns the next time at which the result of Eligible changes without a call of Observe, and whether there
// is one.
func (d *FlapDamper) NextChange(now time.Duration) (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, s := range d.entries {
		if s.live && s.eligibleAt > now && (!found || s.eligibleAt < next) {
			next, found = s.eligibleAt, true
		}
	}
	return next, found
}
