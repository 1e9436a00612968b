package turn_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

func TestTurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "where a request may be sent")
}

var _ = Describe("Heads", func() {
	engine := &route.Engine{Models: []route.Model{{Name: "large", Size: 2}}}
	key := backend.GroupKey{Name: "g", Epoch: 1}
	group := func(headLeaves, memberLeaves bool) []*backend.Server {
		return []*backend.Server{
			{ID: "head", Model: "large", Leaving: headLeaves, Group: backend.Membership{GroupKey: key, State: backend.GroupOpen}},
			{ID: "member", Model: "large", Leaving: memberLeaves, Group: backend.Membership{GroupKey: key, Rank: 1, State: backend.GroupReady}},
		}
	}

	DescribeTable("counts members that answer without a registration, and never a head that is leaving",
		func(servers []*backend.Server, vouched, heads int) {
			Expect(turn.Heads(servers, engine, "large", func(backend.GroupKey) int { return vouched })).To(HaveLen(heads))
		},
		Entry("whole", group(false, false), 0, 1),
		Entry("a member is leaving", group(false, true), 0, 0),
		Entry("a member has no registration and answers", group(false, false)[:1], 1, 1),
		Entry("the head is leaving", group(true, false), 0, 0),
		Entry("the head is leaving, and an old count says that a member answers", group(true, false), 1, 0),
	)
})

var _ = Describe("Remote", func() {
	head := &backend.Server{ID: "head", Service: "chat", Model: "large", Slots: 4, Group: backend.Membership{State: backend.GroupOpen}}
	fresh := func() time.Duration { return 0 }
	listing := func() *backend.Listing { return backend.NewListing(1, map[backend.ID]*backend.Server{"head": head}) }
	ask := turn.Request{Service: "chat", Model: "large", MaxWait: time.Minute}
	var (
		remote *turn.Remote
		sent   []link.Up
	)
	BeforeEach(func() {
		remote = turn.NewRemote(turn.NewLocal(listing, fresh, func() *route.Table { return nil }), listing)
		sent = nil
	})
	// leader grants every turn at once.
	leader := func(message link.Up) {
		sent = append(sent, message)
		if message.Ask != nil {
			key := message.Ask.Key
			go remote.HandleReply(link.Down{Grant: &link.Grant{Key: key, Head: "head"}})
		}
	}

	// The link to the entry in charge breaks, and two requests are in progress. One ends before the next link is there: were it told as held, it
	// would take a place of its group for good.
	It("tells a new leader first, and just, of the turns that it still holds", func() {
		remote.Attach(leader)
		ended, refusal := remote.Acquire(context.Background(), ask)
		Expect(refusal).To(BeNil())
		kept, refusal := remote.Acquire(context.Background(), ask)
		Expect(refusal).To(BeNil())
		remote.Attach(nil)
		ended.Done(turn.Result{})
		sent = nil
		remote.Attach(leader)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Turns.Running).To(Equal([]link.Running{{Key: 2, Head: "head"}}))
		kept.Done(turn.Result{})
		Expect(sent[1].Done).To(Equal(&link.Done{Key: 2, Whole: true}))
	})

	// The entry in charge dies. Its link tells that only after a second; each request that waits for it meanwhile is answered late.
	It("decides by itself when the leader says nothing, and asks no more until it hears from it", func() {
		remote.Attach(func(message link.Up) { sent = append(sent, message) })
		began := time.Now()
		_, refusal := remote.Acquire(context.Background(), ask)
		Expect(refusal.Reason).To(Equal(turn.NoServer), "there is no table to decide by")
		Expect(time.Since(began)).To(BeNumerically("<", ask.MaxWait))
		asked := len(sent)
		_, _ = remote.Acquire(context.Background(), ask)
		Expect(sent).To(HaveLen(asked))
		remote.LeaderAlive()
		_, _ = remote.Acquire(context.Background(), ask)
		Expect(len(sent)).To(BeNumerically(">", asked))
	})

	// Guards against requests that reach a leaving server by grants of a leader that can't read the platform.
	It("gives a turn back that is at a server which this entry knows to be leaving", func() {
		leaving := *head
		leaving.Leaving = true
		servers := map[backend.ID]*backend.Server{"head": &leaving}
		newer := func() *backend.Listing { return backend.NewListing(2, servers) }
		remote = turn.NewRemote(turn.NewLocal(newer, fresh, func() *route.Table { return nil }), newer)
		remote.Attach(leader)
		granted, refusal := remote.Acquire(context.Background(), ask)
		Expect(granted).To(BeNil())
		Expect(refusal.Reason).To(Equal(turn.NoServer))
		Expect(sent).To(ContainElement(link.Up{Done: &link.Done{Key: 1}}))
	})

	// All places are taken, and the leader has said that the request waits. Deciding by itself, the entry would send it to a full group.
	It("waits for its turn once the leader has said that it does", func() {
		remote.Attach(func(message link.Up) {
			if message.Ask == nil {
				return
			}
			key := message.Ask.Key
			go func() {
				remote.HandleReply(link.Down{Queued: key})
				time.Sleep(300 * time.Millisecond)
				remote.HandleReply(link.Down{Grant: &link.Grant{Key: key, Head: "head"}})
			}()
		})
		granted, refusal := remote.Acquire(context.Background(), ask)
		Expect(refusal).To(BeNil())
		Expect(granted.Server).To(Equal(head))
	})
})
