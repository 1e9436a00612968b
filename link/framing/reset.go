package framing

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// errWriteFailed means that the other side has ended a connection on which something could not be written.
var errWriteFailed = eris.Wrap(io.ErrUnexpectedEOF, "the connection broke while it was being written to")

// ReportResets returns a function that dials connections whose Read reports each reset. The kernel tells only one call that a connection was reset. If
// that is a Write, a Read in another goroutine sees an orderly end, which is how a body with the framing Closed ends.
func ReportResets(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetConn{Conn: conn}, nil
	}
}

type resetConn struct {
	net.Conn
	// writing is held by writers while they write; the reader of an end acquires it to wait for their outcomes. It is a leaf lock.
	writing sync.RWMutex
	// failed is set once a Write has failed.
	failed atomic.Bool
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.RLock()
	defer c.writing.RUnlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// Read implements net.Conn. At the end of the connection it waits for Writes in progress.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failed.Load() {
		return n, errWriteFailed
	}
	return n, err
}
