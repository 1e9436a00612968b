package test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// cuts says which links are cut: from a source IP to an entry, one way. Packets that an entry sends back
// on a connection pass the relay of that connection, so cutting both ways means cutting both pairs.
type cuts struct {
	mu  sync.Mutex // guards cut
	cut map[link]bool
}

type link struct{ from, to string }

func (c *cuts) set(from, to string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[link{from, to}] = cut
}

func (c *cuts) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[link{from, to}]
}

// udpRelay stands before the peer address of an entry. Other entries reach it only through here, and
// are known by their source address.
type udpRelay struct {
	name   string
	cuts   *cuts
	outer  *net.UDPConn
	target *net.UDPAddr
	flows  map[netip.AddrPort]*net.UDPConn // used by forward alone
	bytes  *atomic.Int64                   // all that passed, both ways
}

// startUDPRelay relays from outer to target for the entry name; names gives the entry of a source IP.
func startUDPRelay(cuts *cuts, name, outer, target string, names func(ip string) string, bytes *atomic.Int64) {
	GinkgoHelper()
	outerAddress, err := net.ResolveUDPAddr("udp", outer)
	Expect(err).NotTo(HaveOccurred())
	targetAddress, err := net.ResolveUDPAddr("udp", target)
	Expect(err).NotTo(HaveOccurred())
	conn, err := net.ListenUDP("udp", outerAddress)
	Expect(err).NotTo(HaveOccurred())
	r := &udpRelay{name: name, cuts: cuts, outer: conn, target: targetAddress, flows: make(map[netip.AddrPort]*net.UDPConn), bytes: bytes}
	DeferCleanup(conn.Close)
	go r.forward(names)
}

const packetBytes = 64 << 10

func (r *udpRelay) forward(names func(ip string) string) {
	buffer := make([]byte, packetBytes)
	for {
		n, from, err := r.outer.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		peer := names(from.Addr().Unmap().String())
		if r.cuts.isCut(peer, r.name) {
			continue
		}
		flow, err := r.flow(from, peer)
		if err != nil {
			continue
		}
		r.bytes.Add(int64(n))
		_, _ = flow.Write(buffer[:n])
	}
}

func (r *udpRelay) flow(from netip.AddrPort, peer string) (*net.UDPConn, error) {
	if flow := r.flows[from]; flow != nil {
		return flow, nil
	}
	flow, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil, err
	}
	r.flows[from] = flow
	go r.back(flow, from, peer)
	return flow, nil
}

func (r *udpRelay) back(flow *net.UDPConn, to netip.AddrPort, peer string) {
	defer flow.Close()
	buffer := make([]byte, packetBytes)
	for {
		n, err := flow.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // nobody listens there now; an entry that starts again gets what comes later
		}
		if r.cuts.isCut(r.name, peer) {
			continue
		}
		r.bytes.Add(int64(n))
		if _, err := r.outer.WriteToUDPAddrPort(buffer[:n], to); err != nil {
			return
		}
	}
}

// tcpRelay stands between one entry and the platform. A cut breaks what is open and refuses what is new.
type tcpRelay struct {
	target string

	mu    sync.Mutex // guards what follows
	cut   bool
	conns map[net.Conn]bool
}

func startTCPRelay(address, target string) *tcpRelay {
	GinkgoHelper()
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	r := &tcpRelay{target: target, conns: make(map[net.Conn]bool)}
	go r.accept(listener)
	return r
}

func (r *tcpRelay) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.pass(conn)
	}
}

func (r *tcpRelay) pass(conn net.Conn) {
	defer conn.Close()
	if !r.hold(conn, true) {
		return
	}
	defer r.hold(conn, false)
	onward, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer onward.Close()
	go func() {
		_, _ = io.Copy(onward, conn)
		_ = onward.Close()
	}()
	_, _ = io.Copy(conn, onward)
}

func (r *tcpRelay) hold(conn net.Conn, held bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held && r.cut {
		return false
	}
	r.conns[conn] = held
	return true
}

func (r *tcpRelay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		return
	}
	for conn, open := range r.conns {
		if open {
			_ = conn.Close()
		}
	}
}
