package leader_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

func TestLeader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Leader")
}

// follower records the messages that it receives.
type follower struct{ received []link.Down }

func (f *follower) Send(message link.Down)          { f.received = append(f.received, message) }
func (f *follower) SendShared(message *link.Shared) { f.received = append(f.received, message.Down) }

// sharedFollower also records which messages with objects are shared with other followers.
type sharedFollower struct {
	follower
	shared []*link.Shared
}

func (f *sharedFollower) SendShared(message *link.Shared) {
	if message.ChangeSet == nil && message.Config == nil {
		return
	}
	f.shared = append(f.shared, message)
}

// takeLast returns the last message and discards all.
func (f *follower) takeLast() link.Down {
	GinkgoHelper()
	Expect(f.received).NotTo(BeEmpty())
	last := f.received[len(f.received)-1]
	f.received = nil
	return last
}

// configChange returns a change of the configuration between two revisions.
func configChange(from, to platform.Version, value json.RawMessage) link.ChangeSet {
	object := &platform.Object{Kind: "config", Name: "main", Version: to, Value: value}
	return link.ChangeSet{Kind: "config", From: from, To: to, Changes: []link.Change{{Object: object}}}
}

// ages is what Deps.Ages returns.
var ages = []link.Age{{Kind: "servers", Ms: 400}}

// newLeader returns a leading Leader with one plain service.
func newLeader() *leader.Leader {
	l := newEntry()
	l.RefreshGroups()
	return l
}

// newEntry returns a Leader that has not noticed yet that its entry is the leader.
func newEntry() *leader.Leader { return newEntryWith(&catalog.ChangeSet{}) }

// newEntryWith returns the Leader of an entry with this snapshot, and none while its revision is 0.
func newEntryWith(snapshot *catalog.ChangeSet) *leader.Leader {
	return leader.New(entryDeps(snapshot))
}

// entryDeps returns the dependencies of a Leader of an entry that holds the lease.
func entryDeps(snapshot *catalog.ChangeSet) leader.Deps {
	servers := map[backend.ID]*backend.Server{"i-1": {ID: "i-1", Service: "desk"}}
	return leader.Deps{
		AnnounceLeaving: func(link.Leaving) bool { return true }, AnnouncedLeaving: func() []link.Leaving { return nil },
		IsLeader:     func() bool { return true },
		Listing:      func() *backend.Listing { return backend.NewListing(1, servers) },
		ListAge:      func() time.Duration { return 0 },
		Table:        func() *route.Table { return &route.Table{Version: 3} },
		Dissolving:   func(backend.GroupKey) bool { return false },
		ReportDemand: func(turns.Demand) {},
		Config:       func() (uint64, json.RawMessage) { return 3, nil },
		ChangesSince: func(platform.Kind, platform.Version) (catalog.ChangeSet, bool) { return catalog.ChangeSet{}, false },
		Snapshot:     func(platform.Kind) (catalog.ChangeSet, bool) { return *snapshot, snapshot.To > 0 },
		LeaseVersion: func() uint64 { return 9 },
		Ages:         func() []link.Age { return ages },
		ReportHolds:  func(link.Holds) {},
		Confirmed:    func() bool { return true },
		KnownLimits:  func() []link.ServerLimit { return nil },
		ReportLimit:  func(leader.LimitChange) {},
		RoundEnded:   func() {},
	}
}

var _ = Describe("Leader", func() {
	It("tells its followers the age of its copies of the objects", func() {
		l := newLeader()
		first := &follower{}
		l.Join("e-1", first, link.Hello{})
		l.BroadcastRenewal()
		Expect(first.takeLast().Renewal.Ages).To(Equal(ages))
	})

	// All entries started at once, and the next leader's list of servers was still on its way. It knew no group and rejected every request.
	It("grants no turns before it has read a list of servers, and tells its followers to decide themselves", func() {
		l := leader.New(leader.Deps{
			AnnounceLeaving: func(link.Leaving) bool { return true }, AnnouncedLeaving: func() []link.Leaving { return nil },
			Confirmed: func() bool { return true }, KnownLimits: func() []link.ServerLimit { return nil }, ReportLimit: func(leader.LimitChange) {},
			IsLeader: func() bool { return true }, Listing: func() *backend.Listing { return backend.NewListing(0, nil) },
			Table: func() *route.Table { return &route.Table{Version: 3} }, ListAge: func() time.Duration { return 0 },
		})
		l.RefreshGroups()
		asking := &follower{}
		l.Receive("e-1", asking, link.Up{TurnRequest: &link.TurnRequest{Key: 1, Service: "desk", Model: "m"}})
		refusal := asking.takeLast().Refusal
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.RetryAfterMs).To(BeZero())
	})

	// The leader receives few of the callers' requests itself. If it waited for one, it would order loads as if no caller had come.
	It("learns from any entry that a caller's request has arrived, and does not forget it", func() {
		l := newLeader()
		first := &follower{}
		l.Join("e-1", first, link.Hello{})
		Expect(l.RequestSeen()).To(BeFalse())
		l.Receive("e-1", first, link.Up{ConfigVersion: 3})
		Expect(l.RequestSeen()).To(BeFalse())
		l.Receive("e-1", first, link.Up{RequestSeen: true})
		l.Receive("e-1", first, link.Up{ConfigVersion: 3})
		Expect(l.RequestSeen()).To(BeTrue())
	})

	It("sends a new follower all live entries, and the others those that joined and left", func() {
		l := newLeader()
		first, second := &follower{}, &follower{}
		l.Join("e-1", first, link.Hello{})
		l.BroadcastRenewal()
		Expect(first.takeLast().Renewal).To(Equal(&link.Renewal{Version: 9, ConfigVersion: 3, Live: []string{"e-1"}, Ages: ages}))
		l.Join("e-2", second, link.Hello{})
		l.BroadcastRenewal()
		Expect(second.takeLast().Renewal.Live).To(Equal([]string{"e-1", "e-2"}))
		Expect(first.takeLast().Renewal).To(Equal(&link.Renewal{Version: 9, ConfigVersion: 3, Joined: []string{"e-2"}, Ages: ages}))
		l.BroadcastRenewal()
		Expect(second.takeLast().Renewal).To(Equal(&link.Renewal{Version: 9, ConfigVersion: 3, Ages: ages}))
	})

	// The configuration grows by thousands of routes. Broadcast to hundreds of followers, it would occupy the leader's
	// link for seconds: links would time out, and the configuration would take effect late.
	It("sends a gap in place of changes that are too large to broadcast", func() {
		l := newLeader()
		all := make([]*follower, 100)
		for i := range all {
			all[i] = &follower{}
			l.Join(fmt.Sprint("e-", i), all[i], link.Hello{})
		}
		large := make([]byte, 20<<10)
		random := rand.NewChaCha8([32]byte{1})
		_, _ = random.Read(large) // never fails
		value, err := json.Marshal(large)
		Expect(err).NotTo(HaveOccurred())
		l.Broadcast(configChange(5, 6, value))
		for _, f := range all {
			Expect(*f.takeLast().ChangeSet).To(Equal(link.Gap("config", 6)))
		}
		l.Broadcast(configChange(5, 6, json.RawMessage(`{"version":4}`)))
		Expect(all[0].takeLast().ChangeSet.Changes).To(HaveLen(1))
	})

	// Guards against changes that no follower is sent: entries connect to the next leader before it knows that its
	// write of the lease has succeeded.
	It("broadcasts changes before it knows that it is the leader, and leaves no gap afterwards", func() {
		l := newEntry()
		early := &follower{}
		l.Join("e-1", early, link.Hello{})
		l.Broadcast(configChange(5, 6, nil))
		Expect(early.takeLast().ChangeSet.Changes).To(HaveLen(1))
		l.Broadcast(configChange(8, 9, nil)) // the revisions in between had no changes
		Expect(early.takeLast().ChangeSet.From).To(BeEquivalentTo(6))
	})

	serverChange := func(from, to platform.Version, unroutable bool) link.ChangeSet {
		server := &backend.Server{ID: "i-1", Revision: uint64(to)}
		return link.ChangeSet{Kind: "servers", From: from, To: to, Changes: []link.Change{{Server: server, Unroutable: unroutable}}}
	}

	// All entries start at once, and the leader's own list is still on its way. A follower that was told to read the servers itself would
	// compete with the leader for the platform's calls.
	It("sends a follower that holds only the routable servers those, as soon as it knows them, and then their changes", func() {
		routable := &catalog.ChangeSet{Kind: "servers", Snapshot: true}
		l := newEntryWith(routable)
		weak, strong := &follower{}, &follower{}
		unknown := map[platform.Kind]platform.Version{"servers": 0}
		l.Join("weak", weak, link.Hello{Revisions: unknown, RoutableOnly: true})
		l.Join("strong", strong, link.Hello{Revisions: unknown})
		Expect(strong.takeLast().ChangeSet.From).To(BeZero(), "a gap")
		l.Broadcast(serverChange(0, 20, false))
		Expect(strong.takeLast().ChangeSet).To(Equal(&link.ChangeSet{Kind: "servers", To: 20}))
		l.SendSnapshots()
		Expect(weak.received).To(BeEmpty())
		routable.To = 19
		l.SendSnapshots()
		Expect(weak.received).To(BeEmpty(), "changes up to 20 were broadcast before")
		routable.To = 20
		l.SendSnapshots()
		Expect(weak.takeLast().ChangeSet.Snapshot).To(BeTrue())
		l.Broadcast(serverChange(20, 21, true))
		Expect(strong.takeLast().ChangeSet.To).To(BeEquivalentTo(21))
		Expect(weak.received).To(BeEmpty())
		l.Broadcast(serverChange(21, 22, false))
		Expect(weak.takeLast().ChangeSet).To(And(HaveField("From", BeEquivalentTo(20)), HaveField("To", BeEquivalentTo(22))))
	})

	// The leader's watch returns while a follower connects. Changes that were broadcast to the follower before those that it had missed would
	// count as all since the leader's last broadcast, and a server's leaving among the missed ones would never reach the follower.
	It("sends a new follower what it missed before any broadcast", func() {
		var l *leader.Leader
		l = leader.New(leader.Deps{
			AnnounceLeaving: func(link.Leaving) bool { return true }, AnnouncedLeaving: func() []link.Leaving { return nil },
			Confirmed: func() bool { return true }, KnownLimits: func() []link.ServerLimit { return nil }, ReportLimit: func(leader.LimitChange) {},
			IsLeader: func() bool { return true }, Config: func() (uint64, json.RawMessage) { return 0, nil },
			ChangesSince: func(platform.Kind, platform.Version) (catalog.ChangeSet, bool) {
				l.Broadcast(serverChange(9, 10, false))
				return serverChange(5, 9, false), true
			},
		})
		l.Broadcast(serverChange(1, 2, false)) // this entry was fed by another leader since
		joining := &follower{}
		l.Join("e-1", joining, link.Hello{Revisions: map[platform.Kind]platform.Version{"servers": 5}})
		l.Broadcast(serverChange(10, 11, false))
		var from []platform.Version
		for _, message := range joining.received {
			from = append(from, message.ChangeSet.From)
		}
		Expect(from).To(Equal([]platform.Version{5, 10}), "the second one leaves a gap after revision 9")
	})

	// Guards against a leader that runs out of memory because it encodes a large configuration for each of hundreds of followers that lack it
	// at the same time, after a change of leader.
	It("encodes what several followers missed once for all of them", func() {
		value := json.RawMessage(`{"version":9}`)
		l := leader.New(leader.Deps{
			AnnounceLeaving: func(link.Leaving) bool { return true }, AnnouncedLeaving: func() []link.Leaving { return nil },
			Confirmed: func() bool { return true }, KnownLimits: func() []link.ServerLimit { return nil }, ReportLimit: func(leader.LimitChange) {},
			IsLeader: func() bool { return true }, Config: func() (uint64, json.RawMessage) { return 9, value },
			ChangesSince: func(_ platform.Kind, since platform.Version) (catalog.ChangeSet, bool) {
				return configChange(since, 9, value), true
			},
		})
		followers := make([]*sharedFollower, 3)
		for i := range followers {
			followers[i] = &sharedFollower{}
			since := platform.Version(5 + i/2)
			l.Join(fmt.Sprint("e-", i), followers[i], link.Hello{ConfigVersion: 5, Revisions: map[platform.Kind]platform.Version{"config": since}})
			Expect(followers[i].shared).To(HaveLen(2))
			Expect(followers[i].shared[0].ChangeSet).To(HaveValue(Equal(configChange(since, 9, value))))
			Expect(followers[i].shared[1].Config.Spec).To(BeEquivalentTo(value))
			Expect(followers[i].received).To(BeEmpty())
		}
		Expect(followers[1].shared[0]).To(BeIdenticalTo(followers[0].shared[0]))
		Expect(followers[1].shared[1]).To(BeIdenticalTo(followers[0].shared[1]))
		Expect(followers[2].shared[1]).To(BeIdenticalTo(followers[0].shared[1]))
	})

	// Nothing changes for the routable servers for long while others change all the time. A follower that has to watch the platform from
	// its revision after the leader's death would find that history dropped.
	It("tells its followers of later revisions without changes for them", func() {
		l := newEntryWith(&catalog.ChangeSet{Kind: "servers", To: 1, Snapshot: true})
		weak, strong := &follower{}, &follower{}
		l.Join("weak", weak, link.Hello{Revisions: map[platform.Kind]platform.Version{"servers": 0}, RoutableOnly: true})
		l.Join("strong", strong, link.Hello{})
		l.SendSnapshots()
		weak.takeLast()
		l.Broadcast(serverChange(1, 2, true))
		strong.takeLast()
		l.Broadcast(link.ChangeSet{Kind: "servers", From: 2, To: 5})
		told := func(to *follower, from, upTo platform.Version) func() bool {
			return func() bool {
				l.BroadcastRenewal()
				return slices.ContainsFunc(to.received, func(message link.Down) bool {
					return message.ChangeSet != nil && reflect.DeepEqual(*message.ChangeSet, link.ChangeSet{Kind: "servers", From: from, To: upTo})
				})
			}
		}
		Eventually(told(weak, 1, 5), "6s", "100ms").Should(BeTrue())
		Expect(told(strong, 2, 5)()).To(BeTrue())
		weak.received = nil
		l.Broadcast(serverChange(5, 6, false))
		Expect(weak.takeLast().ChangeSet.From).To(BeEquivalentTo(5))
	})
})

var _ = Describe("Rounds of the leader's work", func() {
	// Guards against a leader that stands still and keeps the lease: who watches it must not count a round that waits.
	It("are told once they have ended, whether or not the entry is the leader", func() {
		var leads atomic.Bool
		var listing sync.Mutex
		ended := make(chan struct{}, 1000)
		l := leader.New(leader.Deps{
			IsLeader: leads.Load, RoundEnded: func() { ended <- struct{}{} },
			Table: func() *route.Table {
				listing.Lock()
				defer listing.Unlock()
				return nil
			},
			Listing: func() *backend.Listing { return backend.NewListing(0, nil) }, Confirmed: func() bool { return true },
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { l.Run(ctx) })
		DeferCleanup(func() {
			cancel()
			running.Wait()
		})
		Eventually(ended).Should(Receive())
		listing.Lock()
		leads.Store(true)
		Eventually(func() bool {
			select {
			case <-ended:
				return true
			case <-time.After(300 * time.Millisecond):
				return false
			}
		}).Should(BeFalse())
		listing.Unlock()
		Eventually(ended).Should(Receive())
	})
})
