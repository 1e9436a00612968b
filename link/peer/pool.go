package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"
)

// errClosed is the cause when the client was closed.
var errClosed = eris.New("client closed")

// pool keeps one connection per peer address.
type pool struct {
	tls  *tls.Config
	http http3.Transport
	// source is the local address of all connections; nil lets the system choose.
	source net.IP

	mu        sync.Mutex // guards what follows; a leaf lock, not held while dialling
	conns     map[string]*connection
	transport *quic.Transport
	closed    bool
}

// connection is a connection that is being dialled, or open, or over.
type connection struct {
	address string
	dialled chan struct{} // closed when quic, h3 and err are set
	quic    *quic.Conn
	h3      *http3.ClientConn
	err     error

	// guarded by pool.mu
	active int
	unused *time.Timer
	// answered is set by the first answer: it proves that the peer accepted our certificate.
	answered bool
}

func newPool(config *tls.Config, source net.IP) *pool {
	config = config.Clone()
	config.NextProtos = []string{http3.NextProtoH3}
	return &pool{
		tls:    config,
		source: source,
		http:   http3.Transport{DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes},
		conns:  make(map[string]*connection),
	}
}

// acquire returns an open connection to address; release must follow. Callers that come while it is
// being dialled wait for the same dial, which outlives each of them.
func (p *pool) acquire(ctx context.Context, address string) (*connection, error) {
	c, err := p.take(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-c.dialled:
		err = c.err
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if err != nil {
		p.release(c)
		return nil, err
	}
	return c, nil
}

func (p *pool) take(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	c := p.conns[address]
	if c == nil || c.over() {
		c = &connection{address: address, dialled: make(chan struct{})}
		p.conns[address] = c
		go p.dial(c)
	}
	c.active++
	if c.unused != nil {
		c.unused.Stop()
		c.unused = nil
	}
	return c, nil
}

func (c *connection) over() bool {
	select {
	case <-c.dialled:
		return c.err != nil || c.quic.Context().Err() != nil
	default:
		return false
	}
}

func (p *pool) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.active--
	if c.active == 0 {
		c.unused = time.AfterFunc(unusedTimeout, func() { p.closeUnused(c) })
	}
}

func (p *pool) closeUnused(c *connection) {
	p.mu.Lock()
	if c.active > 0 {
		p.mu.Unlock()
		return
	}
	p.forget(c)
	p.mu.Unlock()
	c.close()
}

// forget must be called with mu held.
func (p *pool) forget(c *connection) {
	if p.conns[c.address] == c {
		delete(p.conns, c.address)
	}
}

func (p *pool) dial(c *connection) {
	defer close(c.dialled)
	transport, err := p.socket()
	if err != nil {
		c.err = err
		return
	}
	address, err := netip.ParseAddrPort(c.address)
	if err != nil {
		c.err = err
		return
	}
	// Dial returns after the handshake: no byte of a request travels as early data.
	c.quic, c.err = transport.Dial(context.Background(), net.UDPAddrFromAddrPort(address), p.tls, quicConfig())
	if c.err == nil {
		c.h3 = p.http.NewClientConn(c.quic)
	}
}

// socket returns the one UDP socket of all outgoing connections.
func (p *pool) socket() (*quic.Transport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	if p.transport != nil {
		return p.transport, nil
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: p.source})
	if err != nil {
		return nil, err
	}
	p.transport = &quic.Transport{Conn: conn}
	return p.transport, nil
}

func (p *pool) markAnswered(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.answered = true
}

func (p *pool) wasAnswered(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.answered
}

// drop closes the connection to address, if any.
func (p *pool) drop(address string) {
	p.mu.Lock()
	c := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// discard forgets c so that the next call dials anew. Streams that are open on it go on.
func (p *pool) discard(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
}

func (c *connection) close() {
	<-c.dialled
	if c.quic != nil {
		_ = c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	transport := p.transport
	for _, c := range p.conns {
		if c.unused != nil {
			c.unused.Stop()
		}
	}
	clear(p.conns)
	p.mu.Unlock()
	if transport != nil {
		_ = transport.Close()
		_ = transport.Conn.Close()
	}
}
