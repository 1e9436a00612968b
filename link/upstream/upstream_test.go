package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
	"github.com/skylarkpond/skylarkpond/link/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream client")
}

// rawServer passes each request to a function that writes the raw response. It counts connections and requests.
type rawServer struct {
	listener net.Listener
	conns    atomic.Int32
	requests atomic.Int32
}

func serveRaw(handle func(n int, request *http.Request, conn net.Conn) (keep bool)) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &rawServer{listener: listener}
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, handle)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, handle func(int, *http.Request, net.Conn) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !handle(int(s.requests.Add(1)), request, conn) {
			return
		}
	}
}

func (s *rawServer) endpoint() upstream.Endpoint {
	return upstream.Endpoint{ID: "i-1", Address: s.listener.Addr().String()}
}

func newRequest(id string) *upstream.Request {
	return &upstream.Request{
		Method: http.MethodGet, Target: "/p/x?q=1", Host: "h.example", Header: http.Header{"X-Id": {id}},
		Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func sendAndRead(pool *upstream.Pool, to upstream.Endpoint, r *upstream.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := pool.Send(ctx, to, r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

var _ = Describe("Pool", func() {
	It("sends a request unmodified and reuses the connection", func() {
		var targets []string
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			targets = append(targets, r.Method+" "+r.RequestURI+" "+r.Host)
			_, _ = io.WriteString(c, okResponse(r.Header.Get("X-Id"), "body"))
			return true
		})
		pool := upstream.NewPool()
		for _, id := range []string{"a", "b", "c"} {
			Expect(sendAndRead(pool, s.endpoint(), newRequest(id))).To(Equal("body"))
		}
		Expect(s.conns.Load()).To(Equal(int32(1)))
		Expect(targets).To(HaveEach("GET /p/x?q=1 h.example"))
	})

	// A server closes an idle connection just as the next request is written to it. A client library that resends
	// the request on its own makes a booking run twice.
	It("sends a request once even if the connection closes without a response", func() {
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			if n == 1 {
				_, _ = io.WriteString(c, okResponse("a", "body"))
				return true
			}
			return false
		})
		pool := upstream.NewPool()
		Expect(sendAndRead(pool, s.endpoint(), newRequest("a"))).To(Equal("body"))
		_, err := sendAndRead(pool, s.endpoint(), newRequest("b"))
		Expect(errors.Is(err, upstream.ErrOutcomeUnknown)).To(BeTrue())
		Consistently(s.requests.Load, "100ms").Should(Equal(int32(2)))
	})

	It("reports ErrNotSent when nothing listens", func() {
		s := serveRaw(func(int, *http.Request, net.Conn) bool { return true })
		Expect(s.listener.Close()).To(Succeed())
		_, err := sendAndRead(upstream.NewPool(), s.endpoint(), newRequest("a"))
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeTrue())
	})

	// A faulty server responds twice. The second copy arrives before the next request is sent or while it waits,
	// and its caller would receive the response to another request.
	DescribeTable("never returns the response to another request",
		func(pause time.Duration) {
			s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
				id := r.Header.Get("X-Id")
				_, _ = io.WriteString(c, okResponse(id, "for "+id))
				if n == 1 {
					time.Sleep(pause)
					_, _ = io.WriteString(c, okResponse(id, "for "+id))
				}
				return true
			})
			pool := upstream.NewPool()
			Expect(sendAndRead(pool, s.endpoint(), newRequest("a"))).To(Equal("for a"))
			Expect(sendAndRead(pool, s.endpoint(), newRequest("b"))).To(Equal("for b"))
			Expect(sendAndRead(pool, s.endpoint(), newRequest("c"))).To(Equal("for c"))
		},
		Entry("when it arrives immediately", time.Duration(0)),
		Entry("when it arrives late", 20*time.Millisecond),
	)

	// A response is cut short. If it were treated as complete, the caller would act on part of it.
	It("distinguishes a truncated response from a complete one", func() {
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, strings.TrimSuffix(okResponse("a", "whole body"), "body"))
			return false
		})
		_, err := sendAndRead(upstream.NewPool(), s.endpoint(), newRequest("a"))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("ends a response without a length when the connection closes", func() {
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it")
			return false
		})
		Expect(sendAndRead(upstream.NewPool(), s.endpoint(), newRequest("a"))).To(Equal("all of it"))
	})

	// The last bytes of a stream and its end arrive together, and the connection is returned to the pool or closed.
	// Cancelling the context of the finished request must not interrupt the next request on the connection.
	It("does not interrupt a reused connection when the previous context ends", func() {
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			id := r.Header.Get("X-Id")
			if n == 2 {
				time.Sleep(50 * time.Millisecond)
			}
			_, _ = io.WriteString(c, okResponse(id, "for "+id))
			return true
		})
		pool := upstream.NewPool()
		ctx, cancelFirst := context.WithCancel(context.Background())
		defer cancelFirst()
		first, err := pool.Send(ctx, s.endpoint(), newRequest("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(first.Body)).To(Equal([]byte("for a")))
		second := make(chan error, 1)
		go func() {
			_, err := sendAndRead(pool, s.endpoint(), newRequest("b"))
			second <- err
		}()
		Eventually(s.requests.Load).Should(Equal(int32(2)))
		cancelFirst()
		Expect(first.Body.Close()).To(Succeed())
		Eventually(second, "5s").Should(Receive(BeNil()))
	})

	// A server rejects a long body before receiving all of it, and keeps reading. Another request on that
	// connection would be read as part of the body.
	It("closes a connection if the response arrives before the body is sent", func() {
		release := make(chan struct{})
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			if n == 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n")
				<-release
				_, _ = io.Copy(io.Discard, r.Body)
				return true
			}
			_, _ = io.WriteString(c, okResponse(r.Header.Get("X-Id"), "ok"))
			return true
		})
		pool := upstream.NewPool()
		long := newRequest("a")
		long.Method = http.MethodPost
		long.Body = make([]byte, 32<<20)
		response, err := pool.Send(context.Background(), s.endpoint(), long)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(http.StatusRequestEntityTooLarge))
		_, err = io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		close(release)
		Expect(sendAndRead(pool, s.endpoint(), newRequest("b"))).To(Equal("ok"))
		Expect(s.conns.Load()).To(Equal(int32(2)))
	})

	// The caller has disconnected. A server that isn't told would keep working on the request.
	It("closes the connection when the request is cancelled", func() {
		gone := make(chan struct{})
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			_, _ = c.Read(make([]byte, 1))
			close(gone)
			return false
		})
		ctx, cancel := context.WithCancel(context.Background())
		sent := make(chan error, 1)
		go func() {
			_, err := upstream.NewPool().Send(ctx, s.endpoint(), newRequest("a"))
			sent <- err
		}()
		Eventually(s.requests.Load).Should(Equal(int32(1)))
		cancel()
		Eventually(sent).Should(Receive(HaveOccurred()))
		Eventually(gone).Should(BeClosed())
	})

	It("closes connections to endpoints that are no longer known", func() {
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, okResponse(r.Header.Get("X-Id"), "ok"))
			return true
		})
		pool := upstream.NewPool()
		Expect(sendAndRead(pool, s.endpoint(), newRequest("a"))).To(Equal("ok"))
		pool.CloseStale(func(upstream.Endpoint) bool { return false })
		Expect(sendAndRead(pool, s.endpoint(), newRequest("b"))).To(Equal("ok"))
		Expect(s.conns.Load()).To(Equal(int32(2)))
	})
})

// Memory grew with each byte of a head, and a body that is thrown away was read until the deadline.
var _ = Describe("RefusesConnections", func() {
	// Guards against groups dissolved, and requests blamed for crashes, because a server at the limit of its connections resets further ones.
	It("takes resets of accepted connections for a process that runs", func() {
		proxy, err := loopback.NewProxy("127.0.0.1:0", "127.0.0.1:1")
		Expect(err).NotTo(HaveOccurred())
		proxy.SetFaults(loopback.Faults{Refuse: true})
		for range 500 {
			Expect(upstream.RefusesConnections(context.Background(), proxy.Address())).To(BeFalse())
		}
		Expect(proxy.Close()).To(Succeed())
		Expect(upstream.RefusesConnections(context.Background(), proxy.Address())).To(BeTrue())
	})
})

var _ = Describe("Responses without end", func() {
	send := func(begin, repeated string) (written *atomic.Int64, err error) {
		written = new(atomic.Int64)
		server := serveRaw(func(_ int, _ *http.Request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, begin)
			chunk := strings.Repeat(repeated, 32<<10/len(repeated))
			for range 4096 {
				n, err := io.WriteString(conn, chunk)
				written.Add(int64(n))
				if err != nil {
					break
				}
			}
			return false
		})
		pool := upstream.NewPool()
		matches := func(header http.Header) bool { return header.Get("Other") == "" }
		endpoint := upstream.Endpoint{ID: "i-1", Address: server.listener.Addr().String()}
		response, err := pool.Send(context.Background(), endpoint, &upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Matches: matches})
		if err == nil {
			_ = response.Body.Close()
		}
		return written, err
	}
	DescribeTable("are given up after a bounded number of bytes", func(begin, repeated string) {
		written, err := send(begin, repeated)
		Expect(errors.Is(err, upstream.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
		Expect(written.Load()).To(BeNumerically("<", 16<<20))
	},
		Entry("a status line", "HTTP/1.1 200 ", "x"),
		Entry("a field", "HTTP/1.1 200 OK\r\nNote: ", "x"),
		Entry("a head", "HTTP/1.1 200 OK\r\n", "Note: x\r\n"),
		Entry("interim responses", "", "HTTP/1.1 103 Early Hints\r\nNote: x\r\n\r\n"),
		Entry("a response to another request", "HTTP/1.1 200 OK\r\nOther: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
	)
})

var _ = Describe("A request that may not be sent any more", func() {
	// A connection may take a while to be ready, and the server may have asked for a pause meanwhile.
	It("is withheld, and its connection is used by the next one", func() {
		server := serveRaw(func(_ int, _ *http.Request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		pool := upstream.NewPool()
		endpoint := upstream.Endpoint{ID: "i-1", Address: server.listener.Addr().String()}
		request := &upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Permit: func() bool { return false }}
		_, err := pool.Send(context.Background(), endpoint, request)
		Expect(errors.Is(err, upstream.ErrNotPermitted)).To(BeTrue())
		request.Permit = func() bool { return true }
		response, err := pool.Send(context.Background(), endpoint, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(server.requests.Load()).To(BeEquivalentTo(1))
		Expect(server.conns.Load()).To(BeEquivalentTo(1))
	})
})

// A request on a connection that its server is about to close has an unknown outcome.
var _ = DescribeTable("A connection is not used again", func(header string, idle time.Duration, reused bool) {
	server := serveRaw(func(_ int, _ *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+header+"\r\n")
		return true
	})
	pool := upstream.NewPool()
	endpoint := upstream.Endpoint{ID: "i-1", Address: server.listener.Addr().String()}
	for range 2 {
		response, err := pool.Send(context.Background(), endpoint, &upstream.Request{Method: http.MethodGet, Target: "/", Host: "h"})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(idle)
	}
	Expect(server.conns.Load() == 1).To(Equal(reused))
},
	Entry("that its server says to close", "Connection: close\r\n", time.Duration(0), false),
	Entry("that is idle for nearly as long as its server keeps it", "Keep-Alive: timeout=1\r\n", 700*time.Millisecond, false),
	Entry("but for that", "Keep-Alive: timeout=1\r\n", time.Duration(0), true),
)
