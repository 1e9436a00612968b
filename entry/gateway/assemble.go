package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"runtime"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/drain"
	"github.com/skylarkpond/skylarkpond/entry/grouping"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	"github.com/skylarkpond/skylarkpond/entry/lease"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/entry/roster"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/peer"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/platform"
	directory "github.com/skylarkpond/skylarkpond/policy/directory"
	"github.com/skylarkpond/skylarkpond/policy/takeover"
)

func assemble(config Config) (*Gateway, error) {
	level, err := logrus.ParseLevel(config.LogLevel)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logline.TimeFormat})
	log.SetLevel(level)
	lines := newLogQueue(os.Stdout, config.LogQueueSize)
	log.SetOutput(lines)
	g := &Gateway{
		config: config, log: log.WithField("entry", config.Name), registry: metrics.NewRegistry(),
		pool: upstream.NewPool(), gate: &drain.Gate{}, started: time.Now(),
		following: newFollowing(),
	}
	g.gauges(lines)
	g.first = histogram(g.registry, "requests.first.ms")
	g.took = histogram(g.registry, "requests.took.ms")
	client := newClient(config, store.WithMetrics(g.registry))
	g.catalog = catalog.New(catalog.Deps{
		Store: client, Fed: g.following.linked, Leads: func() bool { return g.lease.Held() },
		News: func(news catalog.News) { g.leader.PassOn(news) },
		Lost: g.platformLost, Regained: g.platformRegained, Unreadable: g.unreadable, Config: g.configInForce,
	})
	g.roster = roster.New(roster.Deps{
		Store: client, Self: selfOf(config), Choice: directory.DefaultConfig(), Keep: config.addressTTL(),
		Dead: func(name string) bool { return name != config.Name && g.following.dead(name) },
		Failed: func(doing string, err error) {
			g.log.WithError(err).Warn(doing + " failed")
		},
	})
	identity, err := peer.NewIdentity(config.Name)
	if err != nil {
		return nil, err
	}
	g.identity = identity
	self := lease.Holder{Entry: config.Name, Address: config.Peer, Fingerprint: identity.Fingerprint(), Token: uuid.NewString()}
	g.catalog.Follow(store.KindEntry, catalog.EntriesPace, func(update catalog.Update) { g.roster.Apply(update.Objects()) })
	g.lease = lease.New(lease.Deps{
		Store: client, Self: self, Linked: g.following.linked, Changed: g.leaseChanged, Renewed: func() { g.leader.Renewed() },
		Capacity: takeover.Capacity{LinkMbps: config.LinkMbps, Cores: config.Cores},
	})
	g.controller = grouping.New(grouping.Deps{
		Pool: g.pool, Table: g.catalog.Table, Listing: g.catalog.Listing, Held: g.mayOrder, Epoch: g.lease.Version,
		Reached: g.reached, Sound: func(head backend.ID) { g.leader.Clear(head) },
		Demand: func(service, model string) float64 { return g.leader.Wanted(service, model) },
		Early:  g.early, Event: g.groupEvent,
	})
	g.leader = leader.New(leader.Deps{
		InOffice: g.lease.InOffice, NewsSince: g.catalog.NewsSince,
		Listing: g.catalog.Listing, Table: g.catalog.Table, Closed: g.controller.Closed,
		Suspect: func(key backend.GroupKey) { g.controller.Suspect(context.Background(), key) },
		Demand:  g.demand,
		Config:  g.catalog.Config, TakeConfig: g.catalog.TakeConfig, LeaseVersion: g.lease.Version,
		Held: g.heldBack,
	})
	g.links = link.NewServer(identity, self.Token, g.leader)
	g.catalog.OnServers(g.controller.Wake)
	g.catalog.OnServers(g.leader.SetGroups)
	g.local = turn.NewLocal(g.catalog.Listing, g.catalog.Table)
	g.retries = relay.NewRetries(relay.Allowed{Ratio: config.RetryRatio, Extra: config.RetryExtra}, assumedEntries)
	g.remote = turn.NewRemote(g.local, g.catalog.Listing)
	g.suspects = suspects.New(suspects.Deps{Refuses: upstream.Refuses, Tell: g.remote.Tell})
	g.relay = relay.New(relay.Deps{
		Table: g.catalog.Table, Turns: g.remote, Pool: g.pool, Retries: g.retries, Suspects: g.suspects,
		Report: g.requestEnded, Random: rand.Float64,
	})
	return g, nil
}

// newClient returns the client of the platform.
func newClient(config Config, options ...store.Option) *store.Client {
	options = append(options, store.WithWire(platform.Objects{}), store.WithCallTimeout(platformTimeout), store.WithSource(sourceOf(config.Callers)),
		store.WithRates(store.Rates{Shared: config.PlatformRate * (1 - reservedShare), Reserved: config.PlatformRate * reservedShare}))
	return store.NewClient("http://"+config.Platform, options...)
}

// platformTimeout bounds one call to the platform. What the platform swallowed while it was away must not keep an entry from asking again:
// a configuration must be in force 3 s after its return. A platform that is slow answers in 0.3 s.
const platformTimeout = time.Second

// reservedShare is the part of the platform rate that only writes may use.
const reservedShare = 0.2

func sourceOf(address string) net.IP {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil // Check has refused it
	}
	return parsed.Addr().AsSlice()
}

func selfOf(config Config) store.Entry {
	return store.Entry{
		Name: config.Name, PublicAddress: config.Callers, PeerAddress: config.Peer, AdminAddress: config.Metrics,
		Place: config.Place, FailureDomain: config.FailureDomain,
	}
}

// assumedEntries is how many entries share the retries before the others are known.
const assumedEntries = 32

// earlyFor is how long after a first start callers have surely not come.
const earlyFor = 9 * time.Second

func (g *Gateway) early() bool {
	return g.config.First && time.Since(g.started) < earlyFor && g.relay.InProgress() == 0
}

// mayOrder says whether this entry gives the orders. While the platform is away nobody can take the lease, so its last holder goes on
// as long as it hears from at least half of the entries. What keeps groups whole does not rest on this (package grouping).
func (g *Gateway) mayOrder() bool {
	return g.lease.Held() || (g.lease.InOffice() && 2*g.leader.Followers() >= g.roster.Len())
}

// gauges shows what is true now.
func (g *Gateway) gauges(lines *logQueue) {
	for name, value := range map[string]func() int64{
		"log.lines.dropped":      lines.Dropped,
		"requests.in_progress":   func() int64 { return int64(g.relay.InProgress()) },
		"connections.to_servers": func() int64 { return g.pool.Dialled() },
		"config.version":         func() int64 { version, _ := g.catalog.Config(); return int64(version) },
		"servers.listed":         func() int64 { return int64(len(g.catalog.Listing().Servers)) },
		"servers.revision":       func() int64 { return int64(g.catalog.Listing().Revision) },
		"entries.known":          func() int64 { return int64(g.roster.Len()) },
		"leader.held":            func() int64 { return asNumber(g.lease.Held()) },
		"leader.linked":          func() int64 { return asNumber(g.following.linked()) },
		"leader.followers":       func() int64 { return int64(g.leader.Followers()) },
		"process.uptime.seconds": func() int64 { return int64(time.Since(g.started).Seconds()) },
		"process.goroutines":     func() int64 { return int64(runtime.NumGoroutine()) },
		"process.stopping":       func() int64 { return asNumber(g.leaving.Load()) },
	} {
		_ = g.registry.Register(name, metrics.NewFunctionalGauge(value)) // fails only for a name that stands twice
	}
}

func asNumber(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// Samples of a histogram, and how much the latest weigh (the library's usual values, which cover some five minutes).
const (
	histogramSamples = 1028
	histogramAlpha   = 0.015
)

// histogram registers the times of something, in milliseconds.
func histogram(registry metrics.Registry, name string) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, registry, metrics.NewExpDecaySample(histogramSamples, histogramAlpha))
}
