package front

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/entry/intake"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/link/ingress"
)

// callerConn is the connection to one caller, while it is used for one request.
type callerConn struct {
	// ctx ends when the caller closes its side, or with the cause errStopping.
	ctx         context.Context
	request     *request
	received    *http.Request
	w           http.ResponseWriter
	control     *http.ResponseController
	bodies      *intake.Bodies
	bodyTimeout time.Duration
	// bodyMemory is the memory of the body until the request has ended; nil before it is read.
	bodyMemory *intake.Body
	// bodyRead is set once the whole body has been read.
	bodyRead bool
	// answered is set once the header of the answer has been written.
	answered bool
	// writeErr is the first error of writing the answer.
	writeErr error
	// finished ends the reset of the connection of an answer that ends with it; nil for other answers.
	finished func()
}

func newCallerConn(
	ctx context.Context, received *http.Request, w http.ResponseWriter, bodies *intake.Bodies, bodyTimeout time.Duration,
) *callerConn {
	return &callerConn{
		ctx: ctx, received: received, w: w, control: http.NewResponseController(w), bodies: bodies, bodyTimeout: bodyTimeout,
		bodyRead: received.ContentLength == 0,
	}
}

// defaultBodyTimeout bounds the time to read the body, so that a caller that stalls in the middle of it does not
// occupy memory for long.
const defaultBodyTimeout = 30 * time.Second

// errBodyLate is returned if the body was not received within the body timeout.
var errBodyLate = eris.New("the body was not received in time")

// receive reads the body until the body timeout has passed or the request ends, and returns the cause then.
//
// The connection's read deadline is set only at that point: an expired deadline ends the request's context, as if the caller had left.
func (c *callerConn) receive(limit int64) ([]byte, error) {
	if c.bodyRead {
		return nil, nil
	}
	if c.received.ContentLength > limit {
		return nil, intake.ErrTooLarge
	}
	ctx, cancel := context.WithTimeoutCause(c.ctx, c.bodyTimeout, errBodyLate)
	defer cancel()
	memory, ctx := c.bodies.Open(ctx)
	c.bodyMemory = memory
	interrupted := make(chan struct{})
	unregister := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		// SetReadDeadline fails only if the connection has no deadlines, as with a recorder in tests.
		_ = c.control.SetReadDeadline(time.Now())
	})
	body, err := memory.Read(c.received.Body, c.received.ContentLength, limit)
	if !unregister() {
		<-interrupted
		err = context.Cause(ctx)
	}
	c.bodyRead = err == nil
	if err != nil {
		memory.Close()
	}
	return body, err
}

// releaseBody ends the use of the body.
func (c *callerConn) releaseBody() {
	if c.bodyMemory != nil {
		c.bodyMemory.Close()
	}
}

// writeHeader writes the header of the answer. If the body has not been read, the answer is sent without waiting for the rest of it, and is the last
// one on its connection.
func (c *callerConn) writeHeader(status int) {
	if !c.bodyRead {
		ingress.PrepareUnread(c.w)
	}
	c.answered = true
	if framing.EndsWithConnection(c.w.Header()) {
		c.finished = framing.ResetUnlessFinished(c.received)
	}
	c.w.WriteHeader(status)
}

func (c *callerConn) write(data []byte) error {
	// SetWriteDeadline fails only if the connection has no deadlines, as with a recorder in tests.
	_ = c.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.w.Write(data)
	return c.noteError(err)
}

func (c *callerConn) flush() error { return c.noteError(c.control.Flush()) }

func (c *callerConn) noteError(err error) error {
	if c.writeErr == nil {
		c.writeErr = err
	}
	return err
}

// end ends the response. It aborts the connection if the request has not been answered, of which net/http would make an empty success, or the answer
// could not be written.
func (c *callerConn) end() {
	if c.finished != nil {
		_ = c.flush()
	}
	if !c.answered || c.writeErr != nil {
		c.abort()
	}
	if c.finished != nil {
		c.finished()
	}
	if !c.bodyRead {
		ingress.DiscardUnread(c.w, c.received)
	}
}

// abort closes the connection so that what has been written can't be taken for a complete answer. It does not return.
func (c *callerConn) abort() { framing.Abort(c.w, c.received) }
