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

	"github.com/skylarkpond/skylarkpond/link/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "requests to backend servers")
}

// rawServer hands each request to a function that writes the answer byte by byte. It counts connections and requests.
type rawServer struct {
	listener net.Listener
	conns    atomic.Int32
	requests atomic.Int32
}

func serveRaw(answer func(n int, request *http.Request, conn net.Conn) (keep bool)) *rawServer {
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
			go s.serve(conn, answer)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, answer func(int, *http.Request, net.Conn) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !answer(int(s.requests.Add(1)), request, conn) {
			return
		}
	}
}

func (s *rawServer) endpoint() upstream.Endpoint {
	return upstream.Endpoint{ID: "i-1", Address: s.listener.Addr().String()}
}

func request(id string) *upstream.Request {
	return &upstream.Request{
		Method: http.MethodGet, Target: "/p/x?q=1", Host: "h.example", Header: http.Header{"X-Id": {id}},
		Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func full(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func read(pool *upstream.Pool, to upstream.Endpoint, r *upstream.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := pool.Send(ctx, to, r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

var _ = Describe("Pool", func() {
	It("sends a request as it is, and keeps the connection for the next", func() {
		var targets []string
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			targets = append(targets, r.Method+" "+r.RequestURI+" "+r.Host)
			_, _ = io.WriteString(c, full(r.Header.Get("X-Id"), "body"))
			return true
		})
		pool := upstream.NewPool()
		for _, id := range []string{"a", "b", "c"} {
			Expect(read(pool, s.endpoint(), request(id))).To(Equal("body"))
		}
		Expect(s.conns.Load()).To(Equal(int32(1)))
		Expect(targets).To(HaveEach("GET /p/x?q=1 h.example"))
	})

	// A server closes a kept connection just as the next request is written to it. A client library that repeats the request by
	// itself makes a booking run twice.
	It("sends a request once, also when the connection ends without an answer", func() {
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			if n == 1 {
				_, _ = io.WriteString(c, full("a", "body"))
				return true
			}
			return false
		})
		pool := upstream.NewPool()
		Expect(read(pool, s.endpoint(), request("a"))).To(Equal("body"))
		_, err := read(pool, s.endpoint(), request("b"))
		Expect(errors.Is(err, upstream.ErrOutcomeUnknown)).To(BeTrue())
		Consistently(s.requests.Load, "100ms").Should(Equal(int32(2)))
	})

	It("says that nothing was sent when nobody listens", func() {
		s := serveRaw(func(int, *http.Request, net.Conn) bool { return true })
		Expect(s.listener.Close()).To(Succeed())
		_, err := read(upstream.NewPool(), s.endpoint(), request("a"))
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeTrue())
	})

	// A faulty server answers twice. The second copy arrives before the next request is sent, or while that one waits; a caller
	// would get the answer to somebody else's request.
	DescribeTable("never hands out the answer to another request",
		func(pause time.Duration) {
			s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
				id := r.Header.Get("X-Id")
				_, _ = io.WriteString(c, full(id, "for "+id))
				if n == 1 {
					time.Sleep(pause)
					_, _ = io.WriteString(c, full(id, "for "+id))
				}
				return true
			})
			pool := upstream.NewPool()
			Expect(read(pool, s.endpoint(), request("a"))).To(Equal("for a"))
			Expect(read(pool, s.endpoint(), request("b"))).To(Equal("for b"))
			Expect(read(pool, s.endpoint(), request("c"))).To(Equal("for c"))
		},
		Entry("when it comes at once", time.Duration(0)),
		Entry("when it comes late", 20*time.Millisecond),
	)

	// An answer is cut short. Taken for whole, the caller would act on half of it.
	It("tells an answer that ends early from a whole one", func() {
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, strings.TrimSuffix(full("a", "whole body"), "body"))
			return false
		})
		_, err := read(upstream.NewPool(), s.endpoint(), request("a"))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("takes the end of the connection for the end of an answer without a length", func() {
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it")
			return false
		})
		Expect(read(upstream.NewPool(), s.endpoint(), request("a"))).To(Equal("all of it"))
	})

	// The last bytes of a stream and its end arrive together, and the connection is given back or closed. Whoever then ends the
	// request's context would cut the next request on the connection off.
	It("leaves the connection alone once the answer has ended", func() {
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			id := r.Header.Get("X-Id")
			if n == 2 {
				time.Sleep(50 * time.Millisecond)
			}
			_, _ = io.WriteString(c, full(id, "for "+id))
			return true
		})
		pool := upstream.NewPool()
		ctx, cancelFirst := context.WithCancel(context.Background())
		defer cancelFirst()
		first, err := pool.Send(ctx, s.endpoint(), request("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(first.Body)).To(Equal([]byte("for a")))
		second := make(chan error, 1)
		go func() {
			_, err := read(pool, s.endpoint(), request("b"))
			second <- err
		}()
		Eventually(s.requests.Load).Should(Equal(int32(2)))
		cancelFirst()
		Expect(first.Body.Close()).To(Succeed())
		Eventually(second, "5s").Should(Receive(BeNil()))
	})

	// A server rejects a long body before it is in, and reads on. Another request on that connection would land in the middle of
	// the body.
	It("ends a connection on which the answer came before the body was out", func() {
		release := make(chan struct{})
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			if n == 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n")
				<-release
				_, _ = io.Copy(io.Discard, r.Body)
				return true
			}
			_, _ = io.WriteString(c, full(r.Header.Get("X-Id"), "ok"))
			return true
		})
		pool := upstream.NewPool()
		long := request("a")
		long.Method = http.MethodPost
		long.Body = make([]byte, 32<<20)
		answer, err := pool.Send(context.Background(), s.endpoint(), long)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(http.StatusRequestEntityTooLarge))
		_, err = io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		close(release)
		Expect(read(pool, s.endpoint(), request("b"))).To(Equal("ok"))
		Expect(s.conns.Load()).To(Equal(int32(2)))
	})

	// The caller has gone. A server that is not told works on for nobody.
	It("ends the connection when the request is given up", func() {
		gone := make(chan struct{})
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			_, _ = c.Read(make([]byte, 1))
			close(gone)
			return false
		})
		ctx, cancel := context.WithCancel(context.Background())
		sent := make(chan error, 1)
		go func() {
			_, err := upstream.NewPool().Send(ctx, s.endpoint(), request("a"))
			sent <- err
		}()
		Eventually(s.requests.Load).Should(Equal(int32(1)))
		cancel()
		Eventually(sent).Should(Receive(HaveOccurred()))
		Eventually(gone).Should(BeClosed())
	})

	It("lets connections go that are idle for too long, or lead to a server that is no longer known", func() {
		s := serveRaw(func(n int, r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, full(r.Header.Get("X-Id"), "ok"))
			return true
		})
		pool := upstream.NewPool()
		Expect(read(pool, s.endpoint(), request("a"))).To(Equal("ok"))
		pool.CloseStale(func(upstream.Endpoint) bool { return false })
		Expect(read(pool, s.endpoint(), request("b"))).To(Equal("ok"))
		Expect(s.conns.Load()).To(Equal(int32(2)))
	})
})
