// Package isolation detects the services whose backend servers this entry (gateway process) can no longer reach, although it is running
// and other entries may reach them. The decision is made by policy/isolation; this package probes the servers.
package isolation

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	policy "github.com/skylarkpond/skylarkpond/policy/isolation"
)

// Deps holds the dependencies of a Watch.
type Deps struct {
	Listing func() *backend.Listing
	// Blocked reports whether a server may be sent nothing, not even a probe. It may be nil.
	Blocked func(server *backend.Server) bool
	// Probe reports whether a server answers on a new connection. It ends with ctx.
	Probe func(ctx context.Context, server *backend.Server) bool
	// Changed is called when this entry has lost all servers of a service, or reaches them again. fromAny reports whether it is isolated from any
	// service; calls do not overlap, so that the last one tells the present state.
	Changed func(service string, isolated, fromAny bool)
}

const (
	// probeTimeout bounds a round of probes. A server answers within a few milliseconds.
	probeTimeout = 250 * time.Millisecond
	// tickInterval is how often rounds are started while any service is suspected or isolated.
	tickInterval = 50 * time.Millisecond
)

// Watch tracks the services whose servers this entry can't reach. It is safe for concurrent use.
type Watch struct {
	deps    Deps
	started time.Time
	wake    chan struct{}

	reporting sync.Mutex // held during calls of Changed; taken before mu

	mu sync.Mutex // guards services; a leaf lock
	// services holds the services that were ever suspected.
	services map[string]*service
}

type service struct {
	detector policy.Detector
	// probing is set while a round is in progress.
	probing bool
}

// New returns a Watch of an entry that reaches all servers.
func New(deps Deps) *Watch {
	return &Watch{deps: deps, started: time.Now(), wake: make(chan struct{}, 1), services: make(map[string]*service)}
}

// Suspect records that a server of a service failed to answer a request or could not be reached. It never blocks.
func (w *Watch) Suspect(name string) {
	w.mu.Lock()
	watched := w.services[name]
	if watched == nil {
		watched = new(service)
		w.services[name] = watched
	}
	watched.detector.Suspect()
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Isolated reports whether this entry has lost its connections to all servers of a service.
func (w *Watch) Isolated(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	watched := w.services[name]
	return watched != nil && watched.detector.Isolated()
}

// Any reports whether this entry is isolated from any service.
func (w *Watch) Any() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, watched := range w.services {
		if watched.detector.Isolated() {
			return true
		}
	}
	return false
}

// Run probes servers until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	var rounds sync.WaitGroup
	defer rounds.Wait()
	for {
		for _, name := range w.due() {
			rounds.Go(func() { w.probeRound(ctx, name) })
		}
		var tick <-chan time.Time
		if w.active() {
			tick = time.After(tickInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-tick:
		}
	}
}

func (w *Watch) now() time.Duration { return time.Since(w.started) }

// due returns the services of which a round is due, and marks them as being probed.
func (w *Watch) due() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name, watched := range w.services {
		if !watched.probing && watched.detector.RoundDue(w.now()) {
			watched.probing = true
			names = append(names, name)
		}
	}
	return names
}

func (w *Watch) active() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, watched := range w.services {
		if watched.detector.Active() {
			return true
		}
	}
	return false
}

// Check reports whether a server of a service answers this entry now, and suspects that none does otherwise. Of an isolated service it reports
// false at once.
func (w *Watch) Check(ctx context.Context, name string) bool {
	if w.Isolated(name) {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results, _ := w.probeSample(bounded, name)
	for answered := range results {
		if answered {
			return true
		}
	}
	w.Suspect(name)
	return false
}

// probeSample probes some servers of a service at the same time. The channel is closed after the last result.
func (w *Watch) probeSample(ctx context.Context, name string) (results <-chan bool, asked int) {
	servers := w.sample(name)
	answers := make(chan bool, len(servers))
	var probes sync.WaitGroup
	for _, server := range servers {
		probes.Go(func() { answers <- w.deps.Probe(ctx, server) })
	}
	go func() {
		probes.Wait()
		close(answers)
	}()
	return answers, len(servers)
}

// probeRound probes a sample of a service's servers and records the result.
func (w *Watch) probeRound(ctx context.Context, name string) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results, asked := w.probeSample(bounded, name)
	answered := 0
	for ok := range results {
		if ok {
			answered++
		}
	}
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	watched := w.services[name]
	watched.probing = false
	changed := watched.detector.RecordRound(w.now(), asked, answered)
	isolated := watched.detector.Isolated()
	w.mu.Unlock()
	if changed {
		w.reporting.Lock()
		defer w.reporting.Unlock()
		w.deps.Changed(name, isolated, w.Any())
	}
}

// sample draws servers of a service that are not leaving, of each failure domain.
func (w *Watch) sample(name string) []*backend.Server {
	var servers []*backend.Server
	for _, server := range w.deps.Listing().ByService[name] {
		if !server.Leaving && (w.deps.Blocked == nil || !w.deps.Blocked(server)) {
			servers = append(servers, server)
		}
	}
	failureDomains := make([]string, 0, len(servers))
	for _, server := range servers {
		failureDomains = append(failureDomains, string(server.FailureDomain))
	}
	var sample []*backend.Server
	for _, i := range policy.Sample(failureDomains, shuffle) {
		sample = append(sample, servers[i])
	}
	return sample
}

func shuffle(indices []int) {
	rand.Shuffle(len(indices), func(i, j int) { indices[i], indices[j] = indices[j], indices[i] })
}
