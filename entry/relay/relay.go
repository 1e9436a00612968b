// Package relay forwards callers' requests as they are: it finds the route, checks the key, takes a turn at a backend
// server, sends the request there, and hands back the server's answer unchanged.
//
// What it promises: a request that may not be repeated is sent at most once unless the server itself says that
// it did not run; an answer of 429 or 503 means that the request has not run and never will; an answer that ends early
// never looks complete.
package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/link/upstream"
)

// Deps is what a Relay works with.
type Deps struct {
	// Table returns the operators' configuration in force, or nil before the first.
	Table func() *route.Table
	Turns turn.Source
	Pool  *upstream.Pool
	// Retries bounds repeats.
	Retries *Retries
	// Suspects knows the requests that crash servers.
	Suspects Suspects
	// Report is told how each request ended.
	Report func(Report)
	// Rejected is told of each request that a server did not run, by the server's own word.
	Rejected func(Rejection)
	// Random is from 0 to 1; it draws targets of split routes and spreads retries.
	Random func() float64
}

// Suspects knows which requests crash the servers that run them. It is safe for concurrent use.
type Suspects interface {
	// Held says whether a request may not be sent to any server of a service.
	Held(service, fingerprint string) bool
	// Finished notes that a server answered a request in full.
	Finished(service, fingerprint string)
	// Lost looks into a server that ended its connection in the middle of a request. It takes some time.
	Lost(ctx context.Context, fingerprint string, server *backend.Server)
}

// Relay is an http.Handler. It is safe for concurrent use.
type Relay struct {
	deps     Deps
	inFlight atomic.Int64
}

// New returns a Relay.
func New(deps Deps) *Relay { return &Relay{deps: deps} }

// InProgress counts the requests without a complete answer.
func (r *Relay) InProgress() int { return int(r.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	e := newExchange(r, w, request)
	defer e.report()
	e.run()
}

// Report is the end of one request, for logs and metrics.
type Report struct {
	ID      string
	Route   string
	Team    string
	Service string
	Model   string
	Outcome Outcome
	// Status is the answer's; 0 where there was none.
	Status int
	// Detail is why, with what decided it.
	Detail string
	// ConfigVersion is that of the table which the request saw.
	ConfigVersion uint64
	Attempts      int
	// Servers are those that it was sent to.
	Servers []string
	Resumed bool
	Took    time.Duration
	// First is the time to the first part of the answer.
	First time.Duration
}

// Rejection is the refusal of one request by one server, for logs and metrics.
type Rejection struct {
	// Request is the id of the caller's attempt.
	Request string
	Server  *backend.Server
	// Status is the server's answer.
	Status int
	// Basis is the list of servers by which the request was sent there.
	Basis turn.Basis
}

// Outcome is how a request ended.
type Outcome string

// The outcomes.
const (
	// Served: the server's whole answer went out.
	Served Outcome = "served"
	// NoConfig: no configuration is known yet.
	NoConfig Outcome = "no-config"
	NoRoute  Outcome = "no-route"
	NoKey    Outcome = "no-key"
	TooLarge Outcome = "too-large"
	// Refused: it has not run, and was told so.
	Refused Outcome = "refused"
	// HeldBack: it has crashed servers, and has not run again.
	HeldBack Outcome = "held-back"
	// Unknown: it may have run, and has no answer.
	Unknown Outcome = "unknown"
	// TimedOut: the deadline or the route's timeout passed.
	TimedOut Outcome = "timed-out"
	// Cut: the answer ended midway.
	Cut Outcome = "cut"
	// CallerLeft: the caller closed its connection.
	CallerLeft Outcome = "caller-left"
)
