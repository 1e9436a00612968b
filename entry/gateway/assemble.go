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
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/grouping"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	"github.com/skylarkpond/skylarkpond/entry/lease"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/entry/roster"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/internal/logqueue"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/peer"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/platform"
	directory "github.com/skylarkpond/skylarkpond/policy/directory"
	"github.com/skylarkpond/skylarkpond/policy/takeover"
)

// newShell returns what is there before the parts.
func newShell(config Config) (*shell, error) {
	level, err := logrus.ParseLevel(config.LogLevel)
	if err != nil {
		return nil, eris.Wrap(ErrConfig, "--log-level: "+err.Error())
	}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logline.TimeFormat})
	log.SetLevel(level)
	lines := logqueue.New(os.Stdout, config.LogQueueSize)
	log.SetOutput(lines)
	s := &shell{
		config: config, log: log.WithField("entry", config.Name), registry: metrics.NewRegistry(), following: newFollowing(), started: time.Now(),
	}
	s.first = histogram(s.registry, "requests.first.ms")
	s.took = histogram(s.registry, "requests.took.ms")
	s.gauge("log.lines.dropped", lines.Dropped)
	return s, nil
}

func provideStore(s *shell) *store.Client { return newClient(s.config, store.WithMetrics(s.registry)) }

func provideIdentity(s *shell) (*peer.Identity, error) { return peer.NewIdentity(s.config.Name) }

// provideHolder says how the lease names this entry while it is in charge.
func provideHolder(s *shell, identity *peer.Identity) lease.Holder {
	return lease.Holder{Entry: s.config.Name, Address: s.config.Peer, Fingerprint: identity.Fingerprint(), Token: uuid.NewString()}
}

func provideCatalog(s *shell, client *store.Client) *catalog.Catalog {
	return catalog.New(catalog.Deps{
		Store: client, FedByLeader: s.following.linked, IsLeader: func() bool { return s.parts.lease.Held() },
		OnNews:         func(news catalog.News) { s.parts.leader.Broadcast(news) },
		OnPlatformLost: s.platformLost, OnPlatformRegained: s.platformRegained, OnUnreadable: s.unreadable, OnConfig: s.configInForce,
		OnServerLeaving: s.serverLeaves,
	})
}

func provideRoster(s *shell, client *store.Client) *roster.Roster {
	return roster.New(roster.Deps{
		Store: client, Self: selfOf(s.config), Choice: directory.DefaultConfig(), Keep: s.config.addressTTL(),
		Dead:   func(name string) bool { return name != s.config.Name && s.following.dead(name) },
		Failed: func(doing string, err error) { s.log.WithError(err).Warn(doing + " failed") },
	})
}

func provideLease(s *shell, client *store.Client, self lease.Holder) *lease.Lease {
	return lease.New(lease.Deps{
		Store: client, Self: self, Linked: s.following.linked, HolderChanged: s.leaseChanged, WriteConflict: s.leaseRefused,
		Renewed:  func() { s.parts.leader.BroadcastRenewal() },
		Capacity: takeover.Capacity{LinkMbps: s.config.LinkMbps, Cores: s.config.Cores},
	})
}

func provideController(s *shell, pool *upstream.Pool, known *catalog.Catalog, charge *lease.Lease) *grouping.Controller {
	return grouping.New(grouping.Deps{
		Pool: pool, Table: known.Table, Listing: known.Listing, RegistrationsReliable: known.RegistrationsReliable,
		IsLeader: s.mayOrder, Epoch: charge.Version,
		PeersSeeServing: s.reached, PeersReach: s.answers, ClearSuspicion: func(head backend.ID) { s.parts.leader.ClearSuspicion(head) },
		DemandGroups:  func(service, model string) float64 { return s.parts.leader.GroupsNeeded(service, model) },
		BeforeTraffic: s.early, OnEvent: s.groupEvent,
	})
}

func provideLeader(s *shell, known *catalog.Catalog, charge *lease.Lease, controller *grouping.Controller) *leader.Leader {
	return leader.New(leader.Deps{
		IsLeader: charge.IsLeader, ChangesSince: known.NewsSince, Listing: known.Listing, ListAge: known.ServersAge, Table: known.Table, Dissolving: controller.Closed,
		UnregisteredMembers: controller.ResponsiveUnregistered,
		Suspect:             func(key backend.GroupKey) { controller.Suspect(context.Background(), key) },
		ReportDemand:        s.demand, Config: known.Config, OfferConfig: known.UpdateConfig, LeaseVersion: charge.Version, Ages: known.Ages, ReportQuarantine: s.heldBack,
	})
}

func provideLinks(identity *peer.Identity, self lease.Holder, inCharge *leader.Leader) *link.Server {
	return link.NewServer(identity, self.Token, inCharge)
}

func provideLocal(known *catalog.Catalog) *turn.Local {
	return turn.NewLocal(known.Listing, known.ServersAge, known.Table)
}

func provideRemote(local *turn.Local, known *catalog.Catalog) *turn.Remote {
	return turn.NewRemote(local, known.Listing)
}

func provideSuspects(remote *turn.Remote) *suspects.Watch {
	return suspects.New(suspects.Deps{Refuses: upstream.RefusesConnections, Tell: remote.Send})
}

func provideRetries(s *shell) *relay.Retries {
	return relay.NewRetries(relay.Allowed{Ratio: s.config.RetryRatio, Extra: s.config.RetryExtra}, assumedEntries)
}

func provideRelay(
	s *shell, known *catalog.Catalog, remote *turn.Remote, pool *upstream.Pool, retries *relay.Retries, watch *suspects.Watch,
) *relay.Relay {
	return relay.New(relay.Deps{
		Table: known.Table, Turns: remote, Pool: pool, Retries: retries, Suspects: watch, Report: s.requestEnded,
		Rejected: s.requestRejected, Random: rand.Float64,
	})
}

// connect ties the parts together that tell each other of changes.
func (g *Gateway) connect() {
	g.shell.parts = &g.parts
	g.catalog.Follow(store.KindEntry, catalog.EntriesWatchPolicy, func(update catalog.Update) { g.roster.Apply(update.Objects()) })
	g.catalog.OnServersChange(g.controller.Wake)
	g.catalog.OnServersChange(g.leader.RefreshGroups)
	g.gauges()
}

// newClient returns the client of the platform.
func newClient(config Config, options ...store.Option) *store.Client {
	options = append(options, store.WithCodec(platform.ObjectCodec{}), store.WithCallTimeout(platformTimeout), store.WithSource(sourceOf(config.Callers)),
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

func (s *shell) early() bool {
	return s.config.First && time.Since(s.started) < earlyFor && s.parts.relay.InProgress() == 0
}

// mayOrder says whether this entry gives the orders. While the platform is away nobody can take the lease, so its last holder goes on
// as long as it hears from at least half of the entries. What keeps groups whole does not rest on this (package grouping).
func (s *shell) mayOrder() bool {
	p := s.parts
	return p.lease.Held() || (p.lease.IsLeader() && 2*p.leader.FollowerCount() >= p.roster.Len())
}

// gauges shows what is true now.
func (g *Gateway) gauges() {
	for name, value := range map[string]func() int64{
		"requests.in_progress":   func() int64 { return int64(g.relay.InProgress()) },
		"connections.to_servers": g.pool.DialCount,
		"config.version":         func() int64 { version, _ := g.catalog.Config(); return int64(version) },
		"servers.listed":         func() int64 { return int64(len(g.catalog.Listing().Servers)) },
		"servers.revision":       func() int64 { return int64(g.catalog.Listing().Revision) },
		"servers.list_age_ms":    func() int64 { return g.catalog.ServersAge().Milliseconds() },
		"entries.known":          func() int64 { return int64(g.roster.Len()) },
		"leader.held":            func() int64 { return asNumber(g.lease.Held()) },
		"leader.linked":          func() int64 { return asNumber(g.following.linked()) },
		"leader.followers":       func() int64 { return int64(g.leader.FollowerCount()) },
		"process.uptime.seconds": func() int64 { return int64(time.Since(g.started).Seconds()) },
		"process.goroutines":     func() int64 { return int64(runtime.NumGoroutine()) },
		"process.stopping":       func() int64 { return asNumber(g.leaving.Load()) },
	} {
		g.gauge(name, value)
	}
}

func (s *shell) gauge(name string, value func() int64) {
	_ = s.registry.Register(name, metrics.NewFunctionalGauge(value)) // fails only for a name that stands twice
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
