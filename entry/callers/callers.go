// Package callers watches the connections of callers and bounds what this entry (gateway process) holds for those that read slowly or not at all.
//
// It guards against the following failure: callers stop reading in the middle of their answers, and the process is killed for the memory that it
// holds for them. The decisions are those of policy/slowread; this package counts, measures and closes.
package callers

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/unsent"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/policy/slowread"
)

// Deps holds the dependencies of a Watch.
type Deps struct {
	Bounds slowread.Bounds
	// Cut is called for each caller that was cut, before its request ends. It must not block.
	Cut func(Cut)
}

// Cut describes a caller that was cut.
type Cut struct {
	// Request is the id of the request in progress, or of the last one; empty if there was none.
	Request string
	Route   string
	Reason  slowread.Reason
	// Silence is how long the caller had read nothing.
	Silence time.Duration
	// Bytes is what was held for it, Held what was held for all requests together.
	Bytes, Held int64
}

// Watch watches the connections of one process. It is safe for concurrent use.
type Watch struct {
	deps Deps

	mu    sync.Mutex // guards conns; a leaf lock
	conns map[*conn]struct{}

	// requests counts the accounts, taken is what they have taken in bytes, and waiting and queued are the callers with a pending write and what the
	// kernel holds for them, as of the last sweep; queued no longer includes those whose write has ended.
	requests, taken, waiting, queued atomic.Int64
	cuts, refusals                   atomic.Int64
}

// New returns a Watch. Run makes it cut callers.
func New(deps Deps) *Watch { return &Watch{deps: deps, conns: make(map[*conn]struct{})} }

// Counts is what a Watch knows at a moment.
type Counts struct {
	// Requests are the requests in progress, and Bytes what is held for them, in this process and by the kernel.
	Requests, Bytes int64
	// Waiting are the callers with a pending write.
	Waiting int64
	// Cuts and Refusals count the callers cut and the requests refused since the start.
	Cuts, Refusals int64
}

// Counts returns the counts.
func (w *Watch) Counts() Counts {
	return Counts{
		Requests: w.requests.Load(), Bytes: w.held(), Waiting: w.waiting.Load(), Cuts: w.cuts.Load(), Refusals: w.refusals.Load(),
	}
}

func (w *Watch) held() int64 { return w.taken.Load() + w.queued.Load() }

// Listen returns a listener whose connections are watched. It applies to the TCP connections of inner; others are returned unchanged.
func (w *Watch) Listen(inner net.Listener) net.Listener { return &listener{Listener: inner, watch: w} }

type listener struct {
	net.Listener
	watch *Watch
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(tcpConn)
	if !ok {
		return accepted, nil
	}
	return l.watch.add(tcp)
}

func (w *Watch) add(tcp tcpConn) (net.Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	unsent.Limit(raw)
	c := &conn{tcpConn: tcp, raw: raw, watch: w}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = struct{}{}
	return c, nil
}

func (w *Watch) remove(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn returns a context that holds a connection, also for package framing. It is the ConnContext of servers whose connections are watched.
func WithConn(ctx context.Context, accepted net.Conn) context.Context {
	ctx = framing.WithConn(ctx, accepted)
	if c, ok := accepted.(*conn); ok {
		ctx = context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}
