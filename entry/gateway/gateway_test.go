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
		Name: "e", Place: "r", FailureDomain: "z", Callers: "10.0.0.1:1", Ready: "10.0.0.1:2", Directory: "10.0.0.1:3", Peer: "10.0.0.1:4",
		Metrics: "10.0.0.1:5", Platform: "10.0.0.2:1", PlatformRate: 40, MemoryMB: 200, AddressTTL: 5, Grace: 8, RetryRatio: 0.2, LogQueueSize: 10,
	}

	It("accepts right settings", func() { Expect(good.Check()).To(Succeed()) })

	DescribeTable("names the setting that is wrong",
		func(change func(*Config), setting string) {
			c := good
			change(&c)
			Expect(c.Check()).To(MatchError(ContainSubstring(setting)))
		},
		Entry(nil, func(c *Config) { c.Callers = "host:80" }, "--caller-address"),
		Entry(nil, func(c *Config) { c.Peer = "" }, "--peer-address"),
		Entry(nil, func(c *Config) { c.Name = "" }, "--name"),
		Entry(nil, func(c *Config) { c.PlatformRate = 0 }, "--platform-rate"),
		Entry(nil, func(c *Config) { c.AddressTTL = 0 }, "--address-ttl"),
		Entry(nil, func(c *Config) { c.Grace = 0 }, "--stop-grace"),
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

	It("follows a settled leader, and what it tells of those that come and go", func() {
		f := newFollowing()
		Expect(f.informed()).To(BeFalse())
		f.renewed(settled("e-1", "e-2", "e-3"), names)
		Expect(f.informed()).To(BeTrue())
		Expect(f.dead("e-4")).To(BeTrue())
		f.renewed(link.Renewal{Joined: []string{"e-4"}, Left: []string{"e-1"}, Settled: true}, names)
		Expect(f.dead("e-4")).To(BeFalse())
		Expect(f.dead("e-1")).To(BeTrue())
	})

	// The entry in charge is lost for good. Its successor needs seconds to know who else is there, and callers would be told to use the dead
	// one until then.
	It("takes a leader that fell silent for dead, unless its successor hears from it", func() {
		f := newFollowing()
		f.renewed(settled(names...), names)
		f.lost("e-1")
		Expect(f.dead("e-1")).To(BeTrue())
		f.newLeader()
		Expect(f.dead("e-1")).To(BeTrue())
		f.renewed(link.Renewal{Live: []string{"e-1", "e-2"}}, names)
		Expect(f.dead("e-1")).To(BeFalse())
	})

	// All entries are linked to the dead leader. Its successor hears from the first of them: the others are not down, only later.
	It("takes no entry for dead before a new leader has settled, and keeps those dead that were", func() {
		f := newFollowing()
		f.renewed(settled("e-1", "e-2", "e-3"), names)
		f.newLeader()
		f.renewed(link.Renewal{Live: []string{"e-2"}}, names)
		Expect(f.dead("e-3")).To(BeFalse())
		Expect(f.dead("e-4")).To(BeTrue())
	})

	It("does not believe a leader that hears from few", func() {
		f := newFollowing()
		f.renewed(settled("e-1"), names)
		Expect(f.dead("e-2")).To(BeFalse())
		Expect(f.informed()).To(BeFalse())
	})

	It("asks for a configuration only when it is behind for a second time", func() {
		f := newFollowing()
		Expect(f.stillBehind(true)).To(BeFalse())
		Expect(f.stillBehind(true)).To(BeTrue())
		Expect(f.stillBehind(false)).To(BeFalse())
		Expect(f.stillBehind(true)).To(BeFalse())
	})
})

var _ = Describe("Check of the platform", func() {
	It("tells what the platform holds, and that a configuration can't be read", func() {
		api := objects.New()
		DeferCleanup(api.Close)
		config := Config{Callers: "127.0.0.1:1", Platform: api.Address(), PlatformRate: 40}
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
