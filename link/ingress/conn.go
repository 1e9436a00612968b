package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/lateread"
	"github.com/skylarkpond/skylarkpond/policy/connections"
)

// State is how far a connection has come with its current request.
type State string

// The states, in the order in which a request passes through them.
const (
	// Idle: nothing of a request has been read since the last answer.
	Idle State = "idle"
	// Header: a part of a request's header has been read.
	Header State = "header"
	// HeaderRead: the whole header has been read, and the handler has not been called.
	HeaderRead State = "request"
	// Handler: the handler was called.
	Handler State = "handler"
)

// Unanswered describes a connection that ended before any byte of the answer to its request was written.
type Unanswered struct {
	Remote string
	State  State
	// CallerClosed is set if the caller closed the connection first.
	CallerClosed bool
	// SinceLastByte is the time since the last byte of the request was read.
	SinceLastByte time.Duration
}

// conn is a caller's connection.
type conn struct {
	*lateread.Conn
	server *Server

	mu    sync.Mutex // guards what follows; held while read deadlines of the inner connection are set
	state State
	// served is set once a request has been answered. since is when the connection was admitted, the last answer ended, or a later request began.
	served bool
	since  time.Time
	// doomed is set once the connection is closed to make room: nothing more is read from it.
	doomed bool
	// tail holds the last bytes of an incomplete header.
	tail []byte
	// lastByte is when a byte of the request was last read, answering whether a byte of its answer has been written.
	lastByte     time.Time
	answering    bool
	callerClosed bool
	closed       bool
	// closing is set if the connection is to be closed when it is idle.
	closing bool
	// readDeadline is the read deadline that was last set. While the connection is idle and closing, an earlier one is in force.
	readDeadline time.Time
}

// headerEnd separates a request's header from its body.
var headerEnd = []byte("\r\n\r\n")

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doomed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.noteRead(p[:n])
	}
	if errors.Is(err, io.EOF) || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.callerClosed = true
	}
	return n, err
}

func (c *conn) noteRead(read []byte) {
	c.lastByte = time.Now()
	if c.state == Idle {
		c.state, c.answering = Header, false
		if c.served {
			c.since = c.lastByte
		}
		c.restoreReadDeadline()
	}
	if c.state != Header {
		return
	}
	seen := read
	if len(c.tail) > 0 {
		seen = append(c.tail, read...)
	}
	if bytes.Contains(seen, headerEnd) {
		c.state, c.tail = HeaderRead, nil
		return
	}
	c.tail = append(c.tail[:0], seen[max(0, len(seen)-len(headerEnd)+1):]...)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, interim) {
		c.noteAnswer()
	}
	return c.Conn.Write(p)
}

// interim begins a response that asks for the body and is no answer.
var interim = []byte("HTTP/1.1 100 ")

// ReadFrom implements io.ReaderFrom.
func (c *conn) ReadFrom(from io.Reader) (int64, error) {
	c.noteAnswer()
	return c.Conn.ReadFrom(from)
}

func (c *conn) noteAnswer() {
	c.mu.Lock()
	c.answering = true
	c.mu.Unlock()
}

// begin records that the handler was called.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == Idle {
		// The request was read together with the one before.
		c.answering = false
		c.restoreReadDeadline()
	}
	c.state, c.tail = Handler, nil
}

// restoreReadDeadline gives a request that has begun the time that the HTTP server allows. The caller holds mu.
func (c *conn) restoreReadDeadline() {
	if c.closing {
		_ = c.Conn.SetReadDeadline(c.readDeadline) // a connection that is closed fails the next read
	}
}

// end records that the answer has been written.
func (c *conn) end() {
	c.mu.Lock()
	c.state, c.tail = Idle, nil
	c.served, c.since = true, time.Now()
	c.mu.Unlock()
}

// describe returns what decides whether the connection is closed to make room. One that is being closed is no candidate.
func (c *conn) describe() connections.Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connections.Connection{Served: c.served && c.state == Idle, Waiting: c.waiting(), Since: c.since}
}

// waiting reports whether no whole header has been read and the connection is not being closed. The caller holds mu.
func (c *conn) waiting() bool {
	return (c.state == Idle || c.state == Header) && !c.closing && !c.closed
}

// closure is how a connection was closed to make room.
type closure int

const (
	notClosed closure = iota
	closedWithoutRequest
	closedIdle
)

// closeUnused closes the connection unless a request has begun or ended since it was described. A caller that was served before may send a request
// just now, and is given a moment.
func (c *conn) closeUnused(described connections.Connection) closure {
	c.mu.Lock()
	switch {
	case !c.waiting() || c.since != described.Since:
		c.mu.Unlock()
		return notClosed
	case described.Served:
		c.mu.Unlock()
		c.closeWhenIdle()
		return closedIdle
	}
	c.doomed = true
	c.mu.Unlock()
	_ = c.Close()
	return closedWithoutRequest
}

// closingLinger is how long an idle connection is still read when the server stops. A request that its caller has sent by then is answered.
const closingLinger = 20 * time.Millisecond

// closeWhenIdle makes the HTTP server close the connection once nothing of a request has been read from it: its wait for the next request times out.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.state == Idle {
		_ = c.Conn.SetReadDeadline(time.Now().Add(closingLinger))
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.closing && c.state == Idle {
		if latest := time.Now().Add(closingLinger); t.IsZero() || t.After(latest) {
			t = latest
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	unanswered, found := c.current()
	c.mu.Unlock()
	err := c.Conn.Close()
	if first {
		c.server.forget(c)
		if found {
			c.server.unanswered(unanswered)
		}
	}
	return err
}

// current returns the request of which nothing has been answered, if there is one. The caller holds mu.
func (c *conn) current() (Unanswered, bool) {
	if c.state == Idle || c.answering {
		return Unanswered{}, false
	}
	return Unanswered{
		Remote: c.RemoteAddr().String(), State: c.state, CallerClosed: c.callerClosed, SinceLastByte: time.Since(c.lastByte),
	}, true
}
