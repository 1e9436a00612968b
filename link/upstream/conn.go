package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/descriptors"
	"github.com/skylarkpond/skylarkpond/link/framing"
)

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// head bounds the heads of responses that reader reads.
	head *headLimit
	// idleTimeout is how long the connection may stay idle; idleSince is when it became idle.
	idleTimeout time.Duration
	idleSince   time.Time
	// bodyWritten is closed when a concurrently written body has been sent. It is nil if the body was written
	// before the response was read.
	bodyWritten chan struct{}
	broken      bool
}

// dial connects to address from a local address, which the system chooses if it is nil. opened counts the connection until it is closed.
func dial(ctx context.Context, opened *descriptors.Counter, source net.IP, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
	}}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	var err error
	for range dialAttempts {
		var raw net.Conn
		raw, err = opened.Wrap(dialer.DialContext)(ctx, "tcp", address)
		if err == nil {
			head := &headLimit{conn: raw}
			return &conn{Conn: raw, head: head, reader: bufio.NewReaderSize(head, readBufferSize), idleTimeout: defaultIdleTimeout}, nil
		}
		if ctx.Err() != nil || isRefusal(err) {
			break
		}
	}
	return nil, err
}

// isRefusal reports whether the other side refused or reset a connection that was dialed.
func isRefusal(err error) bool {
	return eris.Is(err, syscall.ECONNREFUSED) || eris.Is(err, syscall.ECONNRESET)
}

// RefusesConnections reports whether nothing listens at address, which means that the process has ended while its VM is still running. A reset
// is no evidence: a process at the limit of its connections accepts further ones and resets them, and dialing may meet the reset.
func RefusesConnections(ctx context.Context, address string) bool {
	c, err := dial(ctx, new(descriptors.Counter), nil, address)
	if err == nil {
		_ = c.Close()
		return false
	}
	return eris.Is(err, syscall.ECONNREFUSED)
}

// isIdle reports whether the connection is open and has no data to read. Data that the server sends while no
// request is in progress belongs to no request, and a connection that the server has closed must not be used.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(fd), buffer[:])
		idle = err == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}

// write sends the request. A large body is sent by a separate goroutine. After an error, part of the request
// may have been sent.
func (c *conn) write(request *Request) error {
	var head bytes.Buffer
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&head)
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(request.Body) <= maxInlineBody {
		head.Write(request.Body)
		_, err := c.Conn.Write(head.Bytes())
		return err
	}
	if _, err := c.Conn.Write(head.Bytes()); err != nil {
		return err
	}
	c.bodyWritten = make(chan struct{})
	go func() {
		defer close(c.bodyWritten)
		if _, err := c.Conn.Write(request.Body); err != nil {
			c.broken = true // only read after bodyWritten is closed
		}
	}()
	return nil
}

// headLimit reads from a connection, and no more than a number of bytes while the head of a response is expected.
type headLimit struct {
	conn net.Conn
	// left is the number of bytes that may be read; it only counts if limited is set.
	left    int
	limited bool
}

func (h *headLimit) Read(p []byte) (int, error) {
	if !h.limited {
		return h.conn.Read(p)
	}
	if h.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.conn.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// Errors of responses that are too large to be read to their end.
var (
	errHeadTooLarge    = eris.New("the head of the response is too large")
	errSkippedTooLarge = eris.New("the response to another request is too large")
)

// read returns the response to the request. It skips interim responses and those to other requests. All heads together are bounded.
func (c *conn) read(request *Request) (*http.Response, error) {
	c.head.left, c.head.limited = maxHeadBytes, true
	defer func() { c.head.limited = false }()
	for range maxSkippedResponses + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			if err := framing.CheckInterim(response.StatusCode, response.Header); err != nil {
				return nil, err
			}
			continue
		}
		if err := framing.Check(response.StatusCode, response.Header); err != nil {
			return nil, err
		}
		if request.Matches == nil || request.Matches(response.Header) {
			return response, nil
		}
		if err := c.skip(response); err != nil {
			return nil, err
		}
	}
	return nil, eris.New("answers of other requests")
}

// skip reads the body of a response to another request.
func (c *conn) skip(response *http.Response) error {
	c.head.limited = false
	defer func() { c.head.limited = true }()
	n, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes+1)
	switch {
	case n > maxSkippedBytes:
		return errSkippedTooLarge
	case err == io.EOF:
		return nil
	}
	return err
}

// errRequestCut means that a response ended with a connection on which the request's body could not be sent whole.
var errRequestCut = eris.Wrap(io.ErrUnexpectedEOF, "the connection broke while the request was being sent")

// sentWhole reports whether the whole request was sent. It waits until the body has been written, or can't be.
func (c *conn) sentWhole() bool {
	if c.bodyWritten == nil {
		return true
	}
	<-c.bodyWritten
	return !c.broken
}

// unframedBody is a body that ends with its connection. The kernel tells only one call that a connection was reset. If that is the one that writes the
// request's body, the reader of the response sees an orderly end. One that the server closes in order before it has read the request is reset as well,
// sooner or later than the reader sees the end.
type unframedBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader. At the end it waits until the request has been sent.
func (b unframedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF && !b.conn.sentWhole() {
		return n, errRequestCut
	}
	return n, err
}

// reusable reports whether the connection can carry another request after response. It can't if the response
// ends with the connection, if data follows the response, or if the request body is still being written.
func (c *conn) reusable(response *http.Response) bool {
	if response.Close || c.reader.Buffered() > 0 {
		return false
	}
	if c.bodyWritten != nil {
		select {
		case <-c.bodyWritten:
		default:
			return false
		}
	}
	return !c.broken
}

// idleTimeoutOf derives a connection's idle timeout from the Keep-Alive header of a response. It never exceeds
// defaultIdleTimeout.
func idleTimeoutOf(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(defaultIdleTimeout, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}
