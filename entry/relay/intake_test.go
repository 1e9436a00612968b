package relay_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/internal/crowd"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

var _ = Describe("The memory for bodies", func() {
	const largest = 1 << 20
	var r *harness
	var head string
	BeforeEach(func() {
		r = newHarness(replica.Config{Slots: 8}, 1)
		head = fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: h.example\r\n%s: id\r\n%s: key\r\n", platform.HeaderRequestID, platform.HeaderKey)
	})

	stall := func(count int, body crowd.Body) *crowd.Crowd {
		GinkgoHelper()
		before, _ := r.bodies.Held()
		stalled := crowd.Open(count, strings.TrimPrefix(r.gateway.URL, "http://"), crowd.Post(head, body))
		DeferCleanup(stalled.Close)
		Eventually(func() int64 { held, _ := r.bodies.Held(); return held }).Should(BeNumerically(">=", before+int64(count*body.Sent)))
		return stalled
	}
	send := func(path string, size int) answer {
		request := r.request(http.MethodPost, path, fmt.Sprint("body-", size))
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, size))), int64(size)
		return r.send(request)
	}

	It("serves a single request with a body of the largest legal size, and is free afterwards", func() {
		Expect(send("/book/x", largest).status).To(Equal(http.StatusOK))
		Expect(send("/book/x", largest+1).status).To(Equal(http.StatusRequestEntityTooLarge))
		Eventually(func() int64 { held, _ := r.bodies.Held(); return held }).Should(BeZero())
	})

	// Guards against bodies that stall a byte before their end and take the memory for all others until their deadline.
	It("is taken from bodies that stall once others need it, and their callers are told that they have not run", func() {
		stall(3, crowd.Body{Announced: largest, Sent: largest - 1})
		Eventually(func() int { return send("/look/x", largest).status }, "5s").Should(Equal(http.StatusOK))
		Eventually(r.outcomes).Should(ContainElement(relay.Refused))
		Expect(r.world.RunCount("id")).To(BeZero())
	})

	// Guards against a reset in place of the answer to a caller that sends slowly.
	It("is taken from a caller that sends on, which gets its answer", func() {
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.gateway.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		streamed := strings.Replace(head, "/book/", "/chat/", 1) // its timeout is longer
		go func() {
			_ = crowd.Post(streamed, crowd.Body{Announced: largest, Sent: largest - 1, Piece: 70 << 10, Pause: 1500 * time.Millisecond})(conn)
		}()
		Eventually(func() int64 { held, _ := r.bodies.Held(); return held }).Should(BeEquivalentTo(largest))
		stall(2, crowd.Body{Announced: largest, Sent: largest - 1})
		Eventually(func() int { return send("/look/x", largest).status }, "5s").Should(Equal(http.StatusOK))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against a crowd of large bodies that keeps small requests out.
	It("has room for small requests while large bodies take all that they may", func() {
		stall(3, crowd.Body{Announced: largest, Sent: largest - 1})
		got := send("/book/x", 100)
		Expect(got.status).To(Equal(http.StatusOK))
	})

	// Guards against a refusal without a time to return, or after most of the body was sent.
	It("refuses a large body that finds no room with when to return", func() {
		stall(3, crowd.Body{Announced: largest, Sent: largest - 1})
		got := send("/book/x", largest)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get(platform.HeaderRetryAfter)).To(Equal("1.000"))
	})
})

// outcomes returns how the requests ended so far.
func (r *harness) outcomes() []relay.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	var outcomes []relay.Outcome
	for _, report := range r.reports {
		outcomes = append(outcomes, report.Outcome)
	}
	return outcomes
}

// Guards against a request that another entry has passed on and that is told to come back although a third entry has room for its body.
var _ = It("A request that finds no room at the entry it was passed on to is passed on to another one", func() {
	const largest = 1 << 20
	r := newIsolated(2)
	full := r.peers[0]
	head := fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: h.example\r\n%s: id\r\n%s: key\r\n", platform.HeaderRequestID, platform.HeaderKey)
	stalled := crowd.Open(3, strings.TrimPrefix(full.gateway.URL, "http://"), crowd.Post(head, crowd.Body{Announced: largest, Sent: largest - 1}))
	DeferCleanup(stalled.Close)
	Eventually(func() int64 { held, _ := full.bodies.Held(); return held }).Should(BeEquivalentTo(3 * largest))
	request := r.request(http.MethodPost, "/look/x", "a1")
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, largest))), largest
	got := r.send(request)
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.status).To(Equal(http.StatusOK))
	Expect(r.last().Via).To(Equal("peer-1"))
	Expect(full.outcomes()).To(ContainElement(relay.Refused))
})
