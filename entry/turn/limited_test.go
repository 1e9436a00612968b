package turn_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

var _ = Describe("Servers with a limit", func() {
	servers := map[backend.ID]*backend.Server{
		"free":    {ID: "free", Service: "desk", Slots: 1},
		"limited": {ID: "limited", Service: "desk", Slots: 100},
	}
	table := route.NewTable(1, nil, []route.Service{{Name: "desk"}}, nil, route.Limits{})
	var (
		remote  *turn.Remote
		limits  *fakeLimits
		asked   []link.TurnRequest
		ended   []link.Done
		request turn.Request
	)
	var plainEnds []link.PlainEnds
	BeforeEach(func() {
		asked, ended, plainEnds = nil, nil, nil
		limits = &fakeLimits{limited: []backend.ID{"limited"}}
		request = turn.Request{Service: "desk", MaxWait: 100 * time.Millisecond}
		listing := func() *backend.Listing { return backend.NewListing(1, servers) }
		local := turn.NewLocal(listing, func() time.Duration { return 0 }, func() *route.Table { return table }, limits, noPauses())
		remote = turn.NewRemote(local, listing, noPauses())
	})
	// attach links a leader that replies to each request for a turn with what reply returns.
	attach := func(reply func(key uint64) link.Down) {
		remote.Attach(func(message link.Up) {
			plainEnds = append(plainEnds, message.PlainEnds...)
			if message.Done != nil {
				ended = append(ended, *message.Done)
			}
			if message.TurnRequest != nil {
				asked = append(asked, *message.TurnRequest)
				go remote.HandleReply(reply(message.TurnRequest.Key))
			}
		})
	}
	grant := func(key uint64) link.Down {
		return link.Down{Grant: &link.Grant{Key: key, Head: "limited", Metered: true}}
	}
	refuse := func(key uint64) link.Down {
		return link.Down{Refusal: &link.Refusal{Key: key, Reason: string(turn.Full), RetryAfterMs: 60000}}
	}
	acquire := func() (*turn.Turn, *turn.Refusal) { return remote.Acquire(context.Background(), request) }

	// Without the leader nobody knows what the others send.
	It("are sent nothing without a link to the leader", func() {
		for range 4 {
			granted, refusal := acquire()
			Expect(refusal).To(BeNil())
			Expect(granted.Server.ID).To(Equal(backend.ID("free")))
		}
		_, refusal := acquire()
		Expect(refusal.Reason).To(Equal(turn.Full))
		Expect(refusal.Detail).To(ContainSubstring("1 limited"))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	It("get the requests that the leader permits, by turns that expire", func() {
		_, _ = acquire() // the free one now has the higher load
		attach(grant)
		granted, refusal := acquire()
		Expect(refusal).To(BeNil())
		Expect(granted.Server.ID).To(Equal(backend.ID("limited")))
		Expect(asked[0].Optional).To(BeTrue())
		Expect(granted.Expired()).To(BeFalse())
		Eventually(granted.Expired, 2*time.Second).Should(BeTrue())
		granted.Done(turn.Result{Rejected: true, Unsent: true})
		Expect(ended).To(Equal([]link.Done{{Key: 1, Unsent: true}}))
	})

	// Others have room: a refusal of the leader costs the request nothing, and it is not asked again and again.
	It("leave the rest to the others, and the leader is asked again later", func() {
		attach(refuse)
		for range 4 {
			granted, refusal := acquire()
			Expect(refusal).To(BeNil())
			Expect(granted.Server.ID).To(Equal(backend.ID("free")))
		}
		Expect(len(asked)).To(BeNumerically("<=", 1))
	})

	It("are waited for in the leader's queue when all others are full", func() {
		for range 4 {
			_, _ = acquire()
		}
		attach(refuse)
		_, refusal := acquire()
		Expect(refusal.RetryAfter).To(Equal(time.Minute))
		Expect(asked[len(asked)-1].Optional).To(BeFalse())
		Expect(asked[len(asked)-1].MaxWaitMs).To(BeEquivalentTo(100))
	})

	Describe("when the leader chooses among all plain servers", func() {
		BeforeEach(func() {
			limits.limited = nil
			remote.JoinPlain()
		})

		It("get what the leader chooses, which hears of rejections", func() {
			attach(func(key uint64) link.Down { return link.Down{Grant: &link.Grant{Key: key, Head: "free"}} })
			remote.SetPlainServices([]string{"desk"})
			for range 10 { // more than this entry would send there by itself
				granted, refusal := acquire()
				Expect(refusal).To(BeNil())
				Expect(granted.Server.ID).To(Equal(backend.ID("free")))
				granted.Done(turn.Result{Rejected: true})
			}
			Expect(asked[0].Optional).To(BeTrue())
			Expect(ended[0]).To(Equal(link.Done{Key: 1, Rejected: true}))
		})

		// Guards against requests that are refused because the leader is gone or does not know the servers.
		It("are chosen by this entry if the leader refuses, or there is none", func() {
			attach(refuse)
			remote.SetPlainServices([]string{"desk"})
			_, refusal := acquire()
			Expect(refusal).To(BeNil())
			remote.Attach(nil)
			_, refusal = acquire()
			Expect(refusal).To(BeNil())
		})

		// Guards against a leader that never learns which server rejects, and against entries that ask a later leader for what an earlier one wanted.
		It("are chosen by this entry unless the leader wants to be asked, which hears of their ends", func() {
			attach(refuse)
			remote.SetPlainServices([]string{"desk"})
			attach(refuse)
			granted, _ := acquire()
			granted.Done(turn.Result{Rejected: true})
			Expect(asked).To(BeEmpty())
			Expect(plainEnds).To(Equal([]link.PlainEnds{{Server: granted.Server.ID, Rejected: 1}}))
			granted, _ = acquire()
			granted.Done(turn.Result{Rejected: true, Unsent: true}) // says nothing of the server
			Expect(plainEnds).To(HaveLen(1))
		})
	})

	It("are chosen by this entry unless the leader is to choose", func() {
		limits.limited = nil
		attach(grant)
		granted, _ := acquire()
		granted.Done(turn.Result{Rejected: true})
		Expect(asked).To(BeEmpty())
		Expect(plainEnds).To(BeEmpty())
	})
})
