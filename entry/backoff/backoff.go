// Package backoff tracks the pauses that backend servers have asked this entry (gateway process) for: a server that rejects a request may state for
// how long it wants no other one from the entry. When requests may be sent again is decided by policy/backoff.
//
// A pause binds this entry alone. It is reported to the leader, the entry that grants turns at groups, which then grants this entry none at that
// server.
package backoff

import (
	"strconv"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	policy "github.com/skylarkpond/skylarkpond/policy/backoff"
)

// Deps holds the dependencies of a Tracker.
type Deps struct {
	// SendToLeader sends a message to the leader, if there is one.
	SendToLeader func(message link.Up)
	// Began is called when a server asks for a pause while none is in force, Ended when it is over.
	Began func(pause Pause)
	Ended func(pause Pause)
	// Withheld is called when a request is not sent to a server during its pause although it had been granted.
	Withheld func(server backend.ID)
	// Invalid is called with the first pause of each server that can't be read.
	Invalid func(server backend.ID, text string)
}

// Pause is a time in which a server wants no requests.
type Pause struct {
	Server backend.ID
	// For is how long the first answer asked for.
	For time.Duration
	// Answers counts the answers that asked for a pause until it was over, and Late those more than lateArrival after the first one.
	Answers, Late int
}

// lateArrival is how long after the first answer of a pause requests that were sent before it mostly arrive.
const lateArrival = 500 * time.Millisecond

// client is the name of this entry in policy/backoff, which keeps the pauses of one client here.
const client = ""

// server is what is known of one process of a server.
type server struct {
	policy.Server
	process int64
	// pause is the one in force, which began at began; nil if there is none.
	pause *Pause
	began time.Duration
}

// Tracker is safe for concurrent use.
type Tracker struct {
	deps    Deps
	started time.Time

	mu sync.Mutex // guards what follows; a leaf lock
	// servers holds those that have asked for a pause.
	servers map[backend.ID]*server
	// invalid holds the servers that have asked for a pause that can't be read.
	invalid map[backend.ID]bool
	// probes counts the probes.
	probes uint64
}

// New returns a Tracker that knows of no pause.
func New(deps Deps) *Tracker {
	return &Tracker{deps: deps, started: time.Now(), servers: make(map[backend.ID]*server), invalid: make(map[backend.ID]bool)}
}

func (t *Tracker) now() time.Duration { return time.Since(t.started) }

// of returns what is known of a process of a server, or nil. It must be called with t.mu held. A later process of the server isn't bound by what
// an earlier one asked for.
func (t *Tracker) of(id backend.ID, process int64) *server {
	known := t.servers[id]
	if known == nil || known.process != 0 && process != 0 && known.process < process {
		return nil
	}
	return known
}

// Answered records the pause that an answer of a server asks for; 0 for none. invalid is one that can't be read.
func (t *Tracker) Answered(from upstream.Endpoint, pause time.Duration, invalid string) {
	if invalid != "" && t.noteInvalid(from.ID) {
		t.deps.Invalid(from.ID, invalid)
	}
	if pause <= 0 {
		return
	}
	if began := t.reject(from, pause); began != nil {
		t.deps.Began(*began)
	}
	t.deps.SendToLeader(link.Up{Pause: &link.Pause{Server: from.ID, Process: from.Born, Ms: pause.Milliseconds() + 1}})
}

func (t *Tracker) noteInvalid(id backend.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.invalid[id]
	t.invalid[id] = true
	return first
}

// reject returns the pause if it has just begun.
func (t *Tracker) reject(from upstream.Endpoint, length time.Duration) *Pause {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	known := t.of(from.ID, from.Born)
	if known == nil {
		known = &server{process: from.Born}
		t.servers[from.ID] = known
	}
	began := known.pause == nil || known.Paused(now, client) <= now
	if began {
		known.pause, known.began = &Pause{Server: from.ID, For: length}, now
	}
	known.pause.Answers++
	if now-known.began > lateArrival {
		known.pause.Late++
	}
	known.Reject(now, client, length)
	if !began {
		return nil
	}
	pause := *known.pause
	return &pause
}

// Permit reports whether a granted request may still be sent to a server, and counts those that may not.
func (t *Tracker) Permit(to *backend.Server) bool {
	if t.Remaining(to) == 0 {
		return true
	}
	t.deps.Withheld(to.ID)
	return false
}

// Remaining returns what is left of the pause of a server; 0 if it has none.
func (t *Tracker) Remaining(of *backend.Server) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.of(of.ID, of.StartedAtMillis)
	if known == nil {
		return 0
	}
	now := t.now()
	return known.Paused(now, client) - now
}

// Allows reports whether a server may be sent a request now, and whether that is a probe, a single request after a pause.
func (t *Tracker) Allows(to *backend.Server) (allowed, probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.of(to.ID, to.StartedAtMillis)
	if known == nil {
		return true, false
	}
	return known.Allows(t.now(), client)
}

// BeginProbe records that a probe is sent, and returns a key for EndProbe.
func (t *Tracker) BeginProbe(to *backend.Server) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probes++
	key := strconv.FormatUint(t.probes, 10)
	if known := t.of(to.ID, to.StartedAtMillis); known != nil {
		known.Probe(t.now(), key)
	}
	return key
}

// EndProbe records that a probe has ended.
func (t *Tracker) EndProbe(to *backend.Server, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.of(to.ID, to.StartedAtMillis); known != nil {
		known.EndProbe(key)
	}
}

// Accepted records that a server has accepted a request. That ends no pause.
func (t *Tracker) Accepted(by *backend.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.of(by.ID, by.StartedAtMillis); known != nil {
		known.Accept(t.now(), t.now())
	}
}

// Pauses returns the pauses in force, for the next leader.
func (t *Tracker) Pauses() []link.Pause {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []link.Pause
	for id, known := range t.servers {
		known.Pauses(t.now(), func(_ string, left time.Duration) {
			all = append(all, link.Pause{Server: id, Process: known.process, Ms: left.Milliseconds() + 1})
		})
	}
	return all
}

// Count returns the number of pauses in force.
func (t *Tracker) Count() int { return len(t.Pauses()) }

// Sweep reports the pauses that are over. It forgets those that have been over for long, and those of processes that a later one has replaced.
func (t *Tracker) Sweep(listing *backend.Listing) {
	for _, pause := range t.sweep(listing) {
		t.deps.Ended(pause)
	}
}

func (t *Tracker) sweep(listing *backend.Listing) []Pause {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var ended []Pause
	for id, known := range t.servers {
		listed := listing.Servers[id]
		replaced := listed != nil && t.of(id, listed.StartedAtMillis) == nil
		if known.pause != nil && (replaced || known.Paused(now, client) <= now) {
			ended = append(ended, *known.pause)
			known.pause = nil
		}
		if replaced || known.Expired(now) {
			delete(t.servers, id)
		}
	}
	for id := range t.invalid {
		if listing.Servers[id] == nil {
			delete(t.invalid, id)
		}
	}
	return ended
}
