// Package lateread makes a server read what has arrived although the deadline for it has passed.
//
// What goes wrong without it: a process stands still for longer than a caller may take to send a header (its VM is suspended, or the
// process is stopped and goes on). A caller's request arrived meanwhile. Deadlines are looked at before the socket, so the server
// gives the connection up with the request unread, and the caller sees a reset from an entry that works. Here a read whose deadline has
// passed looks at the socket once more.
package lateread

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// extension is how much longer a read may take whose deadline has passed. What arrived is read at once; a header of several segments takes
// some reads. A caller that sends nothing is given up this much later.
const extension = 50 * time.Millisecond

// Listen returns a listener whose connections read what has arrived. Those of inner are TCP connections.
func Listen(inner net.Listener) net.Listener { return listener{inner} }

type listener struct{ net.Listener }

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
	return &conn{TCPConn: tcp}, nil
}

// conn keeps the methods of its TCP connection, of which the HTTP server uses more than net.Conn has.
type conn struct {
	*net.TCPConn

	mu sync.Mutex // guards extendable and the order of deadlines; a leaf lock
	// extendable says that the deadline was ahead when it was set, and was not extended yet.
	extendable bool
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.extendable = time.Now().Before(t)
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend() {
		return n, err
	}
	return c.TCPConn.Read(p)
}

// extend moves a deadline that has passed, once.
func (c *conn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.extendable {
		return false
	}
	c.extendable = false
	return c.TCPConn.SetReadDeadline(time.Now().Add(extension)) == nil
}
