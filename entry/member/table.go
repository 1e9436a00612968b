package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// table holds the known entries and the views derived from their states: the live entries and the ring.
// The views are recomputed only when they are needed after a change, since changes come in bursts.
type table struct {
	peers   map[string]*peerState
	order   []*peerState      // by name
	trusted map[string]string // fingerprint to name

	dirty bool     // live and ring are out of date
	live  []Peer   // returned by Live; replaced, never modified
	ring  []string // self and all peers that are not dead, by the hash of their names
}

// put adds p, replacing an earlier process of the same name.
func (t *table) put(p *peerState) {
	t.peers[p.status.Name] = p
	at, found := slices.BinarySearchFunc(t.order, p.status.Name, compareName)
	if found {
		t.order[at] = p
		return
	}
	t.order = slices.Insert(t.order, at, p)
}

func (t *table) deletePeer(name string) {
	delete(t.peers, name)
	if at, found := slices.BinarySearchFunc(t.order, name, compareName); found {
		t.order = slices.Delete(t.order, at, at+1)
	}
}

func compareName(p *peerState, name string) int { return cmp.Compare(p.status.Name, name) }

// markDirty records that live or ring may have changed. Called with mu held.
func (m *Members) markDirty() { m.dirty = true }

// refresh updates live and ring and signals the subscribers. Called with mu held.
func (m *Members) refresh() {
	if !m.dirty {
		return
	}
	m.dirty = false
	m.ring = m.newRing()
	live := m.newLive()
	if slices.Equal(live, m.live) {
		return
	}
	m.live = live
	for _, subscriber := range m.subscribers {
		signal(subscriber)
	}
}

// unlock updates the views and releases mu. It ends every locked section that may have changed states.
func (m *Members) unlock() {
	m.refresh()
	m.mu.Unlock()
}

// currentRing returns the up-to-date ring. Called with mu held.
func (m *Members) currentRing() []string {
	m.refresh()
	return m.ring
}

func (m *Members) newLive() []Peer {
	live := make([]Peer, 0, len(m.order)+1)
	for _, p := range m.order {
		if p.status.State != Dead && !p.status.Leaving {
			live = append(live, p.peer())
		}
	}
	if !m.canOwn() {
		return live
	}
	at, _ := slices.BinarySearchFunc(live, m.self.Name, func(p Peer, name string) int {
		return cmp.Compare(p.Name, name)
	})
	return slices.Insert(live, at, m.selfPeer())
}

func (m *Members) newRing() []string {
	type position struct {
		hash uint64
		name string
	}
	positions := []position{{xxhash.Sum64String(m.self.Name), m.self.Name}}
	for _, p := range m.order {
		if p.status.State != Dead {
			positions = append(positions, position{p.hash, p.status.Name})
		}
	}
	slices.SortFunc(positions, func(a, b position) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	ring := make([]string, len(positions))
	for i, at := range positions {
		ring[i] = at.name
	}
	return ring
}

// peerState is this entry's state of one peer.
type peerState struct {
	status Status
	entry  platform.Entry
	hash   uint64 // of the name
	// suspectUntil is when a suspicion becomes a death; diedAt is when the peer was declared dead.
	suspectUntil time.Time
	diedAt       time.Time
	// lastContact is the last time the peer itself answered or called.
	lastContact time.Time
	// failedProbes counts the pings in a row that failed both directly and through every helper.
	failedProbes int
	// failedPings counts the direct pings in a row that failed, whatever the helpers replied.
	failedPings int
	unreachable bool
}

func (p *peerState) peer() Peer {
	entry := p.entry
	entry.Leaving = p.status.Leaving
	return Peer{Entry: entry, State: p.status.State, Unreachable: p.unreachable, Overloaded: p.status.Overloaded, Joining: p.status.Joining}
}
