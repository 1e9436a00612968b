// Package crowd plays clients that don't behave: many connections at once whose requests stall, exceed the limits or never end. For tests.
package crowd

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Play sends what one client of a crowd sends. It returns once nothing is left to send, or with the error of a connection that the server has closed.
type Play func(conn net.Conn) error

// Crowd is the open connections of clients.
type Crowd struct {
	sending sync.WaitGroup
	done    chan struct{}

	mu    sync.Mutex // guards conns; a leaf lock
	conns map[net.Conn]struct{}
}

// dialTimeout bounds one connection attempt, redialPause is the time between two of one client.
const (
	dialTimeout = 5 * time.Second
	redialPause = 10 * time.Millisecond
)

// Open connects clients to an address (IP:port), each of which plays once and then keeps its connection open.
func Open(clients int, address string, play Play) *Crowd {
	c := newCrowd()
	for range clients {
		c.sending.Go(func() {
			if conn, err := net.DialTimeout("tcp", address, dialTimeout); err == nil && c.add(conn) {
				_ = play(conn) // the server may close the connection
			}
		})
	}
	return c
}

// OpenAgain is Open, but clients whose connections the server closes connect again, until Close is called.
func OpenAgain(clients int, address string, play Play) *Crowd {
	c := newCrowd()
	for range clients {
		c.sending.Add(1)
		go func() {
			var once sync.Once
			defer once.Do(c.sending.Done)
			for !c.closed() {
				conn, err := net.DialTimeout("tcp", address, dialTimeout)
				if err == nil && c.add(conn) {
					if play(conn) == nil {
						once.Do(c.sending.Done)
						_, _ = io.Copy(io.Discard, conn)
					}
					c.remove(conn)
				}
				time.Sleep(redialPause)
			}
		}()
	}
	return c
}

func newCrowd() *Crowd {
	return &Crowd{done: make(chan struct{}), conns: make(map[net.Conn]struct{})}
}

func (c *Crowd) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// add keeps a connection, or closes it and returns false if the crowd is closed.
func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed() {
		_ = conn.Close()
		return false
	}
	c.conns[conn] = struct{}{}
	return true
}

func (c *Crowd) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = conn.Close()
	delete(c.conns, conn)
}

// Wait returns once each client has sent what it sends, or a time has passed.
func (c *Crowd) Wait(timeout time.Duration) {
	sent := make(chan struct{})
	go func() {
		c.sending.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-time.After(timeout):
	}
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed() {
		return
	}
	close(c.done)
	for conn := range c.conns {
		_ = conn.Close()
	}
}

// Silent sends nothing.
func Silent(net.Conn) error { return nil }

// Text sends a text.
func Text(text string) Play {
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, text)
		return err
	}
}

// Body describes a body and how it is sent.
type Body struct {
	// Announced is the length that the header states; 0: the body is chunked.
	Announced int
	// Sent is the number of bytes that are sent.
	Sent int
	// Piece is the number of bytes in one write or chunk; 0: all in one.
	Piece int
	// Pause is the time between two pieces.
	Pause time.Duration
	// Whole is set if the answer is read, and the last chunk is sent after a chunked body.
	Whole bool
}

// filler is repeated in all bodies: white space, with which a JSON text may begin.
var filler = func() []byte {
	text := make([]byte, 1<<20)
	for i := range text {
		text[i] = ' '
	}
	return text
}()

// maxChunksWritten is the number of small chunks in one write.
const maxChunksWritten = 4096

// Post sends a request with a body. head is the request's head without the framing of the body and without the empty line.
func Post(head string, body Body) Play {
	if body.Announced > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", body.Announced)
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if body.Piece == 0 {
		body.Piece = body.Sent
	}
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, head); err != nil {
			return err
		}
		send := body.sendPieces
		if body.Announced == 0 {
			send = body.sendChunks
		}
		if err := send(conn); err != nil {
			return err
		}
		if !body.Whole {
			return nil
		}
		_, err := conn.Read(make([]byte, 1))
		return err
	}
}

func (b Body) sendPieces(conn net.Conn) error {
	for sent := 0; sent < b.Sent; {
		piece := min(b.Piece, b.Sent-sent)
		if err := writeFiller(conn, piece); err != nil {
			return err
		}
		sent += piece
		time.Sleep(b.Pause)
	}
	return nil
}

func writeFiller(conn net.Conn, size int) error {
	for size > 0 {
		n, err := conn.Write(filler[:min(size, len(filler))])
		if err != nil {
			return err
		}
		size -= n
	}
	return nil
}

func (b Body) sendChunks(conn net.Conn) error {
	chunk := fmt.Appendf(nil, "%x\r\n", b.Piece)
	for left := b.Piece; left > 0; left -= min(left, len(filler)) {
		chunk = append(chunk, filler[:min(left, len(filler))]...)
	}
	chunk = append(chunk, "\r\n"...)
	count := b.Sent / b.Piece
	joined := 1
	if b.Pause == 0 {
		joined = max(1, min(maxChunksWritten, len(filler)/len(chunk)))
	}
	var written []byte
	for range min(joined, count) {
		written = append(written, chunk...)
	}
	for sent := 0; sent < count; {
		chunks := min(joined, count-sent)
		if _, err := conn.Write(written[:chunks*len(chunk)]); err != nil {
			return err
		}
		sent += chunks
		time.Sleep(b.Pause)
	}
	if !b.Whole {
		return nil
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}
