package gateway

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	link "github.com/skylarkpond/skylarkpond/link/leader"
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
		MemoryMB: 200, AddressTTL: 5, StopGrace: 8, RetryRatio: 0.2, LogQueueSize: 10,
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

	It("requests a configuration only when it is behind at two renewals in a row", func() {
		f := newLeaderState()
		Expect(f.stillBehind(true)).To(BeFalse())
		Expect(f.stillBehind(true)).To(BeTrue())
		Expect(f.stillBehind(false)).To(BeFalse())
		Expect(f.stillBehind(true)).To(BeFalse())
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
