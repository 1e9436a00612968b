package gateway

import (
	"slices"
	"sync"
	"time"

	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/policy/presence"
)

// leaderState is what an entry has learned from the leader.
type leaderState struct {
	mu sync.Mutex // guards what follows; a leaf lock
	// lastRenewal is when the leader last reported that it holds the lease.
	lastRenewal time.Time
	// live holds the entries that the leader hears from; nil until the leader has sent the full set.
	live map[string]bool
	// down holds the entries that a settled leader did not hear from.
	down map[string]bool
	// isolated holds the other entries that have lost their connections to the servers, as the leader reported.
	isolated map[string]bool
	// list judges whether the leader hears from all entries that run.
	list presence.List
	// settledSeen is set once a settled leader has reported which entries it hears from.
	settledSeen bool
	// behind records that the leader had a newer configuration at the last renewal.
	behind bool
	// created is the time from which this state counts time.
	created time.Time
}

func newLeaderState() *leaderState {
	return &leaderState{down: make(map[string]bool), isolated: make(map[string]bool), created: time.Now()}
}

// renewalValidity is how long a renewal report of the leader stays valid: longer than two renewal intervals.
const renewalValidity = 1300 * time.Millisecond

// linked reports whether this entry hears from a leader that holds the lease, so that the changes it receives are current.
func (s *leaderState) linked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastRenewal) < renewalValidity
}

// isDown reports whether an entry is known to be down.
func (s *leaderState) isDown(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down[name] && !s.live[name]
}

// isIsolated reports whether an entry has lost its connections to the servers, as far as the leader reported.
func (s *leaderState) isIsolated(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolated[name]
}

// applyIsolation applies the leader's report of isolated entries.
func (s *leaderState) applyIsolation(changes link.IsolationChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range changes.Isolated {
		s.isolated[name] = true
	}
	for _, name := range changes.Reaching {
		delete(s.isolated, name)
	}
}

// hasMembership reports whether this process has ever learned which entries are live.
func (s *leaderState) hasMembership() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settledSeen
}

// leaderChanged forgets which entries the previous leader heard from, and which of them were isolated: each tells the new leader. Entries known to be down stay down until the new leader has
// settled; otherwise callers would be sent to an entry that is long gone.
func (s *leaderState) leaderChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = nil
	s.list = presence.List{}
	clear(s.isolated)
}

// leaderLost records that a leader stopped responding. Otherwise callers would be sent to it until its successor has settled, which
// takes about four seconds. If it is alive, its successor hears from it and lists it as live.
func (s *leaderState) leaderLost(leader string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[leader] = true
	delete(s.live, leader)
}

// applyRenewal applies the leader's report of live entries; names are all known entries that are not leaving.
func (s *leaderState) applyRenewal(renewal link.Renewal, names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRenewal = time.Now()
	if renewal.Live != nil {
		s.live = make(map[string]bool, len(renewal.Live))
	}
	if s.live == nil {
		return // the full set has not arrived yet
	}
	for _, name := range slices.Concat(renewal.Live, renewal.Joined) {
		s.live[name] = true
	}
	for _, name := range renewal.Left {
		delete(s.live, name)
	}
	if renewal.Settled && s.list.Believable(len(s.live), len(names), time.Since(s.created)) {
		s.updateDown(names)
	}
}

// updateDown recomputes which entries are down. The caller holds the lock.
func (s *leaderState) updateDown(names []string) {
	s.settledSeen = true
	for _, name := range names {
		s.down[name] = !s.live[name]
	}
}

// stillBehind reports whether this entry's configuration is older than the leader's for the second renewal in a row. All entries read
// a large configuration from the platform at the same time; if each also requested it from the leader at once, the leader's link would
// be saturated.
func (s *leaderState) stillBehind(behind bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	still := behind && s.behind
	s.behind = behind
	return still
}
