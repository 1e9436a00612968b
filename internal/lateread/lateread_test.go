package lateread_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/lateread"
)

func TestLateRead(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reads after their deadline")
}

// shortDeadline is a timeout that has expired when the test reads.
const shortDeadline = 30 * time.Millisecond

var _ = Describe("Listener", func() {
	var (
		serverConn net.Conn
		clientConn net.Conn
	)
	BeforeEach(func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := lateread.Listen(inner)
		DeferCleanup(listener.Close)
		clientConn, err = net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(clientConn.Close)
		serverConn, err = listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(serverConn.Close)
	})

	send := func(text string) {
		GinkgoHelper()
		_, err := clientConn.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}

	// A process is paused, as on a suspended VM, for longer than the header timeout, and a request arrives during the pause. When the
	// process resumes, the deadline has passed before its first read, and the connection would be reset with the request unread.
	It("reads data that arrived before the first read, after the deadline", func() {
		Expect(serverConn.SetReadDeadline(time.Now().Add(shortDeadline))).To(Succeed())
		send("GET")
		time.Sleep(2 * shortDeadline)
		buffer := make([]byte, 3)
		_, err := io.ReadFull(serverConn, buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(buffer)).To(Equal("GET"))
	})

	It("still times out for a client that sends nothing", func() {
		Expect(serverConn.SetReadDeadline(time.Now().Add(shortDeadline))).To(Succeed())
		_, err := serverConn.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
	})

	// A client sends single bytes at long intervals. If each late byte allowed another late read, it could keep its connection open
	// forever.
	It("extends a deadline no more than once", func() {
		Expect(serverConn.SetReadDeadline(time.Now().Add(shortDeadline))).To(Succeed())
		send("x")
		time.Sleep(2 * shortDeadline)
		_, err := serverConn.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		_, err = serverConn.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
		send("x")
		_, err = serverConn.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
	})

	// The HTTP server aborts its background read by setting a deadline in the past. If that read continued, it would consume bytes of
	// the next request.
	It("does not extend a deadline that is in the past when it is set", func() {
		send("x")
		Expect(serverConn.SetReadDeadline(time.Unix(1, 0))).To(Succeed())
		_, err := serverConn.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
	})

	It("serves HTTP, several requests on one connection", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{
			ReadHeaderTimeout: time.Second,
			Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		}
		go func() { _ = server.Serve(lateread.Listen(inner)) }()
		DeferCleanup(server.Close)
		for range 3 {
			response, err := http.Get("http://" + inner.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(string(body)).To(Equal("ok"))
		}
	})
})
