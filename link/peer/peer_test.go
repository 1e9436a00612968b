package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link/peer")
}

const patience = 30 * time.Second

// trustList is a Trust that tests change.
type trustList struct {
	mu    sync.Mutex
	names map[string]string
}

func (t *trustList) Trusted(fingerprint string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, ok := t.names[fingerprint]
	return name, ok
}

func (t *trustList) add(id *Identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.names[id.Fingerprint()] = id.Name()
}

func (t *trustList) remove(id *Identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.names, id.Fingerprint())
}

type echo struct {
	Text  string `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

// fixture is one server and one client that trust each other by trust.
type fixture struct {
	trust           *trustList
	clientID, srvID *Identity
	client          *Client
	server          *Server
	socket          *relay
	stop            context.CancelFunc
}

// relay is the server's socket; cut drops all packets in and out, as a frozen process or a dead path does.
type relay struct {
	net.PacketConn
	mu  sync.Mutex
	cut bool
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *relay) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := r.PacketConn.ReadFrom(p)
		if err != nil || !r.isCut() {
			return n, from, err
		}
	}
}

func (r *relay) WriteTo(p []byte, to net.Addr) (int, error) {
	if r.isCut() {
		return len(p), nil
	}
	return r.PacketConn.WriteTo(p, to)
}

func newFixture(register func(*Server)) *fixture {
	f := &fixture{trust: &trustList{names: map[string]string{}}}
	f.clientID = identity("entry-1")
	f.srvID = identity("entry-2")
	f.trust.add(f.clientID)
	f.trust.add(f.srvID)
	f.client = NewClient(f.clientID, f.trust, nil)
	f.server = NewServer(f.srvID, f.trust)
	register(f.server)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.socket = &relay{PacketConn: socket}
	f.serve()
	DeferCleanup(func() {
		f.client.Close()
		f.stop()
		_ = socket.Close()
	})
	return f
}

func (f *fixture) serve() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() { _ = f.server.Serve(ctx, f.socket) }()
}

// readAll returns the first error of a stream, be it before or after its items.
func (f *fixture) readAll(req echo) error {
	r, err := f.client.Stream(testContext(), f.address(), "/count", req)
	if err != nil {
		return err
	}
	defer r.Close()
	for err == nil {
		err = r.Next(new(echo))
	}
	return err
}

func (f *fixture) address() string { return f.socket.LocalAddr().String() }

func identity(name string) *Identity {
	id, err := NewIdentity(name)
	Expect(err).NotTo(HaveOccurred())
	return id
}

func testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	DeferCleanup(cancel)
	return ctx
}

func registerEcho(s *Server) {
	Handle(s, "/echo", func(_ context.Context, from string, req echo) (echo, error) {
		if req.Text == "fail" {
			return echo{}, eris.New("no such thing")
		}
		return echo{Text: from + ":" + req.Text, Count: req.Count + 1}, nil
	})
	HandleStream(s, "/count", func(ctx context.Context, _ string, req echo, send func(any) error) error {
		for i := range req.Count {
			if err := send(echo{Count: i}); err != nil {
				return err
			}
		}
		switch req.Text {
		case "break":
			return eris.New("lost the engine")
		case "wait":
			<-ctx.Done()
		}
		return nil
	})
}

var _ = Describe("a call", func() {
	It("hands over the caller's name and the whole answer, on one connection", func() {
		f := newFixture(registerEcho)
		for i := range 20 {
			var reply echo
			Expect(f.client.Call(testContext(), f.address(), "/echo", echo{Text: "a", Count: i}, &reply)).To(Succeed())
			Expect(reply).To(Equal(echo{Text: "entry-1:a", Count: i + 1}))
		}
		Expect(f.client.pool.conns).To(HaveLen(1))
	})

	It("tells a handler's error, an unknown path and a malformed body as rejected", func() {
		f := newFixture(registerEcho)
		err := f.client.Call(testContext(), f.address(), "/echo", echo{Text: "fail"}, nil)
		Expect(err).To(MatchError(ErrRejected))
		Expect(err).To(MatchError(ContainSubstring("no such thing")))
		Expect(f.client.Call(testContext(), f.address(), "/none", echo{}, nil)).To(MatchError(ErrRejected))
		Expect(f.client.Call(testContext(), f.address(), "/echo", "text", nil)).To(MatchError(ErrRejected))
	})

	It("does not send what is too large or to no address", func() {
		f := newFixture(registerEcho)
		err := f.client.Call(testContext(), f.address(), "/echo", make([]byte, MaxMessageBytes+1), nil)
		Expect(err).To(And(MatchError(ErrNotSent), MatchError(ErrTooLarge)))
		Expect(f.client.Call(testContext(), "nowhere", "/echo", echo{}, nil)).To(MatchError(ErrNotSent))
	})

	// An entry that the platform's list does not name, or no longer names, connects with a key of its
	// own. If it were let in, anybody on the network could dispatch requests. It is told that nothing
	// was taken, so that a new entry whose fingerprint has not spread yet can try again.
	It("is refused both ways without a known fingerprint, and nothing was taken", func() {
		taken := make(chan string, 10)
		f := newFixture(func(s *Server) {
			Handle(s, "/take", func(_ context.Context, from string, _ echo) (echo, error) {
				taken <- from
				return echo{}, nil
			})
		})
		f.trust.remove(f.clientID)
		err := f.client.Call(testContext(), f.address(), "/take", echo{}, nil)
		Expect(err).To(And(MatchError(ErrNotSent), MatchError(ErrUntrusted)))
		f.trust.add(f.clientID)
		f.trust.remove(f.srvID)
		Expect(f.client.Call(testContext(), f.address(), "/take", echo{}, nil)).To(MatchError(ErrNotSent))
		Expect(taken).To(BeEmpty())
		f.trust.add(f.srvID)
		Expect(f.client.Call(testContext(), f.address(), "/take", echo{}, nil)).To(Succeed())
		Expect(taken).To(Receive(Equal("entry-1")))
		f.trust.remove(f.clientID)
		Expect(f.client.Call(testContext(), f.address(), "/take", echo{}, nil)).To(MatchError(ErrRejected))
		Expect(taken).To(BeEmpty())
	})

	// The peer is frozen or its path is cut after it took a request. A second send would run the
	// request twice once the peer wakes; the caller must see "may have been taken" within seconds.
	It("is one send, and is broken once the peer falls silent", func() {
		taken := make(chan struct{}, 10)
		f := newFixture(func(s *Server) {
			registerEcho(s)
			Handle(s, "/take", func(ctx context.Context, _ string, _ echo) (echo, error) {
				taken <- struct{}{}
				<-ctx.Done()
				return echo{}, ctx.Err()
			})
		})
		result := make(chan error, 1)
		ctx := testContext()
		go func() { result <- f.client.Call(ctx, f.address(), "/take", echo{}, nil) }()
		Eventually(taken, patience).Should(Receive())
		f.socket.setCut(true)
		Eventually(result, patience).Should(Receive(MatchError(ErrInterrupted)))
		Expect(f.client.Call(ctx, f.address(), "/echo", echo{}, nil)).To(MatchError(ErrNotSent))
		f.socket.setCut(false)
		Eventually(func() error {
			return f.client.Call(ctx, f.address(), "/echo", echo{}, nil)
		}, patience).Should(Succeed())
		Expect(taken).To(BeEmpty())
	})

	It("breaks at once when the caller is told that the peer is dead", func() {
		f := newFixture(registerEcho)
		r, err := f.client.Stream(testContext(), f.address(), "/count", echo{Count: 1, Text: "wait"})
		Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		Expect(r.Next(new(echo))).To(Succeed())
		f.client.Disconnect(f.address())
		Expect(r.Next(new(echo))).To(MatchError(ErrInterrupted))
	})
})

var _ = Describe("a stream", func() {
	It("gives each item, then the end", func() {
		f := newFixture(registerEcho)
		r, err := f.client.Stream(testContext(), f.address(), "/count", echo{Count: 100})
		Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		for i := range 100 {
			var item echo
			Expect(r.Next(&item)).To(Succeed())
			Expect(item.Count).To(Equal(i))
		}
		Expect(r.Next(new(echo))).To(MatchError(io.EOF))
	})

	// A home loses its engine in the middle of an answer. If the stream just ended, the caller would
	// take half an answer for the whole one.
	It("never ends as if whole after an error", func() {
		f := newFixture(registerEcho)
		Expect(f.readAll(echo{Count: 2, Text: "break"})).To(MatchError(ErrInterrupted))
		_, err := f.client.Stream(testContext(), f.address(), "/count", echo{Text: "break"})
		Expect(err).To(MatchError(ErrRejected))
	})

	It("ends the handler's context when the caller goes, by context or by Close", func() {
		ended := make(chan struct{}, 10)
		f := newFixture(func(s *Server) {
			HandleStream(s, "/wait", func(ctx context.Context, _ string, _ echo, send func(any) error) error {
				err := send(echo{}) // fails if the caller closes before the item is written
				<-ctx.Done()
				ended <- struct{}{}
				return err
			})
		})
		ctx, cancel := context.WithCancel(testContext())
		r, err := f.client.Stream(ctx, f.address(), "/wait", echo{})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Next(new(echo))).To(Succeed())
		cancel()
		Expect(r.Next(new(echo))).To(And(MatchError(ErrInterrupted), MatchError(context.Canceled)))
		Eventually(ended, patience).Should(Receive())
		r.Close()

		r, err = f.client.Stream(testContext(), f.address(), "/wait", echo{})
		Expect(err).NotTo(HaveOccurred())
		r.Close()
		Eventually(ended, patience).Should(Receive())
	})

	// An entry stops while the last part of an answer is on its way. Closed at once, the connection drops
	// it, and the caller of a whole answer is told that it broke off.
	It("ends whole when the server stops, and refuses what comes after as not taken", func() {
		for range 3 {
			release := make(chan struct{})
			f := newFixture(func(s *Server) {
				HandleStream(s, "/release", func(_ context.Context, _ string, _ echo, send func(any) error) error {
					if err := send(echo{}); err != nil {
						return err
					}
					<-release
					return send(make([]byte, 100_000))
				})
			})
			r, err := f.client.Stream(testContext(), f.address(), "/release", echo{})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Next(new(echo))).To(Succeed())
			f.stop()
			close(release)
			var last []byte
			Expect(r.Next(&last)).To(Succeed())
			Expect(last).To(HaveLen(100_000))
			Expect(r.Next(new(echo))).To(MatchError(io.EOF))
			r.Close()
			Expect(f.client.Call(testContext(), f.address(), "/release", echo{}, nil)).To(MatchError(ErrNotSent))
		}
	})

	It("carries many at once on one connection", func() {
		f := newFixture(registerEcho)
		var wait sync.WaitGroup
		for range 200 {
			wait.Go(func() {
				defer GinkgoRecover()
				r, err := f.client.Stream(testContext(), f.address(), "/count", echo{Count: 1, Text: "wait"})
				Expect(err).NotTo(HaveOccurred())
				Expect(r.Next(new(echo))).To(Succeed())
				r.Close()
			})
		}
		wait.Wait()
		Expect(f.client.pool.conns).To(HaveLen(1))
	})
})
