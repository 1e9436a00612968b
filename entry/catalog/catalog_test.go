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
	RunSpecs(t, "what the platform holds")
}

// rig is a catalog before a stand-in platform.
type rig struct {
	api     *objects.API
	catalog *catalog.Catalog
	fed     atomic.Bool
	news    chan catalog.News
	inForce chan uint64
	leaving chan leaves
}

// leaves is a server that is leaving, and from where that is known.
type leaves struct {
	id         backend.ID
	fromLeader bool
}

func newRig() *rig {
	r := &rig{api: objects.New(), news: make(chan catalog.News, 1000), inForce: make(chan uint64, 1000), leaving: make(chan leaves, 1000)}
	client := store.NewClient("http://"+r.api.Address(), store.WithWire(platform.Objects{}), store.WithCallTimeout(300*time.Millisecond))
	r.catalog = catalog.New(catalog.Deps{
		Store: client, Fed: r.fed.Load, Leads: func() bool { return false },
		News: func(news catalog.News) { r.news <- news },
		Lost: func(store.Kind, error) {}, Regained: func(store.Kind, time.Duration) {}, Unreadable: func(store.Object, error) {},
		Config:       func(table *route.Table) { r.inForce <- table.Version },
		ServerLeaves: func(server *backend.Server, fromLeader bool) { r.leaving <- leaves{server.ID, fromLeader} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.catalog.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		r.api.Close()
		<-done
	})
	return r
}

func (r *rig) version() uint64 {
	table := r.catalog.Table()
	if table == nil {
		return 0
	}
	return table.Version
}

func (r *rig) servers() int { return len(r.catalog.Listing().Servers) }

// follow makes a leader feed the catalog and say all the time that what it passes on is current, until the function that is returned is called.
func (r *rig) follow() (stop func()) {
	r.fed.Store(true)
	r.catalog.NewLeader()
	known := r.catalog.Revisions()[platform.KindServers]
	r.catalog.Feed(catalog.News{Kind: platform.KindServers, From: known, To: known})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() {
		for wait.Pause(ctx, 50*time.Millisecond) {
			r.catalog.Confirm([]link.Age{{Kind: platform.KindServers}})
		}
	}()
	time.Sleep(1200 * time.Millisecond) // the watch that waits ends by itself
	return cancel
}

// serversSince returns what happened to the servers since a revision, as entries that come late are told.
func (r *rig) serversSince(since store.Version) func() []catalog.Change {
	return func() []catalog.Change {
		news, _ := r.catalog.NewsSince(platform.KindServers, since)
		return news.Changes
	}
}

// waitFor is above what anything here may take by the pages of the platform.
const waitFor = "5s"

var _ = Describe("Catalog", func() {
	It("follows the configuration and the servers", func() {
		r := newRig()
		Expect(r.catalog.Table()).To(BeNil())
		operator.Write(r.api, operator.Config{Version: 2})
		r.api.Write("servers", "i-1", replica.Registered("s"))
		Eventually(r.version, waitFor).Should(Equal(uint64(2)))
		Eventually(r.servers, waitFor).Should(Equal(1))
		operator.Write(r.api, operator.Config{Version: 5})
		r.api.Delete("servers", "i-1")
		Eventually(r.version, waitFor).Should(Equal(uint64(5)))
		Eventually(r.servers, waitFor).Should(BeZero())
	})

	// A listener takes the lock of whoever asks whether the servers are settled: one of the two waits for ever.
	It("tells whether servers are settled while a listener takes a change in", func() {
		r := newRig()
		told := make(chan bool, 100)
		r.catalog.OnServers(func() {
			asked := make(chan struct{})
			go func() {
				r.catalog.Settled()
				r.catalog.ServersAge()
				r.catalog.Ages()
				r.catalog.Listing()
				close(asked)
			}()
			select {
			case <-asked:
				told <- true
			case <-time.After(time.Second):
				told <- false
			}
		})
		r.api.Write("servers", "i-1", replica.Registered("s"))
		Eventually(told, waitFor).Should(Receive(BeTrue()))
	})

	It("leaves out what can't be read, and keeps the rest", func() {
		r := newRig()
		r.api.Write("servers", "i-1", replica.Registered("s"))
		r.api.Write("servers", "i-2", "nonsense")
		r.api.Write("servers", "i-3", replica.Registered("s"))
		Eventually(r.servers, waitFor).Should(Equal(2))
	})

	// The platform drops its history, and a watch that waits hears nothing any more, without a sign. A key that was revoked meanwhile would
	// go on being taken.
	It("hears of changes although its watch has gone deaf", func() {
		r := newRig()
		operator.Write(r.api, operator.Config{Version: 2})
		Eventually(r.version, waitFor).Should(Equal(uint64(2)))
		Eventually(r.api.Calls, waitFor).Should(HaveKeyWithValue("GET config", BeNumerically(">=", 2)))
		r.api.Set(objects.Faults{Deaf: true})
		operator.Write(r.api, operator.Config{Version: 3})
		r.api.Compact()
		Eventually(r.version, waitFor).Should(Equal(uint64(3)))
	})

	// The platform swallows calls for a while. An entry that waits for an answer that never comes works by an old configuration long after
	// the platform is back.
	It("asks again soon after the platform was silent", func() {
		r := newRig()
		operator.Write(r.api, operator.Config{Version: 2})
		Eventually(r.version, waitFor).Should(Equal(uint64(2)))
		r.api.Set(objects.Faults{Silent: true})
		Consistently(r.version, "1s").Should(Equal(uint64(2)))
		r.api.Set(objects.Faults{})
		operator.Write(r.api, operator.Config{Version: 4})
		Eventually(r.version, waitFor).Should(Equal(uint64(4)))
	})

	// The platform refuses all calls for some seconds, as it does to hundreds of entries at once. Each entry that asks three times a second for
	// each kind makes it more calls than a whole day without an outage.
	It("asks seldom while the platform fails, for one kind at a time, and goes on with all when it is back", func() {
		r := newRig()
		operator.Write(r.api, operator.Config{Version: 2})
		Eventually(r.version, waitFor).Should(Equal(uint64(2)))
		r.api.Set(objects.Faults{Refuse: 503})
		time.Sleep(time.Second) // watches that wait have ended
		before := r.api.Calls()
		time.Sleep(3 * time.Second)
		after := r.api.Calls()
		calls := after["GET config"] + after["GET servers"] - before["GET config"] - before["GET servers"]
		Expect(calls).To(BeNumerically("<=", 7), "%v", after)
		r.api.Set(objects.Faults{})
		operator.Write(r.api, operator.Config{Version: 3})
		r.api.Write("servers", "i-1", replica.Registered("s"))
		Eventually(r.version, waitFor).Should(Equal(uint64(3)))
		Eventually(r.servers, waitFor).Should(Equal(1))
	})

	// An older configuration arrives late, from a peer or a replica of the platform that lags. Callers would see a route come back that
	// was removed.
	It("never goes back to an older configuration", func() {
		r := newRig()
		operator.Write(r.api, operator.Config{Version: 7})
		Eventually(r.version, waitFor).Should(Equal(uint64(7)))
		r.catalog.TakeConfig([]byte(`{"version":6}`))
		r.catalog.TakeConfig([]byte(`{"version":7}`))
		r.catalog.TakeConfig([]byte(`not a configuration`))
		Expect(r.version()).To(Equal(uint64(7)))
		Expect(r.inForce).To(HaveLen(1))
	})

	// This entry can't reach the platform, and another one can.
	It("takes the configuration from another entry", func() {
		r := newRig()
		r.api.Set(objects.Faults{Refuse: 503})
		r.catalog.TakeConfig([]byte(`{"version":9}`))
		Expect(r.version()).To(Equal(uint64(9)))
	})

	// The platform was away for longer than servers may be silent, and all registrations lapse at once. They are back within two
	// seconds; an entry that forgets them turns every caller away until then.
	It("keeps servers whose registrations lapse all at once for as long as they may take to register again", func() {
		r := newRig()
		for i := range 6 {
			r.api.Write("servers", fmt.Sprint("i-", i), replica.Registered("s"))
		}
		Eventually(r.servers, waitFor).Should(Equal(6))
		for i := range 6 {
			r.api.Delete("servers", fmt.Sprint("i-", i))
		}
		Consistently(r.servers, "1s").Should(Equal(6))
		r.api.Write("servers", "i-0", replica.Registered("s"))
		Eventually(r.servers, waitFor).Should(Equal(1))
		Consistently(r.servers, "500ms").Should(Equal(1))
	})

	// A VM passes through several states between two looks. Each of them passed on to hundreds of entries would cost the bytes of all.
	It("passes on the last of several changes of a server, and that one ended", func() {
		r := newRig()
		r.api.Write("servers", "i-1", replica.Registered("s"))
		Eventually(r.servers, waitFor).Should(Equal(1))
		since := r.catalog.Revisions()[platform.KindServers]
		r.api.Set(objects.Faults{Silent: true})
		r.api.Write("servers", "i-2", replica.Registered("s"))
		r.api.Write("servers", "i-2", replica.Registered("t"))
		r.api.Delete("servers", "i-1")
		r.api.Set(objects.Faults{})
		Eventually(r.serversSince(since), waitFor).Should(ConsistOf(HaveField("Server.Service", "t"), HaveField("Removal.Server", BeEquivalentTo("i-1"))))
	})

	// The platform drops its history between two looks of the entry in charge. Told only that something was missed, each of hundreds of entries reads
	// all lists within a second, while the platform answers just so many calls.
	It("passes on what changed although the platform has dropped its history", func() {
		r := newRig()
		for _, name := range []string{"i-1", "i-2", "i-3"} {
			r.api.Write("servers", name, replica.Registered("s"))
		}
		Eventually(r.servers, waitFor).Should(Equal(3))
		since := r.catalog.Revisions()[platform.KindServers]
		r.api.Set(objects.Faults{Silent: true})
		r.api.Write("servers", "i-2", replica.Registered("t"))
		r.api.Write("servers", "i-4", replica.Registered("s"))
		r.api.Delete("servers", "i-1")
		r.api.Compact()
		r.api.Set(objects.Faults{})
		Eventually(r.serversSince(since), waitFor).Should(ConsistOf(
			HaveField("Server.Service", "t"), HaveField("Server.ID", BeEquivalentTo("i-4")), HaveField("Removal.Server", BeEquivalentTo("i-1"))))
		told := store.Version(0)
		for len(r.news) > 0 {
			news := <-r.news
			if news.Kind == platform.KindServers && told > 0 {
				Expect(news.From).To(And(BeNumerically(">", 0), BeNumerically("<=", told)), "no gap")
			}
			if news.Kind == platform.KindServers {
				told = news.To
			}
		}
	})

	It("does not watch while it is fed, and goes on by itself when that ends", func() {
		r := newRig()
		r.api.Write("servers", "i-1", replica.Registered("s"))
		Eventually(r.servers, waitFor).Should(Equal(1))
		r.follow()
		before := r.api.Calls()["GET servers"]
		from := r.catalog.Revisions()[platform.KindServers]
		r.api.Write("servers", "i-2", replica.Registered("s"))
		Consistently(r.servers, "2s").Should(Equal(1))
		Expect(r.api.Calls()["GET servers"]).To(Equal(before))
		r.catalog.Feed(catalog.News{Kind: platform.KindServers, From: from, To: from + 1, Changes: []catalog.Change{
			{Server: &backend.Server{ID: "i-2", Service: "s", Address: "10.0.0.2:1", Revision: uint64(from + 1)}},
		}})
		Eventually(r.servers, waitFor).Should(Equal(2))
		r.fed.Store(false)
		r.api.Write("servers", "i-3", replica.Registered("s"))
		Eventually(r.servers, waitFor).Should(Equal(3))
	})

	// Guards against a leader that stands still for good: it asks for the age of the list under its lock, which listeners take as well.
	It("tells the age of the list to a listener of its changes", func() {
		r := newRig()
		ages := make(chan time.Duration, 100)
		r.catalog.OnServers(func() { ages <- r.catalog.ServersAge() })
		r.api.Write("servers", "i-1", replica.Registered("s"))
		Eventually(ages, waitFor).Should(Receive())
	})

	It("tells once of a server that is leaving, and from where that is known", func() {
		r := newRig()
		r.api.Write("servers", "i-1", replica.Leaving("s"))
		Eventually(r.leaving, waitFor).Should(Receive(Equal(leaves{"i-1", false})))
		r.follow()
		from := r.catalog.Revisions()[platform.KindServers]
		for revision := uint64(from + 1); revision <= uint64(from+2); revision++ {
			r.catalog.Feed(catalog.News{Kind: platform.KindServers, From: from, To: store.Version(revision), Changes: []catalog.Change{
				{Server: &backend.Server{ID: "i-2", Service: "s", Address: "10.0.0.2:1", Leaving: true, Revision: revision}},
			}})
		}
		Expect(r.leaving).To(Receive(Equal(leaves{"i-2", true})))
		Expect(r.leaving).To(BeEmpty())
		Expect(r.catalog.ServersAge()).To(And(BeNumerically(">", 0), BeNumerically("<", time.Second)))
	})

	// News got lost on the way, say while a link was down. Applied to what is known they would leave a server listed that has gone.
	It("reads for itself where news were missed", func() {
		r := newRig()
		r.api.Write("servers", "i-1", replica.Registered("s"))
		Eventually(r.servers, waitFor).Should(Equal(1))
		r.follow()
		r.api.Write("servers", "i-2", replica.Registered("s"))
		from := r.catalog.Revisions()[platform.KindServers]
		r.catalog.Feed(catalog.News{Kind: platform.KindServers, From: from + 5, To: from + 6})
		Eventually(r.servers, waitFor).Should(Equal(2))
	})

	// Guards against a leader that renews its lease while its watch of the servers hangs: the others would know of no change.
	It("reads for itself when the leader no longer says that its list is current", func() {
		r := newRig()
		r.api.Write("servers", "i-1", replica.Registered("s"))
		Eventually(r.servers, waitFor).Should(Equal(1))
		stop := r.follow()
		r.api.Write("servers", "i-2", replica.Registered("s"))
		Consistently(r.servers, "2s").Should(Equal(1))
		stop()
		Eventually(r.servers, waitFor).Should(Equal(2))
	})

	// Guards against an entry that takes what it knew before a new leader for current, although it has not been told what it missed.
	It("does not take a new leader's word before it was told what it missed", func() {
		r := newRig()
		r.api.Write("servers", "i-1", replica.Registered("s"))
		Eventually(r.servers, waitFor).Should(Equal(1))
		r.follow()
		r.catalog.NewLeader()
		r.api.Write("servers", "i-2", replica.Registered("s"))
		Eventually(r.servers, waitFor).Should(Equal(2))
	})

	It("keeps the latest news for entries that come late", func() {
		r := newRig()
		r.api.Write("servers", "i-1", replica.Registered("s"))
		Eventually(r.servers, waitFor).Should(Equal(1))
		since := r.catalog.Revisions()[platform.KindServers]
		r.api.Write("servers", "i-2", replica.Registered("s"))
		Eventually(r.servers, waitFor).Should(Equal(2))
		news, ok := r.catalog.NewsSince(platform.KindServers, since)
		Expect(ok).To(BeTrue())
		Expect(news.Changes).To(ConsistOf(HaveField("Server.ID", BeEquivalentTo("i-2"))))
		_, ok = r.catalog.NewsSince(platform.KindServers, 0)
		Expect(ok).To(BeFalse())
	})
})
