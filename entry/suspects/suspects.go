// Package suspects keeps a request that crashes the servers that run it from being run on one server after the other.
//
// Each entry (gateway process) reports to the leader, the entry that coordinates all entries, which request it suspects of having
// crashed its server. The leader counts the crashes over all entries (see policy/quarantine) and sends the resulting quarantine to all
// of them, which refuse such requests at once. Without this, a caller that keeps repeating one request would crash one server after
// the other, and with them the requests that each was running.
//
// A server that fails some of its requests also resets connections. A crash differs in that the server's process is gone: it refuses
// new connections. A request that finishes on any server was not the cause.
package suspects

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// Deps holds the dependencies of a Watch.
type Deps struct {
	// ConnectionRefused reports whether no process listens at an address any more.
	ConnectionRefused func(ctx context.Context, address string) bool
	// SendToLeader sends a message to the leader, if there is one.
	SendToLeader func(message link.Up)
	// Checked is called with the result of each check of a server. It may be nil.
	Checked func(check Check)
}

// Check is the result of a check whether a server has crashed, for logs and metrics.
type Check struct {
	Request Request
	Server  *backend.Server
	Crashed bool
}

// Request is a request of a caller.
type Request struct {
	// ID is the caller's id of the request.
	ID      string
	Service string
	// Fingerprint is equal for requests with the same content.
	Fingerprint string
	// Parts are the IDs of the parts of its prompt. Requests with different content share parts.
	Parts []string
}

const (
	// exitDelay is how long a process may take to exit after it has closed its connections.
	exitDelay = 100 * time.Millisecond
	// finishedRetention is the minimum time for which a finished request is remembered.
	finishedRetention = 30 * time.Second
	// maxReports bounds the crash reports that are repeated to the next leader: the latest of some minutes.
	maxReports = 256
)

// Watch tracks which requests crash servers, and the requests that the leader has quarantined. It is safe for concurrent use.
type Watch struct {
	deps Deps

	mu sync.Mutex // guards what follows; a leaf lock
	// quarantined holds the requests that must not be sent, by service and fingerprint.
	quarantined map[string]map[string]bool
	// finished holds the requests that finished since rotatedAt, previousFinished those of the period before.
	finished, previousFinished map[key]bool
	rotatedAt                  time.Time
	// reports holds the crashes that this entry has reported, oldest first.
	reports []link.Crash
}

// key identifies a request by its service and fingerprint.
type key struct{ service, fingerprint string }

// New returns a Watch with nothing quarantined.
func New(deps Deps) *Watch {
	return &Watch{
		deps: deps, quarantined: make(map[string]map[string]bool), finished: make(map[key]bool), previousFinished: make(map[key]bool),
		rotatedAt: time.Now(),
	}
}

// Quarantined reports whether a request must not be sent to any server of a service.
func (w *Watch) Quarantined(request Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quarantined[request.Service][request.Fingerprint]
}

// ApplyQuarantine sets the quarantined requests of a service as the leader reports them, and tells the leader which of them have
// finished on a server recently.
func (w *Watch) ApplyQuarantine(quarantine link.Quarantine) {
	for _, fingerprint := range w.apply(quarantine) {
		w.deps.SendToLeader(link.Up{Cleared: &link.Cleared{Service: quarantine.Service, Fingerprint: fingerprint}})
	}
}

// apply replaces the quarantine of a service and returns the fingerprints in it that finished recently.
func (w *Watch) apply(quarantine link.Quarantine) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	set := make(map[string]bool, len(quarantine.Fingerprints))
	var cleared []string
	for _, fingerprint := range quarantine.Fingerprints {
		set[fingerprint] = true
		if w.hasFinished(key{quarantine.Service, fingerprint}) {
			cleared = append(cleared, fingerprint)
		}
	}
	w.quarantined[quarantine.Service] = set
	return cleared
}

// Finished records that a server answered a request in full. If the request is quarantined, the leader is told.
func (w *Watch) Finished(request Request) {
	if w.recordFinished(key{request.Service, request.Fingerprint}) {
		w.deps.SendToLeader(link.Up{Cleared: &link.Cleared{Service: request.Service, Fingerprint: request.Fingerprint}})
	}
}

// recordFinished records a finished request and reports whether it is quarantined.
func (w *Watch) recordFinished(k key) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.rotatedAt) > finishedRetention {
		w.previousFinished, w.finished, w.rotatedAt = w.finished, make(map[key]bool), time.Now()
	}
	w.finished[k] = true
	return w.quarantined[k.service][k.fingerprint]
}

// hasFinished reports whether a request finished recently. The caller holds the lock.
func (w *Watch) hasFinished(k key) bool { return w.finished[k] || w.previousFinished[k] }

// ServerLost checks whether a server that closed its connection in the middle of a request has crashed, and if so reports the request
// to the leader. A request that finished recently is not suspected.
func (w *Watch) ServerLost(ctx context.Context, request Request, server *backend.Server) {
	w.mu.Lock()
	cleared := w.hasFinished(key{server.Service, request.Fingerprint})
	w.mu.Unlock()
	if cleared || !wait.Pause(ctx, exitDelay) {
		return
	}
	crashed := w.deps.ConnectionRefused(ctx, server.Address)
	if w.deps.Checked != nil {
		w.deps.Checked(Check{Request: request, Server: server, Crashed: crashed})
	}
	if !crashed {
		return
	}
	crash := link.Crash{Service: server.Service, Fingerprint: request.Fingerprint, Server: server.ID, Born: server.StartedAtMillis}
	w.recordCrash(crash)
	w.deps.SendToLeader(link.Up{Crash: &crash})
}

func (w *Watch) recordCrash(crash link.Crash) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports = append(w.reports, crash)
	if over := len(w.reports) - maxReports; over > 0 {
		w.reports = slices.Delete(w.reports, 0, over)
	}
}

// Reports returns the latest crashes that this entry has reported, for the next leader.
func (w *Watch) Reports() []link.Crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.reports)
}
