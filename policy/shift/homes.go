// Load pattern of this file: an entry that comes and goes, since its VM pauses, its link drops packets, or it
// restarts in a loop. The home of a group is computed from the live entries, so that each time the homes of
// some groups move there and back. Each move empties a queue, doubles a limit for a moment, and leaves the
// groups without dispatches until the new home has probed their members. An operator would notice groups
// that are not whole for a second, again and again, always those of one entry, and callers refused by
// fronts whose home is no longer one.
//
// An entry that goes loses its groups at once. One that comes back is a home again only after it was live
// for a while, and longer with each time that it went. An entry seen for the first time waits as well: it
// does not know the groups yet.
//
// What the entries see differs by a moment, and so does who is home to whom: nothing depends on it but the
// moment's doubled limit. An entry that was cut off itself sees all others come back; if it held them back,
// it would be home to everything. So while fewer than half of the live entries are steady, all of them count,
// but for the own one, which the others hold back.
//
// Thresholds (figures: docs/measurements/shifting.md): DefaultHold is longer than the few seconds in which
// all entries learn that one is back. It grows by four up to DefaultMaxHold, so that an entry that goes each
// minute is out after its third time; by two, it would be out after its fifth. DefaultForget is some of
// the longest holds.

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

	// holdGrowth is by how much the hold grows each time an entry goes.
	holdGrowth = 4
)

// HoldConfig holds what an operator may set.
type HoldConfig struct {
	// Hold is how long an entry must be live to be a home, after it came for the first time. 0 to 1 min.
	Hold time.Duration
	// MaxHold is the longest that it must, after it went often. Hold to 1 h.
	MaxHold time.Duration
	// ForgetAfter is after how long a live entry has never gone. MaxHold to 24 h.
	ForgetAfter time.Duration
}

// DefaultHoldConfig returns the defaults.
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
		return fmt.Errorf("%w: forget %v is not in %v to 24h", ErrRange, c.ForgetAfter, c.MaxHold)
	}
	return nil
}

// presence is what is known of one entry.
type presence struct {
	live   bool
	steady time.Duration // when it counts as steady, if it stays live
	gone   int           // how often it went
	wentAt time.Duration
	round  uint64 // the last Observe that named it
}

// FlapDamper says which of the live entries may be homes. It is not safe for concurrent use.
type FlapDamper struct {
	config  HoldConfig
	entries map[string]*presence
	self    string
	started bool
	round   uint64 // counts Observe
}

// NewFlapDamper returns a Homes of the entry self, which knows no entry. The configuration has passed Check.
func NewFlapDamper(config HoldConfig, self string) *FlapDamper {
	return &FlapDamper{config: config, entries: make(map[string]*presence), self: self}
}

// Observe takes in the names of the live entries. Those of the first call are steady at once, but for the
// own one, which has just started. If most come back together, it was the own one that was away.
func (h *FlapDamper) Observe(now time.Duration, live []string) {
	h.round++
	back := 0
	for _, name := range live {
		if h.seen(now, name, h.started || name == h.self) {
			back++
		}
	}
	for _, p := range h.entries {
		if p.live && p.round != h.round {
			p.live = false
			p.gone++
			p.wentAt = now
		}
	}
	if h.started && 2*back > len(live) {
		h.RecordAbsence(now, h.self)
	}
	h.started = h.started || len(live) > 0
	h.forget(now)
}

// RecordAbsence takes in that a live entry, most often this one itself, was declared dead and is not, though
// the live set never showed it.
func (h *FlapDamper) RecordAbsence(now time.Duration, name string) {
	p, known := h.entries[name]
	if !known || !p.live {
		return
	}
	p.gone++
	p.wentAt = now
	p.steady = now + h.hold(p.gone)
}

// seen takes in that an entry is live, and says whether it was known before and has come back.
func (h *FlapDamper) seen(now time.Duration, name string, held bool) bool {
	p, known := h.entries[name]
	if !known {
		p = &presence{}
		h.entries[name] = p
	}
	p.round = h.round
	if p.live {
		return false
	}
	p.live = true
	p.steady = now
	if held {
		p.steady = now + h.hold(p.gone)
	}
	return known
}

// hold is how long an entry that went that often must be live.
func (h *FlapDamper) hold(gone int) time.Duration {
	hold := h.config.Hold
	for range gone - 1 {
		hold = min(holdGrowth*hold, h.config.MaxHold)
	}
	return hold
}

// forget drops what no longer matters, so that the table stays as large as the fleet.
func (h *FlapDamper) forget(now time.Duration) {
	for name, p := range h.entries {
		if now-p.wentAt < h.config.ForgetAfter {
			continue
		}
		if !p.live {
			delete(h.entries, name)
		}
		p.gone = 0
	}
}

// Eligible returns the live entries that may be homes, sorted.
func (h *FlapDamper) Eligible(now time.Duration) []string {
	var steady, live []string
	for name, p := range h.entries {
		if !p.live {
			continue
		}
		live = append(live, name)
		if p.steady <= now {
			steady = append(steady, name)
		}
	}
	if 2*len(steady) < len(live) {
		steady = slices.DeleteFunc(live, func(name string) bool { return name == h.self && len(live) > 1 && h.entries[name].steady > now })
	}
	slices.Sort(steady)
	return steady
}

// NextChange returns the next time at which Steady changes by itself, and whether there is one.
func (h *FlapDamper) NextChange(now time.Duration) (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, p := range h.entries {
		if p.live && p.steady > now && (!found || p.steady < next) {
			next, found = p.steady, true
		}
	}
	return next, found
}
