package loopback

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Faults is what a Proxy does to what passes it.
type Faults struct {
	// Delay holds each piece up, both ways.
	Delay time.Duration
	// StallAll lets nothing pass, in connections that are open and in new ones, without a sign to either side.
	StallAll bool
	// StallResponses lets nothing pass back to whoever connected.
	StallResponses bool
	// Refuse ends new connections at once.
	Refuse bool
}

// Proxy passes TCP connections on to one address, and spoils them. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex // guards what follows; a leaf lock
	weather Faults
	open    map[*net.TCPConn]bool
}

// NewProxy listens at address, IP:port, and passes connections on to target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	p := &Proxy{listener: listener, target: target, open: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

// Address is where it listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFaults changes the weather, also for open connections.
func (p *Proxy) SetFaults(weather Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weather = weather
}

// Reset resets the connections that are open.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		reset(conn)
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.Reset()
	return err
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func (p *Proxy) accept() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		conn, ok := accepted.(*net.TCPConn)
		if !ok {
			continue
		}
		go p.pass(conn)
	}
}

func (p *Proxy) pass(conn *net.TCPConn) {
	if p.now().Refuse {
		reset(conn)
		return
	}
	dialled, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(conn) // as the target itself would
		return
	}
	onward, ok := dialled.(*net.TCPConn)
	if !ok {
		reset(conn)
		return
	}
	p.hold(conn, onward)
	defer p.release(conn, onward)
	var both sync.WaitGroup
	both.Go(func() { p.copy(onward, conn, func(w Faults) bool { return w.StallAll }) })
	both.Go(func() { p.copy(conn, onward, func(w Faults) bool { return w.StallAll || w.StallResponses }) })
	both.Wait()
}

func (p *Proxy) hold(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.open[conn] = true
	}
}

func (p *Proxy) release(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.open, conn)
		_ = conn.Close()
	}
}

func (p *Proxy) now() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.weather
}

const (
	pieceBytes = 16 << 10
	// heldLook is how often a connection through which nothing passes looks at the weather.
	heldLook = 20 * time.Millisecond
)

// copy passes pieces on until either side ends. An end is passed on as it came: a reset as a reset, else as an end of what is sent.
func (p *Proxy) copy(to, from *net.TCPConn, held func(Faults) bool) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		weather := p.now()
		for held(weather) && p.holds(from) {
			time.Sleep(heldLook)
			weather = p.now()
		}
		time.Sleep(weather.Delay)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.end(to, err)
			return
		}
	}
}

func (p *Proxy) holds(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[conn]
}

func (p *Proxy) end(to *net.TCPConn, err error) {
	var reason net.Error
	if eris.As(err, &reason) {
		reset(to)
		return
	}
	_ = to.CloseWrite()
}
