// Package member is what the entries know of each other: which live, and rumours, kept among themselves
// without the platform.
//
// Each entry pings a few others a second, along a ring at distances 1, 2, 4, ...: every entry is watched
// by several, the connections stay the same and few, and what the pings carry reaches all in a
// logarithmic number of rounds. An entry that does not answer is pinged through two others, then
// suspected, then, if it does not refute that by a higher counter, dead.
//
// All of Members runs on times that are passed in; Run is the thin shell that adds the clock and the
// network. A process that was paused can't trust what it knew: it notices by the clock and counts itself
// as no owner until it has spoken with a peer.
package member

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// Config is what a Members needs.
type Config struct {
	// Self is this entry, as it announced itself to the platform.
	Self platform.Entry
	// Generation is the platform's version of that object.
	Generation uint64
	Rand       *rand.Rand
	// Events may be nil.
	Events *timeline.Recorder
	// Clock is time.Now unless a test says otherwise.
	Clock func() time.Time
}

// Members is the table of entries, and the rumours among them. It is safe for concurrent use.
type Members struct {
	clock  func() time.Time
	events *timeline.Recorder

	mu        sync.Mutex // guards what follows; a leaf lock but for the recorder's
	rand      *rand.Rand
	self      Status
	selfEntry platform.Entry
	queue     *queue
	rumours   map[rumourKey]storedRumour
	bodyFetches     map[rumourKey]*bodyFetch
	handlers  map[string]func(Rumour)
	inbox     map[rumourKey]Rumour
	watchers  []chan struct{}

	table
	schedule
	freshness

	inboxReady chan struct{}
}

// New returns a Members that knows only itself.
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
			Counter: 1, State: Alive, Leaving: cfg.Self.Leaving,
		},
		table: table{
			peers:   make(map[string]*peerState),
			trusted: map[string]string{cfg.Self.Fingerprint: cfg.Self.Name},
		},
		queue:      newQueue(),
		rumours:    make(map[rumourKey]storedRumour),
		bodyFetches:      make(map[rumourKey]*bodyFetch),
		handlers:   make(map[string]func(Rumour)),
		inbox:      make(map[rumourKey]Rumour),
		inboxReady: make(chan struct{}, 1),
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
	return Peer{Entry: entry, State: m.self.State, Self: true, Overloaded: m.self.Overloaded}
}

// Live returns the entries that can be given to callers and can own things: alive or only suspected,
// and not leaving; by name. This entry is among them unless it is leaving, or was paused and has not
// spoken with a peer since. The slice must not be changed.
func (m *Members) Live() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkPause(m.clock())
	m.refresh()
	return m.live
}

// Peers returns all other entries that are known, the dead and the leaving too, by name.
func (m *Members) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Peer, 0, len(m.order))
	for _, p := range m.order {
		all = append(all, p.peer())
	}
	return all
}

// Trusted tells whose certificate has the fingerprint. It makes Members the trust of link/peer.
func (m *Members) Trusted(fingerprint string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name, ok := m.trusted[fingerprint]
	return name, ok
}

// Subscribe returns a channel that is signalled after Live has changed. Signals that are not read are
// merged into one.
func (m *Members) Subscribe() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	watcher := make(chan struct{}, 1)
	m.watchers = append(m.watchers, watcher)
	return watcher
}

// Upsert takes in an entry as the platform names it, and the version of its object. It is a reason to
// trust it and to try it, not to hold it alive.
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

// Join is Know for several, at the start.
func (m *Members) Join(seeds []platform.Entry, generations []uint64) {
	for i, seed := range seeds {
		m.Upsert(seed, generations[i])
	}
}

// Forget drops an entry whose object was deleted, unless it lives.
func (m *Members) Forget(name string) {
	m.mu.Lock()
	defer m.unlock()
	if p := m.peers[name]; p != nil && p.status.State == Dead {
		m.removePeer(p)
	}
}

// Leave tells the others that this entry takes no new work. It goes on answering.
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

// SetOverloaded tells the others whether callers should be sent elsewhere. Each change is a rumour to all:
// whoever calls it sees to it that it changes seldom.
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

// announceSelf queues the own status. Called with mu held. Who lacks the profile asks for it once: pushed
// along, it would be sent eleven times by each of 330 entries.
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
