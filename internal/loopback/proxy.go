package loopback

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Faults are the network faults that a Proxy injects.
type Faults struct {
	// Delay delays each chunk of data, in both directions.
	Delay time.Duration
	// StallAll holds back all data, on open and new connections, without closing them, until the fault ends.
	StallAll bool
	// StallResponses holds back all data from the target to the client until the fault ends.
	StallResponses bool
	// Refuse resets new connections immediately.
	Refuse bool
}

// Proxy forwards TCP connections to one address and injects faults. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex // guards the fields below; a leaf lock
	faults Faults
	// sourceFaults replace faults for connections from some IP addresses.
	sourceFaults map[string]Faults
	open         map[*net.TCPConn]bool
}

// NewProxy listens at address (IP:port) and forwards connections to target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	p := &Proxy{listener: listener, target: target, sourceFaults: make(map[string]Faults), open: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the injected faults, also for open connections.
func (p *Proxy) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// SetSourceFaults injects faults into the connections from one IP address, in place of those of SetFaults.
func (p *Proxy) SetSourceFaults(source string, faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sourceFaults[source] = faults
}

// ClearSourceFaults ends the effect of SetSourceFaults for one IP address.
func (p *Proxy) ClearSourceFaults(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sourceFaults, source)
}

// ResetSource resets the open connections from one IP address.
func (p *Proxy) ResetSource(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		if sourceOf(conn) == source {
			reset(conn)
		}
	}
}

func sourceOf(conn *net.TCPConn) string {
	if remote, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return remote.IP.String()
	}
	return ""
}

// Reset resets the connections that are open.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		reset(conn)
	}
}

// Close stops the proxy and resets its connections.
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
		go p.forward(conn)
	}
}

func (p *Proxy) forward(conn *net.TCPConn) {
	source := sourceOf(conn)
	if p.currentFaults(source).Refuse {
		reset(conn)
		return
	}
	// The target sees the client's address, as it would without the proxy.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	dialled, err := dialer.Dial("tcp", p.target)
	if err != nil {
		reset(conn) // as the target itself would refuse it
		return
	}
	targetConn, ok := dialled.(*net.TCPConn)
	if !ok {
		reset(conn)
		return
	}
	p.track(conn, targetConn)
	defer p.closeAll(conn, targetConn)
	var both sync.WaitGroup
	both.Go(func() { p.copy(targetConn, conn, source, func(w Faults) bool { return w.StallAll }) })
	both.Go(func() {
		p.copy(conn, targetConn, source, func(w Faults) bool { return w.StallAll || w.StallResponses })
	})
	both.Wait()
}

func (p *Proxy) track(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.open[conn] = true
	}
}

func (p *Proxy) closeAll(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.open, conn)
		_ = conn.Close()
	}
}

func (p *Proxy) currentFaults(source string) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults, ok := p.sourceFaults[source]; ok {
		return faults
	}
	return p.faults
}

const (
	bufferBytes = 16 << 10
	// blockedPoll is how often a stalled connection checks whether the fault has ended.
	blockedPoll = 20 * time.Millisecond
)

// copy forwards data of a client at source until either side closes the connection. A reset is forwarded as a reset, any other end as a close of the sending
// direction.
func (p *Proxy) copy(to, from *net.TCPConn, source string, blocked func(Faults) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		faults := p.currentFaults(source)
		for blocked(faults) && p.isOpen(from) {
			time.Sleep(blockedPoll)
			faults = p.currentFaults(source)
		}
		time.Sleep(faults.Delay)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.propagateClose(to, err)
			return
		}
	}
}

func (p *Proxy) isOpen(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[conn]
}

func (p *Proxy) propagateClose(to *net.TCPConn, err error) {
	var reason net.Error
	if eris.As(err, &reason) {
		reset(to)
		return
	}
	_ = to.CloseWrite()
}
