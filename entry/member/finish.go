package member

import (
	"slices"
	"time"
)

// finish processes the result of a call and returns the calls to make next.
func (m *Members) finish(now time.Time, c call, r result) []call {
	m.mu.Lock()
	defer m.unlock()
	m.checkPause(now)
	var next []call
	switch c.kind {
	case callPing:
		next = m.finishPing(now, c, r)
	case callRelay:
		m.finishRelay(now, c, r)
	case callDigest:
		next = m.finishDigest(now, c, r)
	case callExchange:
		m.finishExchange(now, c, r)
	}
	for i := range next {
		next[i].sentAt = now
	}
	return next
}

func (m *Members) finishPing(now time.Time, c call, r result) []call {
	p := m.peers[c.to]
	if r.err == nil {
		m.observeTime(r.ack.Time)
		m.queue.markKnown(c.to, c.keys)
		m.queue.countDuplicates(c.ping.Gossip, r.ack.Known)
		m.recordContact(now, r.ack.Self)
		if p != nil {
			p.failedPings = 0
			m.setUnreachable(p, false)
		}
		m.applyItems(now, c.to, r.ack.Gossip, true)
		if m.confirmFresh(now, c.sentAt) {
			m.scheduleSync(c.to)
		}
		return nil
	}
	if p == nil || p.status.State != Alive {
		return nil
	}
	p.failedPings++
	if p.lastContact.After(c.sentAt) {
		m.setUnreachable(p, p.failedPings >= maxFailedPings)
		return nil
	}
	return m.pingIndirectly(now, p)
}

// setUnreachable records whether direct pings to a live peer fail. Called with mu held.
func (m *Members) setUnreachable(p *peerState, unreachable bool) {
	if p.unreachable == unreachable {
		return
	}
	p.unreachable = unreachable
	m.markDirty()
}

// recordContact records a message from the entry itself. Called with mu held.
func (m *Members) recordContact(now time.Time, s Status) {
	m.applyStatus(now, s.Name, s, true)
	p := m.peers[s.Name]
	if p != nil && p.status.Incarnation == s.Incarnation {
		p.lastContact = now
		p.failedProbes = 0
	}
}

// pingIndirectly asks helpers to ping p, since the fault may lie only on the path from this entry.
func (m *Members) pingIndirectly(now time.Time, p *peerState) []call {
	name := p.status.Name
	chosen := m.chooseHelpers(name)
	t := &indirectProbe{target: name, statusBefore: p.status, pending: len(chosen)}
	if len(chosen) == 0 {
		m.recordFailedProbe(now, p, t)
		return nil
	}
	var calls []call
	for _, helper := range chosen {
		calls = append(calls, call{
			kind: callRelay, to: helper, address: m.peers[helper].entry.PeerAddress,
			relay: Relay{Target: name}, indirect: t,
		})
	}
	return calls
}

// chooseHelpers prefers fingers, to which connections are already open.
func (m *Members) chooseHelpers(target string) []string {
	usable := func(name string) bool {
		p := m.peers[name]
		return p != nil && name != target && p.status.State == Alive && !p.unreachable
	}
	pool := slices.DeleteFunc(m.fingers(), func(name string) bool { return !usable(name) })
	if len(pool) < helpersPerProbe {
		pool = slices.DeleteFunc(slices.Clone(m.currentRing()), func(name string) bool { return !usable(name) })
	}
	m.rand.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	return pool[:min(helpersPerProbe, len(pool))]
}

func (m *Members) finishRelay(now time.Time, c call, r result) {
	t := c.indirect
	t.pending--
	if r.err == nil {
		t.answered = true
		t.reached = t.reached || r.relayReply.Reached
		if r.relayReply.Status.Name == t.target {
			m.applyStatus(now, c.to, r.relayReply.Status, true)
		}
	}
	p := m.peers[t.target]
	if p == nil {
		return
	}
	if t.reached {
		m.setUnreachable(p, p.failedPings >= maxFailedPings)
		p.failedProbes = 0
		return
	}
	if t.pending == 0 {
		m.recordFailedProbe(now, p, t)
	}
}

// recordFailedProbe handles a ping that failed directly and through every helper. It raises a suspicion
// at once if a helper replied. If none did, this entry may be the one that is cut off, so it waits for
// maxFailedPings failures in a row.
func (m *Members) recordFailedProbe(now time.Time, p *peerState, t *indirectProbe) {
	if p.status != t.statusBefore || p.status.State != Alive {
		return
	}
	p.failedProbes++
	if !t.answered && p.failedProbes < maxFailedPings {
		return
	}
	suspect := p.status
	suspect.State = Suspect
	m.setStatus(now, p, suspect, true)
}
