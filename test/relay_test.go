package test

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
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

// cutOff breaks what passes a proxy and refuses what is new, or mends it.
func cutOff(proxy *loopback.Proxy, cut bool) {
	proxy.SetFaults(loopback.Faults{Refuse: cut})
	if cut {
		proxy.Reset()
	}
}
