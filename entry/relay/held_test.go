package relay_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

var _ = Describe("Relay with requests that crash servers", func() {
	lost := func(r *harness) func() []backend.ID {
		return func() []backend.ID { _, lost := r.suspects.calls(); return lost }
	}

	// A request crashes every server that runs it, and its caller sends it repeatedly.
	It("refuses a request that is held back at once", func() {
		r := newHarness(replica.Config{}, 1)
		r.suspects.held = true
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).To(Equal("60.000"))
		Expect(got.body).To(ContainSubstring("part bad"))
		Expect(r.world.RunCount("a1")).To(BeZero())
		Expect(r.last().Outcome).To(Equal(relay.HeldBack))
		Expect(r.last().HeldBy).To(Equal([]string{"part bad"}))
	})

	It("describes a request by its content and the parts of its prompt", func() {
		r := newHarness(replica.Config{}, 1)
		request := r.request(http.MethodPost, "/book/x", "a1")
		request.Header.Set(platform.HeaderPromptParts, "aa:10,bb:20")
		Expect(r.send(request).status).To(Equal(http.StatusOK))
		Expect(r.suspects.traits).To(HaveLen(3))
		Expect(r.suspects.traits[1:]).To(Equal([]string{"part aa", "part bb"}))
	})

	// A request waits for its turn, and meanwhile requests like it have crashed servers.
	It("refuses a request that is held back while it waits for its turn", func() {
		r := newHarness(replica.Config{}, 1)
		r.suspects.held, r.suspects.heldFromCall = true, 1
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.world.RunCount("a1")).To(BeZero())
		Expect(r.turns.ended()).To(HaveLen(1))
		Expect(r.turns.ended()[0].Rejected).To(BeTrue())
	})

	// It has taken one server down. "Not run" would be untrue.
	DescribeTable("sends a request that is held back meanwhile to no second server", func(path string, faults replica.Faults, status int) {
		r := newHarness(replica.Config{Events: 4}, 2)
		r.suspects.held, r.suspects.heldFromCall = true, 2
		r.set(0, faults)
		Expect(r.send(r.request(http.MethodPost, path, "a1")).status).To(Equal(status))
		Expect(r.world.RunCount("a1")).To(Equal(1))
		Expect(r.last().HeldBy).To(Equal([]string{"part bad"}))
		Expect(r.turns.ended()).To(HaveLen(2), "the turn at the second server is given back")
	},
		Entry("without an answer", "/look/x", replica.Faults{LoseAnswer: true}, http.StatusBadGateway),
		Entry("in the middle of a stream", "/chat/x", replica.Faults{ResetAfter: 2}, http.StatusOK),
	)

	// Sent once more, it takes a second server down.
	DescribeTable("sends a request that a server broke off, and that is suspected, to no second server", func(path string, faults replica.Faults) {
		r := newHarness(replica.Config{Events: 4}, 2)
		r.suspects.suspected = true
		r.set(0, faults)
		r.send(r.request(http.MethodPost, path, "a1"))
		Expect(r.world.RunCount("a1")).To(Equal(1))
	},
		Entry("without an answer", "/look/x", replica.Faults{LoseAnswer: true}),
		Entry("in the middle of a stream", "/chat/x", replica.Faults{ResetAfter: 2}),
	)

	// A failure that the server tells of is no crash.
	It("sends a suspected request to a second server if the first one only failed", func() {
		r := newHarness(replica.Config{}, 2)
		r.suspects.suspected = true
		r.set(0, replica.Faults{FailStatus: 500})
		Expect(r.send(r.request(http.MethodPost, "/look/x", "a1")).status).To(Equal(http.StatusOK))
	})

	It("sends a request on trial once, to one server", func() {
		r := newHarness(replica.Config{}, 2)
		r.suspects.held, r.suspects.trial = true, true
		r.set(0, replica.Faults{LoseAnswer: true})
		Expect(r.send(r.request(http.MethodPost, "/look/x", "a1")).status).To(Equal(http.StatusBadGateway))
		Expect(r.world.RunCount("a1")).To(Equal(1))
		Expect(r.last().OnTrial).To(BeTrue())
		Expect(r.send(r.request(http.MethodPost, "/look/x", "a2")).status).To(Equal(http.StatusServiceUnavailable))
	})

	It("has a server checked that closed its connection in the middle of a request", func() {
		r := newHarness(replica.Config{Events: 4}, 3)
		r.set(0, replica.Faults{LoseAnswer: true})
		r.set(1, replica.Faults{ResetAfter: 1})
		Expect(r.send(r.request(http.MethodPost, "/look/x", "a1")).status).To(Equal(http.StatusBadGateway))
		Eventually(lost(r)).Should(ConsistOf(BeEquivalentTo("i-0"), BeEquivalentTo("i-1")))
		r.set(0, replica.Faults{})
		Expect(r.send(r.request(http.MethodPost, "/chat/x", "a2")).status).To(Equal(http.StatusOK))
		finished, _ := r.suspects.calls()
		Expect(finished).To(Equal(1))
	})

	// A sound stream is lost with its server. Its first part would be suspected like that of the request that crashed the server.
	DescribeTable("says whether a stream had got past its beginning", func(events int, progressed bool) {
		r := newHarness(replica.Config{Events: 8}, 1)
		r.set(0, replica.Faults{ResetAfter: events})
		r.send(r.request(http.MethodPost, "/once/x", "a1"))
		Eventually(lost(r)).Should(HaveLen(1))
		r.suspects.mu.Lock()
		defer r.suspects.mu.Unlock()
		Expect(r.suspects.progressed).To(HaveLen(map[bool]int{true: 1}[progressed]))
	},
		Entry("one event", 1, false),
		Entry("five events", 5, true),
	)

	// A server answers 500 or, at the deadline, 504 without having begun with the answer. Taken for an answer in full, it would release a part that
	// crashes servers.
	It("does not take a failure for an answer in full", func() {
		r := newHarness(replica.Config{}, 1)
		r.set(0, replica.Faults{FailStatus: 504})
		Expect(r.send(r.request(http.MethodPost, "/book/x", "a1")).status).To(Equal(http.StatusGatewayTimeout))
		finished, _ := r.suspects.calls()
		Expect(finished).To(BeZero())
	})
})
