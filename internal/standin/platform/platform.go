// Package platform is a small stand-in of the platform's object API, in memory, for `skylarkpond dev`
// and for tests. It speaks the wire of link/platform and has switches for the platform's faults.
//
//	GET    /v1/objects/{kind}                    list
//	GET    /v1/objects/{kind}/{name}             read
//	PUT    /v1/objects/{kind}/{name}?version=N   write if at version N (0: does not exist)
//	DELETE /v1/objects/{kind}/{name}?version=N   delete if at version N
//	GET    /v1/watch/{kind}?after=N              wait for a change after revision N
//
//	GET    /standin/history    every change, as JSON lines
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

// DefaultWatchWait is how long a watch without a change waits for one.
const DefaultWatchWait = 20 * time.Second

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	watchWait time.Duration
	table     *table
	faults    *faults
	holds     *holds
	calls     *calls
}

// Option changes a Platform.
type Option func(*Platform)

// WithWatchWait sets how long a watch without a change waits for one.
func WithWatchWait(d time.Duration) Option { return func(p *Platform) { p.watchWait = d } }

// WithHistoryLimit keeps only the last n changes, so that a long run of dev stays small. A watch from
// before them gets the whole kind. 0 keeps all.
func WithHistoryLimit(n int) Option { return func(p *Platform) { p.table.limit = n } }

// New returns an empty platform.
func New(opts ...Option) *Platform {
	p := &Platform{watchWait: DefaultWatchWait, table: newTable(), faults: newFaults(), holds: &holds{}, calls: newCalls()}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// readHeaderTimeout bounds how long a connection may take to send a request's header.
const readHeaderTimeout = 10 * time.Second

// Serve answers on listener until ctx ends; open connections are then closed.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "stand-in platform")
	}
	return nil
}
