// Package reach knows which entries can't reach the platform while others can.
//
// A controller works by reads and writes of the platform. One that is cut off from it still answers its
// peers, so that all hold it live, and without this package its fabric domains would have no controller
// for as long as the cut lasts: a member that dies then is not replaced, and nobody notices.
//
// The flow: Store watches the calls of this entry -> an entry whose calls have failed for CutAfter says so
// in a rumour, and takes it back once it is answered -> Usable leaves such entries out of the owners. Only
// an entry that itself has been answered for SteadyFor leaves others out: in an outage of the platform all
// are cut off alike, and when it ends none should take over what its owner is about to go on with.
//
// Entries may disagree for some seconds on who is usable. That costs a take-over, never safety, which is held
// by conditional writes.
package reach

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// Times.
const (
	// CutOffAfter is for how long every call must have failed. A call takes some seconds at most to fail, and a
	// platform that is replaced behind its address answers again within about a second.
	CutOffAfter = 3 * time.Second
	// StableAfter is for how long an entry must have been answered before it leaves others out. Above
	// ClaimTTL, so that by then those that are answered too have taken back what they said.
	StableAfter = 8 * time.Second
	// AnnouncementTTL is how long a claim counts; it is repeated every claimEvery.
	AnnouncementTTL = 6 * time.Second
	claimEvery      = 2 * time.Second
	// askEvery is the pause between two own calls, made only while this entry is cut off, or while another
	// says that it is and nothing else asks the platform here.
	askEvery = 2 * time.Second
	// askTimeout bounds such a call.
	askTimeout = 2 * time.Second
)

// Announcement is what an entry says of itself.
type Announcement struct {
	Entry string `cbor:"1,keyasint"`
	// CutOff says that it does not reach the platform.
	CutOff bool `cbor:"2,keyasint"`
}

// Tracker is what one entry knows of its own and the others' ways to the platform. It is safe for
// concurrent use.
type Tracker struct {
	self  string
	clock func() time.Time
	tell  func(Announcement)
	ask   func(context.Context) error

	mu sync.Mutex // guards what follows; a leaf lock
	// answered is the last time that the platform answered, since the first of those without a failure in
	// between, and failing the first failure after answered.
	answered, since, failing time.Time
	cut                      bool
	claims                   map[string]time.Time // until when each entry counts as cut off
	told, asked              time.Time
}

// New returns a Reach. tell spreads a claim among the entries; ask makes a cheap call of the platform.
func New(self string, clock func() time.Time, tell func(Announcement), ask func(context.Context) error) *Tracker {
	return &Tracker{self: self, clock: clock, tell: tell, ask: ask, claims: make(map[string]time.Time)}
}

// Run asks and tells what is due until ctx ends.
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

// Tick does what is due.
func (r *Tracker) Tick(ctx context.Context) {
	if r.askDue() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		r.RecordResult(r.ask(ctx))
	}
	if r.tellDue() {
		r.tell(Announcement{Entry: r.self, CutOff: true})
	}
}

func (r *Tracker) askDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	quiet := now.Sub(r.answered) >= askEvery
	if !quiet || now.Sub(r.asked) < askEvery || r.failing.IsZero() && !r.anyClaim(now) {
		return false
	}
	r.asked = now
	return true
}

func (r *Tracker) tellDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if !r.cut || now.Sub(r.told) < claimEvery {
		return false
	}
	r.told = now
	return true
}

// anyClaim must be called with mu held.
func (r *Tracker) anyClaim(now time.Time) bool {
	for name, until := range r.claims {
		if !now.Before(until) {
			delete(r.claims, name)
		}
	}
	return len(r.claims) > 0
}

// RecordResult takes in what came of a call of the platform.
func (r *Tracker) RecordResult(err error) {
	switch {
	case err == nil, eris.Is(err, platform.ErrNotFound), eris.Is(err, platform.ErrConflict), eris.Is(err, platform.ErrTooLarge):
		if r.noteAnswer() {
			r.tell(Announcement{Entry: r.self})
		}
	case eris.Is(err, platform.ErrUnavailable), eris.Is(err, platform.ErrUnconfirmed):
		r.noteFailure()
	}
}

// noteAnswer returns whether this entry was cut off until now.
func (r *Tracker) noteAnswer() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered = r.clock()
	if !r.failing.IsZero() || r.since.IsZero() {
		r.since = r.answered
	}
	r.failing = time.Time{}
	before := r.cut
	r.cut = false
	return before
}

func (r *Tracker) noteFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if r.failing.IsZero() {
		r.failing = now
	}
	if now.Sub(r.failing) >= CutOffAfter {
		r.cut = true
	}
}

// HandleAnnouncement takes in a claim of another entry.
func (r *Tracker) HandleAnnouncement(c Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.CutOff {
		delete(r.claims, c.Entry)
		return
	}
	r.claims[c.Entry] = r.clock().Add(AnnouncementTTL)
}

// Usable returns the live entries that may own what is kept in the platform. An entry that is cut off is
// not among its own: it gives up what it held, and looks anew once it is back.
func (r *Tracker) Usable(live []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	steady := r.failing.IsZero() && now.Sub(r.answered) < StableAfter && now.Sub(r.since) >= StableAfter
	others := steady && r.anyClaim(now)
	if !r.cut && !others {
		return live
	}
	return slices.DeleteFunc(slices.Clone(live), func(name string) bool {
		if name == r.self {
			return r.cut
		}
		return others && now.Before(r.claims[name])
	})
}
