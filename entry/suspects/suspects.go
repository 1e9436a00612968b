// Package suspects sees to it that a request which crashes the servers that run it is not run on one after the other.
//
// Each entry tells the one in charge which request lost its server, and that one counts the crashes over all entries
// (policy/quarantine). What it holds back is told to all entries, which refuse such a request at once. Without this, a caller that comes
// again and again with one request ends one server after the other, and the requests that each of them was running.
//
// A server that fails some requests resets connections as well. What tells a crash from that is that the server's process is gone: it
// refuses connections. And a request that finishes anywhere was not the cause.
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

// Deps is what a Watch works with.
type Deps struct {
	// Refuses says whether nobody listens at an address any more.
	Refuses func(ctx context.Context, address string) bool
	// Tell reaches the entry in charge, if there is one.
	Tell func(message link.Up)
}

const (
	// settleTime is how long a process may take to end after it has cut its connections.
	settleTime = 100 * time.Millisecond
	// finishedFor is how long at least it is known that a request finished.
	finishedFor = 30 * time.Second
	// reportsKept is how many reports are told again to the next entry in charge: the latest of some minutes.
	reportsKept = 256
)

// Watch is safe for concurrent use.
type Watch struct {
	deps Deps

	mu sync.Mutex // guards what follows; a leaf lock
	// held are the requests that may not be sent, by service and fingerprint.
	held map[string]map[string]bool
	// finished are the requests that finished lately; before is the generation before this one, which began at turned.
	finished, before map[request]bool
	turned           time.Time
	// reports are the crashes that this entry told of, oldest first.
	reports []link.Crash
}

// request is what a server was asked for.
type request struct{ service, fingerprint string }

// New returns a Watch that holds nothing back.
func New(deps Deps) *Watch {
	return &Watch{
		deps: deps, held: make(map[string]map[string]bool), finished: make(map[request]bool), before: make(map[request]bool),
		turned: time.Now(),
	}
}

// Held says whether a request may not be sent to any server of a service.
func (w *Watch) Held(service, fingerprint string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held[service][fingerprint]
}

// Take takes the word of the entry in charge on a service, and tells it of what has finished all the same.
func (w *Watch) Take(held link.Quarantine) {
	for _, fingerprint := range w.take(held) {
		w.deps.Tell(link.Up{Cleared: &link.Cleared{Service: held.Service, Fingerprint: fingerprint}})
	}
}

// take returns what is held back although it finished lately.
func (w *Watch) take(held link.Quarantine) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	set := make(map[string]bool, len(held.Fingerprints))
	var innocent []string
	for _, fingerprint := range held.Fingerprints {
		set[fingerprint] = true
		if w.hasFinished(request{held.Service, fingerprint}) {
			innocent = append(innocent, fingerprint)
		}
	}
	w.held[held.Service] = set
	return innocent
}

// Finished notes that a server answered a request in full.
func (w *Watch) Finished(service, fingerprint string) {
	if w.finish(request{service, fingerprint}) {
		w.deps.Tell(link.Up{Cleared: &link.Cleared{Service: service, Fingerprint: fingerprint}})
	}
}

// finish says whether the request is held back.
func (w *Watch) finish(r request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.turned) > finishedFor {
		w.before, w.finished, w.turned = w.finished, make(map[request]bool), time.Now()
	}
	w.finished[r] = true
	return w.held[r.service][r.fingerprint]
}

// hasFinished is called under the lock.
func (w *Watch) hasFinished(r request) bool { return w.finished[r] || w.before[r] }

// Lost looks into a server that ended its connection in the middle of a request, and tells if it has crashed.
func (w *Watch) Lost(ctx context.Context, fingerprint string, server *backend.Server) {
	w.mu.Lock()
	innocent := w.hasFinished(request{server.Service, fingerprint})
	w.mu.Unlock()
	if innocent || !wait.Pause(ctx, settleTime) || !w.deps.Refuses(ctx, server.Address) {
		return
	}
	crash := link.Crash{Service: server.Service, Fingerprint: fingerprint, Server: server.ID, Born: server.StartedAtMillis}
	w.keep(crash)
	w.deps.Tell(link.Up{Crash: &crash})
}

func (w *Watch) keep(crash link.Crash) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports = append(w.reports, crash)
	if over := len(w.reports) - reportsKept; over > 0 {
		w.reports = slices.Delete(w.reports, 0, over)
	}
}

// Reports returns the crashes that this entry told of, for the next entry in charge.
func (w *Watch) Reports() []link.Crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.reports)
}
