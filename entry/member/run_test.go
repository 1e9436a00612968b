package member

import (
	"context"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

const pollTimeout = 60 * time.Second

// process is one entry on the loopback interface, over the real transport.
type process struct {
	*Members
	entry platform.Entry
	start func()
	stop  func()
}

func startProcess(name string, generation uint64) *process {
	p := newProcess(name, generation, func(s net.PacketConn) net.PacketConn { return s })
	p.start()
	DeferCleanup(p.stop)
	return p
}

// newProcess prepares an entry whose server uses the socket that wrap returns.
func newProcess(name string, generation uint64, wrap func(net.PacketConn) net.PacketConn) *process {
	id, err := peer.NewIdentity(name)
	Expect(err).NotTo(HaveOccurred())
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &process{entry: platform.Entry{
		Name: name, Incarnation: name + "-1", Fingerprint: id.Fingerprint(), PeerAddress: socket.LocalAddr().String(),
	}}
	p.Members = New(Config{Self: p.entry, Generation: generation})
	client := peer.NewClient(id, p, nil)
	pinger := NewPinger(client)
	server := peer.NewServer(id, p, nil)
	p.Register(server, pinger)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	p.start = func() {
		wait.Go(func() { _ = server.Serve(ctx, wrap(socket)) })
		wait.Go(func() { _ = p.Run(ctx, pinger) })
	}
	p.stop = sync.OnceFunc(func() {
		cancel()
		client.Close()
		wait.Wait()
		_ = socket.Close()
	})
	return p
}

var _ = Describe("membership over the network", func() {
	It("joins, carries small and large rumours, and drops an entry that stopped", func() {
		a, b, c := startProcess("a", 1), startProcess("b", 2), startProcess("c", 3)
		got := make(chan Rumour, 10)
		c.Handle("settings", func(r Rumour) { got <- r })
		// At first only a and b, and b and c, know each other.
		a.Upsert(b.entry, 2)
		b.Upsert(a.entry, 1)
		b.Upsert(c.entry, 3)
		c.Upsert(b.entry, 2)
		for _, p := range []*process{a, b, c} {
			Eventually(func() int { return len(p.Live()) }, pollTimeout).Should(Equal(3))
		}
		changed := a.Subscribe()
		a.Broadcast(Rumour{Topic: "settings", Name: "tree", Version: 7, Body: make([]byte, 300_000)})
		Eventually(got, pollTimeout).Should(Receive(HaveField("Body", HaveLen(300_000))))
		a.Broadcast(Rumour{Topic: "settings", Name: "tree", Version: 8, Body: []byte("small")})
		Eventually(got, pollTimeout).Should(Receive(HaveField("Version", uint64(8))))
		a.Broadcast(Rumour{Topic: "settings", Name: "tree", Version: 7, Body: []byte("old")})
		c.stop()
		Eventually(changed, pollTimeout).Should(Receive())
		Eventually(func() []string { return names(a.Live()) }, pollTimeout).Should(Equal([]string{"a", "b"}))
		b.Leave()
		Eventually(func() []string { return names(a.Live()) }, pollTimeout).Should(Equal([]string{"a"}))
		Expect(got).To(BeEmpty())
	})

	It("works alone when nobody else is known", func() {
		a := startProcess("a", 1)
		Eventually(func() []string { return names(a.Live()) }, pollTimeout).Should(Equal([]string{"a"}))
		Expect(a.Paused()).To(BeFalse())
	})
})

func names(peers []Peer) []string {
	var all []string
	for _, p := range peers {
		all = append(all, p.Name)
	}
	return all
}
