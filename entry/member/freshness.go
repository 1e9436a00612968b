package member

import (
	"time"

	"github.com/skylarkpond/skylarkpond/timeline"
)

const (
	// pauseBound is how late a tick may be before the process counts as paused. Ticks come ten times a
	// second, so that a busy machine alone does not reach it; and it is well under the time in which
	// others declare this entry dead, so that nobody can have taken over before.
	pauseBound = 2 * time.Second
	// aloneBound is how long an entry that knows others, none of which lives, waits for one of them
	// before it works alone.
	aloneBound = 3 * time.Second
)

// freshness says whether this entry can trust what it knows. A process that wakes from a pause still
// believes that it owns what others took over meanwhile; its callers would wait on requests that its
// successor knows nothing of.
type freshness struct {
	lastTick time.Time
	// stale is set from a pause, or the start, until the first exchange with a peer after staleSince.
	stale      bool
	staleSince time.Time
	freshSince time.Time
	// superseded: another process has taken this entry's name. There is no way back.
	superseded bool
}

func (m *Members) startFreshness(now time.Time) {
	m.lastTick = now
	m.stale = true
	m.staleSince = now
}

// checkPause runs at each use, not only at ticks: after a wake, a request may be faster than the timer.
// Called with mu held.
func (m *Members) checkPause(now time.Time) {
	gap := max(now.Sub(m.lastTick), now.Round(0).Sub(m.lastTick.Round(0)))
	if gap <= pauseBound {
		return
	}
	m.lastTick = now
	m.record(timeline.Event{Kind: timeline.ProcessPaused, Millis: gap.Milliseconds()})
	m.goStale(now)
}

// goStale expires what is known: nobody is held alive on evidence from before, and nobody is declared
// dead because time went by while nobody here listened. Called with mu held.
func (m *Members) goStale(now time.Time) {
	m.stale = true
	m.staleSince = now
	m.nextProbe = now
	for _, p := range m.peers {
		p.strikes = 0
		if p.status.State == Suspect {
			p.suspectUntil = now.Add(suspicionTimeout)
		}
	}
	m.changed()
}

// exchanged notes an answered call that was made at sentAt, and reports whether it ended a pause. Called
// with mu held.
func (m *Members) exchanged(now, sentAt time.Time) bool {
	if !m.stale || sentAt.Before(m.staleSince) {
		return false
	}
	m.becomeFresh(now)
	return true
}

// checkAlone lets an entry without live peers work. Called with mu held.
func (m *Members) checkAlone(now time.Time) {
	if !m.stale || len(m.places()) > 1 {
		return
	}
	if len(m.peers) == 0 || now.Sub(m.staleSince) >= aloneBound {
		m.becomeFresh(now)
	}
}

func (m *Members) becomeFresh(now time.Time) {
	m.stale = false
	m.freshSince = now
	m.changed()
}

// owns reports whether this entry may count itself as an owner. Called with mu held.
func (m *Members) owns() bool {
	return !m.stale && !m.superseded && !m.self.Leaving
}

// Paused reports whether this entry was paused, or has just started, and has not spoken with a peer
// since; or was replaced by another process of its name. Such an entry owns nothing.
func (m *Members) Paused() bool {
	m.mu.Lock()
	defer m.unlock()
	m.checkPause(m.clock())
	return m.stale || m.superseded
}

// FreshSince returns since when this entry has known its peers without a pause, and false while Paused.
func (m *Members) FreshSince() (time.Time, bool) {
	m.mu.Lock()
	defer m.unlock()
	m.checkPause(m.clock())
	return m.freshSince, !m.stale && !m.superseded
}

// Superseded reports whether another process has taken this entry's name. It should stop.
func (m *Members) Superseded() bool {
	m.mu.Lock()
	defer m.unlock()
	return m.superseded
}
