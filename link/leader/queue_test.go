package leader_test

import (
	"context"
	"crypto/rand"
	"net"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

var _ = Describe("A link whose follower reads slowly", func() {
	// heapBytes returns how much memory is in use.
	heapBytes := func() int {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int(stats.HeapAlloc)
	}
	// configuration returns a version that can't be compressed, as large as the platform stores.
	configuration := func(version platform.Version) *leader.Shared {
		value := make([]byte, platform.MaxValueBytes)
		_, err := rand.Read(value)
		Expect(err).NotTo(HaveOccurred())
		return &leader.Shared{Down: leader.Down{ChangeSet: &leader.ChangeSet{Kind: "config", From: version - 1, To: version, Changes: []leader.Change{
			{Object: &platform.Object{Kind: "config", Name: "main", Version: version, Value: value}},
		}}}}
	}

	// Guards against a leader that runs out of memory because large configurations wait for followers that don't read them.
	It("holds a bounded number of bytes, and is closed beyond", func() {
		h := &recordingHandler{followers: make(map[string]*leader.Follower)}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		identity, err := peer.NewIdentity("leader")
		Expect(err).NotTo(HaveOccurred())
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		go func() { _ = leader.NewServer(identity, "token", h).Serve(ctx, socket) }()
		for _, name := range []string{"a", "b", "c", "d"} {
			own, err := peer.NewIdentity(name)
			Expect(err).NotTo(HaveOccurred())
			_, err = leader.Dial(ctx, own, net.IPv4(127, 0, 0, 1), socket.LocalAddr().String(), identity.Fingerprint(), leader.Hello{Entry: name, Token: "token"})
			Expect(err).NotTo(HaveOccurred()) // it is never read from
		}
		Eventually(h.joined, waitFor).Should(Equal(4))
		before := heapBytes()
		for version := range platform.Version(40) {
			shared := configuration(version + 1)
			for _, follower := range h.followers {
				follower.SendShared(shared)
			}
			time.Sleep(20 * time.Millisecond)
		}
		Expect(heapBytes() - before).To(BeNumerically("<", 32<<20))
		Eventually(h.departed, waitFor).Should(ConsistOf("a", "b", "c", "d"))
	})
})
