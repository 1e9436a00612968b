package turn_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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
	RunSpecs(t, "Turn")
}

// fakeLimits limits the servers that a spec sets.
type fakeLimits struct {
	mu      sync.Mutex
	limited []backend.ID
	blocked map[backend.ID]bool
}

func (l *fakeLimits) Blocked(server *backend.Server) bool { return l.blocked[server.ID] }

func (l *fakeLimits) Limited(server *backend.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.limited, server.ID)
}

func (l *fakeLimits) Informed() bool { return true }

var _ = Describe("Heads", func() {
	engine := &route.Engine{Models: []route.Model{{Name: "large", Size: 2}}}
	key := backend.GroupKey{Name: "g", Epoch: 1}
	group := func(headLeaves, memberLeaves bool) []*backend.Server {
		return []*backend.Server{
			{ID: "head", Model: "large", Leaving: headLeaves, Group: backend.Membership{GroupKey: key, State: backend.GroupOpen}},
			{ID: "member", Model: "large", Leaving: memberLeaves, Group: backend.Membership{GroupKey: key, Rank: 1, State: backend.GroupReady}},
		}
	}

	DescribeTable("counts running members without a registration, and never a leaving head",
		func(servers []*backend.Server, unregistered, heads int) {
			Expect(turn.Heads(servers, engine, "large", func(backend.GroupKey) int { return unregistered })).To(HaveLen(heads))
		},
		Entry("all members registered", group(false, false), 0, 1),
		Entry("a member is leaving", group(false, true), 0, 0),
		Entry("an unregistered member is running", group(false, false)[:1], 1, 1),
		Entry("the head is leaving", group(true, false), 0, 0),
		Entry("the head is leaving, and a stale count includes an unregistered member", group(true, false), 1, 0),
	)
})

var _ = Describe("Remote", func() {
	head := &backend.Server{ID: "head", Service: "chat", Model: "large", Slots: 4, Group: backend.Membership{State: backend.GroupOpen}}
	fresh := func() time.Duration { return 0 }
	listing := func() *backend.Listing { return backend.NewListing(1, map[backend.ID]*backend.Server{"head": head}) }
	request := turn.Request{Service: "chat", Model: "large", MaxWait: time.Minute}
	var (
		remote *turn.Remote
		sent   []link.Up
	)
	BeforeEach(func() {
		remote = turn.NewRemote(turn.NewLocal(listing, fresh, func() *route.Table { return nil }, &fakeLimits{}, noPauses()), listing, noPauses())
		sent = nil
	})
	// leader grants every turn immediately.
	leader := func(message link.Up) {
		sent = append(sent, message)
		if message.TurnRequest != nil {
			key := message.TurnRequest.Key
			go remote.HandleReply(link.Down{Grant: &link.Grant{Key: key, Head: "head"}})
		}
	}

	// The link to the leader breaks while two requests are in progress, and one of them ends before the next link is
	// established. Reported as held, its turn would occupy a slot of the group forever.
	It("first reports to a new leader the turns that it holds, and no others", func() {
		remote.Attach(leader)
		ended, refusal := remote.Acquire(context.Background(), request)
		Expect(refusal).To(BeNil())
		kept, refusal := remote.Acquire(context.Background(), request)
		Expect(refusal).To(BeNil())
		remote.Attach(nil)
		ended.Done(turn.Result{})
		sent = nil
		remote.Attach(leader)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].HeldTurns.Running).To(Equal([]link.RunningTurn{{Key: 2, Head: "head"}}))
		kept.Done(turn.Result{})
		Expect(sent[1].Done).To(Equal(&link.Done{Key: 2, Complete: true}))
	})

	// Guards against a leader that orders requests by team and takes all of an entry's for those of an unnamed one.
	It("tells the leader the team of a request, and a new leader that of a turn", func() {
		remote.Attach(leader)
		ofTeam := request
		ofTeam.Team, ofTeam.TimeLeft = "dairy", 6*time.Second
		_, refusal := remote.Acquire(context.Background(), ofTeam)
		Expect(refusal).To(BeNil())
		Expect(sent[1].TurnRequest).To(And(HaveField("Team", "dairy"), HaveField("TimeLeftMs", int64(6000))))
		remote.Attach(leader)
		Expect(sent[2].HeldTurns.Running).To(Equal([]link.RunningTurn{{Key: 1, Head: "head", Team: "dairy"}}))
	})

	// The leader dies. The link notices this only after a second, and every request that waits for a reply until then
	// is answered late.
	It("decides locally when the leader does not reply, and does not ask again until it hears from it", func() {
		remote.Attach(func(message link.Up) { sent = append(sent, message) })
		began := time.Now()
		_, refusal := remote.Acquire(context.Background(), request)
		Expect(refusal.Reason).To(Equal(turn.NoServer), "there is no route table")
		Expect(time.Since(began)).To(BeNumerically("<", request.MaxWait))
		asked := len(sent)
		_, _ = remote.Acquire(context.Background(), request)
		Expect(sent).To(HaveLen(asked))
		remote.LeaderAlive()
		_, _ = remote.Acquire(context.Background(), request)
		Expect(len(sent)).To(BeNumerically(">", asked))
	})

	// Guards against requests sent to a leaving server on grants of a leader that can't read the platform.
	It("returns a turn granted at a server that this entry knows to be leaving", func() {
		leaving := *head
		leaving.Leaving = true
		servers := map[backend.ID]*backend.Server{"head": &leaving}
		newer := func() *backend.Listing { return backend.NewListing(2, servers) }
		remote = turn.NewRemote(turn.NewLocal(newer, fresh, func() *route.Table { return nil }, &fakeLimits{}, noPauses()), newer, noPauses())
		remote.Attach(leader)
		granted, refusal := remote.Acquire(context.Background(), request)
		Expect(granted).To(BeNil())
		Expect(refusal.Reason).To(Equal(turn.NoServer))
		Expect(sent).To(ContainElement(link.Up{Done: &link.Done{Key: 1, Unsent: true}}))
	})

	// Guards against places that a new leader takes for used, for as long as this process lives: the grant came as the request ended.
	It("holds no turn of a request that ended as its grant came", func() {
		var replying sync.WaitGroup
		for range 200 {
			ctx, cancel := context.WithCancel(context.Background())
			remote.Attach(func(message link.Up) {
				if message.TurnRequest != nil {
					key := message.TurnRequest.Key
					cancel()
					replying.Go(func() { remote.HandleReply(link.Down{Grant: &link.Grant{Key: key, Head: "head"}}) })
				}
			})
			if granted, _ := remote.Acquire(ctx, request); granted != nil {
				granted.Done(turn.Result{})
			}
			cancel()
		}
		replying.Wait()
		var held *link.HeldTurns
		remote.Attach(func(message link.Up) { held = message.HeldTurns })
		Expect(held.Running).To(BeEmpty())
	})

	// A caller that is told no time comes back at once, or never.
	It("tells when to come back to a request whose deadline passes while it waits for its turn", func() {
		remote.Attach(func(message link.Up) {
			if message.TurnRequest != nil {
				key := message.TurnRequest.Key
				go remote.HandleReply(link.Down{Queued: key})
			}
		})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, refusal := remote.Acquire(ctx, request)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	// All slots are taken, and the leader has replied that the request is queued. Deciding locally, the entry would
	// send it to a full group.
	It("waits for its turn once the leader has queued it", func() {
		remote.Attach(func(message link.Up) {
			if message.TurnRequest == nil {
				return
			}
			key := message.TurnRequest.Key
			go func() {
				remote.HandleReply(link.Down{Queued: key})
				time.Sleep(300 * time.Millisecond)
				remote.HandleReply(link.Down{Grant: &link.Grant{Key: key, Head: "head"}})
			}()
		})
		granted, refusal := remote.Acquire(context.Background(), request)
		Expect(refusal).To(BeNil())
		Expect(granted.Server).To(Equal(head))
	})
})

var _ = Describe("Local", func() {
	// All entries were killed and read their lists at the same time. Callers that were refused meanwhile had already used up their retries on
	// entries that were down.
	It("waits for the first list of a process that has just started", func() {
		server := &backend.Server{ID: "i-1", Service: "desk", Slots: 4}
		var current atomic.Pointer[backend.Listing]
		current.Store(backend.NewListing(0, nil))
		table := route.NewTable(1, nil, []route.Service{{Name: "desk"}}, nil, route.Limits{})
		local := turn.NewLocal(current.Load, func() time.Duration { return 0 }, func() *route.Table { return table }, &fakeLimits{}, noPauses())
		time.AfterFunc(300*time.Millisecond, func() {
			current.Store(backend.NewListing(7, map[backend.ID]*backend.Server{"i-1": server}))
		})
		granted, refusal := local.Acquire(context.Background(), turn.Request{Service: "desk"})
		Expect(refusal).To(BeNil())
		Expect(granted.Server.ID).To(Equal(server.ID))
	})

	// Without a bound, requests would wait until their deadline while the platform is down.
	It("refuses requests if the first list does not come soon, and then at once", func() {
		empty := func() *backend.Listing { return backend.NewListing(0, nil) }
		local := turn.NewLocal(empty, func() time.Duration { return 0 }, func() *route.Table { return nil }, &fakeLimits{}, noPauses())
		started := time.Now()
		_, refusal := local.Acquire(context.Background(), turn.Request{Service: "desk"})
		Expect(refusal.Reason).To(Equal(turn.NoServer))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		started = time.Now()
		_, refusal = local.Acquire(context.Background(), turn.Request{Service: "desk"})
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		Expect(time.Since(started)).To(BeNumerically("<", 100*time.Millisecond))
	})
})
