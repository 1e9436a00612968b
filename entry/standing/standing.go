// Package standing keeps what this entry (gateway process) knows of each backend server that decides whether it may be sent requests, and how many.
// How the states are joined is decided by policy/standing.
package standing

import (
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	policy "github.com/skylarkpond/skylarkpond/policy/standing"
)

// Deps holds the dependencies of a Tracker.
type Deps struct{}

// Tracker is safe for concurrent use.
type Tracker struct {
	deps    Deps
	started time.Time

	mu sync.Mutex // guards what follows; a leaf lock
	// servers holds those of which anything is known.
	servers map[backend.ID]*state
}

// state is what is known of one process of a server.
type state struct {
	process     int64
	unreachable bool
	coldUntil   time.Duration
	coldRate    float64
}

// New returns a Tracker that knows nothing.
func New(deps Deps) *Tracker {
	return &Tracker{deps: deps, started: time.Now(), servers: make(map[backend.ID]*state)}
}

func (t *Tracker) now() time.Duration { return time.Since(t.started) }

// Of returns the standing of a server now.
func (t *Tracker) Of(server *backend.Server) policy.Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.facts(server).At(t.now())
}

// facts must be called with t.mu held. What is known of an earlier process of the server doesn't bind a later one.
func (t *Tracker) facts(server *backend.Server) policy.Facts {
	var facts policy.Facts
	known := t.servers[server.ID]
	if known != nil && (known.process == 0 || known.process >= server.StartedAtMillis) {
		facts.Unreachable = known.unreachable
		facts.ColdUntil, facts.ColdPerSecond = known.coldUntil, known.coldRate
	}
	return facts
}

// Blocked reports whether a server may be sent nothing.
func (t *Tracker) Blocked(server *backend.Server) bool { return t.Of(server).Blocked }
