package turn_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/backoff"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/upstream"
)

func newTracker(reported func(link.Up)) *backoff.Tracker {
	return backoff.New(backoff.Deps{
		SendToLeader: reported, Began: func(backoff.Pause) {}, Ended: func(backoff.Pause) {}, Withheld: func(backend.ID) {}, Invalid: func(backend.ID, string) {},
	})
}

// noPauses is an entry that no server has asked for a pause.
func noPauses() turn.Pauses { return newTracker(func(link.Up) {}) }

var _ = Describe("Servers that have asked for a pause", func() {
	one := &backend.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:1", Slots: 8, StartedAtMillis: 5}
	two := &backend.Server{ID: "i-2", Service: "s", Address: "10.0.0.2:1", Slots: 8, StartedAtMillis: 5}
	list := backend.NewListing(1, map[backend.ID]*backend.Server{one.ID: one, two.ID: two})
	listing := func() *backend.Listing { return list }
	table := route.NewTable(1, nil, []route.Service{{Name: "s"}}, nil, route.Limits{})
	var pauses *backoff.Tracker
	var local *turn.Local

	BeforeEach(func() {
		pauses = newTracker(func(link.Up) {})
		local = turn.NewLocal(listing, func() time.Duration { return 0 }, func() *route.Table { return table }, &fakeLimits{}, pauses)
	})

	ask := func(server *backend.Server, pause time.Duration) {
		pauses.Answered(upstream.EndpointOf(server), pause, "")
	}

	// A server that rejects at once has nothing in progress, and looked like the least loaded one.
	It("are sent nothing, and the others take the requests", func() {
		ask(one, time.Minute)
		for range 20 {
			t, refusal := local.Acquire(context.Background(), turn.Request{Service: "s"})
			Expect(refusal).To(BeNil())
			Expect(t.Server.ID).To(Equal(two.ID))
			t.Done(turn.Result{})
		}
	})

	// A caller must not wait for a server that is not back in time.
	It("are not waited for longer than a request may wait", func() {
		ask(one, 3*time.Second)
		ask(two, 5*time.Second)
		_, refusal := local.Acquire(context.Background(), turn.Request{Service: "s", MaxWait: time.Second})
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal(turn.Paused))
		Expect(refusal.RetryAfter).To(And(BeNumerically(">", 2900*time.Millisecond), BeNumerically("<", 4*time.Second)))
		Expect(refusal.Detail).To(ContainSubstring("i-1"))
	})

	It("are waited for if they are back in time", func() {
		ask(one, 100*time.Millisecond)
		ask(two, 5*time.Second)
		t, refusal := local.Acquire(context.Background(), turn.Request{Service: "s", MaxWait: time.Second})
		Expect(refusal).To(BeNil())
		Expect(t.Server.ID).To(Equal(one.ID))
	})

	// All requests that were held back would arrive in the moment in which the pause ends.
	It("are sent one request after the pause, and the others once they have accepted it", func() {
		ask(one, 20*time.Millisecond)
		ask(two, time.Minute)
		time.Sleep(30 * time.Millisecond)
		first, refusal := local.Acquire(context.Background(), turn.Request{Service: "s"})
		Expect(refusal).To(BeNil())
		_, refusal = local.Acquire(context.Background(), turn.Request{Service: "s"})
		Expect(refusal).NotTo(BeNil())
		first.Accepted()
		for range 3 {
			_, refusal = local.Acquire(context.Background(), turn.Request{Service: "s"})
			Expect(refusal).To(BeNil())
		}
	})

	// The leader may have granted the turn before it heard of the pause.
	It("are sent nothing by a turn of the leader, which is asked again", func() {
		remote := turn.NewRemote(local, listing, pauses)
		asked := make(chan link.Up, 10)
		remote.Attach(func(message link.Up) { asked <- message })
		ask(one, time.Minute)
		answers := make(chan *turn.Turn, 1)
		go func() {
			defer GinkgoRecover()
			t, refusal := remote.Acquire(context.Background(), turn.Request{Service: "s", Model: "m"})
			Expect(refusal).To(BeNil())
			answers <- t
		}()
		for _, head := range []backend.ID{one.ID, two.ID} {
			var request link.Up
			Eventually(asked).Should(Receive(&request, HaveField("TurnRequest", Not(BeNil()))))
			remote.HandleReply(link.Down{Grant: &link.Grant{Key: request.TurnRequest.Key, Head: head, Watched: true}})
			if head == one.ID {
				Eventually(asked).Should(Receive(HaveField("Done", HaveField("Unsent", true))))
			}
		}
		var granted *turn.Turn
		Eventually(answers).Should(Receive(&granted))
		Expect(granted.Server.ID).To(Equal(two.ID))
		granted.Accepted()
		Eventually(asked).Should(Receive(HaveField("Accepted", Not(BeZero()))))
	})

	// A later process at the same address has asked for nothing.
	It("are sent requests once they have started anew", func() {
		ask(one, time.Minute)
		anew := *one
		anew.StartedAtMillis = 9
		Expect(pauses.Remaining(one)).To(BeNumerically(">", 0))
		Expect(pauses.Remaining(&anew)).To(BeZero())
	})
})

var _ = Describe("Servers that report their load", func() {
	// What other entries send to a server is known from its answers alone.
	It("are chosen by it for a while", func() {
		one := &backend.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:1", Slots: 8}
		two := &backend.Server{ID: "i-2", Service: "s", Address: "10.0.0.2:1", Slots: 8}
		list := backend.NewListing(1, map[backend.ID]*backend.Server{one.ID: one, two.ID: two})
		table := route.NewTable(1, nil, []route.Service{{Name: "s"}}, nil, route.Limits{})
		local := turn.NewLocal(func() *backend.Listing { return list }, func() time.Duration { return 0 }, func() *route.Table { return table }, &fakeLimits{}, noPauses())
		busy := local.Track(one)
		busy.ReportLoad(6, 0, 8)
		busy.Done(turn.Result{})
		for range 4 {
			t, refusal := local.Acquire(context.Background(), turn.Request{Service: "s"})
			Expect(refusal).To(BeNil())
			Expect(t.Server.ID).To(Equal(two.ID))
		}
	})
})
