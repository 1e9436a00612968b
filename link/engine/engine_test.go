package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/vm"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine client")
}

var (
	ctx         = context.Background()
	prompt      = `{"model":"m","messages":[{"role":"user","content":"cream"}],"max_tokens":8}`
	messages    = []engine.Message{{Role: "user", Content: "cream"}}
	testTimeout = time.Minute
)

// loadGroup makes a VM the only member of a group and waits until it is ready.
func loadGroup(client engine.Client, host *standin.Host, v vm.VM) engine.Target {
	var state engine.State
	Eventually(func() (err error) {
		state, err = client.Probe(ctx, v.Address)
		return err
	}, testTimeout).Should(Succeed())
	order := engine.Order{
		ID: "o", Kind: engine.OrderLoad, Fence: 5, BootID: state.BootID, Group: "g", Epoch: 2,
		Service: "s", Model: "m", Members: []vm.Name{v.Name},
	}
	_, err := client.Order(ctx, v.Address, order)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() bool {
		state, err = client.Probe(ctx, v.Address)
		return err == nil && state.Ready
	}, testTimeout).Should(BeTrue())
	return engine.Target{Address: v.Address, RequestID: "r1", Group: "g", Epoch: 2, Service: "s"}
}

func start(service string) (*standin.Host, vm.VM) {
	host := standin.NewHost(standin.DefaultOptions)
	DeferCleanup(host.Stop)
	v, err := host.Add(vm.VM{Name: "vm1", Address: "127.0.0.1:0", Service: service})
	Expect(err).NotTo(HaveOccurred())
	return host, v
}

// readEvents returns the events of a stream and the error that ended it.
func readEvents(stream engine.Stream) ([]engine.Event, error) {
	var events []engine.Event
	for {
		event, err := stream.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

var _ = Describe("HTTPClient", func() {
	var client *engine.HTTPClient
	BeforeEach(func() { client = engine.NewHTTPClient(nil) })

	It("streams a complete response", func() {
		host, v := start("")
		target := loadGroup(client, host, v)
		stream, err := client.Complete(ctx, target, []byte(prompt))
		Expect(err).NotTo(HaveOccurred())
		defer stream.Close()
		events, err := readEvents(stream)
		Expect(err).To(Equal(io.EOF))
		var text strings.Builder
		for seq, event := range events {
			Expect(event.RequestID).To(Equal("r1"))
			Expect(event.Seq).To(BeEquivalentTo(seq))
			text.WriteString(event.Text)
		}
		Expect(text.String()).To(Equal(standin.Answer("r1", messages, 8)))

		target.ResumeFrom = 6
		stream, err = client.Complete(ctx, target, []byte(prompt))
		Expect(err).NotTo(HaveOccurred())
		defer stream.Close()
		rest, err := readEvents(stream)
		Expect(err).To(Equal(io.EOF))
		Expect(rest).To(Equal(events[6:]))
	})

	// The engine's connection breaks in the middle of a response. A reader that took the end of the connection for
	// the end of the response would deliver a truncated response as complete.
	It("distinguishes an interrupted stream from a complete one", func() {
		host, v := start("")
		target := loadGroup(client, host, v)
		Expect(host.Switch("vm1", standin.Switches{Cut: &standin.Cut{After: 3, Count: 1}})).To(Succeed())
		stream, err := client.Complete(ctx, target, []byte(prompt))
		Expect(err).NotTo(HaveOccurred())
		defer stream.Close()
		events, err := readEvents(stream)
		Expect(events).To(HaveLen(3))
		Expect(err).To(MatchError(engine.ErrInterrupted))
		_, err = stream.Next()
		Expect(err).To(MatchError(engine.ErrInterrupted))
	})

	It("passes on the limit that a response states, also that of a refusal", func() {
		values, refused := []string{"2.5"}, false
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header()[engine.HeaderRateLimit] = values
			if refused {
				w.Header().Set(engine.HeaderRefused, "full")
			}
		}))
		defer server.Close()
		var stated []*float64
		target := engine.Target{
			Address: strings.TrimPrefix(server.URL, "http://"), RateLimit: func(perSecond *float64) { stated = append(stated, perSecond) },
		}
		call := func() {
			response, err := client.Call(ctx, target, http.MethodGet, "/x", nil, nil)
			if err == nil {
				_ = response.Body.Close()
			}
		}
		call()
		values = nil
		call()
		values = []string{"abc"}
		call()
		values, refused = []string{"1"}, true
		call()
		limit := func(value float64) *float64 { return &value }
		Expect(stated).To(Equal([]*float64{limit(2.5), nil, limit(1)}))
	})

	// The head was read into memory for as long as it came.
	It("gives up a response whose head never ends", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nNote: ")
			for err == nil {
				_, err = io.WriteString(conn, strings.Repeat("x", 32<<10))
			}
		}()
		_, err = client.Complete(ctx, engine.Target{Address: listener.Addr().String(), RequestID: "r1"}, []byte(prompt))
		Expect(err).To(MatchError(engine.ErrInterrupted))
	})

	It("reports how long an engine wants no requests that refuses one with 503", func() {
		for status, want := range map[int]time.Duration{http.StatusServiceUnavailable: 1500 * time.Millisecond, http.StatusTooManyRequests: 0} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "1.5")
				w.WriteHeader(status)
			}))
			_, err := client.Complete(ctx, engine.Target{Address: strings.TrimPrefix(server.URL, "http://"), RequestID: "r1"}, []byte(prompt))
			server.Close()
			var refusal *engine.Refusal
			Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
			Expect(refusal.RetryAfter).To(Equal(want))
		}
	})

	It("unblocks a read on Close or Cancel, and the engine cancels the request", func() {
		host, v := start("")
		target := loadGroup(client, host, v)
		gap := time.Hour.Milliseconds()
		Expect(host.Switch("vm1", standin.Switches{TokenGapMillis: &gap})).To(Succeed())
		for _, end := range []func(engine.Stream) error{
			engine.Stream.Close,
			func(engine.Stream) error { return client.Cancel(ctx, v.Address, "r1") },
		} {
			stream, err := client.Complete(ctx, target, []byte(prompt))
			Expect(err).NotTo(HaveOccurred())
			_, err = stream.Next()
			Expect(err).NotTo(HaveOccurred())
			ended := make(chan error, 1)
			go func() {
				_, err := stream.Next()
				ended <- err
			}()
			Expect(end(stream)).To(Succeed())
			Eventually(ended, testTimeout).Should(Receive(MatchError(engine.ErrInterrupted)))
			Eventually(host.Runs, testTimeout).Should(ContainElement(HaveField("Phase", standin.Cancelled)))
			Expect(stream.Close()).To(Succeed())
		}
		Eventually(func() int { return len(host.Runs()) }, testTimeout).Should(Equal(4))
		Expect(client.Cancel(ctx, v.Address, "over")).To(Succeed())
	})

	It("reports why an engine rejected a request or an order", func() {
		host, v := start("")
		target := loadGroup(client, host, v)
		other := target
		other.Epoch = 1
		_, err := client.Complete(ctx, other, []byte(prompt))
		Expect(err).To(MatchError(engine.ErrRefused))
		_, err = client.Complete(ctx, target, []byte("{"))
		Expect(err).To(MatchError(engine.ErrRefused))
		_, err = client.Order(ctx, v.Address, engine.Order{ID: "old", Kind: engine.OrderRelease, Fence: 4})
		Expect(err).To(MatchError(engine.ErrStaleFence))
		_, err = client.Order(ctx, v.Address, engine.Order{ID: "x", Kind: engine.OrderRelease, Fence: 9, BootID: "other"})
		Expect(err).To(MatchError(engine.ErrBootMismatch))
		Expect(host.Orders()).To(HaveLen(3))

		disabled := false
		Expect(host.Switch("vm1", standin.Switches{ChecksFence: &disabled, ChecksEpoch: &disabled})).To(Succeed())
		stream, err := client.Complete(ctx, other, []byte(prompt))
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Close()).To(Succeed())
		state, err := client.Order(ctx, v.Address, engine.Order{ID: "old", Kind: engine.OrderRelease, Fence: 4})
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Fence).To(BeEquivalentTo(4), "the returned state shows that the old order was executed")
	})

	It("returns every response of a plain service except a refusal", func() {
		host, v := start("s")
		target := loadGroup(client, host, v)
		response, err := client.Call(ctx, target, http.MethodPost, "/lots/a%2Fb?n=1", nil, strings.NewReader("{}"))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		answer, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(MatchJSON(`{"service":"s","method":"POST","path":"/lots/a%2Fb?n=1","request":"r1","runs":1}`))

		target.Epoch = 1
		_, err = client.Call(ctx, target, http.MethodPost, "/lots", nil, nil)
		Expect(err).To(MatchError(engine.ErrRefused))

		otherAddress, seen := serveFirstPathOnly()
		_, err = client.Call(ctx, target, http.MethodPost, "@"+otherAddress+"/first", nil, nil)
		Expect(err).To(MatchError(engine.ErrNotSent))
		Expect(seen.requests.Load()).To(BeZero(), "a path must not change the host")
	})

	// A backend server restarts between two bookings. If the second were sent on the first one's connection, it
	// would fail after it may have been sent, and a booking that never ran would have an unknown outcome.
	It("reaches a restarted backend server and reports ErrNotSent for a stopped one", func() {
		host, v := start("s")
		for range 3 {
			target := loadGroup(client, host, v)
			response, err := client.Call(ctx, target, http.MethodPost, "/lots", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			drain(response)
			Expect(host.Switch("vm1", standin.Switches{Restart: true})).To(Succeed())
		}
		target := loadGroup(client, host, v)
		Expect(host.Switch("vm1", standin.Switches{Die: true})).To(Succeed())
		_, err := client.Call(ctx, target, http.MethodPost, "/lots", nil, nil)
		Expect(err).To(MatchError(engine.ErrNotSent))
		_, err = client.Complete(ctx, target, []byte(prompt))
		Expect(err).To(MatchError(engine.ErrNotSent))
	})

	// The backend server accepts a booking and its connection breaks before the response. Given an Idempotency-Key
	// or a GET, net/http would resend the request on its own and the booking would be made twice.
	It("sends each request exactly once", func() {
		address, seen := serveFirstPathOnly()
		target := engine.Target{Address: address, RequestID: "r1"}
		header := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}}
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
			response, err := client.Call(ctx, target, method, "/first", header, nil)
			Expect(err).NotTo(HaveOccurred())
			drain(response)
			before := seen.requests.Load()
			_, err = client.Call(ctx, target, method, "/breaks", header, nil)
			Expect(err).To(MatchError(engine.ErrInterrupted))
			Expect(seen.requests.Load() - before).To(BeEquivalentTo(1))
		}
		Expect(seen.keys.Load()).To(BeZero(), "these headers are not forwarded")

		// A plain http.Client sends it twice, which shows that the test would detect a resent request.
		plain := &http.Client{Transport: &http.Transport{}}
		for _, path := range []string{"/first", "/breaks"} {
			before := seen.requests.Load()
			response, err := plain.Get("http://" + address + path)
			if path == "/breaks" {
				Expect(err).To(HaveOccurred())
				Expect(seen.requests.Load() - before).To(BeEquivalentTo(2))
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			drain(response)
		}
	})
})

// drain reads a response to its end so that its connection could be reused.
func drain(response *http.Response) {
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
}

// requestCounters counts the requests that a raw server received, and those of their headers that must not be
// forwarded.
type requestCounters struct{ requests, keys atomic.Int64 }

// serveFirstPathOnly starts a server that answers "/first". On any other request it reads the request and
// closes the connection without a response.
func serveFirstPathOnly() (string, *requestCounters) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	seen := new(requestCounters)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go seen.serve(conn)
		}
	}()
	return listener.Addr().String(), seen
}

func (s *requestCounters) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key", "X-Hop"} {
			s.keys.Add(int64(len(request.Header.Values(name))))
		}
		if request.URL.Path != "/first" {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	}
}
