// Package relay forwards callers' requests unmodified: it matches the route, checks the key, acquires a turn (the right to send a
// request) at a backend server, sends the request there, and returns the server's answer unchanged.
//
// It guarantees that a request that may not be repeated is sent at most once unless the server itself states that it did not run it;
// that an answer of 429 or 503 means that the request has not run and never will; and that an answer that ends early never looks
// complete.
package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/intake"
	"github.com/skylarkpond/skylarkpond/entry/limits"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/link/upstream"
)

// Deps holds the dependencies of a Relay.
type Deps struct {
	// Table returns the configuration in force, or nil before the first one is known.
	Table func() *route.Table
	Turns turn.Source
	Pool  *upstream.Pool
	// Bodies is the memory for requests' bodies.
	Bodies *intake.Bodies
	// Retries is the retry budget.
	Retries *Retries
	// Suspects tracks requests that crash servers.
	Suspects Suspects
	// Report is called with the outcome of each request.
	Report func(Report)
	// Rejected is called for each request that a server stated it did not run.
	Rejected func(Rejection)
	// Unreachable is called for each failed connection to a server; nothing was sent.
	Unreachable func(request string, server *backend.Server, err error)
	// FirstRequest is called once, when the first request arrives.
	FirstRequest func()
	// Limits learns how many requests servers take.
	Limits Limits
	// Pauses knows which servers have asked this entry for a pause.
	Pauses Pauses
	// Isolation tells from which services' servers this entry is cut off.
	Isolation Isolation
	// Peer returns another entry that reaches the servers and is not among those tried, if there is one. PeerPool holds the connections to
	// other entries.
	Peer     func(tried []string) (Peer, bool)
	PeerPool *upstream.Pool
	// Random returns a number in [0, 1); it selects among the targets of a route.
	Random func() float64
}

// Suspects tracks requests that crash the servers that run them. It is safe for concurrent use.
type Suspects interface {
	// Held reports whether a request must not be sent to any server, and why. TakeTrial reports whether it may be sent once all the same.
	Held(request suspects.Request) (suspects.Hold, bool)
	TakeTrial(request suspects.Request) bool
	// Suspected reports whether a request that a server crashed on is not worth a second one.
	Suspected(request suspects.Request) bool
	// Finished records that a server answered a request in full.
	Finished(request suspects.Request)
	// ServerLost checks whether a server that closed its connection in the middle of a request, which was sent at a time, has crashed. progressed
	// is set if the server had sent more than the beginning of an answer. It may block for some time.
	ServerLost(ctx context.Context, request suspects.Request, server *backend.Server, sentAt time.Time, progressed bool)
}

// Isolation tells from which services' servers this entry is cut off. It is safe for concurrent use.
type Isolation interface {
	// Isolated reports whether this entry has lost its connections to all servers of a service.
	Isolated(service string) bool
	// Suspect records that a server of a service failed to answer or could not be reached. It does not block.
	Suspect(service string)
}

// Limits learns how many requests a second servers take from all entries together. It is safe for concurrent use.
type Limits interface {
	// Sending records that a request is about to be sent to a server, and returns what is known of its limit at that moment.
	Sending(server *backend.Server) limits.Knowledge
	// Answered records what the answer to such a request states. It does not block.
	Answered(answer limits.Answer)
}

// Pauses knows which servers have asked this entry for a pause. It is safe for concurrent use.
type Pauses interface {
	// Permit reports whether a request that was granted may still be sent to a server.
	Permit(server *backend.Server) bool
}

// Peer is another entry.
type Peer struct {
	Name string
	// Address is its address for callers, as IP:port.
	Address string
}

// Relay is an http.Handler. It is safe for concurrent use.
type Relay struct {
	deps     Deps
	started  time.Time
	inFlight atomic.Int64
	received atomic.Bool
	held     heldMemory
	running  inProgress
	stop     stop
}

// New returns a Relay.
func New(deps Deps) *Relay {
	r := &Relay{deps: deps, started: time.Now()}
	r.stop.ended, r.stop.end = context.WithCancel(context.Background())
	return r
}

const (
	// firstConfigTimeout is how long after its start a process may take to learn the first configuration. If all entries were killed, callers
	// come back while the entries start, and one that is refused twice does not come again.
	firstConfigTimeout = time.Second
	// configPollInterval is the interval between checks for the first configuration.
	configPollInterval = 10 * time.Millisecond
)

// awaitTable returns the configuration in force. It waits for the first one until firstConfigTimeout has passed since the start, and returns
// nil if there is none by then or ctx ends.
func (r *Relay) awaitTable(ctx context.Context) *route.Table {
	for r.deps.Table() == nil && time.Since(r.started) < firstConfigTimeout {
		if !wait.Pause(ctx, configPollInterval) {
			break
		}
	}
	return r.deps.Table()
}

// InProgress returns the number of requests without a complete answer.
func (r *Relay) InProgress() int { return int(r.inFlight.Load()) }

// Sweep closes connections to other entries that have been idle for too long.
func (r *Relay) Sweep() { r.deps.PeerPool.CloseStale(func(upstream.Endpoint) bool { return true }) }

// OpenToPeers returns the number of open connections to other entries.
func (r *Relay) OpenToPeers() int { return r.deps.PeerPool.OpenCount() }

// HasReceived reports whether any request has arrived.
func (r *Relay) HasReceived() bool { return r.received.Load() }

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.received.CompareAndSwap(false, true) {
		r.deps.FirstRequest()
	}
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	e := newExchange(r, w, request)
	r.running.add(e)
	defer r.running.remove(e)
	defer e.discardUnread()
	defer e.releaseBody()
	defer e.report()
	e.run()
	if e.summary.Status == 0 {
		e.abort() // net/http would answer with an empty success
	}
}

// Report describes how one request ended, for logs and metrics.
type Report struct {
	ID      string
	Route   string
	Team    string
	Service string
	Model   string
	Outcome Outcome
	// Status is the status code sent to the caller; 0 if there was no answer.
	Status int
	// Detail explains the outcome.
	Detail string
	// ConfigVersion is the version of the configuration that applied to the request.
	ConfigVersion uint64
	Attempts      int
	// Servers are the servers to which the request was sent.
	Servers []string
	// Via is the entry to which the request was passed on. Forwarded is set if it came from another entry.
	Via       string
	Forwarded bool
	Resumed   bool
	// Framing is how the end of the last server's answer was marked; empty if there was no answer.
	Framing framing.Framing
	// PromptParts are the IDs of the parts of the prompt.
	PromptParts []string
	// HeldBy are the traits for which the request was held back. OnTrial is set if it was sent all the same.
	HeldBy  []string
	OnTrial bool
	// PartialEvent is set if a server's stream ended inside an event.
	PartialEvent bool
	Took         time.Duration
	// TimeToFirstByte is the time until the first part of the answer was sent.
	TimeToFirstByte time.Duration
}

// Rejection describes a request that one server did not run, for logs and metrics.
type Rejection struct {
	// Request is the id of the caller's attempt.
	Request string
	Server  *backend.Server
	// Status is the server's status code.
	Status int
	// Basis is the server list by which the request was sent there.
	Basis turn.Basis
}

// Outcome is the way in which a request ended.
type Outcome string

// The outcomes.
const (
	// Served: the server's complete answer was sent.
	Served Outcome = "served"
	// NoConfig: no configuration is known yet.
	NoConfig Outcome = "no-config"
	NoRoute  Outcome = "no-route"
	NoKey    Outcome = "no-key"
	TooLarge Outcome = "too-large"
	// Refused: the request has not run, and the answer says so.
	Refused Outcome = "refused"
	// HeldBack: the request was not run, because requests like it have crashed servers.
	HeldBack Outcome = "held-back"
	// Unknown: the request may have run, and there is no answer.
	Unknown Outcome = "unknown"
	// TimedOut: the caller's deadline or the route's timeout passed.
	TimedOut Outcome = "timed-out"
	// Cut: the answer broke off after a part of it was sent.
	Cut Outcome = "cut"
	// CallerLeft: the caller closed its connection.
	CallerLeft Outcome = "caller-left"
)
