package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/descriptors"
	"github.com/skylarkpond/skylarkpond/link/framing"
)

// Pool sends requests and reuses connections. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex // guards idle; not held over I/O
	idle map[Endpoint][]*conn
	// source is the local address of the connections; the system chooses it if it is nil.
	source net.IP
	// observe is called with each response; it may be nil.
	observe Observer
	// permit reports whether a server may be sent anything; nil permits all.
	permit func(Endpoint) bool
	// dialCount counts the connections dialed, refusedCount those that the other side refused or reset, and silentCount those that failed
	// otherwise, mostly because there was no response.
	dialCount, refusedCount, silentCount atomic.Int64
	opened                               descriptors.Counter
}

// Option configures a Pool.
type Option func(*Pool)

// WithSource makes connections originate from a local address.
func WithSource(source net.IP) Option { return func(p *Pool) { p.source = source } }

// Observer is called with the header of each response, also to requests of Ask, before the response is returned. It must not block.
type Observer func(endpoint Endpoint, status int, header http.Header)

// WithObserver makes the pool call an Observer.
func WithObserver(observe Observer) Option { return func(p *Pool) { p.observe = observe } }

// WithPermit makes the pool send nothing to the servers for which permit returns false. It must not block.
func WithPermit(permit func(Endpoint) bool) Option { return func(p *Pool) { p.permit = permit } }

// NewPool returns an empty pool.
func NewPool(options ...Option) *Pool {
	p := &Pool{idle: make(map[Endpoint][]*conn)}
	for _, option := range options {
		option(p)
	}
	return p
}

// DialCount returns how many connections the pool has dialed, successfully or not.
func (p *Pool) DialCount() int64 { return p.dialCount.Load() }

// OpenCount returns how many connections are open, idle ones included.
func (p *Pool) OpenCount() int { return p.opened.Open() }

// RefusedCount returns how many connections were refused or reset while they were dialed.
func (p *Pool) RefusedCount() int64 { return p.refusedCount.Load() }

// SilentCount returns how many connections could not be dialed for another reason, mostly because there was no response.
func (p *Pool) SilentCount() int64 { return p.silentCount.Load() }

// Response is the response to a request. Its Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   *Body
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// Framing is how the end of the body is marked. A body with framing.Closed that was cut off may end with io.EOF.
	Framing framing.Framing
}

// Body is the body of a response. It is not safe for concurrent use. Reading it to the end returns the
// connection to the pool. Closing it earlier closes the connection, which tells the server that the caller no
// longer waits.
type Body struct {
	response   *http.Response
	conn       *conn
	pool       *Pool
	endpoint   Endpoint
	stopCancel func() bool
	// released means that the connection was returned to the pool or closed.
	released bool
}

// Send sends the request once and returns the response after reading its header. If ctx ends, the connection
// is closed.
func (p *Pool) Send(ctx context.Context, endpoint Endpoint, request *Request) (*Response, error) {
	if !p.permits(endpoint) {
		return nil, eris.Wrapf(ErrNotPermitted, "%s at %s", endpoint.ID, endpoint.Address)
	}
	c, err := p.take(ctx, endpoint)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "%s at %s: %v", endpoint.ID, endpoint.Address, err)
	}
	if !p.permits(endpoint) || request.Permit != nil && !request.Permit() { // dialing may have taken a while
		p.put(endpoint, c)
		return nil, eris.Wrapf(ErrNotPermitted, "%s at %s", endpoint.ID, endpoint.Address)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, err := c.exchange(request)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, eris.Wrapf(ErrOutcomeUnknown, "%s at %s: %v", endpoint.ID, endpoint.Address, err)
	}
	p.heard(endpoint, response)
	c.idleTimeout = idleTimeoutOf(response.Header)
	body := &Body{response: response, conn: c, pool: p, endpoint: endpoint, stopCancel: stop}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Body: body, Length: response.ContentLength, Framing: framing.Of(response),
	}, nil
}

// maxAskedBytes bounds the body that Ask returns.
const maxAskedBytes = 64 << 10

// Ask sends a request on a new connection and returns the status and the beginning of the body of the response. It ends with ctx. Errors are those
// of the network; with an error in the body, the status is returned as well.
func (p *Pool) Ask(ctx context.Context, endpoint Endpoint, request *Request) (status int, body []byte, err error) {
	if !p.permits(endpoint) {
		return 0, nil, eris.Wrapf(ErrNotPermitted, "%s at %s", endpoint.ID, endpoint.Address)
	}
	c, err := p.dial(ctx, endpoint.Address)
	if err != nil {
		return 0, nil, eris.Wrapf(err, "%s at %s", endpoint.ID, endpoint.Address)
	}
	defer c.Close()
	if !p.permits(endpoint) {
		return 0, nil, eris.Wrapf(ErrNotPermitted, "%s at %s", endpoint.ID, endpoint.Address)
	}
	defer context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })()
	response, err := c.exchange(request)
	if err != nil {
		return 0, nil, eris.Wrapf(err, "%s at %s", endpoint.ID, endpoint.Address)
	}
	p.heard(endpoint, response)
	body, err = io.ReadAll(io.LimitReader(response.Body, maxAskedBytes))
	if err != nil {
		return response.StatusCode, nil, eris.Wrapf(err, "%s at %s", endpoint.ID, endpoint.Address)
	}
	return response.StatusCode, body, nil
}

func (p *Pool) permits(endpoint Endpoint) bool { return p.permit == nil || p.permit(endpoint) }

func (p *Pool) heard(endpoint Endpoint, response *http.Response) {
	if p.observe != nil {
		p.observe(endpoint, response.StatusCode, response.Header)
	}
}

func (c *conn) exchange(request *Request) (*http.Response, error) {
	if err := c.write(request); err != nil {
		return nil, err
	}
	response, err := c.read(request)
	if err == nil && framing.Of(response) == framing.Closed {
		response.Body = unframedBody{ReadCloser: response.Body, conn: c}
	}
	return response, err
}

// Read implements io.Reader. A body shorter than its announced length ends with io.ErrUnexpectedEOF.
func (b *Body) Read(buffer []byte) (int, error) {
	n, err := b.response.Body.Read(buffer)
	if err == io.EOF {
		b.release(b.conn.reusable(b.response))
	}
	return n, err
}

// Close closes the connection unless the body has been read to the end.
func (b *Body) Close() error {
	b.release(false)
	return nil
}

func (b *Body) release(reusable bool) {
	if b.released {
		return
	}
	b.released = true
	stopped := b.stopCancel()
	if !reusable || !stopped {
		_ = b.conn.Close()
		return
	}
	b.pool.put(b.endpoint, b.conn)
}

// take returns an idle connection that is still usable, or dials a new one.
func (p *Pool) take(ctx context.Context, endpoint Endpoint) (*conn, error) {
	for {
		candidate := p.pop(endpoint)
		if candidate == nil {
			break
		}
		if time.Since(candidate.idleSince) < candidate.idleTimeout && candidate.isIdle() {
			return candidate, nil
		}
		_ = candidate.Close()
	}
	return p.dial(ctx, endpoint.Address)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	p.dialCount.Add(1)
	c, err := dial(ctx, &p.opened, p.source, address)
	switch {
	case err == nil:
	case isRefusal(err):
		p.refusedCount.Add(1)
	case ctx.Err() == nil:
		p.silentCount.Add(1)
	}
	return c, err
}

func (p *Pool) pop(endpoint Endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[endpoint]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	p.idle[endpoint] = conns[:len(conns)-1]
	return last
}

func (p *Pool) put(endpoint Endpoint, c *conn) {
	c.idleSince = time.Now()
	c.bodyWritten = nil
	if c.SetDeadline(time.Time{}) != nil || c.idleTimeout <= 0 || !p.push(endpoint, c) {
		_ = c.Close()
	}
}

func (p *Pool) push(endpoint Endpoint, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[endpoint]) >= maxIdlePerServer {
		return false
	}
	p.idle[endpoint] = append(p.idle[endpoint], c)
	return true
}

// CloseStale closes connections that have exceeded their idle timeout and those to endpoints for which known
// returns false.
func (p *Pool) CloseStale(known func(Endpoint) bool) {
	for _, c := range p.expired(known) {
		_ = c.Close()
	}
}

func (p *Pool) expired(known func(Endpoint) bool) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*conn
	for endpoint, conns := range p.idle {
		var live []*conn
		for _, c := range conns {
			if known(endpoint) && time.Since(c.idleSince) < c.idleTimeout {
				live = append(live, c)
				continue
			}
			expired = append(expired, c)
		}
		p.idle[endpoint] = live
		if len(live) == 0 {
			delete(p.idle, endpoint)
		}
	}
	return expired
}
