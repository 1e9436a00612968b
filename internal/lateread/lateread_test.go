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

// passed is a deadline that is over by the time it is looked at.
const passed = 30 * time.Millisecond

var _ = Describe("Listener", func() {
	var (
		ours   net.Conn
		theirs net.Conn
	)
	BeforeEach(func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := lateread.Listen(inner)
		DeferCleanup(listener.Close)
		theirs, err = net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(theirs.Close)
		ours, err = listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ours.Close)
	})

	say := func(text string) {
		GinkgoHelper()
		_, err := theirs.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}

	// A process stands still, as a suspended VM does, for longer than callers may take to send a header. A caller sent its request meanwhile.
	// When the process goes on, the deadline is over before it has looked, and the caller's connection is reset with the request unread.
	It("reads what came before it could look", func() {
		Expect(ours.SetReadDeadline(time.Now().Add(passed))).To(Succeed())
		say("GET")
		time.Sleep(2 * passed)
		buffer := make([]byte, 3)
		_, err := io.ReadFull(ours, buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(buffer)).To(Equal("GET"))
	})

	It("still ends the wait for a caller that sends nothing", func() {
		Expect(ours.SetReadDeadline(time.Now().Add(passed))).To(Succeed())
		_, err := ours.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
	})

	// A caller sends a byte now and then, for ever. Were each late byte to open another late read, it would hold its connection for ever.
	It("gives a deadline no more than one extension", func() {
		Expect(ours.SetReadDeadline(time.Now().Add(passed))).To(Succeed())
		say("x")
		time.Sleep(2 * passed)
		_, err := ours.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		_, err = ours.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
		say("x")
		_, err = ours.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
	})

	// The HTTP server ends its own read with a deadline that is long over. Were that read to go on, it would take the next request's bytes.
	It("leaves a read alone that is to end at once", func() {
		say("x")
		Expect(ours.SetReadDeadline(time.Unix(1, 0))).To(Succeed())
		_, err := ours.Read(make([]byte, 1))
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
