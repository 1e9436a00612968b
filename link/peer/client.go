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

// NewClient returns a client that shows id to peers and accepts those that trust knows. Its connections
// come from source, or from an address that the system chooses if source is nil.
func NewClient(id *Identity, trust Trust, source net.IP) *Client {
	return &Client{pool: newPool(tlsConfig(id, trust), source)}
}

// Call sends request to path at address (IP:port) and decodes the answer into reply, which may be nil.
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
		return broken(address, io.ErrUnexpectedEOF)
	}
	if err != nil {
		return err
	}
	// Reading to the end ends the stream without a reset, which would be a packet more.
	if err := receiver.Next(new(cbor.RawMessage)); err != io.EOF {
		return broken(address, errExtraItem)
	}
	return nil
}

// errExtraItem: the answer to a Call is more than one item, or its end was lost.
var errExtraItem = eris.New("answer did not end after its item")

// Stream sends request to path at address and returns once the peer has begun to answer. Ending ctx
// ends the receiver and the peer's handler.
func (c *Client) Stream(ctx context.Context, address, path string, request any) (*Receiver, error) {
	body, err := cbor.Marshal(request)
	if err != nil {
		return nil, notSent(address, err)
	}
	if len(body) > MaxMessageBytes {
		return nil, notSent(address, ErrTooLarge)
	}
	r, unused, err := c.send(ctx, address, path, body)
	if unused && ctx.Err() == nil {
		// The kept connection had ended unnoticed, and no handler can have seen the body.
		r, _, err = c.send(ctx, address, path, body)
	}
	return r, err
}

// Disconnect closes the connection to address, so that calls in progress there break at once. Whoever
// learns that a peer is dead calls it, rather than let callers wait for the idle timeout.
func (c *Client) Disconnect(address string) { c.pool.drop(address) }

// Close ends all connections. Calls in progress break.
func (c *Client) Close() { c.pool.close() }

// send sends the request once. unused says that a connection was there, but no byte of the body was
// given to it, so that another connection may be tried.
func (c *Client) send(ctx context.Context, address, path string, body []byte) (r *Receiver, unused bool, err error) {
	conn, err := c.pool.acquire(ctx, address)
	if err != nil {
		return nil, false, notSent(address, err)
	}
	once := &onceBody{rest: body}
	response, err := conn.h3.RoundTrip(newRequest(ctx, path, once, len(body)))
	r = newReceiver(ctx, c.pool, conn)
	if err != nil {
		defer r.Close()
		if once.seal() {
			c.pool.discard(conn)
			return nil, true, notSent(address, err)
		}
		return nil, false, r.classify(err)
	}
	if err := r.accept(response); err != nil {
		r.Close()
		return nil, false, err
	}
	return r, false, nil
}

// authority stands where a host name would: peers are known by fingerprint, not by name.
const authority = "peer"

func newRequest(ctx context.Context, path string, body io.ReadCloser, size int) *http.Request {
	request := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "https", Host: authority, Path: path},
		Host:   authority,
		// An empty value keeps the library from adding its own: these bytes count on every ping.
		Header:        http.Header{"User-Agent": {""}},
		Body:          body,
		ContentLength: int64(size),
	}
	return request.WithContext(ctx)
}

// onceBody is a body that can be read once and knows whether that has begun. The peer's handler runs
// only with the whole body, so a body of which nothing was read proves that the request was not taken.
type onceBody struct {
	mu      sync.Mutex // guards what follows
	rest    []byte
	started bool
	sealed  bool
}

// errSealed stops a transport that begins to read the body after the request was given up.
var errSealed = eris.New("request given up before its body was read")

func (b *onceBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return 0, errSealed
	}
	b.started = true
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *onceBody) Close() error { return nil }

// seal reports whether nothing was read, and if so sees to it that nothing will be.
func (b *onceBody) seal() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = !b.started
	return b.sealed
}

// Receiver is the answer to a Stream. It must be closed. Next is called by one goroutine at a time,
// Close by any.
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

func (r *Receiver) accept(response *http.Response) error {
	r.pool.markAnswered(r.conn)
	r.body = response.Body
	if response.StatusCode != http.StatusOK {
		return r.rejected(response)
	}
	r.limited = &limitedReader{in: response.Body}
	r.decoder = decMode.NewDecoder(r.limited)
	return nil
}

func (r *Receiver) classify(err error) error {
	address := r.conn.address
	if r.ctx.Err() != nil {
		return broken(address, context.Cause(r.ctx))
	}
	if refusedUnseen(err) {
		return notSent(address, err)
	}
	if handshakeRefused(err) && !r.pool.wasAnswered(r.conn) {
		return notSent(address, fmt.Errorf("%w: %w", ErrUntrusted, err))
	}
	return broken(address, err)
}

func (r *Receiver) rejected(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorTextSize))
	if err != nil {
		return r.classify(err)
	}
	return fmt.Errorf("%w: %s: %d: %s", ErrRejected, r.conn.address, response.StatusCode, text)
}

// Next decodes the next item into v. It returns io.EOF after the last one, if the peer's handler ended
// without an error, else ErrInterrupted.
func (r *Receiver) Next(v any) error {
	r.limited.left = MaxMessageBytes
	err := r.decoder.Decode(v)
	if err == nil || err == io.EOF {
		return err
	}
	return r.classify(err)
}

// Close ends the call; the peer's handler, if it is still at work, has its context ended.
func (r *Receiver) Close() {
	if r.body != nil {
		_ = r.body.Close()
	}
	r.release()
}

// limitedReader fails once one item has taken more than MaxMessageBytes.
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
