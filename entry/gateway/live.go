package gateway

import (
	"slices"
	"sync"
	"time"

	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// following is what an entry hears from the one in charge.
type following struct {
	mu sync.Mutex // guards what follows; a leaf lock
	// heard is when the leader last said that it holds the lease.
	heard time.Time
	// live are the entries that the leader hears from; nil before it has said so.
	live map[string]bool
	// down are the entries that a settled leader did not hear from.
	down map[string]bool
	// told says that a settled leader has said once which entries it hears from.
	told bool
	// behind says that the leader had a newer configuration when it last renewed the lease.
	behind bool
}

func newFollowing() *following { return &following{down: make(map[string]bool)} }

// heardFor is how long the leader's word counts that it holds the lease: longer than two renewals.
const heardFor = 1300 * time.Millisecond

// linked says whether this entry hears from a leader that holds the lease, so that its news are current.
func (f *following) linked() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.heard) < heardFor
}

// dead says whether an entry is known to be down.
func (f *following) dead(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[name] && !f.live[name]
}

// informed says whether this process has ever heard which entries are live.
func (f *following) informed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told
}

// newLeader forgets which entries the last leader heard from. Those that it knew to be down count as down until the next one has settled:
// callers would otherwise be sent to an entry that is long gone.
func (f *following) newLeader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = nil
}

// lost notes that a leader has fallen silent. Callers would otherwise be sent to it until its successor has settled, which
// takes some four seconds. One that is alive is among those that the successor hears from.
func (f *following) lost(leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[leader] = true
	delete(f.live, leader)
}

// renewed takes the leader's word on which entries are live; names are all that are known and not leaving.
func (f *following) renewed(renewed link.Renewal, names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = time.Now()
	if renewed.Live != nil {
		f.live = make(map[string]bool, len(renewed.Live))
	}
	if f.live == nil {
		return // it was not told the whole yet
	}
	for _, name := range slices.Concat(renewed.Live, renewed.Joined) {
		f.live[name] = true
	}
	for _, name := range renewed.Left {
		delete(f.live, name)
	}
	if renewed.Settled && 2*len(f.live) >= len(names) { // a leader that hears from few is more likely cut off itself
		f.note(names)
	}
}

// note takes over which entries are down. It is called under the lock.
func (f *following) note(names []string) {
	f.told = true
	for _, name := range names {
		f.down[name] = !f.live[name]
	}
}

// stillBehind says whether this entry has an older configuration than the leader, as it had at the renewal before. All entries read a large
// configuration from the platform at the same time; were each to ask the leader for it at once as well, its link would be full.
func (f *following) stillBehind(behind bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	still := behind && f.behind
	f.behind = behind
	return still
}
