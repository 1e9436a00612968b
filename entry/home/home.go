// Package home implements the role of the home. The home of a group is the entry that queues the group's requests and
// sends them to its backend servers. It receives dispatches from fronts, queues them, claims those that may run at
// most once, and sends each of them once to the head of its group, the member that takes the requests.
//
// Two entries may temporarily both believe that they are the home of the same group. Correctness does not depend
// on there being only one: the platform decides which of them gets the claim, and the members of the group are
// determined by the placement and the probes.
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

// Groups looks up placements and tells which groups this entry is the home of.
type Groups interface {
	// Lookup returns the group as last placed, and whether this entry is its home. ok is false if the group is not
	// placed.
	Lookup(id vm.GroupID) (group vm.Group, home bool, ok bool)
	// HomeOf returns the name of the entry that is the group's home to this entry's knowledge, or "" if it knows none.
	HomeOf(id vm.GroupID) string
}

// Presence reports whether a group is whole: every member answered a probe recently with the expected boot ID,
// group and epoch.
type Presence interface {
	// Whole reports whether the group is whole and, if it is not, the reason.
	Whole(id vm.GroupID) (ok bool, reason string)
}

// AdmissionRequest describes a request that asks to be admitted to a group.
type AdmissionRequest struct {
	Service settings.Service
	Team    settings.Team
	Group   vm.GroupID
	// Timeout is the total time that the request may still take, including the time in the queue.
	Timeout  time.Duration
	Priority int
	// EstimatedTokens is the estimated work: the prompt and the answer, in tokens.
	EstimatedTokens int
	// PromptTokens is the prompt's part of EstimatedTokens. The rest is an upper bound on the answer.
	PromptTokens int
}

// Permit is the admission of one request to a group. Its owner reports the progress of the answer and calls Done
// at the end. Further calls of Done have no effect.
type Permit interface {
	// FirstToken reports the first event of the answer. The latencies that FirstToken and Token report drive the
	// concurrency limit.
	FirstToken()
	// Token reports the tokens of each event, including the first.
	Token(count int)
	// RateLimit reports how many requests a second the group's head takes, as the answer states; nil for no limit. It returns whether that
	// changes the limit of the group.
	RateLimit(perSecond *float64) (changed bool)
	// Pause reports that the group's head has refused the request and wants no others for a time.
	Pause(length time.Duration)
	Done()
}

// Admission decides which requests are admitted, which wait, and for how long.
type Admission interface {
	// Enter waits for a permit. It returns a Problem as soon as the request cannot be admitted.
	Enter(ctx context.Context, request AdmissionRequest) (Permit, *contract.Problem)
	// Load returns the load of a group at this home.
	Load(id vm.GroupID) contract.GroupLoad
}

// Guard holds back requests that have crashed backend servers.
type Guard interface {
	// Admit returns a permit to send the request to the group, or the problem that prevents it. It is called right before
	// the claim.
	Admit(ctx context.Context, request guard.Request) (*guard.Permit, *contract.Problem)
}

// Deps holds the dependencies of a Home.
type Deps struct {
	// Self and Incarnation identify this entry and its current process lifetime in claims.
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
	// Clock defaults to time.Now.
	Clock func() time.Time
}

// Home handles the dispatches to the groups of this entry. It is safe for concurrent use.
type Home struct {
	deps   Deps
	claims *claimTable
	// pendingReleases counts the goroutines that release claims.
	pendingReleases atomic.Int64
}

// New returns a Home.
func New(deps Deps) *Home {
	if deps.Clock == nil {
		deps.Clock = time.Now
	}
	return &Home{deps: deps, claims: newClaimTable()}
}

// ClaimStatus returns what became of a claim of this home, given the request ID and the nonce of the claim.
func (h *Home) ClaimStatus(requestID, nonce string) outcome.HolderAnswer {
	return h.claims.status(requestID, nonce)
}

// PendingReleases returns the number of abandoned claims that may not have been released yet. A planned stop waits
// until it is zero.
func (h *Home) PendingReleases() int { return int(h.pendingReleases.Load()) }

// Dispatch handles one dispatch, passes its frames to send, and returns when the work is done. If ctx ends or send
// fails, the front is gone: the request is cancelled unless it was claimed.
func (h *Home) Dispatch(ctx context.Context, d contract.Dispatch, send func(contract.Frame) error) error {
	h.deps.Recorder.Observe(d.HLCTime)
	run := newRun(ctx, h, d, send)
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	run.execute(ctx)
	if run.claimAbandoned {
		run.startRelease()
	}
	return run.sendErr
}
