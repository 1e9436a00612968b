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
)

// conn is one connection. One request at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// keep is how long it may stay idle; idleSince is when it became so.
	keep      time.Duration
	idleSince time.Time
	// writing is closed once a body that is written beside the answer is out; nil where it was written before.
	writing chan struct{}
	broken  bool
}

func dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
	}}
	var err error
	for range dialTries {
		var raw net.Conn
		raw, err = dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), keep: keptIdle}, nil
		}
		if ctx.Err() != nil || eris.Is(err, syscall.ECONNREFUSED) || eris.Is(err, syscall.ECONNRESET) {
			break
		}
	}
	return nil, err
}

// RefusesConnections says whether nobody listens at an address: the process there has ended, and its VM goes on.
func RefusesConnections(ctx context.Context, address string) bool {
	c, err := dial(ctx, address)
	if err == nil {
		_ = c.Close()
		return false
	}
	return eris.Is(err, syscall.ECONNREFUSED) || eris.Is(err, syscall.ECONNRESET)
}

// quiet says whether a kept connection is open and has nothing to read. Whatever a server sends while no request
// is in progress belongs to none, and a connection that the server has closed must not be written to.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(fd), buffer[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// write sends the request. It returns whether any byte may have left.
func (c *conn) write(request *Request) error {
	var head bytes.Buffer
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&head)
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(request.Body) <= inlineBody {
		head.Write(request.Body)
		_, err := c.Conn.Write(head.Bytes())
		return err
	}
	if _, err := c.Conn.Write(head.Bytes()); err != nil {
		return err
	}
	c.writing = make(chan struct{})
	go func() {
		defer close(c.writing)
		if _, err := c.Conn.Write(request.Body); err != nil {
			c.broken = true // read only after writing was closed
		}
	}()
	return nil
}

// read returns the answer that the request owns. Interim answers and those of other requests are skipped.
func (c *conn) read(request *Request) (*http.Response, error) {
	for range maxForeign + 1 {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if request.Matches == nil || request.Matches(answer.Header) {
			return answer, nil
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, err
		}
	}
	return nil, eris.New("answers of other requests")
}

// reusable says whether another request may follow the answer. After one whose end is that of the connection,
// after bytes beyond the end, and while the request is still being written, none may.
func (c *conn) reusable(answer *http.Response) bool {
	if answer.Close || c.reader.Buffered() > 0 {
		return false
	}
	if c.writing != nil {
		select {
		case <-c.writing:
		default:
			return false
		}
	}
	return !c.broken
}

// keepFor reads how long the server keeps an idle connection.
func keepFor(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(keptIdle, time.Duration(seconds)*time.Second-keptMargin)
		}
	}
	return keptIdle
}
