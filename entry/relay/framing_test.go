package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// unframedStream is a stream of six events, of which eventsFrom returns those that follow the first ones.
var unframedStream = replica.Config{Events: 6, EventInterval: 10 * time.Millisecond}

func eventsFrom(first, last int) string {
	text := ""
	for i := first; i <= last; i++ {
		text += replica.Event(i, "a1")
	}
	return text
}

// endsWithConnection reports whether an answer has neither a length nor chunks.
func endsWithConnection(got answer) bool { return got.length < 0 && len(got.encoding) == 0 }

var _ = Describe("Relay, if the server's answer ends with its connection,", func() {
	// A server crashes in the middle of a stream without length or chunks, and its kernel closes the connection in order. The caller gets half
	// of an event, in an answer that looks complete.
	It("resumes a stream that ends inside an event", func() {
		r := newHarness(unframedStream, 2)
		r.set(0, replica.Faults{Unframed: true, CloseAfter: 3, CloseInside: true})
		got := r.send(r.request(http.MethodPost, "/chat/x", "a1"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventsFrom(1, 6)))
		Expect(r.servers[1].Runs()).To(ConsistOf(HaveField("From", "3")))
		Expect(r.last().PartialEvent).To(BeTrue())
	})

	// The same, with a stream that may not be repeated.
	It("cuts a stream that ends inside an event and can't be resumed", func() {
		r := newHarness(unframedStream, 2)
		r.set(0, replica.Faults{Unframed: true, CloseAfter: 3, CloseInside: true})
		got := r.send(r.request(http.MethodPost, "/once/x", "a1"))
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).To(Equal(eventsFrom(1, 3)))
		Expect(r.world.RunCount("a1")).To(Equal(1))
		Eventually(func() relay.Outcome { return r.last().Outcome }).Should(Equal(relay.Cut))
	})

	// The server crashes between two events, or in the middle of an answer that is not a stream. Nobody can tell, and an answer that the entry
	// frames itself says that it is complete.
	DescribeTable("does not frame the answer as complete", func(config replica.Config, method, path, body string) {
		r := newHarness(config, 2)
		r.set(0, replica.Faults{Unframed: true, CloseAfter: 3})
		got := r.send(r.request(method, path, "a1"))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(body))
		Expect(endsWithConnection(got)).To(BeTrue(), "length %d, encoding %v", got.length, got.encoding)
		Expect(r.last().Outcome).To(Equal(relay.Served))
	},
		Entry("a stream that may be resumed", unframedStream, http.MethodPost, "/chat/x", eventsFrom(1, 3)),
		Entry("a stream that may not be repeated", unframedStream, http.MethodPost, "/once/x", eventsFrom(1, 3)),
		Entry("a repeatable request", replica.Config{}, http.MethodGet, "/look/x", "answer"),
		Entry("a request that may not be repeated", replica.Config{}, http.MethodPost, "/book/x", "answer"),
	)

	// The server crashes between two events, which shows in that nothing listens at its address any more. The caller would get a part, and could not
	// tell.
	It("resumes a stream whose server has crashed", func() {
		r := newHarness(unframedStream, 2)
		r.set(0, replica.Faults{Unframed: true, CloseAfter: 3, CloseCrashes: true})
		got := r.send(r.request(http.MethodPost, "/chat/x", "a1"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventsFrom(1, 6)))
		Expect(r.servers[1].Runs()).To(ConsistOf(HaveField("From", "3")))
	})

	// A request that crashes its server would be cleared by each answer that the crash cuts off, and crash one server after the other.
	DescribeTable("has the server checked, and does not take the request for finished", func(config replica.Config, path string) {
		r := newHarness(config, 1)
		r.set(0, replica.Faults{Unframed: true})
		Expect(r.send(r.request(http.MethodPost, path, "a1")).status).To(Equal(http.StatusOK))
		Eventually(func() []backend.ID { _, lost := r.suspects.calls(); return lost }).Should(ConsistOf(BeEquivalentTo("i-0")))
		finished, _ := r.suspects.calls()
		Expect(finished).To(BeZero())
	}, Entry("a stream", unframedStream, "/chat/x"), Entry("another answer", replica.Config{}, "/book/x"))

	// The stream began at a server that sends chunks, and goes on at one that closes its connection between two events.
	It("does not end in order a chunked stream that was resumed there", func() {
		r := newHarness(unframedStream, 2)
		r.set(0, replica.Faults{ResetAfter: 2})
		r.set(1, replica.Faults{Unframed: true, CloseAfter: 4})
		got := r.send(r.request(http.MethodPost, "/chat/x", "a1"))
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).To(Equal(eventsFrom(1, 4)))
	})
})

var _ = Describe("Relay, if a caller's answer ends with its connection,", func() {
	// Callers of HTTP/1.0 get neither a length nor chunks. Closed in order, a stream that was cut looks complete.
	It("resets the connection of a stream that broke off", func() {
		r := newHarness(unframedStream, 1)
		r.set(0, replica.Faults{ResetAfter: 3})
		caller, err := net.Dial("tcp", strings.TrimPrefix(r.gateway.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		fmt.Fprintf(caller, "POST /once/x HTTP/1.0\r\nHost: h.example\r\n%s: key\r\n%s: a1\r\nContent-Length: 0\r\n\r\n",
			platform.HeaderKey, platform.HeaderRequestID)
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
	})

	// Guards against a part of an answer that looks complete because the entry ends while its caller still reads.
	It("resets the connection of an answer that was written in part as the entry ends", func() {
		r := newHarness(replica.Config{}, 0)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			w.Header().Set(platform.HeaderSignature, "signed")
			w.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
			framing.EndWithConnection(w.Header())
			_, _ = w.Write(make([]byte, 900<<10)) // the relay may have given up
		}))
		DeferCleanup(server.Close)
		r.turns.servers = []*backend.Server{{ID: "i-0", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1}}
		gateway := httptest.NewUnstartedServer(r.relay)
		gateway.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			Expect(conn.(*net.TCPConn).SetWriteBuffer(4 << 10)).To(Succeed())
			return framing.WithConn(ctx, conn)
		}
		gateway.Start()
		DeferCleanup(gateway.Close)
		caller, err := net.Dial("tcp", strings.TrimPrefix(gateway.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		Expect(caller.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
		DeferCleanup(caller.Close)
		fmt.Fprintf(caller, "POST /book/x HTTP/1.1\r\nHost: h.example\r\n%s: key\r\n%s: a1\r\nContent-Length: 0\r\n\r\n",
			platform.HeaderKey, platform.HeaderRequestID)
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Eventually(r.relay.Unfinished).Should(ConsistOf(HaveField("Stage", relay.Answering)))
		Expect(gateway.Config.Close()).To(Succeed())
		part, err := io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred(), "%d bytes", len(part))
	})
})

var _ = Describe("Relay, given a complete answer that ends with its connection,", func() {
	// Servers that mark the end of their answers in this way are sound. Cut or sent again, their answers would be lost or run twice.
	DescribeTable("passes it on and does not send the request again", func(config replica.Config, method, path, body string) {
		r := newHarness(config, 2)
		r.set(0, replica.Faults{Unframed: true})
		got := r.send(r.request(method, path, "a1"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(body))
		Expect(got.header.Get(platform.HeaderSignature)).To(Equal("signed.i-0"))
		Expect(r.world.RunCount("a1")).To(Equal(1))
		Expect(r.last().Outcome).To(Equal(relay.Served))
	},
		Entry("a stream that may be resumed", unframedStream, http.MethodPost, "/chat/x", eventsFrom(1, 6)),
		Entry("a stream that may not be repeated", unframedStream, http.MethodPost, "/once/x", eventsFrom(1, 6)),
		Entry("a repeatable request", replica.Config{}, http.MethodGet, "/look/x", "answer to a1"),
		Entry("a request that may not be repeated", replica.Config{}, http.MethodPost, "/book/x", "answer to a1"),
	)
})
