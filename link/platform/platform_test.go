package platform_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
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
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/skylarkpond/skylarkpond/internal/standin/platform"
	link "github.com/skylarkpond/skylarkpond/link/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform client")
}

// serve starts a platform stand-in and returns it together with its base URL.
func serve(t testing.TB, opts ...platform.Option) (*platform.Platform, string) {
	standin := platform.New(opts...)
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(server.Close)
	return standin, server.URL
}

func value(nonce string) json.RawMessage { return json.RawMessage(fmt.Sprintf(`{"nonce":%q}`, nonce)) }

var _ = Describe("Client", func() {
	ctx := context.Background()

	It("reads its own writes and rejects a write on another version", func() {
		_, base := serve(GinkgoTB())
		registry := metrics.NewRegistry()
		client := link.NewClient(base, link.WithMetrics(registry))

		_, err := client.Get(ctx, link.KindEntry, "a")
		Expect(err).To(MatchError(link.ErrNotFound))
		v1, err := client.Put(ctx, link.KindEntry, "a", 0, value("1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(ctx, link.KindEntry, "a", 0, value("2"))
		Expect(err).To(MatchError(link.ErrConflict))
		v2, err := client.Put(ctx, link.KindEntry, "a", v1, value("3"))
		Expect(err).NotTo(HaveOccurred())
		Expect(v2).To(BeNumerically(">", v1))
		Expect(client.Get(ctx, link.KindEntry, "a")).To(HaveField("Value", MatchJSON(value("3"))))

		seen, err := client.Watch(ctx, link.KindEntry, v1)
		Expect(err).NotTo(HaveOccurred())
		Expect(seen.Objects).To(ConsistOf(HaveField("Version", v2)))
		Expect(client.Delete(ctx, link.KindEntry, "a", v1)).To(MatchError(link.ErrConflict))
		Expect(client.Delete(ctx, link.KindEntry, "a", v2)).To(Succeed())
		gone, err := client.Watch(ctx, link.KindEntry, v2)
		Expect(err).NotTo(HaveOccurred())
		Expect(gone.Objects).To(ConsistOf(HaveField("Deleted", true)))
		Expect(client.List(ctx, link.KindEntry)).To(HaveField("Objects", BeEmpty()))

		puts := registry.Get("platform.calls.entry.put").(metrics.Counter).Count()
		Expect(puts).To(BeEquivalentTo(3))
		_, err = client.Put(ctx, link.KindEntry, "b", 0, make(json.RawMessage, link.MaxValueBytes+1))
		Expect(err).To(MatchError(link.ErrTooLarge))
	})

	It("reports for each failure whether a write may have taken effect", func() {
		for _, c := range []struct {
			status      int
			read, write error
		}{
			{http.StatusServiceUnavailable, link.ErrUnavailable, link.ErrUnavailable},
			{http.StatusTooManyRequests, link.ErrThrottled, link.ErrThrottled},
			{http.StatusPreconditionFailed, link.ErrConflict, link.ErrConflict},
			{http.StatusRequestEntityTooLarge, link.ErrTooLarge, link.ErrTooLarge},
			{http.StatusInternalServerError, link.ErrUnavailable, link.ErrUnconfirmed},
			{http.StatusBadGateway, link.ErrUnavailable, link.ErrUnconfirmed},
			{http.StatusTemporaryRedirect, link.ErrUnavailable, link.ErrUnconfirmed},
		} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(c.status) }))
			client := link.NewClient(server.URL)
			_, err := client.Get(ctx, link.KindEntry, "a")
			Expect(err).To(MatchError(c.read))
			_, err = client.Put(ctx, link.KindEntry, "a", 0, value("1"))
			Expect(err).To(MatchError(c.write))
			server.Close()
			// The stopped server refuses connections, so nothing can have been sent.
			_, err = link.NewClient(server.URL).Put(ctx, link.KindEntry, "a", 0, value("1"))
			Expect(err).To(MatchError(link.ErrUnavailable))
		}
	})

	// The platform can close an idle connection just as a write arrives, or crash after accepting the write.
	// If the transport retried the write, it would conflict with its own first attempt, and the caller would be
	// told that another writer had claimed its request.
	It("sends each write exactly once", func() {
		address, seen := closeOnSecondRequest(GinkgoTB())
		for _, c := range []struct {
			call  func(*link.Client) error
			sends int64
			err   error
		}{
			{func(c *link.Client) error {
				_, err := c.Put(ctx, link.KindEntry, "b", 0, value("1"))
				return err
			}, 1, link.ErrUnconfirmed},
			{func(c *link.Client) error { return c.Delete(ctx, link.KindEntry, "b", 1) }, 1, link.ErrUnconfirmed},
			// The transport does retry a read, which shows that the test would detect a retried write.
			{func(c *link.Client) error { _, err := c.Get(ctx, link.KindEntry, "b"); return err }, 2, nil},
		} {
			client := link.NewClient("http://" + address)
			_, err := client.Get(ctx, link.KindEntry, "a")
			Expect(err).NotTo(HaveOccurred())
			before := seen.Load()
			err = c.call(client)
			Expect(seen.Load() - before).To(Equal(c.sends))
			if c.err != nil {
				Expect(err).To(MatchError(c.err))
			}
		}
	})

	// After an outage, all caches of an entry reload. If a claim had to wait behind those reads, it would miss
	// its caller's deadline although the platform is idle.
	It("does not block writes while reads wait for the rate limit", func() {
		_, base := serve(GinkgoTB())
		client := link.NewClient(base, link.WithRates(link.Rates{Shared: 0.001, Reserved: 100}))
		_, err := client.List(ctx, link.KindEntry) // exhausts the shared rate
		Expect(err).NotTo(HaveOccurred())
		waiting, cancel := context.WithCancel(ctx)
		read := make(chan error, 1)
		go func() {
			_, err := client.List(waiting, link.KindEntry)
			read <- err
		}()
		for i := range 50 {
			_, err := client.Put(ctx, link.KindEntry, fmt.Sprint(i), 0, value("1"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(read).NotTo(Receive())
		cancel()
		Eventually(read, time.Minute).Should(Receive(MatchError(link.ErrThrottled)))
	})
})

// closeOnSecondRequest starts a server that answers the first request of each connection and closes the
// connection after reading the second.
func closeOnSecondRequest(t testing.TB) (address string, seen *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	seen = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOneRequest(conn, seen)
		}
	}()
	return listener.Addr().String(), seen
}

func serveOneRequest(conn net.Conn, seen *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		seen.Add(1)
		if !first {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	}
}

// The team and key in an attempt's name come from callers. Distinct names must map to distinct objects
// whatever characters they contain.
func TestNamesMapToDistinctObjects(t *testing.T) {
	standin, base := serve(t)
	client := link.NewClient(base, link.WithRates(link.Rates{Shared: 1e6, Reserved: 1e6}))
	rapid.Check(t, func(rt *rapid.T) {
		name := rapid.OneOf(rapid.String(), rapid.StringMatching(`[a/.%?#+ ]{1,6}`)).
			Filter(func(s string) bool { return s != "" }).Draw(rt, "name")
		name = strings.ToValidUTF8(name, "")
		if name == "" {
			return
		}
		before := len(standin.History())
		version := link.Version(0)
		if found, err := client.Get(t.Context(), link.KindAttempt, name); err == nil {
			version = found.Version
		}
		if _, err := client.Put(t.Context(), link.KindAttempt, name, version, value("x")); err != nil {
			rt.Fatalf("%q: %v", name, err)
		}
		history := standin.History()
		if len(history) != before+1 || history[before].Name != name {
			rt.Fatalf("%q became %q", name, history[before].Name)
		}
	})
}
