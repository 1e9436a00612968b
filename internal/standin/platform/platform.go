// Package platform is an in-memory stand-in for the platform's object API, for `skylarkpond dev` and for
// tests. It speaks the protocol of link/platform and can simulate faults of the platform.
//
//	GET    /v1/objects/{kind}                    list
//	GET    /v1/objects/{kind}/{name}             read
//	PUT    /v1/objects/{kind}/{name}?version=N   write if at version N (0: does not exist)
//	DELETE /v1/objects/{kind}/{name}?version=N   delete if at version N
//	GET    /v1/watch/{kind}?after=N              wait for a change after revision N
//
//	GET    /standin/history    the retained changes, as JSON lines
//	GET    /standin/calls      calls by kind and verb
//	GET    /standin/held       the calls waiting at a Hold, as JSON lines of HeldCall
//	POST   /standin/switches   Switches
//	POST   /standin/vms        the VMs, as a list of vm.VM
package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// DefaultWatchWait is how long a watch waits for a change by default.
const DefaultWatchWait = 20 * time.Second

// Platform is the simulated platform. It is safe for concurrent use.
type Platform struct {
	watchWait time.Duration
	table     *table
	faults    *faults
	holds     *holds
	calls     *callCounter
}

// Option configures a Platform.
type Option func(*Platform)

// WithWatchWait sets how long a watch waits for a change before it returns without one.
func WithWatchWait(d time.Duration) Option { return func(p *Platform) { p.watchWait = d } }

// WithHistoryLimit bounds the history, so that memory use stays small in a long run of `skylarkpond dev`: when
// it exceeds 2n changes, it is cut to the last n. A watch from an earlier revision receives every object of the
// kind. 0 keeps all changes.
func WithHistoryLimit(n int) Option { return func(p *Platform) { p.table.limit = n } }

// New returns an empty platform.
func New(opts ...Option) *Platform {
	p := &Platform{watchWait: DefaultWatchWait, table: newTable(), faults: newFaults(), holds: &holds{}, calls: newCallCounter()}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// readHeaderTimeout is the maximum time a connection may take to send a request's header.
const readHeaderTimeout = 10 * time.Second

// Serve serves HTTP on listener until ctx ends, then closes open connections.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "stand-in platform")
	}
	return nil
}
