package leader_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/peer"
)

func TestLeader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Link to the leader")
}

// recordingHandler records followers and their messages.
type recordingHandler struct {
	mu        sync.Mutex
	followers map[string]*leader.Follower
	received  []leader.Up
	left      []string
}

func (h *recordingHandler) Joined(follower *leader.Follower, _ leader.Hello) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.followers[follower.Entry] = follower
}

func (h *recordingHandler) Received(_ *leader.Follower, message leader.Up) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = append(h.received, message)
}

func (h *recordingHandler) Left(follower *leader.Follower) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left = append(h.left, follower.Entry)
}

func (h *recordingHandler) joined() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.followers)
}

func (h *recordingHandler) departed() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.left...)
}

func (h *recordingHandler) messages() []leader.Up {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]leader.Up(nil), h.received...)
}

const waitFor = "10s"

var _ = Describe("Link", func() {
	var (
		h        *recordingHandler
		ctx      context.Context
		address  string
		identity *peer.Identity
		socket   net.PacketConn
	)
	BeforeEach(func() {
		h = &recordingHandler{followers: make(map[string]*leader.Follower)}
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		var err error
		identity, err = peer.NewIdentity("leader")
		Expect(err).NotTo(HaveOccurred())
		socket, err = net.ListenPacket("udp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = socket.LocalAddr().String()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = leader.NewServer(identity, "token", h).Serve(ctx, socket)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
			_ = socket.Close()
		})
	})

	dial := func(name, token, fingerprint string) (*leader.Link, error) {
		own, err := peer.NewIdentity(name)
		Expect(err).NotTo(HaveOccurred())
		return leader.Dial(ctx, own, net.IPv4(127, 0, 0, 1), address, fingerprint, leader.Hello{Entry: name, Token: token})
	}

	It("carries messages in both directions, and shared messages unchanged", func() {
		received := make(chan leader.Down, 10)
		for _, name := range []string{"a", "b"} {
			link, err := dial(name, "token", identity.Fingerprint())
			Expect(err).NotTo(HaveOccurred())
			go func() { _ = link.Receive(func(down leader.Down) { received <- down }) }()
			link.Send(leader.Up{TurnRequest: &leader.TurnRequest{Key: 7, Service: "s", Model: "m", MaxWaitMs: 200, Retry: true}})
		}
		Eventually(h.joined, waitFor).Should(Equal(2))
		Eventually(h.messages, waitFor).Should(HaveLen(2))
		Expect(*h.messages()[0].TurnRequest).To(Equal(leader.TurnRequest{Key: 7, Service: "s", Model: "m", MaxWaitMs: 200, Retry: true}))
		down := leader.Down{ChangeSet: &leader.ChangeSet{Kind: "servers", From: 3, To: 5, Changes: []leader.Change{
			{Removal: &leader.Removal{Server: "i-1", Version: 5}}, {Server: &backend.Server{ID: "i-2", Service: "s", Address: "10.0.0.1:1", Revision: 4}},
		}}}
		shared := &leader.Shared{Down: down}
		for _, follower := range h.followers {
			follower.SendShared(shared)
		}
		for range 2 {
			Eventually(received, waitFor).Should(Receive(Equal(down)))
		}
		h.followers["a"].Send(leader.Down{Grant: &leader.Grant{Key: 7, Head: "i-1"}})
		Eventually(received, waitFor).Should(Receive(HaveField("Grant.Head", BeEquivalentTo("i-1"))))
	})

	// A configuration, or the changes of a whole fabric domain, are sent to hundreds of followers. Uncompressed, they
	// would fill the leader's link, and its links to followers would time out.
	It("compresses long messages", func() {
		received := make(chan leader.Down, 1)
		link, err := dial("a", "token", identity.Fingerprint())
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = link.Receive(func(down leader.Down) { received <- down }) }()
		Eventually(h.joined, waitFor).Should(Equal(1))
		changes := make([]leader.Change, 0, 200)
		for i := range 200 {
			changes = append(changes, leader.Change{Server: &backend.Server{
				ID: backend.ID(fmt.Sprintf("i-%d", i)), Service: "model-service", Address: fmt.Sprintf("10.0.0.%d:8080", i), Slots: 26, Model: "model",
				Group: backend.Membership{GroupKey: backend.GroupKey{Name: "the group", Epoch: 7}, Rank: i, State: backend.GroupReady}, Revision: 5,
			}})
		}
		down := leader.Down{ChangeSet: &leader.ChangeSet{Kind: "servers", From: 3, To: 5, Changes: changes}}
		shared := &leader.Shared{Down: down}
		Expect(shared.Size()).To(BeNumerically("<", 200*30))
		h.followers["a"].SendShared(shared)
		Eventually(received, waitFor).Should(Receive(Equal(down)))
	})

	// An unrelated process reaches the port. If it were accepted, it could take turns and distribute configurations.
	It("rejects followers without the lease's token", func() {
		link, err := dial("stranger", "guess", identity.Fingerprint())
		Expect(err).NotTo(HaveOccurred())
		Expect(link.Receive(func(leader.Down) {})).NotTo(Succeed())
		Expect(h.joined()).To(BeZero())
	})

	// Another process has taken over the leader's address. Its messages must not be accepted as the leader's.
	It("trusts only the certificate in the lease", func() {
		_, err := dial("a", "token", "0000")
		Expect(err).To(HaveOccurred())
		Expect(h.joined()).To(BeZero())
	})

	// The leader's VM loses power. The only sign is that nothing is received any more.
	It("distinguishes an idle timeout from a link closed by the leader", func() {
		silent, err := dial("a", "token", identity.Fingerprint())
		Expect(err).NotTo(HaveOccurred())
		ended, err := dial("b", "token", identity.Fingerprint())
		Expect(err).NotTo(HaveOccurred())
		Eventually(h.joined, waitFor).Should(Equal(2))
		h.followers["b"].Close("over")
		Expect(leader.IsIdleTimeout(ended.Receive(func(leader.Down) {}))).To(BeFalse())
		Expect(socket.Close()).To(Succeed())
		Expect(leader.IsIdleTimeout(silent.Receive(func(leader.Down) {}))).To(BeTrue())
	})

	It("reports a follower that has left", func() {
		link, err := dial("a", "token", identity.Fingerprint())
		Expect(err).NotTo(HaveOccurred())
		Eventually(h.joined, waitFor).Should(Equal(1))
		link.Close("over")
		Eventually(h.departed, waitFor).Should(Equal([]string{"a"}))
	})
})
