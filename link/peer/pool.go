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

// errClosed is returned by calls on a closed client.
var errClosed = eris.New("client closed")

// pool maintains one connection per peer address.
type pool struct {
	tls  *tls.Config
	http http3.Transport
	// source is the local address of all connections. If it is nil, the system chooses one.
	source net.IP

	mu        sync.Mutex // guards the fields below; a leaf lock, not held while dialing
	conns     map[string]*connection
	transport *quic.Transport
	closed    bool
}

// connection is a connection that is being dialed, open or closed.
type connection struct {
	address string
	dialled chan struct{} // closed when quic, h3 and err are set
	quic    *quic.Conn
	h3      *http3.ClientConn
	err     error

	// Guarded by pool.mu.
	active      int
	unusedTimer *time.Timer
	// answered is set by the first response, which proves that the peer accepted our certificate.
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

// acquire returns an open connection to address. The caller must call release afterwards. Concurrent callers
// share one dial, which continues even if all of them give up.
func (p *pool) acquire(ctx context.Context, address string) (*connection, error) {
	c, err := p.getOrDial(address)
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

func (p *pool) getOrDial(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	c := p.conns[address]
	if c == nil || c.ended() {
		c = &connection{address: address, dialled: make(chan struct{})}
		p.conns[address] = c
		go p.dial(c)
	}
	c.active++
	if c.unusedTimer != nil {
		c.unusedTimer.Stop()
		c.unusedTimer = nil
	}
	return c, nil
}

func (c *connection) ended() bool {
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
		c.unusedTimer = time.AfterFunc(unusedTimeout, func() { p.closeUnused(c) })
	}
}

func (p *pool) closeUnused(c *connection) {
	p.mu.Lock()
	if c.active > 0 {
		p.mu.Unlock()
		return
	}
	p.removeLocked(c)
	p.mu.Unlock()
	c.close()
}

// removeLocked removes c from the pool. The caller must hold mu.
func (p *pool) removeLocked(c *connection) {
	if p.conns[c.address] == c {
		delete(p.conns, c.address)
	}
}

func (p *pool) dial(c *connection) {
	defer close(c.dialled)
	transport, err := p.outgoingTransport()
	if err != nil {
		c.err = err
		return
	}
	address, err := netip.ParseAddrPort(c.address)
	if err != nil {
		c.err = err
		return
	}
	// Dial returns after the handshake, so no part of a request is sent as early data.
	c.quic, c.err = transport.Dial(context.Background(), net.UDPAddrFromAddrPort(address), p.tls, quicConfig())
	if c.err == nil {
		c.h3 = p.http.NewClientConn(c.quic)
	}
}

// outgoingTransport returns the transport of the single UDP socket that all outgoing connections share.
func (p *pool) outgoingTransport() (*quic.Transport, error) {
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

func (p *pool) hasAnswered(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.answered
}

// disconnect closes the connection to address, if any.
func (p *pool) disconnect(address string) {
	p.mu.Lock()
	c := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// remove removes c from the pool, so that the next call dials a new connection. Open streams on c continue.
func (p *pool) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeLocked(c)
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
		if c.unusedTimer != nil {
			c.unusedTimer.Stop()
		}
	}
	clear(p.conns)
	p.mu.Unlock()
	if transport != nil {
		_ = transport.Close()
		_ = transport.Conn.Close()
	}
}
