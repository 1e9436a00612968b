// Package ingress accepts callers' connections for an HTTP server and follows each of their requests from its first byte to its answer, so that a
// request that gets no answer can be explained. It also bounds what callers can make a process hold at its sockets: the number of their connections, and
// what lies unread there.
//
// Its Shutdown takes the place of that of net/http, which closes connections after it has read requests from them: their callers can't tell whether
// these were processed. Here the handler gets each request that is read, except one that was sent behind another (pipelined) whose answer says
// Connection: close.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/lateread"
	"github.com/skylarkpond/skylarkpond/internal/wait"
)

// Server serves callers over HTTP/1.1. It is safe for concurrent use.
type Server struct {
	http       *http.Server
	unanswered func(Unanswered)
	// limit bounds the connections of all servers of the process; nil for no bound.
	limit *Connections
	// reserve is how many connections the server may have beyond that bound.
	reserve int

	stopping atomic.Bool

	mu       sync.Mutex // guards what follows; may be held while the lock of a conn is taken
	conns    map[*conn]struct{}
	listener net.Listener
}

// Option configures a Server.
type Option func(*Server)

// WithConnections makes the server's connections count toward a bound.
func WithConnections(limit *Connections) Option { return func(s *Server) { s.limit = limit } }

// WithReserve lets the server accept a few connections more than the bound, for checks and operators that must get through while callers use it up.
func WithReserve() Option { return func(s *Server) { s.reserve = reservedConnections } }

// reservedConnections is the number of connections that WithReserve adds.
const reservedConnections = 8

// New returns a Server that serves as inner is configured. unanswered is called for each connection that ends without an answer to its request.
func New(inner *http.Server, unanswered func(Unanswered), options ...Option) *Server {
	s := &Server{http: inner, unanswered: unanswered, conns: make(map[*conn]struct{})}
	for _, option := range options {
		option(s)
	}
	handler, connContext := inner.Handler, inner.ConnContext
	inner.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.begin()
		}
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	inner.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		ctx = context.WithValue(ctx, connKey{}, accepted)
		if connContext != nil {
			return connContext(ctx, accepted)
		}
		return ctx
	}
	inner.ConnState = func(changed net.Conn, state http.ConnState) {
		if c, ok := changed.(*conn); ok && state == http.StateIdle {
			c.end()
		}
	}
	return s
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Serve accepts connections on a TCP listener until Shutdown or Close is called.
func (s *Server) Serve(inner net.Listener) error {
	s.mu.Lock()
	s.listener = inner
	s.mu.Unlock()
	if s.stopping.Load() {
		_ = inner.Close()
		return nil
	}
	err := s.http.Serve(listener{inner, s})
	if s.stopping.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections, closes those that are idle, and waits until the others have been answered and closed, or ctx ends. Requests
// that arrive on them meanwhile are handled, each as the last one on its connection.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	for s.connCount() > 0 {
		if !wait.Pause(ctx, shutdownPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// shutdownPollInterval is the interval between checks whether any connection is left.
const shutdownPollInterval = 5 * time.Millisecond

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping.Store(true)
	if s.listener != nil {
		_ = s.listener.Close() // fails only if it is closed already
	}
	for c := range s.conns {
		c.closeWhenIdle()
	}
}

func (s *Server) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// Open returns the requests of which nothing has been answered.
func (s *Server) Open() []Unanswered {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []Unanswered
	for c := range s.conns {
		c.mu.Lock()
		if request, found := c.current(); found {
			open = append(open, request)
		}
		c.mu.Unlock()
	}
	return open
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if s.stopping.Load() {
		c.closeWhenIdle() // it was accepted just before the listener was closed
	}
}

func (s *Server) forget(c *conn) {
	if s.limit != nil {
		s.limit.remove(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	c := &conn{Conn: lateread.NewConn(tcp), server: l.server, state: Idle, since: time.Now()}
	if l.server.limit != nil {
		l.server.limit.admit(c)
	}
	l.server.add(c)
	return c, nil
}
