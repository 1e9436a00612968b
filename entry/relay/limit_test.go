package relay_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

var _ = Describe("The limit that a server names", func() {
	// Guards against limits that are read from some kinds of answers only.
	It("is learned from whole answers, rejections, streams and the answers to resumed streams", func() {
		r := newHarness(replica.Config{Slots: 8, Events: 6, EventInterval: 5 * time.Millisecond}, 2)
		r.servers[0].NameLimit("2")
		r.servers[1].NameLimit("3.5")
		r.servers[0].SetFaults(replica.Faults{ResetAfter: 3})
		Expect(r.send(r.request(http.MethodPost, "/chat/x", "resumed")).status).To(Equal(http.StatusOK))
		Expect(r.limits.named()).To(Equal(map[backend.ID]float64{"i-0": 2, "i-1": 3.5}))

		r.servers[0].SetFaults(replica.Faults{Shed: true})
		r.servers[0].NameLimit("1")
		r.send(r.request(http.MethodGet, "/look/x", "rejected"))
		Expect(r.limits.named()).To(HaveKeyWithValue(backend.ID("i-0"), 1.0))
		r.servers[0].NameLimit()
		r.send(r.request(http.MethodGet, "/look/x", "none"))
		Expect(r.limits.named()).To(HaveKeyWithValue(backend.ID("i-0"), -1.0))
	})

	// An entry that was suspended finds a turn that was granted long ago. Sent by it, the request would meet others at the server.
	It("is kept to by giving back turns that have expired, without sending the request", func() {
		r := newHarness(replica.Config{Slots: 8}, 1)
		r.turns.expired = 2
		Expect(r.send(r.request(http.MethodPost, "/book/x", "late")).status).To(Equal(http.StatusOK))
		Expect(r.world.RunCount("late")).To(Equal(1))
		Expect(r.turns.ended()).To(HaveLen(3))
		Expect(r.turns.ended()[0].Unsent).To(BeTrue())
	})
})
