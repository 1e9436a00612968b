// Package ingress accepts callers' connections for an HTTP server and follows each of their requests from its first byte to its answer, so that a
// request that gets no answer can be explained.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/skylarkpond/skylarkpond/internal/lateread"
)

// Server serves callers over HTTP/1.1. It is safe for concurrent use.
type Server struct {
	http       *http.Server
	unanswered func(Unanswered)

	mu    sync.Mutex // guards conns; a leaf lock
	conns map[*conn]struct{}
}

// New returns a Server that serves as inner is configured. unanswered is called for each connection that ends without an answer to its request.
func New(inner *http.Server, unanswered func(Unanswered)) *Server {
	s := &Server{http: inner, unanswered: unanswered, conns: make(map[*conn]struct{})}
	handler, connContext := inner.Handler, inner.ConnContext
	inner.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.begin()
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

// Serve accepts connections on a TCP listener until Shutdown is called.
func (s *Server) Serve(inner net.Listener) error {
	err := s.http.Serve(listener{inner, s})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and requests, and waits until the requests in progress have been answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes all connections.
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

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
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
	c := &conn{Conn: lateread.NewConn(tcp), server: l.server, state: Idle}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}
