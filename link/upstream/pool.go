package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Pool sends requests and keeps connections. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex // guards idle; not held over I/O
	idle map[Endpoint][]*conn
	// dialled counts new connections.
	dialled atomic.Int64
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[Endpoint][]*conn)} }

// DialCount returns how many connections were made.
func (p *Pool) DialCount() int64 { return p.dialled.Load() }

// Response is the answer to one request. Its Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   *Body
	// Length is that of the body, or -1 where it is not told.
	Length int64
}

// Body is the body of an answer. One goroutine uses it. Reading it to its end gives the connection back; closing it before that
// ends the connection, by which the server learns that nobody waits.
type Body struct {
	answer *http.Response
	conn   *conn
	pool   *Pool
	to     Endpoint
	stop   func() bool
	// over says that the connection was given back or closed. It is used by the reader alone.
	over bool
}

// Send sends the request once and returns the head of its answer. Ending ctx ends the connection.
func (p *Pool) Send(ctx context.Context, to Endpoint, request *Request) (*Response, error) {
	c, err := p.take(ctx, to)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "%s at %s: %v", to.ID, to.Address, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer, err := c.exchange(request)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, eris.Wrapf(ErrOutcomeUnknown, "%s at %s: %v", to.ID, to.Address, err)
	}
	c.keep = keepFor(answer.Header)
	body := &Body{answer: answer, conn: c, pool: p, to: to, stop: stop}
	return &Response{Status: answer.StatusCode, Header: answer.Header, Body: body, Length: answer.ContentLength}, nil
}

func (c *conn) exchange(request *Request) (*http.Response, error) {
	if err := c.write(request); err != nil {
		return nil, err
	}
	return c.read(request)
}

// Read implements io.Reader. An end before the promised length is io.ErrUnexpectedEOF.
func (b *Body) Read(buffer []byte) (int, error) {
	n, err := b.answer.Body.Read(buffer)
	if err == io.EOF {
		b.release(b.conn.reusable(b.answer))
	}
	return n, err
}

// Close ends the connection unless the body was read to its end.
func (b *Body) Close() error {
	b.release(false)
	return nil
}

func (b *Body) release(reusable bool) {
	if b.over {
		return
	}
	b.over = true
	stopped := b.stop()
	if !reusable || !stopped {
		_ = b.conn.Close()
		return
	}
	b.pool.put(b.to, b.conn)
}

// take returns a kept connection that is quiet, or a new one.
func (p *Pool) take(ctx context.Context, to Endpoint) (*conn, error) {
	for {
		kept := p.pop(to)
		if kept == nil {
			break
		}
		if time.Since(kept.idleSince) < kept.keep && kept.quiet() {
			return kept, nil
		}
		_ = kept.Close()
	}
	p.dialled.Add(1)
	return dial(ctx, to.Address)
}

func (p *Pool) pop(to Endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[to]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	p.idle[to] = kept[:len(kept)-1]
	return last
}

func (p *Pool) put(to Endpoint, c *conn) {
	c.idleSince = time.Now()
	c.writing = nil
	if c.SetDeadline(time.Time{}) != nil || c.keep <= 0 || !p.push(to, c) {
		_ = c.Close()
	}
}

func (p *Pool) push(to Endpoint, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[to]) >= keptPerServer {
		return false
	}
	p.idle[to] = append(p.idle[to], c)
	return true
}

// CloseStale closes connections that were idle for too long, and those to endpoints that are no longer known.
func (p *Pool) CloseStale(known func(Endpoint) bool) {
	for _, c := range p.expired(known) {
		_ = c.Close()
	}
}

func (p *Pool) expired(known func(Endpoint) bool) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*conn
	for to, kept := range p.idle {
		var live []*conn
		for _, c := range kept {
			if known(to) && time.Since(c.idleSince) < c.keep {
				live = append(live, c)
				continue
			}
			expired = append(expired, c)
		}
		p.idle[to] = live
		if len(live) == 0 {
			delete(p.idle, to)
		}
	}
	return expired
}
