// Package lateread lets a server read data that has already arrived, although the read deadline has passed.
//
// It prevents the following failure: a process is paused for longer than the header timeout (its VM is suspended, or the process is
// stopped and continued), and a client's request arrives during the pause. The runtime checks the deadline before the socket, so the
// server would close the connection with the request unread, and the client would see a reset from a working entry. With this package,
// a read whose deadline has passed tries the socket once more.
package lateread

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// extension is how long a read may continue after its deadline has passed. Data that has arrived is read immediately, but a header of
// several segments takes several reads. The connection of a client that sends nothing is closed this much later.
const extension = 50 * time.Millisecond

// Listen returns a listener whose connections extend a read deadline that has passed. It applies to the TCP connections of inner;
// others are returned unchanged.
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
	return NewConn(tcp), nil
}

// NewConn returns a connection that extends a read deadline that has passed.
func NewConn(inner *net.TCPConn) *Conn { return &Conn{TCPConn: inner} }

// Conn embeds the TCP connection because the HTTP server uses methods of it that net.Conn does not have.
type Conn struct {
	*net.TCPConn

	mu sync.Mutex // guards extendable and serializes changes of the read deadline; a leaf lock
	// extendable says that the deadline was in the future when it was set, and has not been extended yet.
	extendable bool
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.extendable = time.Now().Before(t)
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend() {
		return n, err
	}
	return c.TCPConn.Read(p)
}

// extend extends a deadline that has passed, at most once for each deadline. It reports whether it did.
func (c *Conn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.extendable {
		return false
	}
	c.extendable = false
	return c.TCPConn.SetReadDeadline(time.Now().Add(extension)) == nil
}
