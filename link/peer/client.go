package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Client calls other entries. It is safe for concurrent use.
type Client struct {
	pool *pool
}

// NewClient returns a client that authenticates with id and connects only to peers that trust knows. Its
// connections originate from source; if source is nil, the system chooses the local address.
func NewClient(id *Identity, trust Trust, source net.IP) *Client {
	return &Client{pool: newPool(tlsConfig(id, trust), source)}
}

// Call sends request to path at address (IP:port) and decodes the response into reply, which may be nil.
func (c *Client) Call(ctx context.Context, address, path string, request, reply any) error {
	receiver, err := c.Stream(ctx, address, path, request)
	if err != nil {
		return err
	}
	defer receiver.Close()
	if reply == nil {
		reply = new(cbor.RawMessage)
	}
	err = receiver.Next(reply)
	if err == io.EOF {
		return interrupted(address, io.ErrUnexpectedEOF)
	}
	if err != nil {
		return err
	}
	// Reading to the end closes the stream without a reset, which would cost an extra packet.
	if err := receiver.Next(new(cbor.RawMessage)); err != io.EOF {
		return interrupted(address, errExtraItem)
	}
	return nil
}

// errExtraItem means that the response to a Call has more than one item, or that its end was lost.
var errExtraItem = eris.New("answer did not end after its item")

// Stream sends request to path at address and returns once the peer has started to respond. Ending ctx ends the
// receiver and the peer's handler.
func (c *Client) Stream(ctx context.Context, address, path string, request any) (*Receiver, error) {
	body, err := cbor.Marshal(request)
	if err != nil {
		return nil, notSent(address, err)
	}
	if len(body) > MaxMessageBytes {
		return nil, notSent(address, ErrTooLarge)
	}
	r, bodyUnread, err := c.send(ctx, address, path, body)
	if bodyUnread && ctx.Err() == nil {
		// The pooled connection had ended unnoticed, and no handler can have received the body.
		r, _, err = c.send(ctx, address, path, body)
	}
	return r, err
}

// Disconnect closes the connection to address, so that calls in progress on it fail immediately. It is called
// when a peer is known to be dead, so that callers don't have to wait for the idle timeout.
func (c *Client) Disconnect(address string) { c.pool.disconnect(address) }

// Close closes all connections. Calls in progress fail.
func (c *Client) Close() { c.pool.close() }

// send sends the request once. bodyUnread means that a connection was available but no byte of the body was read
// for sending, so that it is safe to use another connection.
func (c *Client) send(ctx context.Context, address, path string, body []byte) (r *Receiver, bodyUnread bool, err error) {
	conn, err := c.pool.acquire(ctx, address)
	if err != nil {
		return nil, false, notSent(address, err)
	}
	requestBody := &singleUseBody{remaining: body}
	response, err := conn.h3.RoundTrip(newRequest(ctx, path, requestBody, len(body)))
	r = newReceiver(ctx, c.pool, conn)
	if err != nil {
		defer r.Close()
		if requestBody.closeIfUnread() {
			c.pool.remove(conn)
			return nil, true, notSent(address, err)
		}
		return nil, false, r.classifyError(err)
	}
	if err := r.acceptResponse(response); err != nil {
		r.Close()
		return nil, false, err
	}
	return r, false, nil
}

// authority is a placeholder host name: peers are identified by certificate fingerprint, not by name.
const authority = "peer"

func newRequest(ctx context.Context, path string, body io.ReadCloser, size int) *http.Request {
	request := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "https", Host: authority, Path: path},
		Host:   authority,
		// An empty value keeps the library from adding its own User-Agent, whose bytes would be sent with every ping.
		Header:        http.Header{"User-Agent": {""}},
		Body:          body,
		ContentLength: int64(size),
	}
	return request.WithContext(ctx)
}

// singleUseBody is a request body that can be read once and records whether reading has begun. The peer's
// handler runs only after receiving the whole body, so an unread body proves that the handler did not run.
type singleUseBody struct {
	mu        sync.Mutex // guards the fields below
	remaining []byte
	started   bool
	closed    bool
}

// errBodyClosed fails a transport that starts to read the body after the request was abandoned.
var errBodyClosed = eris.New("request given up before its body was read")

func (b *singleUseBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, errBodyClosed
	}
	b.started = true
	if len(b.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.remaining)
	b.remaining = b.remaining[n:]
	return n, nil
}

func (b *singleUseBody) Close() error { return nil }

// closeIfUnread closes the body if reading has not begun, and reports whether it did so.
func (b *singleUseBody) closeIfUnread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = !b.started
	return b.closed
}

// Receiver reads the response to a Stream. It must be closed. Next must not be called concurrently; Close may
// be called from any goroutine.
type Receiver struct {
	ctx     context.Context
	pool    *pool
	conn    *connection
	release func()
	body    io.Closer
	limited *limitedReader
	decoder *cbor.Decoder
}

func newReceiver(ctx context.Context, p *pool, conn *connection) *Receiver {
	return &Receiver{ctx: ctx, pool: p, conn: conn, release: sync.OnceFunc(func() { p.release(conn) })}
}

func (r *Receiver) acceptResponse(response *http.Response) error {
	r.pool.markAnswered(r.conn)
	r.body = response.Body
	if response.StatusCode != http.StatusOK {
		return r.rejectionError(response)
	}
	r.limited = &limitedReader{in: response.Body}
	r.decoder = decMode.NewDecoder(r.limited)
	return nil
}

func (r *Receiver) classifyError(err error) error {
	address := r.conn.address
	if r.ctx.Err() != nil {
		return interrupted(address, context.Cause(r.ctx))
	}
	if rejectedBeforeHandler(err) {
		return notSent(address, err)
	}
	if handshakeRejected(err) && !r.pool.hasAnswered(r.conn) {
		return notSent(address, fmt.Errorf("%w: %w", ErrUntrusted, err))
	}
	return interrupted(address, err)
}

func (r *Receiver) rejectionError(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorTextSize))
	if response.StatusCode == statusUnread {
		return notSent(r.conn.address, fmt.Errorf("%w: %s", errUnread, text))
	}
	if err != nil {
		return r.classifyError(err)
	}
	return fmt.Errorf("%w: %s: %d: %s", ErrRejected, r.conn.address, response.StatusCode, text)
}

// Next decodes the next item into v. After the last item it returns io.EOF if the peer's handler succeeded, and
// ErrInterrupted otherwise.
func (r *Receiver) Next(v any) error {
	r.limited.left = MaxMessageBytes
	err := r.decoder.Decode(v)
	if err == nil || err == io.EOF {
		return err
	}
	return r.classifyError(err)
}

// Close ends the call. If the peer's handler is still running, its context is cancelled.
func (r *Receiver) Close() {
	if r.body != nil {
		_ = r.body.Close()
	}
	r.release()
}

// limitedReader fails once a single item exceeds MaxMessageBytes.
type limitedReader struct {
	in   io.Reader
	left int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := l.in.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
