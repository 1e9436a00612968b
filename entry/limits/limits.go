// Package limits tracks how many requests a second backend servers take from all entries together, as they state in their answers. An entry is
// one proxy process that callers connect to.
package limits

import (
	"sync"

	"github.com/skylarkpond/skylarkpond/backend"
)

// Deps holds the dependencies of a Tracker.
type Deps struct {
	// Changed is called when the known limit of a server changes.
	Changed func(change Change)
	// Sent is called when a request is sent to a server that is known to have a limit.
	Sent func(server *backend.Server)
	// Invalid is called with the first limit of each server that can't be read.
	Invalid func(server *backend.Server, text string)
}

// Knowledge is what was known of a server's limit at some moment.
type Knowledge struct {
	// PerSecond is the limit in requests a second; nil for none.
	PerSecond *float64
}

// Answer is what an answer states about the limit of its server.
type Answer struct {
	Server *backend.Server
	// Known is what Sending returned when the request was sent.
	Known Knowledge
	// PerSecond is the limit in requests a second; nil if the answer names none. Invalid is a limit that can't be read; empty for none.
	PerSecond *float64
	Invalid   string
}

// Change is a change of the known limit of a server. A nil limit stands for none.
type Change struct {
	Server   *backend.Server
	Was, Now *float64
}

// Tracker is safe for concurrent use.
type Tracker struct {
	deps Deps

	mu      sync.Mutex // guards what follows; a leaf lock
	known   map[backend.ID]float64
	invalid map[backend.ID]bool
}

// New returns a Tracker that knows of no limit.
func New(deps Deps) *Tracker {
	return &Tracker{deps: deps, known: make(map[backend.ID]float64), invalid: make(map[backend.ID]bool)}
}

// Sending records that a request is about to be sent to a server, and returns what is known of its limit.
func (t *Tracker) Sending(server *backend.Server) Knowledge {
	t.mu.Lock()
	known := t.limitOf(server.ID)
	t.mu.Unlock()
	if known != nil {
		t.deps.Sent(server)
	}
	return Knowledge{PerSecond: known}
}

// limitOf must be called with t.mu held.
func (t *Tracker) limitOf(id backend.ID) *float64 {
	limit, ok := t.known[id]
	if !ok {
		return nil
	}
	return &limit
}

// Answered records what an answer states.
func (t *Tracker) Answered(answer Answer) {
	t.mu.Lock()
	was := t.limitOf(answer.Server.ID)
	firstInvalid := answer.Invalid != "" && !t.invalid[answer.Server.ID]
	if answer.Invalid != "" {
		t.invalid[answer.Server.ID] = true
	}
	switch {
	case answer.PerSecond != nil:
		t.known[answer.Server.ID] = *answer.PerSecond
	case answer.Invalid == "":
		delete(t.known, answer.Server.ID)
	}
	now := t.limitOf(answer.Server.ID)
	t.mu.Unlock()
	if firstInvalid {
		t.deps.Invalid(answer.Server, answer.Invalid)
	}
	if !equal(was, now) {
		t.deps.Changed(Change{Server: answer.Server, Was: was, Now: now})
	}
}

func equal(a, b *float64) bool { return a == b || a != nil && b != nil && *a == *b }

// Count returns the number of servers that are known to have a limit.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.known)
}
