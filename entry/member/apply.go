package member

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkpond/skylarkpond/timeline"
)

// applyItems applies gossip received from the entry named from and returns the indexes of the items that
// were already known. Called with mu held.
func (m *Members) applyItems(now time.Time, from string, items []item, spread bool) (known []byte) {
	for i, it := range items {
		isNew := true
		switch {
		case it.Status != nil:
			isNew = m.applyStatus(now, from, *it.Status, spread)
		case it.Profile != nil:
			m.applyProfile(now, it.Profile, spread)
		case it.Rumour != nil:
			isNew = m.receiveRumour(now, from, *it.Rumour, spread)
		}
		if isNew {
			m.queue.markKnown(from, []string{it.key()})
		} else if i <= math.MaxUint8 {
			known = append(known, byte(i))
		}
	}
	return known
}

// applyStatus merges a status received from the entry named from and reports whether it was new. Called
// with mu held.
func (m *Members) applyStatus(now time.Time, from string, s Status, spread bool) bool {
	if s.Name == m.self.Name {
		m.applySelfStatus(now, s)
		return false
	}
	p := m.peers[s.Name]
	if p == nil || (p.status.Incarnation != s.Incarnation && s.Generation > p.status.Generation) {
		if s.State != Dead {
			m.scheduleSync(from) // the profile is missing: fetch it
		}
		return false
	}
	if p.status.Incarnation == s.Incarnation {
		p.status.Generation = max(p.status.Generation, s.Generation)
	}
	if !supersedes(s, p.status) {
		return false
	}
	m.setStatus(now, p, s, spread)
	return true
}

// applyProfile merges a profile, which carries everything needed to reach an entry. Called with mu held.
func (m *Members) applyProfile(now time.Time, pr *profile, spread bool) {
	s := pr.Status
	if s.Name == m.self.Name {
		m.applySelfStatus(now, s)
		return
	}
	p := m.peers[s.Name]
	if p != nil && p.status.Incarnation == s.Incarnation {
		m.applyStatus(now, "", s, spread)
		return
	}
	if p != nil && !supersedes(s, p.status) {
		return
	}
	if p != nil {
		m.revokeReplaced(p, pr)
	}
	p = &peerState{entry: pr.entry(), hash: xxhash.Sum64String(s.Name), diedAt: now}
	p.status = Status{Name: s.Name, Incarnation: s.Incarnation, Generation: s.Generation, State: Dead, Leaving: s.Leaving}
	m.put(p)
	m.trusted[pr.Fingerprint] = s.Name
	m.markDirty()
	if supersedes(s, p.status) {
		m.setStatus(now, p, s, spread)
	}
}

// applySelfStatus handles a status that others hold of this entry, and refutes it if it is wrong. Called
// with mu held.
func (m *Members) applySelfStatus(now time.Time, s Status) {
	if s.Incarnation != m.self.Incarnation {
		if s.Generation > m.self.Generation && !m.superseded {
			m.superseded = true
			m.markDirty()
		}
		return
	}
	m.self.Generation = max(m.self.Generation, s.Generation)
	if s.Counter < m.self.Counter || (s.State == Alive && s.Counter == m.self.Counter) {
		return
	}
	m.self.Counter = s.Counter + 1
	m.announceSelf()
	if s.State == Dead {
		// Other entries have taken over what this entry owned. It was silent for longer than its clock
		// shows, as happens when its VM is stopped together with the clock.
		m.markStale(now)
	}
}

// setStatus replaces the status of p. Called with mu held.
func (m *Members) setStatus(now time.Time, p *peerState, s Status, spread bool) {
	before := p.status
	p.status = s
	switch s.State {
	case Alive:
		p.failedProbes = 0
		if before.State != Alive {
			m.record(timeline.Event{Kind: timeline.PeerAlive, Peer: s.Name})
		}
	case Suspect:
		p.suspectUntil = now.Add(suspicionTimeout)
		m.record(timeline.Event{Kind: timeline.PeerSuspected, Peer: s.Name})
	case Dead:
		p.diedAt = now
		if before.State != Dead {
			m.record(timeline.Event{Kind: timeline.PeerDead, Peer: s.Name})
			m.scheduleDisconnect(now, p)
		}
	}
	if spread {
		m.queue.put(statusKey(s.Name), item{Status: &s})
	}
	if before.State != s.State || before.Leaving != s.Leaving || before.Overloaded != s.Overloaded || before.Joining != s.Joining {
		m.markDirty()
	}
}

// scheduleDisconnect schedules the end of calls in progress to a dead peer, unless the peer was in
// contact with this entry within suspicionTimeout: other entries may be cut off from it while its
// replies still arrive here. Called with mu held.
func (m *Members) scheduleDisconnect(now time.Time, p *peerState) {
	if now.Sub(p.lastContact) >= suspicionTimeout {
		m.disconnectAddresses = append(m.disconnectAddresses, p.entry.PeerAddress)
	}
}

// revokeReplaced removes trust in the previous process of a name, and schedules the end of calls to its
// address if the new process has another. Called with mu held.
func (m *Members) revokeReplaced(p *peerState, by *profile) {
	delete(m.trusted, p.entry.Fingerprint)
	if p.entry.PeerAddress != by.PeerAddress {
		m.disconnectAddresses = append(m.disconnectAddresses, p.entry.PeerAddress)
	}
}

// removePeer deletes all state of p. Called with mu held.
func (m *Members) removePeer(p *peerState) {
	m.deletePeer(p.status.Name)
	delete(m.trusted, p.entry.Fingerprint)
	m.queue.remove(statusKey(p.status.Name))
	m.markDirty()
}
