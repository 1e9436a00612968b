// Package limits tracks how many requests a second backend servers take from all entries together, as they state in their answers. An entry is
// one proxy process that callers connect to.
//
// What one entry hears binds all of them. So each reports it to the leader, the entry that coordinates all entries, which keeps the limits of all
// servers (see policy/quota), tells all entries which servers have one, and grants every request to these. A server is limited for an entry from
// when it hears of the limit itself, and until the leader says that the limit is gone.
package limits

import (
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// Deps holds the dependencies of a Tracker.
type Deps struct {
	// SendToLeader sends a message to the leader, if there is one.
	SendToLeader func(message link.Up)
	// Changed is called when an answer states another limit than the one known.
	Changed func(change Change)
	// Sent is called when a request is sent to a server that is known to have a limit.
	Sent func(server *backend.Server)
	// Invalid is called with the first limit of each server that can't be read.
	Invalid func(server *backend.Server, text string)
}

// Knowledge is what was known of a server's limit at some moment.
type Knowledge struct {
	// Version is that of the limit as the leader told it; 0 if the leader has told of none.
	Version uint64
}

// Answer is what an answer states about the limit of its server.
type Answer struct {
	Server *backend.Server
	// Known is what Sending returned when the request was sent.
	Known Knowledge
	// PerSecond is the limit in requests a second; nil if the answer states none. Invalid is a limit that can't be read; empty for none.
	PerSecond *float64
	Invalid   string
}

// Change is a difference between the limit that an answer states and the one that was known. A nil limit stands for none.
type Change struct {
	Server   *backend.Server
	Was, Now *float64
}

// limit is a known limit.
type limit struct {
	link.ServerLimit
	learnedAt time.Time
}

// Tracker is safe for concurrent use.
type Tracker struct {
	deps Deps

	mu sync.Mutex // guards what follows; a leaf lock
	// known holds the limits that this entry was told of or has heard itself. Those that the leader has not told of yet have no version.
	known map[backend.ID]limit
	// invalid holds the servers that have stated a limit that can't be read.
	invalid map[backend.ID]bool
	// informed is set once the limits were learned that other entries know.
	informed bool
}

// New returns a Tracker that knows of no limit.
func New(deps Deps) *Tracker {
	return &Tracker{deps: deps, known: make(map[backend.ID]limit), invalid: make(map[backend.ID]bool)}
}

// Limited reports whether a server has a limit, so that it may be sent requests by turns of the leader alone.
func (t *Tracker) Limited(server *backend.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, limited := t.limitOf(server)
	return limited
}

// limitOf returns the limit of the server's present process. It must be called with t.mu held.
func (t *Tracker) limitOf(server *backend.Server) (limit, bool) {
	known, ok := t.known[server.ID]
	if !ok || known.Process != 0 && known.Process < server.StartedAtMillis {
		return limit{}, false
	}
	return known, true
}

// Sending records that a request is about to be sent to a server, and returns what is known of its limit.
func (t *Tracker) Sending(server *backend.Server) Knowledge {
	t.mu.Lock()
	known, limited := t.limitOf(server)
	t.mu.Unlock()
	if limited {
		t.deps.Sent(server)
	}
	return Knowledge{Version: known.Version}
}

// Answered records what an answer states, and reports it to the leader if that is new.
func (t *Tracker) Answered(answer Answer) {
	if answer.Invalid != "" && t.noteInvalid(answer.Server.ID) {
		t.deps.Invalid(answer.Server, answer.Invalid)
	}
	if answer.PerSecond == nil && answer.Invalid != "" {
		return // it states nothing
	}
	was, isNew := t.apply(answer)
	if !isNew {
		return
	}
	t.deps.Changed(Change{Server: answer.Server, Was: was, Now: answer.PerSecond})
	t.deps.SendToLeader(link.Up{LimitReport: &link.LimitReport{
		Server: answer.Server.ID, Process: answer.Server.StartedAtMillis, PerSecond: answer.PerSecond, Basis: answer.Known.Version,
	}})
}

// noteInvalid reports whether the server had stated no limit before that can't be read.
func (t *Tracker) noteInvalid(server backend.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.invalid[server]
	t.invalid[server] = true
	return first
}

// apply returns the limit that was known, and whether the answer states another one that is to be believed: see quota.Ledger. A lower limit, or a
// first one, holds for this entry at once. The leader decides on all others.
func (t *Tracker) apply(answer Answer) (was *float64, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, limited := t.limitOf(answer.Server)
	if limited {
		was = &known.PerSecond
	}
	switch {
	case limited && known.Process > answer.Server.StartedAtMillis && answer.Server.StartedAtMillis != 0:
		return was, false
	case answer.PerSecond != nil && (!limited || *answer.PerSecond < known.PerSecond):
		t.known[answer.Server.ID] = limit{
			ServerLimit: link.ServerLimit{Server: answer.Server.ID, Process: answer.Server.StartedAtMillis, PerSecond: *answer.PerSecond},
			learnedAt:   time.Now(),
		}
		return was, true
	case !limited || answer.PerSecond != nil && *answer.PerSecond == known.PerSecond:
		return was, false
	}
	return was, known.Version != 0 && known.Version == answer.Known.Version
}

// ApplyChanges sets what the leader tells.
func (t *Tracker) ApplyChanges(changes link.LimitChanges) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if changes.Complete {
		clear(t.known)
		t.informed = true
	}
	for _, told := range changes.Limits {
		t.known[told.Server] = limit{ServerLimit: told, learnedAt: time.Now()}
	}
	for _, server := range changes.Lifted {
		delete(t.known, server)
	}
}

// Adopt applies a limit that another entry has heard, unless this entry knows a lower one or one of a later process.
func (t *Tracker) Adopt(heard link.ServerLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.known[heard.Server]
	if ok && (known.Process > heard.Process || known.Process == heard.Process && known.PerSecond <= heard.PerSecond) {
		return
	}
	heard.Version = 0
	t.known[heard.Server] = limit{ServerLimit: heard, learnedAt: time.Now()}
}

// Limits returns all known limits, for the next leader.
func (t *Tracker) Limits() []link.ServerLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []link.ServerLimit
	for _, known := range t.known {
		told := known.ServerLimit
		told.Version = 0
		told.AgeMs += time.Since(known.learnedAt).Milliseconds()
		all = append(all, told)
	}
	return all
}

// Unconfirmed returns reports of the limits that this entry has heard and the leader has not told of.
func (t *Tracker) Unconfirmed() []link.Up {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []link.Up
	for _, known := range t.known {
		if known.Version == 0 {
			reports = append(reports, link.Up{LimitReport: &link.LimitReport{
				Server: known.Server, Process: known.Process, PerSecond: &known.PerSecond,
			}})
		}
	}
	return reports
}

// NoteInformed records that this entry has learned what other entries knew, or that there was nothing to learn.
func (t *Tracker) NoteInformed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.informed = true
}

// Informed reports whether this entry has learned the limits that other entries knew when it started.
func (t *Tracker) Informed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.informed
}

// Sweep forgets servers that are no longer registered. The limits of those that may come back are kept by the leader.
func (t *Tracker) Sweep(listing *backend.Listing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server := range t.invalid {
		if listing.Servers[server] == nil {
			delete(t.invalid, server)
		}
	}
}

// Count returns the number of servers that are known to have a limit.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.known)
}
