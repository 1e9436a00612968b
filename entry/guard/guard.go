// Package guard applies policy/quarantine and policy/suspicion at a home. It keeps a request that crashes backend
// servers from taking down one group after another, whichever entry its caller sends it through, and so it does
// with requests that share a message, such as those of a conversation that grows by a turn each time.
//
// Admit looks up the request's fingerprint right before the request is sent. A request that is not under
// suspicion passes at the cost of a map lookup. A suspect passes only after its trial is written to the
// platform.
//
// When a response breaks off, ResponseBroke probes the members of the group. A member whose process is gone,
// or that runs another boot, has crashed. The crash is written to the object quarantine/<service> before the
// front is told that the response broke off, so that no retry overtakes it. A request that finishes is cleared
// of suspicion.
package guard

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/internal/recent"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/quarantine"
	"github.com/skylarkpond/skylarkpond/policy/suspicion"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

const (
	// suspectRetryAfter is the Retry-After for a suspect that finds another suspect on trial. A trial lasts about
	// as long as a request.
	suspectRetryAfter = 5 * time.Second
	// quarantinedRetryAfter tells the caller of a quarantined request that an early retry is useless.
	quarantinedRetryAfter = time.Hour
	// finishedPeriod is the minimum time for which it is remembered that requests with a part finished, and maxFinished bounds the parts of one such
	// period.
	finishedPeriod = 30 * time.Second
	maxFinished    = 8192
	// progressedEvents is the number of events after which a server is past the beginning of an answer.
	progressedEvents = 3
	// writeTimeout bounds the write of a crash or a trial. The request waits for the write.
	writeTimeout = time.Second
)

// ObjectPublisher adds an object that this entry wrote to its mirror and spreads it to the other entries.
type ObjectPublisher interface {
	Publish(object platform.Object)
}

// Deps holds the dependencies of a Guard.
type Deps struct {
	Self      string
	Store     platform.Store
	Publisher ObjectPublisher
	Engines   engine.Client
	Recorder  *timeline.Recorder
	Metrics   metrics.Registry
	Clock     func() time.Time
	NewNonce  func() string
}

// Guard admits requests to groups and records the crashes that they cause. It is safe for concurrent use.
type Guard struct {
	deps   Deps
	config quarantine.Config

	mu         sync.Mutex // guards the fields below; a leaf lock, not held during I/O
	services   map[string]*state
	inProgress map[vm.GroupID]map[string]*Permit // by request id
	// finished holds when requests with a part last finished here.
	finished *recent.Times[part]
	unsaved  map[string]bool // services with changes not yet stored on the platform
}

// New returns a Guard that knows of no crashes.
func New(deps Deps) *Guard {
	return &Guard{
		deps: deps, config: quarantine.DefaultConfig(),
		services: make(map[string]*state), inProgress: make(map[vm.GroupID]map[string]*Permit),
		finished: recent.New[part](finishedPeriod, maxFinished), unsaved: make(map[string]bool),
	}
}

// part identifies a part of the requests of a service.
type part struct{ service, name string }

// state returns the state of a service and creates it if necessary. mu must be held.
func (g *Guard) state(service string) *state {
	s := g.services[service]
	if s == nil {
		s = newState(g.config)
		g.services[service] = s
	}
	return s
}

// Request describes a request that is about to be sent to a group.
type Request struct {
	RequestID   string
	Service     string
	Group       vm.Group
	Fingerprint string
	// Parts identifies the messages of a completion.
	Parts []string
	// Timeout is the time that the request may take from now.
	Timeout time.Duration
	// CrashID identifies the crash that ended an earlier try of the request, or is empty. It makes the request a
	// suspect here even if the report of the crash has not arrived yet.
	CrashID string
}

// Admit returns a Permit to send the request, or a problem that says why it must not be sent. The caller must
// call Done on the Permit.
func (g *Guard) Admit(ctx context.Context, request Request) (*Permit, *contract.Problem) {
	permit := &Permit{guard: g, request: request}
	verdict := g.evaluate(permit)
	if verdict == quarantine.OnTrial {
		verdict = g.claimTrial(ctx, permit)
	}
	g.count("verdict." + verdict.String())
	switch verdict {
	case quarantine.Free, quarantine.OnTrial:
		return permit, nil
	case quarantine.Quarantined:
		permit.removeInProgress()
		return nil, quarantinedProblem()
	}
	permit.removeInProgress()
	return nil, contract.NewRetryLater(contract.CodeSuspectWaits,
		"this request was in progress when a backend server crashed; it runs again alone, and another is running", suspectRetryAfter)
}

func quarantinedProblem() *contract.Problem {
	p := contract.NewRetryLater(contract.CodeQuarantined, "this request crashed backend servers and is run no more", quarantinedRetryAfter)
	p.Status = 422
	p.Hint = "change the request, or ask an operator to lift it (pondctl quarantine)"
	return p
}

// evaluate counts the request as in progress, records the crash that ended its earlier try, if any, and returns
// the verdict.
func (g *Guard) evaluate(p *Permit) quarantine.Verdict {
	now := g.deps.Clock()
	request := p.request
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(request.Service)
	if request.CrashID != "" {
		s.requests.RecordCrash(now, request.CrashID, "", []string{request.Fingerprint})
		s.recordCrash(now, request.CrashID, g.seen(request.Service, []*Permit{p}))
	}
	requests := g.inProgress[request.Group.ID]
	if requests == nil {
		requests = make(map[string]*Permit)
		g.inProgress[request.Group.ID] = requests
	}
	requests[request.RequestID] = p
	if s.holdsParts(now, request.Parts) {
		return quarantine.Quarantined
	}
	return s.requests.Verdict(now, request.Fingerprint, string(request.Group.ID))
}

// claimTrial writes the suspect's trial to the platform. Without a confirmed write the suspect waits, because
// another home may have it on trial.
func (g *Guard) claimTrial(ctx context.Context, p *Permit) quarantine.Verdict {
	request := p.request
	trial := quarantine.Trial{Group: string(request.Group.ID), Home: g.deps.Self}
	verdict := quarantine.Waits
	err := g.update(ctx, request.Service, func(s *state) bool {
		verdict = s.requests.Claim(g.deps.Clock(), request.Fingerprint, trial, request.Timeout, g.othersInProgress(request))
		return verdict == quarantine.OnTrial
	})
	if err != nil {
		return quarantine.Waits
	}
	p.onTrial = verdict == quarantine.OnTrial
	return verdict
}

// othersInProgress returns the fingerprints of the requests in progress on the group, without the request's own.
func (g *Guard) othersInProgress(request Request) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var others []string
	for id, permit := range g.inProgress[request.Group.ID] {
		if id != request.RequestID {
			others = append(others, permit.request.Fingerprint)
		}
	}
	return others
}

// seen describes the parts of some requests of a service. mu must be held.
func (g *Guard) seen(service string, permits []*Permit) map[string]suspicion.Seen {
	all := make(map[string]suspicion.Seen)
	for _, permit := range permits {
		for _, name := range permit.request.Parts {
			seen := all[name]
			seen.Progressed = seen.Progressed || permit.events.Load() >= progressedEvents
			if at, finished := g.finished.Last(part{service, name}); finished {
				seen.FinishedAt = at.UnixMilli()
			}
			all[name] = seen
		}
	}
	return all
}

// update changes the service's object in a conditional write, and reads it again and retries after a conflict.
// change returns false if there is nothing to write. The content that was read is merged into this entry's
// state even if the write fails.
func (g *Guard) update(ctx context.Context, service string, change func(*state) bool) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	for {
		err := g.updateOnce(ctx, service, change)
		if !errors.Is(err, platform.ErrConflict) || ctx.Err() != nil {
			return err
		}
	}
}

func (g *Guard) updateOnce(ctx context.Context, service string, change func(*state) bool) error {
	object, err := g.deps.Store.Get(ctx, platform.KindQuarantine, service)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	next, err := g.mergeStored(service, object)
	if err != nil {
		return err
	}
	if !change(next) {
		return nil
	}
	value, nonce, err := encode(next, g.deps.NewNonce)
	if err != nil {
		return err
	}
	version, err := platform.PutConfirmed(ctx, g.deps.Store, platform.KindQuarantine, service, object.Version, value, nonce)
	if err != nil {
		return err
	}
	g.mergeState(service, next)
	g.deps.Publisher.Publish(platform.Object{Kind: platform.KindQuarantine, Name: service, Version: version, Value: value})
	return nil
}

// mergeStored merges the stored object into this entry's state and returns a copy of the result.
func (g *Guard) mergeStored(service string, object platform.Object) (*state, error) {
	read, err := decode(g.config, object)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.state(service)
	now := g.deps.Clock()
	own.merge(now, read)
	own.expire(now)
	return own.clone(), nil
}

func (g *Guard) mergeState(service string, s *state) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state(service).merge(g.deps.Clock(), s)
}

// ApplyObject merges an object of kind "quarantine" from the mirror. An object that can't be decoded is ignored.
func (g *Guard) ApplyObject(object platform.Object) {
	read, err := decode(g.config, object)
	if err != nil {
		return
	}
	g.mergeState(object.Name, read)
}

func (g *Guard) count(name string) {
	metrics.GetOrRegisterCounter("quarantine."+name, g.deps.Metrics).Inc(1)
}
