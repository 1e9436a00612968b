package catalog_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

// fixture is a catalog that is connected to a stand-in platform.
type fixture struct {
	api            *objects.API
	catalog        *catalog.Catalog
	fedByLeader    atomic.Bool
	routableOnly   atomic.Bool
	changes        chan catalog.ChangeSet
	configVersions chan uint64
	leaving        chan leavingServer
	// unreadable and lost count the objects that were reported as unreadable, and the kinds that couldn't be followed.
	unreadable, lost atomic.Int64
}

// leavingServer is a server that is leaving, and whether the leader reported it.
type leavingServer struct {
	id         backend.ID
	fromLeader bool
}

func newFixture() *fixture { return startFixture(false) }

// startFixture starts a catalog that holds only the routable servers, or all.
func startFixture(routableOnly bool) *fixture {
	f := &fixture{api: objects.New(), changes: make(chan catalog.ChangeSet, 1000), configVersions: make(chan uint64, 1000), leaving: make(chan leavingServer, 1000)}
	f.routableOnly.Store(routableOnly)
	client := store.NewClient("http://"+f.api.Address(), store.WithCodec(platform.ObjectCodec{}), store.WithCallTimeout(300*time.Millisecond),
		store.WithUnreadable(func(store.Object, error) { f.unreadable.Add(1) }))
	f.catalog = catalog.New(catalog.Deps{
		Store: client, FedByLeader: f.fedByLeader.Load, IsLeader: func() bool { return false }, RoutableOnly: f.routableOnly.Load,
		OnChanges:      func(changes catalog.ChangeSet) { f.changes <- changes },
		OnPlatformLost: func(store.Kind, error) { f.lost.Add(1) }, OnPlatformRegained: func(store.Kind, time.Duration) {},
		OnUnreadable:    func(store.Object, error) { f.unreadable.Add(1) },
		OnConfig:        func(table *route.Table) { f.configVersions <- table.Version },
		OnServerLeaving: func(server *backend.Server, fromLeader bool) { f.leaving <- leavingServer{server.ID, fromLeader} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.catalog.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		f.api.Close()
		<-done
	})
	return f
}

func (f *fixture) configVersion() uint64 {
	table := f.catalog.Table()
	if table == nil {
		return 0
	}
	return table.Version
}

func (f *fixture) servers() int { return len(f.catalog.Listing().Servers) }

// followLeader simulates a leader that feeds the catalog and continuously confirms that its data is current, until stop is
// called.
func (f *fixture) followLeader() (stop func()) {
	f.fedByLeader.Store(true)
	f.catalog.LeaderChanged()
	known := f.catalog.Revisions()[platform.KindServers]
	f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, From: known, To: known})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() {
		for wait.Pause(ctx, 50*time.Millisecond) {
			f.catalog.ConfirmAges([]link.Age{{Kind: platform.KindServers}})
		}
	}()
	time.Sleep(1200 * time.Millisecond) // the pending watch ends by itself
	return cancel
}

// member returns a member of a group; the head has rank 0.
func member(id backend.ID, rank int, state backend.GroupState, revision store.Version) catalog.Change {
	return catalog.Change{Server: &backend.Server{
		ID: id, Service: "s", Address: "10.0.0.2:1", Fabric: "d", Revision: uint64(revision),
		Group: backend.Membership{GroupKey: backend.GroupKey{Name: "g", Epoch: 1}, Rank: rank, State: state},
	}}
}

// serversSince returns the changes of the servers since a revision, as an entry that connects late receives them.
func (f *fixture) serversSince(since store.Version) func() []catalog.Change {
	return func() []catalog.Change {
		changes, _ := f.catalog.ChangesSince(platform.KindServers, since)
		return changes.Changes
	}
}

// waitFor is longer than any of these operations may take according to the platform's documentation.
const waitFor = "5s"

var _ = Describe("Catalog", func() {
	It("follows the configuration and the servers", func() {
		f := newFixture()
		Expect(f.catalog.Table()).To(BeNil())
		operator.Write(f.api, operator.Config{Version: 2})
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(2)))
		Eventually(f.servers, waitFor).Should(Equal(1))
		operator.Write(f.api, operator.Config{Version: 5})
		f.api.Delete("servers", "i-1")
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(5)))
		Eventually(f.servers, waitFor).Should(BeZero())
	})

	// Guards against a deadlock: a listener takes a lock that a caller of RegistrationsReliable holds.
	It("reports whether registrations are reliable while a listener processes a change", func() {
		f := newFixture()
		reported := make(chan bool, 100)
		f.catalog.OnServersChange(func() {
			returned := make(chan struct{})
			go func() {
				f.catalog.RegistrationsReliable()
				f.catalog.ServersAge()
				f.catalog.Ages()
				f.catalog.Listing()
				close(returned)
			}()
			select {
			case <-returned:
				reported <- true
			case <-time.After(time.Second):
				reported <- false
			}
		})
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(reported, waitFor).Should(Receive(BeTrue()))
	})

	It("leaves out objects that can't be decoded, and keeps the others", func() {
		f := newFixture()
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		f.api.Write("servers", "i-2", "nonsense")
		f.api.Write("servers", "i-3", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(2))
	})

	// The platform drops its history, and a pending watch no longer receives changes, without any error. A key that was
	// revoked in the meantime would continue to be accepted.
	It("learns of changes although its watch no longer receives any", func() {
		f := newFixture()
		operator.Write(f.api, operator.Config{Version: 2})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(2)))
		Eventually(f.api.Calls, waitFor).Should(HaveKeyWithValue("GET config", BeNumerically(">=", 2)))
		f.api.SetFaults(objects.Faults{SkipWatchEvents: true})
		operator.Write(f.api, operator.Config{Version: 3})
		f.api.Compact()
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(3)))
	})

	// The platform does not answer for a while. An entry that waits for an answer that never comes would use an outdated
	// configuration long after the platform is available again.
	It("calls the platform again soon after it was unresponsive", func() {
		f := newFixture()
		operator.Write(f.api, operator.Config{Version: 2})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(2)))
		f.api.SetFaults(objects.Faults{Unresponsive: true})
		Consistently(f.configVersion, "1s").Should(Equal(uint64(2)))
		f.api.SetFaults(objects.Faults{})
		operator.Write(f.api, operator.Config{Version: 4})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(4)))
	})

	// The platform refuses all calls for several seconds, as it would for hundreds of entries at once. If each entry retried
	// three times per second for each kind, that would be more calls than in a whole day without an outage.
	It("calls a failing platform rarely and for one kind at a time, and resumes all kinds when it is back", func() {
		f := newFixture()
		operator.Write(f.api, operator.Config{Version: 2})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(2)))
		f.api.SetFaults(objects.Faults{FailAll: 503})
		time.Sleep(time.Second) // pending watches have ended
		before := f.api.Calls()
		time.Sleep(3 * time.Second)
		after := f.api.Calls()
		calls := after["GET config"] + after["GET servers"] - before["GET config"] - before["GET servers"]
		Expect(calls).To(BeNumerically("<=", 7), "%v", after)
		f.api.SetFaults(objects.Faults{})
		operator.Write(f.api, operator.Config{Version: 3})
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(3)))
		Eventually(f.servers, waitFor).Should(Equal(1))
	})

	// An older configuration arrives late, from a peer or from a platform replica that lags behind. A route that was removed
	// would become available again.
	It("never returns to an older configuration", func() {
		f := newFixture()
		operator.Write(f.api, operator.Config{Version: 7})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(7)))
		f.catalog.UpdateConfig([]byte(`{"version":6}`))
		f.catalog.UpdateConfig([]byte(`{"version":7}`))
		f.catalog.UpdateConfig([]byte(`not a configuration`))
		Expect(f.configVersion()).To(Equal(uint64(7)))
		Expect(f.configVersions).To(HaveLen(1))
	})

	// This entry can't reach the platform, but another one can.
	It("accepts the configuration from another entry", func() {
		f := newFixture()
		f.api.SetFaults(objects.Faults{FailAll: 503})
		f.catalog.UpdateConfig([]byte(`{"version":9}`))
		Expect(f.configVersion()).To(Equal(uint64(9)))
	})

	// The platform was unavailable for longer than servers may miss heartbeats, and all registrations lapse at once. They
	// return within two seconds; an entry that removed the servers would refuse all requests until then.
	It("keeps servers whose registrations lapse all at once for as long as re-registration may take", func() {
		f := newFixture()
		for i := range 6 {
			f.api.Write("servers", fmt.Sprint("i-", i), replica.ReadyRegistration("s"))
		}
		Eventually(f.servers, waitFor).Should(Equal(6))
		for i := range 6 {
			f.api.Delete("servers", fmt.Sprint("i-", i))
		}
		Consistently(f.servers, "1s").Should(Equal(6))
		f.api.Write("servers", "i-0", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(1))
		Consistently(f.servers, "500ms").Should(Equal(1))
	})

	// A VM passes through several states between two watches. Forwarding each of them to hundreds of entries would multiply
	// the traffic.
	It("forwards only the last of several changes of a server, and the end of a registration", func() {
		f := newFixture()
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(1))
		since := f.catalog.Revisions()[platform.KindServers]
		f.api.SetFaults(objects.Faults{Unresponsive: true})
		f.api.Write("servers", "i-2", replica.ReadyRegistration("s"))
		f.api.Write("servers", "i-2", replica.ReadyRegistration("t"))
		f.api.Delete("servers", "i-1")
		f.api.SetFaults(objects.Faults{})
		Eventually(f.serversSince(since), waitFor).Should(ConsistOf(HaveField("Server.Service", "t"), HaveField("Removal.Server", BeEquivalentTo("i-1"))))
	})

	// The platform drops its history between two watches of the leader. If the leader only announced a gap, each of hundreds
	// of entries would read all lists within a second, although the platform accepts only a limited number of calls.
	It("forwards what changed although the platform has dropped its history", func() {
		f := newFixture()
		for _, name := range []string{"i-1", "i-2", "i-3"} {
			f.api.Write("servers", name, replica.ReadyRegistration("s"))
		}
		Eventually(f.servers, waitFor).Should(Equal(3))
		since := f.catalog.Revisions()[platform.KindServers]
		f.api.SetFaults(objects.Faults{Unresponsive: true})
		f.api.Write("servers", "i-2", replica.ReadyRegistration("t"))
		f.api.Write("servers", "i-4", replica.ReadyRegistration("s"))
		f.api.Delete("servers", "i-1")
		f.api.Compact()
		f.api.SetFaults(objects.Faults{})
		Eventually(f.serversSince(since), waitFor).Should(ConsistOf(
			HaveField("Server.Service", "t"), HaveField("Server.ID", BeEquivalentTo("i-4")), HaveField("Removal.Server", BeEquivalentTo("i-1"))))
		reported := store.Version(0)
		for len(f.changes) > 0 {
			changes := <-f.changes
			if changes.Kind == platform.KindServers && reported > 0 {
				Expect(changes.From).To(And(BeNumerically(">", 0), BeNumerically("<=", reported)), "no gap")
			}
			if changes.Kind == platform.KindServers {
				reported = changes.To
			}
		}
	})

	It("does not watch while the leader feeds it, and resumes its own watch when that ends", func() {
		f := newFixture()
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(1))
		f.followLeader()
		before := f.api.Calls()["GET servers"]
		from := f.catalog.Revisions()[platform.KindServers]
		f.api.Write("servers", "i-2", replica.ReadyRegistration("s"))
		Consistently(f.servers, "2s").Should(Equal(1))
		Expect(f.api.Calls()["GET servers"]).To(Equal(before))
		f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, From: from, To: from + 1, Changes: []catalog.Change{
			{Server: &backend.Server{ID: "i-2", Service: "s", Address: "10.0.0.2:1", Revision: uint64(from + 1)}},
		}})
		Eventually(f.servers, waitFor).Should(Equal(2))
		f.fedByLeader.Store(false)
		f.api.Write("servers", "i-3", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(3))
	})

	// Guards against a leader that blocks forever: it requests the age of the list while holding its lock, which listeners
	// also take.
	It("returns the age of the list to a listener that is processing a change", func() {
		f := newFixture()
		ages := make(chan time.Duration, 100)
		f.catalog.OnServersChange(func() { ages <- f.catalog.ServersAge() })
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(ages, waitFor).Should(Receive())
	})

	It("reports once that a server is leaving, and whether the leader reported it", func() {
		f := newFixture()
		f.api.Write("servers", "i-1", replica.LeavingRegistration("s"))
		Eventually(f.leaving, waitFor).Should(Receive(Equal(leavingServer{"i-1", false})))
		f.followLeader()
		from := f.catalog.Revisions()[platform.KindServers]
		for revision := uint64(from + 1); revision <= uint64(from+2); revision++ {
			f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, From: from, To: store.Version(revision), Changes: []catalog.Change{
				{Server: &backend.Server{ID: "i-2", Service: "s", Address: "10.0.0.2:1", Leaving: true, Revision: revision}},
			}})
		}
		Expect(f.leaving).To(Receive(Equal(leavingServer{"i-2", true})))
		Expect(f.leaving).To(BeEmpty())
		Expect(f.catalog.ServersAge()).To(And(BeNumerically(">", 0), BeNumerically("<", time.Second)))
	})

	// A server that says so in its answers is leaving although the platform lists it as ready, or can't be read.
	It("takes a server that has said itself that it is leaving for leaving until it has started anew", func() {
		f := newFixture()
		f.followLeader()
		revision := uint64(f.catalog.Revisions()[platform.KindServers])
		register := func(startedAt int64) {
			from := f.catalog.Revisions()[platform.KindServers]
			revision++
			f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, From: from, To: store.Version(revision), Changes: []catalog.Change{
				{Server: &backend.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:1", StartedAtMillis: startedAt, Revision: revision}},
			}})
		}
		leaves := func() bool { return f.catalog.Listing().Servers["i-1"].Leaving }
		announce := func(process int64) bool {
			return f.catalog.AnnounceLeaving(link.Leaving{Server: "i-1", Process: process}, false)
		}
		register(5)
		Expect(announce(5)).To(BeTrue())
		Expect(announce(5)).To(BeFalse())
		Expect(leaves()).To(BeTrue())
		Expect(f.leaving).To(Receive(Equal(leavingServer{"i-1", false})))
		register(5)
		Expect(leaves()).To(BeTrue())
		Expect(f.leaving).To(BeEmpty())
		Expect(f.catalog.AnnouncedLeaving()).To(Equal([]link.Leaving{{Server: "i-1", Process: 5}}))
		register(9)
		Expect(leaves()).To(BeFalse())
		Expect(announce(5)).To(BeFalse(), "said by an earlier process")
		Expect(leaves()).To(BeFalse())
	})

	It("knows that a server is leaving that said so before it is listed", func() {
		f := newFixture()
		Expect(f.catalog.AnnounceLeaving(link.Leaving{Server: "i-1"}, true)).To(BeTrue())
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(func() *backend.Server { return f.catalog.Listing().Servers["i-1"] }, waitFor).Should(HaveField("Leaving", true))
	})

	// Changes were lost, for example while a connection was down. If later changes were applied to the old state, a server
	// that is gone would remain listed.
	It("reads from the platform if changes were missed", func() {
		f := newFixture()
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(1))
		f.followLeader()
		f.api.Write("servers", "i-2", replica.ReadyRegistration("s"))
		from := f.catalog.Revisions()[platform.KindServers]
		f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, From: from + 5, To: from + 6})
		Eventually(f.servers, waitFor).Should(Equal(2))
	})

	// Guards against a leader that renews its lease while its watch of the servers hangs: the other entries would learn of no
	// changes.
	It("reads from the platform when the leader no longer confirms that its list is current", func() {
		f := newFixture()
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(1))
		stop := f.followLeader()
		f.api.Write("servers", "i-2", replica.ReadyRegistration("s"))
		Consistently(f.servers, "2s").Should(Equal(1))
		stop()
		Eventually(f.servers, waitFor).Should(Equal(2))
	})

	// Guards against an entry that considers its data from before a leader change current, although it has not received what
	// it missed.
	It("does not accept a new leader's confirmation before it has received what it missed", func() {
		f := newFixture()
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(1))
		f.followLeader()
		f.catalog.LeaderChanged()
		f.api.Write("servers", "i-2", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(2))
	})

	It("keeps the latest changes for entries that connect late", func() {
		f := newFixture()
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(1))
		since := f.catalog.Revisions()[platform.KindServers]
		f.api.Write("servers", "i-2", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(2))
		changes, ok := f.catalog.ChangesSince(platform.KindServers, since)
		Expect(ok).To(BeTrue())
		Expect(changes.Changes).To(ConsistOf(HaveField("Server.ID", BeEquivalentTo("i-2"))))
		_, ok = f.catalog.ChangesSince(platform.KindServers, 0)
		Expect(ok).To(BeFalse())
	})

	// All entries are killed at once. If hundreds of entries each read thousands of servers, their lists exceed the platform's rate
	// limit, and callers are refused until they end.
	It("takes the routable servers from the leader in place of a list of its own", func() {
		f := startFixture(true)
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		f.catalog.LeaderChanged()
		f.fedByLeader.Store(true)
		f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, To: 40, Snapshot: true, Changes: []catalog.Change{
			member("head", 0, backend.GroupOpen, 30),
		}})
		Expect(f.servers()).To(Equal(1))
		Expect(f.catalog.Listing().RoutableOnly).To(BeTrue())
		f.catalog.ConfirmAges([]link.Age{{Kind: platform.KindServers}})
		f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, From: 40, To: 45, Changes: []catalog.Change{
			member("head", 0, backend.GroupClosing, 41), member("next", 0, backend.GroupOpen, 45),
		}})
		Expect(f.servers()).To(Equal(2))
		f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, From: 45, To: 50, Changes: []catalog.Change{
			member("head", 0, backend.GroupNone, 50),
		}})
		Expect(f.servers()).To(Equal(1))
		Expect(f.api.Calls()["GET servers"]).To(BeZero())
	})

	// The leader dies just after it has sent an entry the servers.
	It("watches the platform if the leader's list is all that it hears", func() {
		f := startFixture(true)
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		f.catalog.LeaderChanged()
		f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, To: 1, Snapshot: true, AgeMs: 100})
		Expect(f.servers()).To(BeZero())
		Eventually(f.servers, waitFor).Should(Equal(1))
	})

	// Each of hundreds of entries that start calls the platform. Those that are linked to the leader within a second need not watch it.
	It("does not watch what it has just read before it can be linked to the leader", func() {
		f := newFixture()
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(1))
		before := f.api.Calls()["GET servers"]
		time.Sleep(300 * time.Millisecond)
		f.fedByLeader.Store(true)
		f.followLeader()
		Expect(f.api.Calls()["GET servers"]).To(Equal(before))
	})

	// No leader is there to send the routable servers.
	It("reads all servers itself if the leader sends none in time", func() {
		f := startFixture(true)
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Consistently(f.servers, "500ms").Should(BeZero())
		Eventually(f.servers, waitFor).Should(Equal(1))
	})

	// A weak entry becomes the leader. If it went on with the routable servers alone, it would form no groups, and the entries linked to
	// it would miss changes.
	It("reads all servers once it is to hold them, and feeds nobody before", func() {
		f := startFixture(true)
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, To: 1, Snapshot: true, Changes: []catalog.Change{
			member("head", 0, backend.GroupOpen, 1),
		}})
		_, ok := f.catalog.Snapshot(platform.KindServers)
		Expect(ok).To(BeFalse())
		_, ok = f.catalog.ChangesSince(platform.KindServers, 1)
		Expect(ok).To(BeFalse())
		f.routableOnly.Store(false)
		Eventually(func() bool { return f.catalog.Listing().RoutableOnly }, waitFor).Should(BeFalse())
		Expect(f.catalog.Listing().Servers).To(HaveKey(backend.ID("i-1")))
		snapshot, ok := f.catalog.Snapshot(platform.KindServers)
		Expect(ok).To(BeTrue())
		Expect(snapshot.Changes).To(ConsistOf(HaveField("Server.ID", BeEquivalentTo("i-1"))))
	})

	// A head closes its group and joins another one as a member. An entry that is told of routable servers only must learn that the head
	// no longer is one.
	It("marks the changes that concern no routable server", func() {
		f := newFixture()
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(1))
		f.followLeader()
		from := f.catalog.Revisions()[platform.KindServers]
		f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, From: from, To: from + 2, Changes: []catalog.Change{
			member("head", 0, backend.GroupOpen, from+1), member("other", 1, backend.GroupReady, from+2),
		}})
		f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, From: from + 2, To: from + 4, Changes: []catalog.Change{
			member("head", 1, backend.GroupReady, from+3),
			{Removal: &link.Removal{Server: "other", Version: from + 4}},
		}})
		changes, ok := f.catalog.ChangesSince(platform.KindServers, from)
		Expect(ok).To(BeTrue())
		Expect(changes.RoutableChanges().Changes).To(HaveExactElements(
			HaveField("Server.Group.State", backend.GroupOpen), HaveField("Server.Group.State", backend.GroupReady)))
	})
})
