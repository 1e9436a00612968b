package member

import (
	"slices"
	"time"
)

// Periods and timeouts.
const (
	// tickPeriod is the interval between calls of tick.
	tickPeriod = 100 * time.Millisecond
	// probePeriod gives three pings a second, which go to the fingers in turn.
	probePeriod = time.Second / 3
	pingTimeout = 500 * time.Millisecond
	// relayTimeout bounds an indirect ping as a whole, relayedPingTimeout the helper's ping within it.
	relayTimeout       = 700 * time.Millisecond
	relayedPingTimeout = 400 * time.Millisecond
	// suspicionTimeout is the time to refute a suspicion. Gossip reaches all entries in about two
	// seconds.
	suspicionTimeout = 2500 * time.Millisecond
	// retryPeriod is the interval between pings to dead entries, one entry at a time, so that the two
	// sides of a healed partition find each other. Entries dead for longer than recentlyDead are
	// included only in every longDeadRetryInterval-th retry, since an unanswered dial costs some 6 KB.
	retryPeriod           = 10 * time.Second
	recentlyDead          = 10 * time.Minute
	longDeadRetryInterval = 6
	// joinPeriod is the interval at which joinPings known entries are tried while none is known to be
	// alive: at the start, until the other entries know this entry's key, and when this entry is cut
	// off.
	joinPeriod  = 500 * time.Millisecond
	joinPings   = 2
	syncPeriod  = 10 * time.Second
	syncTimeout = 3 * time.Second
	// warmupSyncPeriod replaces syncPeriod for warmupTime after a start or a pause.
	warmupSyncPeriod = 2 * time.Second
	warmupTime       = 15 * time.Second
	// deadRetention is how long a dead entry is remembered and retried, unless Forget is called.
	deadRetention = 24 * time.Hour
)

const (
	// maxGossipBytes bounds the gossip of one message. With three pings sent and three received a
	// second, each with an Ack, all gossip of an entry is bounded by 12 x 400 bytes a second, both
	// directions together.
	maxGossipBytes  = 400
	helpersPerProbe = 2
	// maxFailedPings is the number of failed pings in a row that raises a suspicion when no helper
	// replied, since then the fault may lie with this entry. The same number of failed pings marks a
	// peer that others reach as unreachable from here.
	maxFailedPings = 2
)

// schedule holds the times at which periodic work is due, and work queued for the next tick.
type schedule struct {
	nextProbe, nextRetry, nextJoin, nextSync time.Time
	fingerIndex                              int
	retryCount                               int
	syncTarget                               string   // peer to send a digest to at the next tick
	disconnectAddresses                      []string // disconnected at the next tick
}

// callKind selects the Pinger method of a call.
type callKind uint8

const (
	callPing callKind = iota + 1
	callRelay
	callDigest
	callExchange
	callDisconnect
)

// call is one message to send. The sender passes the result to finish.
type call struct {
	kind    callKind
	to      string
	address string
	sentAt  time.Time

	ping     Ping
	keys     []string // of the gossip in ping
	relay    Relay
	digest   Digest
	exchange Exchange
	fetch    rumourKey      // the rumour that exchange fetches, if any
	indirect *indirectProbe // shared by the relays for one target
}

// result is the outcome of a call.
type result struct {
	err           error
	ack           Ack
	relayReply    RelayReply
	digestReply   DigestReply
	exchangeReply ExchangeReply
}

// indirectProbe collects the replies of the helpers for one target.
type indirectProbe struct {
	target       string
	statusBefore Status
	pending      int
	answered     bool // a helper replied
	reached      bool // a helper reached the target
}

// tick performs the work that is due and returns the calls to make.
func (m *Members) tick(now time.Time) []call {
	m.mu.Lock()
	defer m.unlock()
	m.checkPause(now)
	m.lastTick = now
	m.expirePeers(now)
	m.expireRumours(now)
	m.checkIsolated(now)
	calls := m.disconnectCalls()
	calls = append(calls, m.probeCalls(now)...)
	calls = append(calls, m.retryCalls(now)...)
	calls = append(calls, m.syncCalls(now)...)
	calls = append(calls, m.fetchCalls()...)
	for i := range calls {
		calls[i].sentAt = now
	}
	return calls
}

func (m *Members) disconnectCalls() []call {
	calls := make([]call, 0, len(m.disconnectAddresses))
	for _, address := range m.disconnectAddresses {
		calls = append(calls, call{kind: callDisconnect, address: address})
	}
	m.disconnectAddresses = m.disconnectAddresses[:0]
	return calls
}

// expirePeers declares peers dead whose suspicion has timed out and removes those dead for
// deadRetention.
func (m *Members) expirePeers(now time.Time) {
	for _, p := range slices.Clone(m.order) {
		switch {
		case p.status.State == Suspect && !now.Before(p.suspectUntil):
			dead := p.status
			dead.State = Dead
			m.setStatus(now, p, dead, true)
		case p.status.State == Dead && now.Sub(p.diedAt) >= deadRetention:
			m.removePeer(p)
		}
	}
}

func (m *Members) probeCalls(now time.Time) []call {
	if now.Before(m.nextProbe) {
		return nil
	}
	m.nextProbe = maxTime(m.nextProbe, now.Add(-tickPeriod)).Add(probePeriod)
	fingers := m.fingers()
	if len(fingers) == 0 {
		return nil
	}
	m.fingerIndex = (m.fingerIndex + 1) % len(fingers)
	return []call{m.pingCall(fingers[m.fingerIndex])}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// fingers returns the entries at distances 1, 2, 4, ... along the ring.
func (m *Members) fingers() []string {
	ring := m.currentRing()
	at := slices.Index(ring, m.self.Name)
	var found []string
	for d := 1; d < len(ring); d *= 2 {
		found = append(found, ring[(at+d)%len(ring)])
	}
	return found
}

// pingCall returns the call that pings a known peer. Called with mu held.
func (m *Members) pingCall(to string) call {
	p := m.peers[to]
	gossip, keys := m.gossipFor(p)
	return call{
		kind: callPing, to: to, address: p.entry.PeerAddress, keys: keys,
		ping: Ping{Time: m.timestamp(), Self: m.self, Target: to, Gossip: gossip},
	}
}

// gossipFor selects gossip for p. A suspicion or death recorded for p comes first, so that p can refute
// it. A dead entry gets nothing else: items sent to it in vain would still count towards their send
// limit.
func (m *Members) gossipFor(p *peerState) ([]item, []string) {
	status := p.status
	if status.State == Dead && status.Counter == 0 {
		return nil, nil
	}
	if status.State == Dead {
		return []item{{Status: &status}}, nil
	}
	picked, keys := m.queue.pick(status.Name, maxGossipBytes, sendLimit(len(m.currentRing())))
	m.countDownTTL(picked)
	if status.State == Suspect {
		picked = append([]item{{Status: &status}}, picked...)
	}
	return picked, keys
}

func (m *Members) countDownTTL(items []item) {
	now := m.clock()
	for i, it := range items {
		if it.Rumour == nil || it.Rumour.TTL == 0 {
			continue
		}
		remaining := *it.Rumour
		remaining.TTL = max(m.rumours[keyOf(remaining)].expires.Sub(now), 1)
		items[i].Rumour = &remaining
	}
}

// retryCalls pings one dead entry every retryPeriod, and several entries more often while none is known
// to be alive.
func (m *Members) retryCalls(now time.Time) []call {
	if len(m.currentRing()) == 1 {
		return m.joinCalls(now)
	}
	if now.Before(m.nextRetry) {
		return nil
	}
	m.nextRetry = now.Add(m.jitter(retryPeriod))
	m.retryCount++
	dead := m.deadNames(func(p *peerState) bool {
		return m.retryCount%longDeadRetryInterval == 0 || now.Sub(p.diedAt) < recentlyDead
	})
	if len(dead) == 0 {
		return nil
	}
	return []call{m.pingCall(dead[0])}
}

func (m *Members) joinCalls(now time.Time) []call {
	if now.Before(m.nextJoin) {
		return nil
	}
	m.nextJoin = now.Add(m.jitter(joinPeriod))
	var calls []call
	for i, name := range m.deadNames(func(*peerState) bool { return true }) {
		if i < joinPings {
			calls = append(calls, m.pingCall(name))
		}
	}
	return calls
}

// deadNames returns the names of the dead peers that pass accepts, shuffled.
func (m *Members) deadNames(pass func(*peerState) bool) []string {
	var names []string
	for _, p := range m.order {
		if p.status.State == Dead && pass(p) {
			names = append(names, p.status.Name)
		}
	}
	m.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// jitter varies d by up to a fifth either way, so that entries started together do not act in lockstep.
func (m *Members) jitter(d time.Duration) time.Duration {
	return d*4/5 + time.Duration(m.rand.Int64N(int64(d)*2/5))
}

// timestamp returns the hybrid logical time for an outgoing message.
func (m *Members) timestamp() int64 {
	if m.events == nil {
		return 0
	}
	return m.events.Now()
}

func (m *Members) observeTime(at int64) {
	if m.events != nil {
		m.events.Observe(at)
	}
}
