package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
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
	// Guards against connections that are closed without an answer when the request's own deadline passes before its body is read.
	It("is answered when its body is late", func() {
		conn := connect(header("/book/x", 200*time.Millisecond) + "bo")
		Expect(receive(conn).StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(r.world.RunCount("id")).To(BeZero())
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
})
