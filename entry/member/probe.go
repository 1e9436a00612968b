package member

import (
	"slices"
	"time"
)

// Periods and timeouts.
const (
	// tickPeriod is how often tick runs.
	tickPeriod = 100 * time.Millisecond
	// probePeriod: three pings a second, each to the next of the fingers.
	probePeriod = time.Second / 3
	pingTimeout = 500 * time.Millisecond
	// relayTimeout bounds an indirect ping, relayedPingTimeout the helper's part of it.
	relayTimeout       = 700 * time.Millisecond
	relayedPingTimeout = 400 * time.Millisecond
	// suspicionTimeout is the time to refute a suspicion. News reach all in about two seconds.
	suspicionTimeout = 2500 * time.Millisecond
	// retryPeriod is how often one dead entry is tried, so that the halves of a healed partition find
	// each other; one that is dead for longer than recentlyDead is tried only at every longRetry-th time,
	// since a dial that nobody answers costs some 6 KB.
	retryPeriod  = 10 * time.Second
	recentlyDead = 10 * time.Minute
	longDeadRetryInterval    = 6
	// joinPeriod is how often joinPings known entries are tried while none is known to live: at the
	// start, until the others have heard of this entry's key, and when cut off.
	joinPeriod  = 500 * time.Millisecond
	joinPings   = 2
	syncPeriod  = 10 * time.Second
	syncTimeout = 3 * time.Second
	// warmupSyncPeriod stands for syncPeriod for learningTime after a start or a pause.
	warmupSyncPeriod = 2 * time.Second
	warmupTime       = 15 * time.Second
	// deadRetention is how long a dead entry is remembered, and tried, unless Forget is called.
	deadRetention = 24 * time.Hour
)

const (
	// maxGossipBytes bounds the gossip of one message. With three pings sent and three answered a second,
	// each with an answer, it bounds all gossip of an entry to 12 x 400 bytes a second, both directions
	// together.
	maxGossipBytes = 400
	helpersPerProbe     = 2
	// maxFailedPings is how many pings in a row must fail to raise a suspicion when no helper answered
	// either: then the fault may lie with this entry; or to call a peer unreachable that others reach.
	maxFailedPings = 2
)

// schedule holds when things are due.
type schedule struct {
	nextProbe, nextRetry, nextJoin, nextSync time.Time
	nextFinger                                   int
	retryCount                                  int
	syncTarget                                 string   // to be asked for a digest soon
	disconnectAddresses                                     []string // addresses to disconnect
}

// callKind says which call of a Pinger a call is.
type callKind uint8

const (
	callPing callKind = iota + 1
	callRelay
	callDigest
	callExchange
	callDisconnect
)

// call is one message to send. Whoever sends it hands the result to finish.
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
	fetch    rumourKey // what exchange fetches, if it does
	indirect    *indirectProbe    // of the relays for one target
}

// result is what came of a call.
type result struct {
	err       error
	ack       Ack
	relayReply   RelayReply
	digestReply   DigestReply
	exchangeReply ExchangeReply
}

// indirectProbe collects the answers of the helpers for one target.
type indirectProbe struct {
	target   string
	statusBefore   Status
	pending  int
	answered bool
	reached  bool
}

// tick does what is due and returns the calls to make.
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

// expirePeers turns suspicions into deaths and forgets those dead for long.
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
	m.nextFinger = (m.nextFinger + 1) % len(fingers)
	return []call{m.pingCall(fingers[m.nextFinger])}
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

// pingCall must be called with mu held, for a known peer.
func (m *Members) pingCall(to string) call {
	p := m.peers[to]
	gossip, keys := m.gossipFor(p)
	return call{
		kind: callPing, to: to, address: p.entry.PeerAddress, keys: keys,
		ping: Ping{Time: m.timestamp(), Self: m.self, Target: to, Gossip: gossip},
	}
}

// gossipFor picks gossip for p, which first learns what is held against it, so that it can refute it. A
// dead entry gets nothing else: what is sent there in vain would be missed by others.
func (m *Members) gossipFor(p *peerState) ([]item, []string) {
	held := p.status
	if held.State == Dead && held.Counter == 0 {
		return nil, nil
	}
	if held.State == Dead {
		return []item{{Status: &held}}, nil
	}
	picked, keys := m.queue.pick(held.Name, maxGossipBytes, sendLimit(len(m.currentRing())))
	m.countDownTTL(picked)
	if held.State == Suspect {
		picked = append([]item{{Status: &held}}, picked...)
	}
	return picked, keys
}

func (m *Members) countDownTTL(items []item) {
	now := m.clock()
	for i, it := range items {
		if it.Rumour == nil || it.Rumour.TTL == 0 {
			continue
		}
		left := *it.Rumour
		left.TTL = max(m.rumours[keyOf(left)].expires.Sub(now), 1)
		items[i].Rumour = &left
	}
}

// retryCalls pings a dead entry now and then, and some more often while none is known to live.
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

// deadNames returns the dead that pass, shuffled.
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

// jitter spreads d by a fifth either way, so that entries started together do not act in step.
func (m *Members) jitter(d time.Duration) time.Duration {
	return d*4/5 + time.Duration(m.rand.Int64N(int64(d)*2/5))
}

// timestamp returns a time for an outgoing message.
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
