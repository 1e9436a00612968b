// Package member maintains the membership table of the entries and spreads rumours among them, without
// depending on the platform.
//
// Failure detection resembles SWIM, with fixed instead of random ping targets. Each entry pings a few
// others a second, at distances 1, 2, 4, ... along a ring. Every entry is thus watched by several
// others, the set of connections stays small and stable, and gossip carried by the pings reaches all
// entries in a logarithmic number of rounds. An entry that does not answer is pinged through two others
// and then suspected. It becomes dead unless it refutes the suspicion with a higher counter in time.
//
// The methods of Members work on explicit times; Run adds the clock and the network. A process that was
// paused can't trust its state: it detects the pause by the clock and does not consider itself an owner
// until it has been in contact with a peer.
package member

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// Config configures a Members.
type Config struct {
	// Self is this entry, as registered with the platform.
	Self platform.Entry
	// Generation is the platform's version of this entry's object.
	Generation uint64
	// Joining is what this entry announces until SetJoining is called.
	Joining bool
	Rand    *rand.Rand
	// Events receives time line events; it may be nil.
	Events *timeline.Recorder
	// Clock defaults to time.Now.
	Clock func() time.Time
}

// Members is the membership table and rumour store of one entry. It is safe for concurrent use.
type Members struct {
	clock  func() time.Time
	events *timeline.Recorder

	mu          sync.Mutex // guards the fields below; only the recorder's lock is taken under it
	rand        *rand.Rand
	self        Status
	selfEntry   platform.Entry
	queue       *queue
	rumours     map[rumourKey]storedRumour
	bodyFetches map[rumourKey]*bodyFetch
	handlers    map[string]func(Rumour)
	inbox       map[rumourKey]Rumour
	subscribers []chan struct{}

	table
	schedule
	freshness

	inboxReady chan struct{}
}

// New returns a Members that knows only its own entry.
func New(cfg Config) *Members {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	m := &Members{
		clock:     cfg.Clock,
		events:    cfg.Events,
		rand:      cfg.Rand,
		selfEntry: cfg.Self,
		self: Status{
			Name: cfg.Self.Name, Incarnation: cfg.Self.Incarnation, Generation: cfg.Generation,
			Counter: 1, State: Alive, Leaving: cfg.Self.Leaving, Joining: cfg.Joining,
		},
		table: table{
			peers:   make(map[string]*peerState),
			trusted: map[string]string{cfg.Self.Fingerprint: cfg.Self.Name},
		},
		queue:       newQueue(),
		rumours:     make(map[rumourKey]storedRumour),
		bodyFetches: make(map[rumourKey]*bodyFetch),
		handlers:    make(map[string]func(Rumour)),
		inbox:       make(map[rumourKey]Rumour),
		inboxReady:  make(chan struct{}, 1),
	}
	m.startFreshness(m.clock())
	m.announceSelf()
	m.markDirty()
	m.refresh()
	return m
}

// Self returns this entry.
func (m *Members) Self() Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfPeer()
}

func (m *Members) selfPeer() Peer {
	entry := m.selfEntry
	entry.Leaving = m.self.Leaving
	return Peer{Entry: entry, State: m.self.State, Self: true, Overloaded: m.self.Overloaded, Joining: m.self.Joining}
}

// Live returns, sorted by name, the entries that callers can be sent to and that can own things: alive
// or only suspected, and not leaving. This entry is included unless it is leaving or Paused reports true.
// The slice must not be modified.
func (m *Members) Live() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkPause(m.clock())
	m.refresh()
	return m.live
}

// Peers returns all other known entries, including dead and leaving ones, sorted by name.
func (m *Members) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Peer, 0, len(m.order))
	for _, p := range m.order {
		all = append(all, p.peer())
	}
	return all
}

// Trusted returns the name of the entry whose certificate has the fingerprint. It lets link/peer use
// Members as its trust store.
func (m *Members) Trusted(fingerprint string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name, ok := m.trusted[fingerprint]
	return name, ok
}

// Subscribe returns a channel that is signalled after Live has changed. Unread signals are merged into
// one.
func (m *Members) Subscribe() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	subscriber := make(chan struct{}, 1)
	m.subscribers = append(m.subscribers, subscriber)
	return subscriber
}

// Upsert adds or updates an entry from its platform object and that object's version. The entry is then
// trusted and probed, but not considered alive until it is heard of.
func (m *Members) Upsert(e platform.Entry, generation uint64) {
	m.mu.Lock()
	defer m.unlock()
	now := m.clock()
	if e.Name == m.self.Name {
		m.applySelfStatus(now, Status{Name: e.Name, Incarnation: e.Incarnation, Generation: generation})
		return
	}
	status := Status{Name: e.Name, Incarnation: e.Incarnation, Generation: generation, State: Dead, Leaving: e.Leaving}
	m.applyProfile(now, profileOf(status, e), false)
}

// Join calls Upsert for each of the entries known at startup.
func (m *Members) Join(seeds []platform.Entry, generations []uint64) {
	for i, seed := range seeds {
		m.Upsert(seed, generations[i])
	}
}

// Forget removes an entry whose object was deleted, if the entry is dead.
func (m *Members) Forget(name string) {
	m.mu.Lock()
	defer m.unlock()
	if p := m.peers[name]; p != nil && p.status.State == Dead {
		m.removePeer(p)
	}
}

// Leave announces that this entry takes no new work. The entry keeps answering.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.unlock()
	if m.self.Leaving {
		return
	}
	m.self.Leaving = true
	m.self.Counter++
	m.announceSelf()
	m.markDirty()
}

// SetOverloaded announces whether callers should be sent elsewhere. Each change is gossiped to all
// entries, so the caller must make sure that changes are rare.
func (m *Members) SetOverloaded(overloaded bool) {
	m.mu.Lock()
	defer m.unlock()
	if m.self.Overloaded == overloaded {
		return
	}
	m.self.Overloaded = overloaded
	m.self.Counter++
	m.announceSelf()
	m.markDirty()
}

// SetJoining announces whether this entry may not be made the home of groups yet. Each change is gossiped to all
// entries, so the caller must make sure that changes are rare.
func (m *Members) SetJoining(joining bool) {
	m.mu.Lock()
	defer m.unlock()
	if m.self.Joining == joining {
		return
	}
	m.self.Joining = joining
	m.self.Counter++
	m.announceSelf()
	m.markDirty()
}

// announceSelf queues this entry's status for gossip. Called with mu held. Entries that lack the profile
// fetch it once; pushed with the status, it would be sent eleven times by each of 330 entries.
func (m *Members) announceSelf() {
	status := m.self
	m.queue.put(statusKey(status.Name), item{Status: &status})
}

func statusKey(name string) string { return "s/" + name }

func (m *Members) record(e timeline.Event) {
	if m.events != nil {
		m.events.Record(e)
	}
}
