package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/entry/roster"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

var _ = Describe("Config", func() {
	good := Config{
		Name: "e", Place: "r", FailureDomain: "z", CallerAddress: "10.0.0.1:1", ReadyAddress: "10.0.0.1:2", DirectoryAddress: "10.0.0.1:3",
		PeerAddress: "10.0.0.1:4", MetricsAddress: "10.0.0.1:5", PlatformAddress: "10.0.0.2:1", PlatformRate: 40,
		MemoryMB: 200, AddressTTL: 5, StopGrace: 8, RetryRatio: 0.2, LogQueueSize: 10, SpareCapacity: spareKept, Returning: returningQueue,
	}

	It("accepts valid settings", func() { Expect(good.Check()).To(Succeed()) })

	DescribeTable("names the invalid setting",
		func(change func(*Config), setting string) {
			c := good
			change(&c)
			Expect(c.Check()).To(MatchError(ContainSubstring(setting)))
		},
		Entry(nil, func(c *Config) { c.CallerAddress = "host:80" }, "--caller-address"),
		Entry(nil, func(c *Config) { c.PeerAddress = "" }, "--peer-address"),
		Entry(nil, func(c *Config) { c.Name = "" }, "--name"),
		Entry(nil, func(c *Config) { c.PlatformRate = 0 }, "--platform-rate"),
		Entry(nil, func(c *Config) { c.AddressTTL = 0 }, "--address-ttl"),
		Entry(nil, func(c *Config) { c.StopGrace = 0 }, "--stop-grace"),
		Entry(nil, func(c *Config) { c.RetryRatio = 2 }, "--retry-ratio"),
		Entry(nil, func(c *Config) { c.RetryExtra = -1 }, "--retry-extra"),
		Entry(nil, func(c *Config) { c.MemoryMB = 1 }, "--memory-mb"),
		Entry(nil, func(c *Config) { c.LinkMbps = -1 }, "--link-mbps"),
		Entry(nil, func(c *Config) { c.Cores = -1 }, "--cores"),
		Entry(nil, func(c *Config) { c.LogQueueSize = 0 }, "--log-queue"),
		Entry(nil, func(c *Config) { c.EvacuationMs = 10 }, "--evacuation-ms"),
		Entry(nil, func(c *Config) { c.SpareCapacity = "much" }, "--spare-capacity"),
		Entry(nil, func(c *Config) { c.Returning = "wait" }, "--returning"),
	)
})

var _ = Describe("Which entries are live", func() {
	names := []string{"e-1", "e-2", "e-3", "e-4"}
	settled := func(live ...string) link.Renewal { return link.Renewal{Live: live, Settled: true} }

	It("follows a settled leader and its reports of joining and leaving entries", func() {
		f := newLeaderState()
		Expect(f.hasMembership()).To(BeFalse())
		f.applyRenewal(settled("e-1", "e-2", "e-3"), names)
		Expect(f.hasMembership()).To(BeTrue())
		Expect(f.isDown("e-4")).To(BeTrue())
		f.applyRenewal(link.Renewal{Joined: []string{"e-4"}, Left: []string{"e-1"}, Settled: true}, names)
		Expect(f.isDown("e-4")).To(BeFalse())
		Expect(f.isDown("e-1")).To(BeTrue())
	})

	// The leader is lost for good. Its successor needs seconds to learn which entries are live, and until then callers would be told
	// to use the dead one.
	It("treats a leader that stopped responding as down, unless its successor hears from it", func() {
		f := newLeaderState()
		f.applyRenewal(settled(names...), names)
		f.leaderLost("e-1")
		Expect(f.isDown("e-1")).To(BeTrue())
		f.leaderChanged()
		Expect(f.isDown("e-1")).To(BeTrue())
		f.applyRenewal(link.Renewal{Live: []string{"e-1", "e-2"}}, names)
		Expect(f.isDown("e-1")).To(BeFalse())
	})

	// All entries were linked to the dead leader. Its successor hears from them one after the other: those not heard yet are not down.
	It("treats no further entry as down before a new leader has settled, and keeps those down that were", func() {
		f := newLeaderState()
		f.applyRenewal(settled("e-1", "e-2", "e-3"), names)
		f.leaderChanged()
		f.applyRenewal(link.Renewal{Live: []string{"e-2"}}, names)
		Expect(f.isDown("e-3")).To(BeFalse())
		Expect(f.isDown("e-4")).To(BeTrue())
	})

	It("ignores a leader that hears from few entries", func() {
		f := newLeaderState()
		f.applyRenewal(settled("e-1"), names)
		Expect(f.isDown("e-2")).To(BeFalse())
		Expect(f.hasMembership()).To(BeFalse())
	})

	// Guards against lost entries that are named to callers for as long as a process runs: once more were lost than run, the list of those that do was
	// shorter than half of all registrations.
	It("believes a leader that has heard from few entries for long", func() {
		f := newLeaderState()
		f.applyRenewal(settled("e-1"), names)
		Eventually(func() bool {
			f.applyRenewal(link.Renewal{Settled: true}, names)
			return f.isDown("e-2")
		}, "5s").Should(BeTrue())
		Expect(f.isDown("e-1")).To(BeFalse())
		Expect(f.hasMembership()).To(BeTrue())
	})

	It("requests a configuration only when it is behind at two renewals in a row", func() {
		f := newLeaderState()
		Expect(f.stillBehind(true)).To(BeFalse())
		Expect(f.stillBehind(true)).To(BeTrue())
		Expect(f.stillBehind(false)).To(BeFalse())
		Expect(f.stillBehind(true)).To(BeFalse())
	})
})

var _ = Describe("The time before the first request", func() {
	// newEntry returns the parts of an entry that decide it. The entry has been running for a minute.
	newEntry := func(firstStart bool) *shared {
		entries := roster.New(roster.Deps{})
		followers := leader.New(leader.Deps{
			Config: func() (uint64, json.RawMessage) { return 0, nil }, AnnouncedLeaving: func() []link.Leaving { return nil },
		})
		followers.Join("e-0", &loopbackLink{queue: make(chan link.Down, loopbackQueueSize)}, link.Hello{})
		forwarding := relay.New(relay.Deps{Table: func() *route.Table { return nil }, FirstRequest: func() {}, Report: func(relay.Report) {}})
		return &shared{
			config: Config{FirstStart: firstStart}, started: time.Now().Add(-time.Minute),
			components: &components{roster: entries, leader: followers, relay: forwarding},
		}
	}

	// The system starts 14 s before its callers come. If it took a fixed time for granted, hundreds of VMs would stand without weights when
	// they come, and loads would count as running ten times as long as they do.
	It("lasts until a request arrives here", func() {
		s := newEntry(true)
		Expect(s.beforeTraffic()).To(BeTrue())
		s.components.relay.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		Expect(s.beforeTraffic()).To(BeFalse())
	})

	It("lasts until another entry reports a request", func() {
		s := newEntry(true)
		s.components.leader.Receive("e-2", nil, link.Up{RequestSeen: true})
		Expect(s.beforeTraffic()).To(BeFalse())
	})

	It("is over in an entry that starts later", func() { Expect(newEntry(false).beforeTraffic()).To(BeFalse()) })

	// An entry that becomes leader while it hears from few others can't tell whether these have received requests.
	It("is over for a leader that hears from fewer than half of the entries", func() {
		s := newEntry(true)
		for _, name := range []string{"e-1", "e-2", "e-3"} {
			s.components.roster.Apply([]store.Object{{Name: name, Value: json.RawMessage(`{"name":"` + name + `","public_address":"10.0.0.1:80"}`)}}, false)
		}
		Expect(s.beforeTraffic()).To(BeFalse())
	})
})

var _ = Describe("Check of the platform", func() {
	It("reports what the platform holds, and that a configuration can't be decoded", func() {
		api := objects.New()
		DeferCleanup(api.Close)
		config := Config{CallerAddress: "127.0.0.1:1", PlatformAddress: api.Address(), PlatformRate: 40}
		var out bytes.Buffer
		Expect(CheckPlatform(context.Background(), config, &out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("configuration: none yet"))
		api.Write("servers", "i-1", replica.ReadyRegistration("desk"))
		api.Write("servers", "i-2", "nonsense")
		operator.Write(api, operator.Config{Version: 4, Services: []operator.Service{{Name: "desk"}}})
		out.Reset()
		Expect(CheckPlatform(context.Background(), config, &out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("2 registered, 1 of them readable"))
		Expect(out.String()).To(ContainSubstring("configuration: version 4, 1 services"))
		api.Write("config", "main", "nonsense")
		Expect(CheckPlatform(context.Background(), config, &out)).NotTo(Succeed())
		api.Close()
		Expect(CheckPlatform(context.Background(), config, &out)).NotTo(Succeed())
	})
})
