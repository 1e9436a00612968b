package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
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

const testTimeout = 30 * time.Second

// fakeTrust is a Trust that tests can modify.
type fakeTrust struct {
	mu    sync.Mutex
	names map[string]string
}

func (t *fakeTrust) Trusted(fingerprint string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, ok := t.names[fingerprint]
	return name, ok
}

func (t *fakeTrust) add(id *Identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.names[id.Fingerprint()] = id.Name()
}

func (t *fakeTrust) remove(id *Identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.names, id.Fingerprint())
}

type echo struct {
	Text  string `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

// fixture holds a client and a server that share one Trust.
type fixture struct {
	trust              *fakeTrust
	clientID, serverID *Identity
	client             *Client
	server             *Server
	socket             *droppingConn
	stop               context.CancelFunc
}

// droppingConn is the server's socket. While dropping is set, it drops all packets in both directions, like a
// frozen process or a broken network path.
type droppingConn struct {
	net.PacketConn
	mu       sync.Mutex
	dropping bool
}

func (c *droppingConn) setDropping(dropping bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropping = dropping
}

func (c *droppingConn) isDropping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropping
}

func (c *droppingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(p)
		if err != nil || !c.isDropping() {
			return n, from, err
		}
	}
}

func (c *droppingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	if c.isDropping() {
		return len(p), nil
	}
	return c.PacketConn.WriteTo(p, to)
}

func newFixture(register func(*Server)) *fixture {
	f := &fixture{trust: &fakeTrust{names: map[string]string{}}}
	f.clientID = identity("entry-1")
	f.serverID = identity("entry-2")
	f.trust.add(f.clientID)
	f.trust.add(f.serverID)
	f.client = NewClient(f.clientID, f.trust, nil)
	f.server = NewServer(f.serverID, f.trust, unlimited{})
	register(f.server)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.socket = &droppingConn{PacketConn: socket}
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

// readStream reads a whole stream and returns its first error, including io.EOF.
func (f *fixture) readStream(req echo) error {
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
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
	It("passes the caller's name and returns the complete response on one connection", func() {
		f := newFixture(registerEcho)
		for i := range 20 {
			var reply echo
			Expect(f.client.Call(testContext(), f.address(), "/echo", echo{Text: "a", Count: i}, &reply)).To(Succeed())
			Expect(reply).To(Equal(echo{Text: "entry-1:a", Count: i + 1}))
		}
		Expect(f.client.pool.conns).To(HaveLen(1))
	})

	It("reports a handler's error, an unknown path and a malformed body as rejected", func() {
		f := newFixture(registerEcho)
		err := f.client.Call(testContext(), f.address(), "/echo", echo{Text: "fail"}, nil)
		Expect(err).To(MatchError(ErrRejected))
		Expect(err).To(MatchError(ContainSubstring("no such thing")))
		Expect(f.client.Call(testContext(), f.address(), "/none", echo{}, nil)).To(MatchError(ErrRejected))
		Expect(f.client.Call(testContext(), f.address(), "/echo", "text", nil)).To(MatchError(ErrRejected))
	})

	// Guards against a request that counts as perhaps run although the peer had no memory to read it.
	It("reports a stream whose request finds no memory as not sent, and still answers calls", func() {
		f := newFixture(registerEcho)
		f.server.memory = full{}
		Expect(f.readStream(echo{Count: 1})).To(MatchError(ErrNotSent))
		Expect(f.client.Call(testContext(), f.address(), "/echo", echo{Text: "a"}, nil)).To(Succeed())
	})

	It("does not send an oversized request or one to an invalid address", func() {
		f := newFixture(registerEcho)
		err := f.client.Call(testContext(), f.address(), "/echo", make([]byte, MaxMessageBytes+1), nil)
		Expect(err).To(And(MatchError(ErrNotSent), MatchError(ErrTooLarge)))
		Expect(f.client.Call(testContext(), "nowhere", "/echo", echo{}, nil)).To(MatchError(ErrNotSent))
	})

	// An entry that is missing from the platform's list, or was removed from it, connects with its own key.
	// Accepting it would let anyone on the network dispatch requests. The caller learns that the request was not
	// sent, so that a new entry whose fingerprint has not propagated yet can retry.
	It("is rejected by either side if the fingerprint is unknown, and no handler runs", func() {
		handled := make(chan string, 10)
		f := newFixture(func(s *Server) {
			Handle(s, "/take", func(_ context.Context, from string, _ echo) (echo, error) {
				handled <- from
				return echo{}, nil
			})
		})
		f.trust.remove(f.clientID)
		err := f.client.Call(testContext(), f.address(), "/take", echo{}, nil)
		Expect(err).To(And(MatchError(ErrNotSent), MatchError(ErrUntrusted)))
		f.trust.add(f.clientID)
		f.trust.remove(f.serverID)
		Expect(f.client.Call(testContext(), f.address(), "/take", echo{}, nil)).To(MatchError(ErrNotSent))
		Expect(handled).To(BeEmpty())
		f.trust.add(f.serverID)
		Expect(f.client.Call(testContext(), f.address(), "/take", echo{}, nil)).To(Succeed())
		Expect(handled).To(Receive(Equal("entry-1")))
		f.trust.remove(f.clientID)
		Expect(f.client.Call(testContext(), f.address(), "/take", echo{}, nil)).To(MatchError(ErrRejected))
		Expect(handled).To(BeEmpty())
	})

	// The peer freezes or its network path breaks after it received a request. Sending the request again would run
	// it twice once the peer resumes; the caller must get ErrInterrupted within seconds.
	It("is sent once and interrupted when the peer stops responding", func() {
		handled := make(chan struct{}, 10)
		f := newFixture(func(s *Server) {
			registerEcho(s)
			Handle(s, "/take", func(ctx context.Context, _ string, _ echo) (echo, error) {
				handled <- struct{}{}
				<-ctx.Done()
				return echo{}, ctx.Err()
			})
		})
		result := make(chan error, 1)
		ctx := testContext()
		go func() { result <- f.client.Call(ctx, f.address(), "/take", echo{}, nil) }()
		Eventually(handled, testTimeout).Should(Receive())
		f.socket.setDropping(true)
		Eventually(result, testTimeout).Should(Receive(MatchError(ErrInterrupted)))
		Expect(f.client.Call(ctx, f.address(), "/echo", echo{}, nil)).To(MatchError(ErrNotSent))
		f.socket.setDropping(false)
		Eventually(func() error {
			return f.client.Call(ctx, f.address(), "/echo", echo{}, nil)
		}, testTimeout).Should(Succeed())
		Expect(handled).To(BeEmpty())
	})

	It("is interrupted immediately by Disconnect", func() {
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
	It("returns each item, then io.EOF", func() {
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

	// A home loses its engine in the middle of a response. If the stream ended normally, the caller would treat a
	// truncated response as complete.
	It("never ends normally after an error", func() {
		f := newFixture(registerEcho)
		Expect(f.readStream(echo{Count: 2, Text: "break"})).To(MatchError(ErrInterrupted))
		_, err := f.client.Stream(testContext(), f.address(), "/count", echo{Text: "break"})
		Expect(err).To(MatchError(ErrRejected))
	})

	It("ends the handler's context when the caller cancels or closes", func() {
		ended := make(chan struct{}, 10)
		f := newFixture(func(s *Server) {
			HandleStream(s, "/wait", func(ctx context.Context, _ string, _ echo, send func(any) error) error {
				err := send(echo{}) // fails if the caller closes the stream before the item is written
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
		Eventually(ended, testTimeout).Should(Receive())
		r.Close()

		r, err = f.client.Stream(testContext(), f.address(), "/wait", echo{})
		Expect(err).NotTo(HaveOccurred())
		r.Close()
		Eventually(ended, testTimeout).Should(Receive())
	})

	// An entry stops while the last part of a response is in transit. Closing the connection immediately would drop
	// that part and make a complete response appear interrupted.
	It("completes when the server stops, and later calls get ErrNotSent", func() {
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

	It("shares one connection among many streams", func() {
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

var _ = Describe("the stop of a server", func() {
	// Guards against a request that is reported as not sent although a handler has seen it, which would run it twice, and against one that was read
	// and gets neither an answer nor an error.
	It("leaves no call without an answer, and reports none as not sent that a handler has seen", func() {
		const callers, rounds = 40, 3
		var answered, notSent, interrupted atomic.Int64
		for range rounds {
			var seen sync.Map
			f := newFixture(func(s *Server) {
				Handle(s, "/take", func(_ context.Context, _ string, req echo) (echo, error) {
					seen.Store(req.Count, true)
					time.Sleep(time.Duration(req.Count%5) * time.Millisecond)
					return req, nil
				})
			})
			var number atomic.Int64
			var wait sync.WaitGroup
			ctx := testContext()
			for range callers {
				wait.Go(func() {
					defer GinkgoRecover()
					for {
						req := echo{Count: int(number.Add(1)), Text: strings.Repeat("x", 10_000)}
						var reply echo
						err := f.client.Call(ctx, f.address(), "/take", req, &reply)
						_, handled := seen.Load(req.Count)
						switch {
						case err == nil:
							Expect(reply.Count).To(Equal(req.Count))
							answered.Add(1)
						case errors.Is(err, ErrNotSent):
							Expect(handled).To(BeFalse())
							notSent.Add(1)
							return
						default:
							Expect(err).To(MatchError(ErrInterrupted))
							interrupted.Add(1)
						}
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			f.stop()
			wait.Wait()
		}
		GinkgoWriter.Printf("answered %d, not sent %d, interrupted %d\n", answered.Load(), notSent.Load(), interrupted.Load())
		Expect(interrupted.Load()).To(BeZero(), "handlers end well within the grace period")
	})

	// Guards against a call that waits for its idle timeout, or is reported as not sent, when its connection is closed after the grace period.
	It("interrupts a call that outlasts the grace period", func() {
		started := make(chan struct{})
		f := newFixture(func(s *Server) {
			Handle(s, "/take", func(ctx context.Context, _ string, _ echo) (echo, error) {
				close(started)
				<-ctx.Done()
				return echo{}, ctx.Err()
			})
		})
		result := make(chan error, 1)
		ctx := testContext()
		go func() { result <- f.client.Call(ctx, f.address(), "/take", echo{}, nil) }()
		Eventually(started, testTimeout).Should(BeClosed())
		f.stop()
		Eventually(result, testTimeout).Should(Receive(MatchError(ErrInterrupted)))
	})
})

// unlimited is memory without a bound.
type unlimited struct{}

func (unlimited) ReadBody(_ context.Context, from io.Reader, _, _ int64, _ func()) ([]byte, func(), error) {
	body, err := io.ReadAll(from)
	return body, func() {}, err
}

// full is memory without room.
type full struct{}

func (full) ReadBody(context.Context, io.Reader, int64, int64, func()) ([]byte, func(), error) {
	return nil, func() {}, errors.New("no room")
}
