package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
	"github.com/skylarkpond/skylarkpond/policy/stopping"
)

var _ = Describe("A request that can't be served", func() {
	var r *harness
	BeforeEach(func() { r = newHarness(replica.Config{Slots: 8}, 1) })

	// connect sends bytes on a new connection.
	connect := func(sent string) *net.TCPConn {
		GinkgoHelper()
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.gateway.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = io.WriteString(conn, sent)
		Expect(err).NotTo(HaveOccurred())
		return conn.(*net.TCPConn)
	}
	header := func(path string, deadline time.Duration) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: id\r\n%s: key\r\n%s: %d\r\nContent-Length: 4\r\n\r\n",
			path, platform.HeaderRequestID, platform.HeaderKey, platform.HeaderDeadline, deadline.Milliseconds())
	}
	receive := func(conn net.Conn) *http.Response {
		GinkgoHelper()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response
	}
	send := func(path string) chan answer {
		answers := make(chan answer, 1)
		request := r.request(http.MethodPost, path, "id")
		go func() { answers <- r.send(request) }()
		return answers
	}
	inStage := func(stage relay.Stage) {
		GinkgoHelper()
		Eventually(r.relay.Unfinished).Should(ConsistOf(HaveField("Stage", stage)))
	}

	// Guards against connections that are closed without an answer when the request's own deadline passes before its body is read.
	It("is answered when its body is late", func() {
		conn := connect(header("/book/x", 200*time.Millisecond) + "bo")
		Expect(receive(conn).StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(r.world.RunCount("id")).To(BeZero())
	})

	// Guards against rejections that are held back until the rest of the body arrives.
	It("is answered when it is rejected before its body has arrived", func() {
		conn := connect(header("/none/x", 5*time.Second) + "bo")
		response := receive(conn)
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		Expect(response.Close).To(BeTrue())
	})

	// Guards against a read deadline that is set right behind a body, and ends the context of each later request on the connection.
	It("costs no later request its answer when its time ends while its body is read", func() {
		server := httptest.NewUnstartedServer(r.relay)
		server.Listener = slowDeadlines{server.Listener}
		server.Start()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		reader := bufio.NewReader(conn)
		_, err = io.WriteString(conn, header("/book/x", deadlineDelay))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * deadlineDelay / 2) // the time is over, and the read deadline is not set yet
		_, err = io.WriteString(conn, "body")
		Expect(err).NotTo(HaveOccurred())
		first, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, first.Body)
		Expect(err).NotTo(HaveOccurred())
		if first.Close {
			return
		}
		_, err = io.WriteString(conn, header("/book/x", 5*time.Second)+"body")
		Expect(err).NotTo(HaveOccurred())
		second, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against the empty success that net/http sends for a handler that returns without an answer.
	DescribeTable("gets no success when its caller closes its sending side",
		func(path string, faults replica.Faults, waiting bool, status int) {
			r.turns.waiting = waiting
			r.set(0, faults)
			conn := connect(header(path, 5*time.Second) + "body")
			time.Sleep(50 * time.Millisecond)
			Expect(conn.CloseWrite()).To(Succeed())
			Expect(receive(conn).StatusCode).To(Equal(status))
		},
		Entry("while it waits for a turn", "/book/x", replica.Faults{}, true, http.StatusServiceUnavailable),
		Entry("at a server", "/book/x", replica.Faults{Unresponsive: true}, false, http.StatusBadGateway),
		Entry("before the first event of a stream", "/chat/x", replica.Faults{Unresponsive: true}, false, http.StatusBadGateway),
	)

	// Guards against requests that could be rejected and end with the process instead.
	It("is rejected when the process ends while it waits for a turn", func() {
		r.turns.waiting = true
		answers := send("/book/x")
		inStage(relay.Waiting)
		r.relay.EndRequests()
		var got answer
		Eventually(answers).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get(platform.HeaderRetryAfter)).NotTo(BeEmpty())
		Expect(r.relay.Unfinished()).To(BeEmpty())
	})

	It("is rejected when the process ends before its body is read", func() {
		conn := connect(header("/book/x", 5*time.Second) + "bo")
		inStage(relay.ReadingBody)
		r.relay.EndRequests()
		response := receive(conn)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(platform.HeaderRetryAfter)).NotTo(BeEmpty())
	})

	// Guards against an answer that promises that a request has not run although it may have.
	It("fails when the process ends while it is at a server", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		received := make(chan net.Conn, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil && request.Header.Get(platform.HeaderRequestID) == "id" {
				received <- conn
			}
		}()
		r.turns.servers[0].Address = listener.Addr().String()
		answers := send("/book/x")
		var conn net.Conn
		Eventually(received, 10*time.Second).Should(Receive(&conn))
		DeferCleanup(conn.Close)
		r.relay.EndRequests()
		var got answer
		Eventually(answers, 10*time.Second).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusBadGateway))
	})

	// Guards against callers that send their next request to a process that is about to exit.
	It("closes its connection if the entry began to stop while it was in progress", func() {
		r.set(0, replica.Faults{Unresponsive: true})
		conn := connect(header("/book/x", 5*time.Second) + "body")
		inStage(relay.AtServer)
		r.relay.Stop(stopping.NewPlan(8 * time.Second))
		r.relay.EndRequests()
		response := receive(conn)
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(response.Close).To(BeTrue())
	})

	// Guards against requests that a stopping process accepts although they may outlast it.
	It("is rejected at once if it may last longer than a stopping process", func() {
		r.relay.Stop(stopping.Plan{Answer: 3 * time.Second, Exit: 3 * time.Second})
		var got answer
		Eventually(send("/chat/x")).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get(platform.HeaderRetryAfter)).NotTo(BeEmpty())
		Eventually(send("/book/x")).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
	})
})

// deadlineDelay is how long slowDeadlines delays a read deadline.
const deadlineDelay = 100 * time.Millisecond

// slowDeadlines is a listener on whose connections a read deadline of the present is set late, and in force for a while, as when the process gets no processor time.
type slowDeadlines struct{ net.Listener }

func (l slowDeadlines) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return slowDeadlineConn{accepted}, err
}

type slowDeadlineConn struct{ net.Conn }

func (c slowDeadlineConn) SetReadDeadline(t time.Time) error {
	if age := time.Since(t); age >= 0 && age < time.Second {
		time.Sleep(deadlineDelay)
		defer time.Sleep(deadlineDelay)
	}
	return c.Conn.SetReadDeadline(t)
}
