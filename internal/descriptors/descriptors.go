// Package descriptors tells how many descriptors the process may open, and counts connections that it has opened itself.
package descriptors

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Limit returns a setting, or the limit of the system if it is 0. It returns 0 if there is none.
func Limit(setting int) int {
	if setting > 0 {
		return setting
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// Dial is the type of functions that open connections.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Counter counts open connections. It is safe for concurrent use.
type Counter struct{ open atomic.Int64 }

// Open returns the number of open connections.
func (c *Counter) Open() int { return int(c.open.Load()) }

// Wrap returns a function that dials and counts TCP connections until they are closed.
func (c *Counter) Wrap(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		c.open.Add(1)
		return &counted{TCPConn: tcp, closed: sync.OnceFunc(func() { c.open.Add(-1) })}, nil
	}
}

// counted embeds the TCP connection for the methods that net.Conn does not have.
type counted struct {
	*net.TCPConn
	closed func()
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.closed()
	return c.TCPConn.Close()
}
