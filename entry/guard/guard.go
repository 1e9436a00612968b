// Package guard applies policy/quarantine at a home. It keeps a request that crashes backend servers from
// taking down one group after another, whichever entry its caller sends it through.
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
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/quarantine"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

const (
	// suspectRetryAfter is the Retry-After for a suspect that finds another suspect on trial. A trial lasts about
	// as long as a request.
	suspectRetryAfter = 5 * time.Second
	// quarantinedRetryAfter tells the caller of a quarantined request that an early retry is useless.
	quarantinedRetryAfter = time.Hour
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
	services   map[string]*quarantine.Register
	inProgress map[vm.GroupID]map[string]string // fingerprint by request id
	unsaved    map[string]bool                  // services with changes not yet stored on the platform
}

// New returns a Guard that knows of no crashes.
func New(deps Deps) *Guard {
	return &Guard{
		deps: deps, config: quarantine.DefaultConfig(),
		services: make(map[string]*quarantine.Register), inProgress: make(map[vm.GroupID]map[string]string),
		unsaved: make(map[string]bool),
	}
}

// register returns the register of a service and creates it if necessary. mu must be held.
func (g *Guard) register(service string) *quarantine.Register {
	r := g.services[service]
	if r == nil {
		r = quarantine.New(g.config)
		g.services[service] = r
	}
	return r
}

// Request describes a request that is about to be sent to a group.
type Request struct {
	RequestID   string
	Service     string
	Group       vm.Group
	Fingerprint string
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
	r := g.register(request.Service)
	if request.CrashID != "" {
		r.RecordCrash(now, request.CrashID, "", []string{request.Fingerprint})
	}
	requests := g.inProgress[request.Group.ID]
	if requests == nil {
		requests = make(map[string]string)
		g.inProgress[request.Group.ID] = requests
	}
	requests[request.RequestID] = request.Fingerprint
	return r.Verdict(now, request.Fingerprint, string(request.Group.ID))
}

// claimTrial writes the suspect's trial to the platform. Without a confirmed write the suspect waits, because
// another home may have it on trial.
func (g *Guard) claimTrial(ctx context.Context, p *Permit) quarantine.Verdict {
	request := p.request
	trial := quarantine.Trial{Group: string(request.Group.ID), Home: g.deps.Self}
	verdict := quarantine.Waits
	err := g.update(ctx, request.Service, func(r *quarantine.Register) bool {
		verdict = r.Claim(g.deps.Clock(), request.Fingerprint, trial, request.Timeout, g.othersInProgress(request))
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
	for id, fingerprint := range g.inProgress[request.Group.ID] {
		if id != request.RequestID {
			others = append(others, fingerprint)
		}
	}
	return others
}

func (g *Guard) fingerprintsInProgress(group vm.GroupID) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []string
	for _, fingerprint := range g.inProgress[group] {
		all = append(all, fingerprint)
	}
	return all
}

// update changes the service's object in a conditional write, and reads it again and retries after a conflict.
// change returns false if there is nothing to write. The content that was read is merged into this entry's
// register even if the write fails.
func (g *Guard) update(ctx context.Context, service string, change func(*quarantine.Register) bool) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	for {
		err := g.updateOnce(ctx, service, change)
		if !errors.Is(err, platform.ErrConflict) || ctx.Err() != nil {
			return err
		}
	}
}

func (g *Guard) updateOnce(ctx context.Context, service string, change func(*quarantine.Register) bool) error {
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
	g.mergeRegister(service, next)
	g.deps.Publisher.Publish(platform.Object{Kind: platform.KindQuarantine, Name: service, Version: version, Value: value})
	return nil
}

// mergeStored merges the stored object into this entry's register and returns a copy of the result.
func (g *Guard) mergeStored(service string, object platform.Object) (*quarantine.Register, error) {
	read, err := decode(g.config, object)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.register(service)
	now := g.deps.Clock()
	own.Merge(now, read)
	own.Expire(now)
	return own.Clone(), nil
}

func (g *Guard) mergeRegister(service string, r *quarantine.Register) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.register(service).Merge(g.deps.Clock(), r)
}

// ApplyObject merges an object of kind "quarantine" from the mirror. An object that can't be decoded is ignored.
func (g *Guard) ApplyObject(object platform.Object) {
	read, err := decode(g.config, object)
	if err != nil {
		return
	}
	g.mergeRegister(object.Name, read)
}

func (g *Guard) count(name string) {
	metrics.GetOrRegisterCounter("quarantine."+name, g.deps.Metrics).Inc(1)
}
