package member

import (
	"time"

	"github.com/rotisserie/eris"
)

// Errors returned to the calling peer.
var (
	ErrNameMismatch = eris.New("the caller's name is not that of its certificate")
	ErrWrongTarget  = eris.New("another entry has this address")
	ErrUnknownEntry = eris.New("entry not known")

	errBusy = eris.New("too many calls wait")
)

// handlePing processes a Ping from the entry named from and returns its Ack.
func (m *Members) handlePing(now time.Time, from string, ping Ping) (Ack, error) {
	m.mu.Lock()
	defer m.unlock()
	m.checkPause(now)
	if ping.Self.Name != from {
		return Ack{}, ErrNameMismatch
	}
	if ping.Target != m.self.Name {
		return Ack{}, ErrWrongTarget
	}
	m.observeTime(ping.Time)
	m.recordContact(now, ping.Self)
	known := m.applyItems(now, from, ping.Gossip, true)
	ack := Ack{Time: m.timestamp(), Self: m.self, Known: known}
	if p := m.peers[from]; p != nil {
		gossip, keys := m.gossipFor(p)
		m.queue.markKnown(from, keys)
		ack.Gossip = gossip
	}
	return ack, nil
}

// prepareRelay returns the ping that a Relay asks this entry to make.
func (m *Members) prepareRelay(now time.Time, request Relay) (call, error) {
	m.mu.Lock()
	defer m.unlock()
	m.checkPause(now)
	if m.peers[request.Target] == nil {
		return call{}, ErrUnknownEntry
	}
	c := m.pingCall(request.Target)
	c.sentAt = now
	return c, nil
}

// completeRelay returns the reply to a Relay once its ping has ended. A failed ping raises no suspicion
// here; that is left to the entry that sent the Relay.
func (m *Members) completeRelay(now time.Time, c call, r result) RelayReply {
	if r.err == nil {
		m.finish(now, c, r)
	}
	m.mu.Lock()
	defer m.unlock()
	answer := RelayReply{Reached: r.err == nil}
	if p := m.peers[c.to]; p != nil {
		answer.Status = p.status
	}
	return answer
}
