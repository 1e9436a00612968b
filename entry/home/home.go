// Package home is the part of an entry that owns groups: it takes the dispatches of fronts, queues them,
// claims those that may not be repeated, and sends each to the head of its group, once.
//
// Two entries may believe for a while that they own the same group. Nothing here depends on there being
// one: the claim is decided by the platform, the group's members by the placement and the probes.
package home

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/entry/guard"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Groups knows the placements, and which groups are this entry's.
type Groups interface {
	// Lookup returns the group as last placed, and whether this entry is its home.
	Lookup(id vm.GroupID) (group vm.Group, home bool, ok bool)
}

// Presence knows whether a group is whole: every member answered a probe lately, with the right boot id,
// group and epoch.
type Presence interface {
	Whole(id vm.GroupID) (ok bool, reason string)
}

// Item is a request in front of the queue.
type Item struct {
	Service settings.Service
	Team    settings.Team
	Group   vm.GroupID
	// Timeout is how long the request may take in all, from now.
	Timeout  time.Duration
	Priority int
	// Work is the estimated work in tokens.
	Work int
	// Prompt is the part of Work that the prompt is; the rest is a bound on the answer.
	Prompt int
}

// Turn is a request's place at work. Its owner reports what it sees, and calls Done at the end; more calls
// of Done do nothing.
type Turn interface {
	// FirstToken and Token report the arrival of the first and of each later event, for the limit.
	FirstToken()
	Token(count int)
	Done()
}

// Admission decides what is let in, what waits, and for how long.
type Admission interface {
	// Enter waits for a turn, or says at once why there is none.
	Enter(ctx context.Context, item Item) (Turn, *contract.Problem)
	// Load returns the load of a group at this home.
	Load(id vm.GroupID) contract.GroupLoad
}

// Guard holds requests back that crash backend servers.
type Guard interface {
	// Enter says whether the request may go to the group now. It is called right before the claim.
	Enter(ctx context.Context, s guard.Subject) (*guard.Pass, *contract.Problem)
}

// Deps is what a home needs.
type Deps struct {
	// Self and Incarnation name this life of this entry in claims.
	Self        string
	Incarnation string
	Groups      Groups
	Presence    Presence
	Admission   Admission
	Guard       Guard
	Attempts    *attempt.Records
	Engines     engine.Client
	Settings    func() *settings.Snapshot
	Recorder    *timeline.Recorder
	Metrics     metrics.Registry
	Log         logrus.FieldLogger
	// Clock is time.Now if nil.
	Clock func() time.Time
}

// Home takes dispatches. It is safe for concurrent use.
type Home struct {
	deps Deps
	work *table
	// releasing counts the goroutines of releases.
	releasing atomic.Int64
}

// New returns a home.
func New(deps Deps) *Home {
	if deps.Clock == nil {
		deps.Clock = time.Now
	}
	return &Home{deps: deps, work: newTable()}
}

// Holds says what became of a claim of this home, given the request's id and the claim's nonce.
func (h *Home) Holds(requestID, nonce string) outcome.HolderAnswer {
	return h.work.answer(requestID, nonce)
}

// Releasing counts the claims that were given up and may stand still. A planned stop waits for them.
func (h *Home) Releasing() int { return int(h.releasing.Load()) }

// Dispatch handles one dispatch and sends its frames. It returns when the work is over. When ctx is over
// or send fails the front is gone: what it asked for is cancelled, unless it was claimed.
func (h *Home) Dispatch(ctx context.Context, d contract.Dispatch, send func(contract.Frame) error) error {
	h.deps.Recorder.Observe(d.HLCTime)
	run := newRun(ctx, h, d, send)
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	run.do(ctx)
	if run.givenUp {
		run.startRelease()
	}
	return run.sendErr
}
