package relay_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// newIsolated returns an entry that is isolated from its servers, with other entries that reach servers of their own.
func newIsolated(peers int) *harness {
	r := newHarness(unframedStream, 2)
	r.isolation.isolated.Store(true)
	for range peers {
		r.peers = append(r.peers, newHarness(unframedStream, 2))
	}
	return r
}

func (r *harness) runs() int {
	n := 0
	for _, server := range r.servers {
		n += len(server.Runs())
	}
	return n
}

var _ = Describe("Relay of an isolated entry", func() {
	// All backend servers are out of reach, while other entries reach them. Each request would be held for three connection attempts and be
	// refused.
	DescribeTable("has requests served by another entry", func(method, path string) {
		r := newIsolated(1)
		got := r.send(r.request(method, path, "a1"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(eventsFrom(1, 6)))
		Expect(got.header.Get(platform.HeaderSignature)).To(Equal("signed.i-0"))
		Expect(r.runs()).To(BeZero())
		Expect(r.peers[0].servers[0].Runs()).To(ConsistOf(And(HaveField("Team", "one"), HaveField("Key", ""), HaveField("Deadline", BeNumerically(">", 0)))))
		Expect(r.last().Via).To(Equal("peer-0"))
		Expect(r.last().Outcome).To(Equal(relay.Served))
		Expect(r.peers[0].last().Forwarded).To(BeTrue())
	},
		Entry("a stream", http.MethodPost, "/chat/x"),
		Entry("a repeatable request", http.MethodGet, "/look/x"),
		Entry("a request that may not be repeated", http.MethodPost, "/book/x"),
	)

	// Counted at both entries, a request would earn or use up twice as many retries as it may.
	It("leaves the retry budget to the other entry", func() {
		r := newIsolated(1)
		for _, entry := range []*harness{r, r.peers[0]} {
			for entry.retries.Take("s", time.Second) {
			}
		}
		Expect(r.send(r.request(http.MethodPost, "/book/x", "a1")).status).To(Equal(http.StatusOK))
		Expect(r.retries.Take("s", time.Second)).To(BeFalse())
	})

	// Two entries that are both cut off would pass a request to each other until its time is over.
	It("tries a third entry if the other one is isolated as well, and then its own servers", func() {
		r := newIsolated(3)
		r.peers[0].isolation.isolated.Store(true)
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(r.last().Via).To(Equal("peer-1"))
		r.peers[1].isolation.isolated.Store(true)
		Expect(r.send(r.request(http.MethodPost, "/book/x", "a2")).status).To(Equal(http.StatusOK))
		Expect(r.runs()).To(Equal(1))
		Expect(r.peers[2].runs()).To(BeZero())
	})

	// An entry that learns of a configuration later than its neighbour would answer its callers by the older one.
	It("has no request served by an entry with an older configuration", func() {
		r := newIsolated(2)
		request := r.request(http.MethodPost, "/book/x", "a1")
		request.Header.Set(platform.HeaderForwarded, "0,4")
		got := r.send(request)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get(platform.HeaderNotRun)).NotTo(BeEmpty())
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// The other entry has no turn. Its caller has to be told when to come back, and that the request has not run.
	It("passes a refusal of the other entry on", func() {
		r := newIsolated(1)
		r.peers[0].turns.servers = nil
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).To(Equal("0.700"))
		Expect(r.last().Outcome).To(Equal(relay.Refused))
	})

	// The other entry's server ran the request and its answer was lost. Sent again, the booking would run twice.
	It("does not send a request again that may have run", func() {
		r := newIsolated(2)
		r.peers[0].set(0, replica.Faults{LoseAnswer: true})
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(r.peers[0].runs()).To(Equal(1))
		Expect(r.peers[1].runs() + r.runs()).To(BeZero())
		Expect(r.last().Outcome).To(Equal(relay.Unknown))
	})

	// Both entries would make all attempts that the route allows, each on a server of its own.
	It("has no more attempts made than the route allows", func() {
		r := newHarness(unframedStream, 1)
		peer := newHarness(unframedStream, 2)
		r.peers = []*harness{peer}
		r.set(0, replica.Faults{ResetAfter: 2})
		peer.set(0, replica.Faults{ResetAfter: 2})
		r.isolation.isolated.Store(false)
		go func() {
			time.Sleep(5 * time.Millisecond)
			r.isolation.isolated.Store(true)
		}()
		got := r.send(r.request(http.MethodPost, "/chat/x", "a1"))
		Expect(got.err).To(HaveOccurred())
		Expect(r.runs() + peer.runs()).To(Equal(2))
	})

	// The stream was open when the connections were lost.
	It("resumes a stream through another entry", func() {
		r := newHarness(unframedStream, 1)
		r.peers = []*harness{newHarness(unframedStream, 1)}
		r.set(0, replica.Faults{StallAfter: 3})
		time.AfterFunc(100*time.Millisecond, func() { r.isolation.isolated.Store(true) })
		got := r.send(r.request(http.MethodPost, "/chat/x", "a1"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventsFrom(1, 6)))
		Expect(r.peers[0].servers[0].Runs()).To(ConsistOf(HaveField("From", "3")))
		Expect(r.isolation.suspicions.Load()).To(BeNumerically(">=", 1))
	})

	// The entry reaches some servers, but none of those that the request is sent to.
	It("has a request served by another entry after it failed to reach two servers, though it is not isolated", func() {
		r := newHarness(unframedStream, 3)
		r.peers = []*harness{newHarness(unframedStream, 1)}
		r.servers[0].Close()
		r.servers[1].Close()
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(r.last().Via).To(Equal("peer-0"))
	})

	It("cancels the request at the other entry's server when its caller leaves", func() {
		r := newIsolated(1)
		r.peers[0].servers[0].SetStream(1000, 20*time.Millisecond)
		client := &http.Client{Timeout: 300 * time.Millisecond}
		_, err := client.Do(r.request(http.MethodPost, "/chat/x", "a1"))
		if err == nil {
			time.Sleep(300 * time.Millisecond)
		}
		client.CloseIdleConnections()
		Eventually(func() int { return len(r.peers[0].turns.ended()) }).Should(Equal(1))
	})

	It("marks no request to a server as passed on, whatever its caller sent", func() {
		header := http.Header{platform.HeaderForwarded: {"0,0"}}
		Expect(platform.ForwardHeader(header, platform.Forward{})).NotTo(HaveKey(platform.HeaderForwarded))
		for _, text := range []string{"", "1", "x,y", "1,-2"} {
			header.Set(platform.HeaderForwarded, text)
			Expect(platform.DecodeRequest(header).Forwarded).To(BeNil(), fmt.Sprintf("%q", text))
		}
	})
})
