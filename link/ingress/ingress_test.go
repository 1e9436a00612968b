package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/link/ingress"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connections of callers")
}

// served is a server on a loopback address, with the requests that it left unanswered.
type served struct {
	*ingress.Server
	address string
	done    chan error

	mu         sync.Mutex
	unanswered []ingress.Unanswered
}

func serve(handler http.HandlerFunc, options ...func(*http.Server)) *served {
	GinkgoHelper()
	inner := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	for _, option := range options {
		option(inner)
	}
	return serveServer(inner)
}

// serveWith is serve with options of the server.
func serveWith(handler http.HandlerFunc, options ...ingress.Option) *served {
	GinkgoHelper()
	return serveServer(&http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}, options...)
}

func serveServer(inner *http.Server, options ...ingress.Option) *served {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &served{address: listener.Addr().String(), done: make(chan error, 1)}
	s.Server = ingress.New(inner, func(request ingress.Unanswered) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unanswered = append(s.unanswered, request)
	}, options...)
	go func() { s.done <- s.Serve(listener) }()
	DeferCleanup(s.Close)
	return s
}

// reported returns the requests that were left unanswered, of callers that had not closed their connections.
func (s *served) reported() []ingress.Unanswered {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []ingress.Unanswered
	for _, request := range s.unanswered {
		if !request.CallerClosed {
			list = append(list, request)
		}
	}
	return list
}

// caller is a client's connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *served) connect() *caller {
	GinkgoHelper()
	conn, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() }) // a spec may have closed it
	return &caller{conn, bufio.NewReader(conn)}
}

const request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"

// send sends a request and returns the status of the answer, whose body it reads.
func (c *caller) send() (status int, lastOnConnection bool, err error) {
	if _, err := io.WriteString(c, request); err != nil {
		return 0, false, err
	}
	return c.receive()
}

func (c *caller) receive() (status int, lastOnConnection bool, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}

func echo(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = fmt.Fprint(w, "answer")
}

const grace = 10 * time.Second

var _ = Describe("Server", func() {
	It("reports how far an unanswered request had come when its handler aborts", func() {
		s := serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		_, _, err := s.connect().send()
		Expect(err).To(HaveOccurred())
		Eventually(s.reported).Should(HaveLen(1))
		Expect(s.reported()[0].State).To(Equal(ingress.Handler))
	})

	// Guards against an unanswered request that is taken for answered because its caller was asked for the body.
	It("reports an unanswered request whose caller was asked to continue", func() {
		s := serve(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		})
		c := s.connect()
		_, err := io.WriteString(c, strings.Replace(request, "Host: h\r\n", "Host: h\r\nExpect: 100-continue\r\n", 1))
		Expect(err).NotTo(HaveOccurred())
		received, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(received)).To(Equal("HTTP/1.1 100 Continue\r\n\r\n"))
		Eventually(s.reported).Should(ConsistOf(HaveField("State", ingress.Handler)))
	})

	It("tells callers that left from those that got no answer", func() {
		begun := make(chan struct{})
		s := serve(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			close(begun)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		})
		c := s.connect()
		_, err := io.WriteString(c, request)
		Expect(err).NotTo(HaveOccurred())
		Eventually(begun).Should(BeClosed())
		Expect(s.Open()).To(ConsistOf(HaveField("State", ingress.Handler)))
		Expect(c.Close()).To(Succeed())
		Eventually(s.Open).Should(BeEmpty())
		Consistently(s.reported, 50*time.Millisecond).Should(BeEmpty())
	})

	It("reports nothing of answered requests and of idle connections", func() {
		s := serve(echo)
		c := s.connect()
		for range 3 {
			status, _, err := c.send()
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
		}
		Eventually(s.Open).Should(BeEmpty())
		Expect(s.Close()).To(Succeed())
		Consistently(s.reported, 50*time.Millisecond).Should(BeEmpty())
	})

	// Guards against requests that were read whole and dropped because the server was stopping.
	It("answers every request that it reads while it is shut down", func() {
		for range 5 {
			s := serve(echo)
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for range 100 {
				c := s.connect()
				callers.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						if _, last, err := c.send(); err != nil || last {
							return
						}
					}
				})
			}
			time.Sleep(50 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), grace)
			Expect(s.Shutdown(ctx)).To(Succeed())
			cancel()
			close(stop)
			callers.Wait()
			Expect(s.reported()).To(BeEmpty())
			Eventually(s.done).Should(Receive(BeNil()))
		}
	})

	// Guards against requests in several segments that are rejected as malformed because the server stops meanwhile.
	It("reads the rest of a request whose first bytes arrive as it is shut down", func() {
		var accepted atomic.Int32
		s := serve(echo, func(inner *http.Server) {
			inner.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
				accepted.Add(1)
				return ctx
			}
		})
		var callers []*caller
		for range 40 {
			callers = append(callers, s.connect())
		}
		Eventually(accepted.Load).Should(BeEquivalentTo(40))
		for _, c := range callers[:20] {
			_, err := io.WriteString(c, request[:len(request)/2])
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(s.Open).Should(HaveLen(20))
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		refused := func() bool {
			conn, err := net.Dial("tcp", s.address)
			if err == nil {
				_ = conn.Close()
			}
			return err != nil
		}
		Eventually(refused, grace, time.Millisecond).Should(BeTrue())
		for _, c := range callers[20:] {
			_, _ = io.WriteString(c, request[:len(request)/2]) // fails if it was closed while idle
		}
		time.Sleep(150 * time.Millisecond)
		answers := 0
		for _, c := range callers {
			if _, err := io.WriteString(c, request[len(request)/2:]); err != nil {
				continue // it was closed before anything was read
			}
			if status, _, err := c.receive(); err == nil {
				Expect(status).To(Equal(http.StatusOK))
				answers++
			}
		}
		Expect(answers).To(BeNumerically(">=", 20))
		Eventually(stopped, grace).Should(Receive(BeNil()))
	})
})
