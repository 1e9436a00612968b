// Package guard runs policy/quarantine at a home: it keeps a request that crashes backend servers from
// taking down one group after the other, whichever entry its caller sends it through.
//
// The flow: Enter, right before the send, looks the request's fingerprint up -> free ones pass at the cost
// of a map look-up; a suspect passes only once its trial is written to the platform -> when an answer
// breaks off, Broke probes the group's members; a process that is gone, or another boot, is a crash ->
// the crash is written to quarantine/<service> before the front hears of the break, so that no retry
// outruns it -> a request that finishes clears itself.
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
	// waitsRetryAfter is when a suspect comes back that found another one on trial: a trial lasts about as
	// long as a request.
	waitsRetryAfter = 5 * time.Second
	// quarantinedRetryAfter tells the caller of a quarantined request that coming back soon is no use.
	quarantinedRetryAfter = time.Hour
	// writeTimeout bounds the write of a crash or a trial; the request waits for it.
	writeTimeout = time.Second
)

// Taker spreads an object that this entry wrote.
type Taker interface {
	Took(object platform.Object)
}

// Deps are what a Guard works with.
type Deps struct {
	Self     string
	Store    platform.Store
	Taker    Taker
	Engines  engine.Client
	Recorder *timeline.Recorder
	Metrics  metrics.Registry
	Clock    func() time.Time
	Nonce    func() string
}

// Guard is safe for concurrent use.
type Guard struct {
	deps   Deps
	config quarantine.Config

	mu       sync.Mutex // guards what follows; a leaf lock: not held over I/O
	services map[string]*quarantine.Register
	running  map[vm.GroupID]map[string]string // request id to fingerprint
	unsaved  map[string]bool                  // services with something that the platform did not take yet
}

// New returns a Guard that knows of no crash.
func New(deps Deps) *Guard {
	return &Guard{
		deps: deps, config: quarantine.DefaultConfig(),
		services: make(map[string]*quarantine.Register), running: make(map[vm.GroupID]map[string]string),
		unsaved: make(map[string]bool),
	}
}

// register must be called with mu held.
func (g *Guard) register(service string) *quarantine.Register {
	r := g.services[service]
	if r == nil {
		r = quarantine.New(g.config)
		g.services[service] = r
	}
	return r
}

// Subject is a request that is about to be sent to a group.
type Subject struct {
	RequestID   string
	Service     string
	Group       vm.Group
	Fingerprint string
	// Timeout is how long the request may take from now.
	Timeout time.Duration
	// Crash names the crash that an earlier try of the request ended in; empty if there was none. It makes
	// a suspect of it here, even if the news of the crash has not arrived.
	Crash string
}

// Enter lets the request pass or says why not. Whoever passes calls Done.
func (g *Guard) Enter(ctx context.Context, s Subject) (*Pass, *contract.Problem) {
	pass := &Pass{guard: g, subject: s}
	verdict := g.enter(pass)
	if verdict == quarantine.OnTrial {
		verdict = g.claim(ctx, pass)
	}
	g.count("verdict." + verdict.String())
	switch verdict {
	case quarantine.Free, quarantine.OnTrial:
		return pass, nil
	case quarantine.Quarantined:
		pass.leave()
		return nil, quarantined()
	}
	pass.leave()
	return nil, contract.NewRetryLater(contract.CodeSuspectWaits,
		"this request was in progress when a backend server crashed; it runs again alone, and another is running", waitsRetryAfter)
}

func quarantined() *contract.Problem {
	p := contract.NewRetryLater(contract.CodeQuarantined, "this request crashed backend servers and is run no more", quarantinedRetryAfter)
	p.Status = 422
	p.Hint = "change the request, or ask an operator to lift it (pondctl quarantine)"
	return p
}

// enter counts the request as running and returns its verdict.
func (g *Guard) enter(p *Pass) quarantine.Verdict {
	now := g.deps.Clock()
	s := p.subject
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.register(s.Service)
	if s.Crash != "" {
		r.RecordCrash(now, s.Crash, "", []string{s.Fingerprint})
	}
	requests := g.running[s.Group.ID]
	if requests == nil {
		requests = make(map[string]string)
		g.running[s.Group.ID] = requests
	}
	requests[s.RequestID] = s.Fingerprint
	return r.Verdict(now, s.Fingerprint, string(s.Group.ID))
}

// claim enters the trial into the platform's object. Without a confirmed write the suspect waits: another
// home may have it on trial.
func (g *Guard) claim(ctx context.Context, p *Pass) quarantine.Verdict {
	s := p.subject
	trial := quarantine.Trial{Group: string(s.Group.ID), Home: g.deps.Self}
	verdict := quarantine.Waits
	err := g.update(ctx, s.Service, func(r *quarantine.Register) bool {
		verdict = r.Claim(g.deps.Clock(), s.Fingerprint, trial, s.Timeout, g.othersRunning(s))
		return verdict == quarantine.OnTrial
	})
	if err != nil {
		return quarantine.Waits
	}
	p.onTrial = verdict == quarantine.OnTrial
	return verdict
}

// othersRunning returns the fingerprints at work on the group, but for the request's own.
func (g *Guard) othersRunning(s Subject) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var others []string
	for id, fingerprint := range g.running[s.Group.ID] {
		if id != s.RequestID {
			others = append(others, fingerprint)
		}
	}
	return others
}

func (g *Guard) fingerprints(group vm.GroupID) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []string
	for _, fingerprint := range g.running[group] {
		all = append(all, fingerprint)
	}
	return all
}

// update changes the service's object by a conditional write, starting again from what it reads on a
// conflict. change returns false where there is nothing to write. What the object held is kept here also
// if the write fails.
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
	next, err := g.merged(service, object)
	if err != nil {
		return err
	}
	if !change(next) {
		return nil
	}
	value, nonce, err := encode(next, g.deps.Nonce)
	if err != nil {
		return err
	}
	version, err := platform.PutConfirmed(ctx, g.deps.Store, platform.KindQuarantine, service, object.Version, value, nonce)
	if err != nil {
		return err
	}
	g.adopt(service, next)
	g.deps.Taker.Took(platform.Object{Kind: platform.KindQuarantine, Name: service, Version: version, Value: value})
	return nil
}

// merged returns what the object and this entry know together.
func (g *Guard) merged(service string, object platform.Object) (*quarantine.Register, error) {
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

func (g *Guard) adopt(service string, r *quarantine.Register) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.register(service).Merge(g.deps.Clock(), r)
}

// Take takes in an object of kind "quarantine" from the mirror.
func (g *Guard) Take(object platform.Object) {
	read, err := decode(g.config, object)
	if err != nil {
		return
	}
	g.adopt(object.Name, read)
}

func (g *Guard) count(name string) {
	metrics.GetOrRegisterCounter("quarantine."+name, g.deps.Metrics).Inc(1)
}
