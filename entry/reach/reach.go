// Package reach detects which entries cannot reach the platform while others can.
//
// A controller works by reading from and writing to the platform. A controller that is cut off from it still
// answers its peers, so all of them consider it live. Without this package its fabric domains would have no
// working controller for as long as the cut lasts: a member that dies in that time would not be replaced, and
// nobody would notice.
//
// Store records the results of this entry's platform calls. An entry whose calls have failed for CutOffAfter
// announces this in a rumour and retracts the announcement once the platform responds again. Usable excludes such
// entries from ownership. Only an entry whose own calls have succeeded for StableAfter excludes others: in a
// platform outage all entries are cut off alike, and when it ends nobody should take over what its owner is about
// to resume.
//
// Entries may disagree for some seconds on which entries are usable. This costs an unnecessary takeover but never
// safety, which conditional writes guarantee.
package reach

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// Timeouts and intervals.
const (
	// CutOffAfter is how long every call must have failed before an entry counts as cut off. A call takes at most
	// a few seconds to fail, and a platform instance replaced behind its address responds again within about a
	// second.
	CutOffAfter = 3 * time.Second
	// StableAfter is how long an entry's calls must have succeeded before it excludes others. It exceeds
	// AnnouncementTTL, so that the other entries that reach the platform again have retracted their announcements
	// by then.
	StableAfter = 8 * time.Second
	// AnnouncementTTL is how long an announcement is valid; it is repeated every announceInterval.
	AnnouncementTTL  = 6 * time.Second
	announceInterval = 2 * time.Second
	// probeInterval is the interval between two probes of the platform. Probes are sent only while this entry's
	// calls fail, or while another entry announces that it is cut off and this entry makes no other platform
	// calls.
	probeInterval = 2 * time.Second
	// probeTimeout limits one probe.
	probeTimeout = 2 * time.Second
)

// Announcement states whether an entry is cut off from the platform.
type Announcement struct {
	Entry string `cbor:"1,keyasint"`
	// CutOff is true if the entry does not reach the platform, and false if it reaches it again.
	CutOff bool `cbor:"2,keyasint"`
}

// Tracker records whether this entry and the other entries reach the platform. It is safe for concurrent use.
type Tracker struct {
	self     string
	clock    func() time.Time
	announce func(Announcement)
	probe    func(context.Context) error

	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// lastSuccess is the last time that the platform responded, successSince the first response of the unbroken
	// series of successes up to it, and firstFailure the first failure after lastSuccess.
	lastSuccess, successSince, firstFailure time.Time
	cutOff                                  bool
	cutOffUntil                             map[string]time.Time // for each entry that is cut off, when its announcement expires
	lastAnnounced, lastProbe                time.Time
}

// New returns a Tracker. announce sends an announcement to the other entries; probe makes a cheap platform call.
func New(self string, clock func() time.Time, announce func(Announcement), probe func(context.Context) error) *Tracker {
	return &Tracker{self: self, clock: clock, announce: announce, probe: probe, cutOffUntil: make(map[string]time.Time)}
}

// Run sends the probes and announcements that are due until ctx ends.
func (r *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Tick(ctx)
		}
	}
}

// Tick sends the probe and the announcement if they are due.
func (r *Tracker) Tick(ctx context.Context) {
	if r.probeDue() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		r.RecordResult(r.probe(ctx))
	}
	if r.announcementDue() {
		r.announce(Announcement{Entry: r.self, CutOff: true})
	}
}

func (r *Tracker) probeDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	idle := now.Sub(r.lastSuccess) >= probeInterval
	if !idle || now.Sub(r.lastProbe) < probeInterval || r.firstFailure.IsZero() && !r.anyCutOff(now) {
		return false
	}
	r.lastProbe = now
	return true
}

func (r *Tracker) announcementDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if !r.cutOff || now.Sub(r.lastAnnounced) < announceInterval {
		return false
	}
	r.lastAnnounced = now
	return true
}

// anyCutOff removes expired announcements and reports whether any is left. mu must be held.
func (r *Tracker) anyCutOff(now time.Time) bool {
	for name, until := range r.cutOffUntil {
		if !now.Before(until) {
			delete(r.cutOffUntil, name)
		}
	}
	return len(r.cutOffUntil) > 0
}

// RecordResult records the result of a platform call.
func (r *Tracker) RecordResult(err error) {
	switch {
	case err == nil, eris.Is(err, platform.ErrNotFound), eris.Is(err, platform.ErrConflict), eris.Is(err, platform.ErrTooLarge):
		if r.recordSuccess() {
			r.announce(Announcement{Entry: r.self})
		}
	case eris.Is(err, platform.ErrUnavailable), eris.Is(err, platform.ErrUnconfirmed):
		r.recordFailure()
	}
}

// recordSuccess records a response and reports whether this entry was cut off until now.
func (r *Tracker) recordSuccess() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSuccess = r.clock()
	if !r.firstFailure.IsZero() || r.successSince.IsZero() {
		r.successSince = r.lastSuccess
	}
	r.firstFailure = time.Time{}
	wasCutOff := r.cutOff
	r.cutOff = false
	return wasCutOff
}

func (r *Tracker) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if r.firstFailure.IsZero() {
		r.firstFailure = now
	}
	if now.Sub(r.firstFailure) >= CutOffAfter {
		r.cutOff = true
	}
}

// HandleAnnouncement records an announcement of another entry.
func (r *Tracker) HandleAnnouncement(c Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.CutOff {
		delete(r.cutOffUntil, c.Entry)
		return
	}
	r.cutOffUntil[c.Entry] = r.clock().Add(AnnouncementTTL)
}

// Usable returns the live entries that may own objects kept in the platform. An entry that is cut off excludes
// itself: it gives up what it owned and reads it again once it reaches the platform.
func (r *Tracker) Usable(live []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	stable := r.firstFailure.IsZero() && now.Sub(r.lastSuccess) < StableAfter && now.Sub(r.successSince) >= StableAfter
	excludeOthers := stable && r.anyCutOff(now)
	if !r.cutOff && !excludeOthers {
		return live
	}
	return slices.DeleteFunc(slices.Clone(live), func(name string) bool {
		if name == r.self {
			return r.cutOff
		}
		return excludeOthers && now.Before(r.cutOffUntil[name])
	})
}
