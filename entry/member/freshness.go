package member

import (
	"time"

	"github.com/skylarkpond/skylarkpond/timeline"
)

const (
	// pauseThreshold is how late a tick may be before the process counts as paused. Ticks come ten times
	// a second, so load on the machine alone does not reach it. It is well below the time in which other
	// entries declare this one dead, so no other entry can have taken over before the pause is detected.
	pauseThreshold = 2 * time.Second
	// isolationTimeout is how long an entry that knows others, none of them alive, waits for one before
	// it works alone.
	isolationTimeout = 3 * time.Second
)

// freshness tracks whether this entry can trust its own state. A process that resumes from a pause still
// believes that it owns what others took over meanwhile; its callers would wait for requests that the
// new owner knows nothing of.
type freshness struct {
	lastTick time.Time
	// stale is set at the start and after a pause, until a call made after staleSince has been answered.
	stale      bool
	staleSince time.Time
	freshSince time.Time
	// superseded is set for good once another process has taken this entry's name.
	superseded bool
}

func (m *Members) startFreshness(now time.Time) {
	m.lastTick = now
	m.stale = true
	m.staleSince = now
}

// checkPause runs on every use, not only on ticks: after a resume, a request may arrive before the timer
// fires. Called with mu held.
func (m *Members) checkPause(now time.Time) {
	gap := max(now.Sub(m.lastTick), now.Round(0).Sub(m.lastTick.Round(0)))
	if gap <= pauseThreshold {
		return
	}
	m.lastTick = now
	m.record(timeline.Event{Kind: timeline.ProcessPaused, Millis: gap.Milliseconds()})
	m.markStale(now)
}

// markStale marks the state as stale: replies to calls made before now no longer prove contact with a peer.
// It restarts all suspicion timeouts, so that no peer is declared dead for time that passed while this
// process was not listening. Called with mu held.
func (m *Members) markStale(now time.Time) {
	m.stale = true
	m.staleSince = now
	m.nextProbe = now
	for _, p := range m.peers {
		p.failedProbes = 0
		if p.status.State == Suspect {
			p.suspectUntil = now.Add(suspicionTimeout)
		}
	}
	m.markDirty()
}

// confirmFresh records an answered call that was sent at sentAt and reports whether it ended a stale
// period. Called with mu held.
func (m *Members) confirmFresh(now, sentAt time.Time) bool {
	if !m.stale || sentAt.Before(m.staleSince) {
		return false
	}
	m.markFresh(now)
	return true
}

// checkIsolated marks an entry that has no live peers as fresh, so that it can work alone. Called with
// mu held.
func (m *Members) checkIsolated(now time.Time) {
	if !m.stale || len(m.currentRing()) > 1 {
		return
	}
	if len(m.peers) == 0 || now.Sub(m.staleSince) >= isolationTimeout {
		m.markFresh(now)
	}
}

func (m *Members) markFresh(now time.Time) {
	m.stale = false
	m.freshSince = now
	m.markDirty()
}

// canOwn reports whether this entry may consider itself an owner. Called with mu held.
func (m *Members) canOwn() bool {
	return !m.stale && !m.superseded && !m.self.Leaving
}

// Paused reports whether this entry was paused or has just started and has not been in contact with a
// peer since, or whether another process has taken its name. Such an entry owns nothing.
func (m *Members) Paused() bool {
	m.mu.Lock()
	defer m.unlock()
	m.checkPause(m.clock())
	return m.stale || m.superseded
}

// FreshSince returns the time since which this entry has known its peers without a pause, and false
// while Paused.
func (m *Members) FreshSince() (time.Time, bool) {
	m.mu.Lock()
	defer m.unlock()
	m.checkPause(m.clock())
	return m.freshSince, !m.stale && !m.superseded
}

// Superseded reports whether another process has taken this entry's name. This process should then stop.
func (m *Members) Superseded() bool {
	m.mu.Lock()
	defer m.unlock()
	return m.superseded
}
