package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"runtime"
	rtmetrics "runtime/metrics"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/backoff"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/grouping"
	"github.com/skylarkpond/skylarkpond/entry/intake"
	"github.com/skylarkpond/skylarkpond/entry/isolation"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	"github.com/skylarkpond/skylarkpond/entry/lease"
	"github.com/skylarkpond/skylarkpond/entry/limits"
	"github.com/skylarkpond/skylarkpond/entry/progress"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/entry/roster"
	"github.com/skylarkpond/skylarkpond/entry/standing"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/internal/logqueue"
	"github.com/skylarkpond/skylarkpond/link/ingress"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/peer"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/platform"
	directory "github.com/skylarkpond/skylarkpond/policy/directory"
	intakepolicy "github.com/skylarkpond/skylarkpond/policy/intake"
)

// newShared creates the logger, the metrics registry and the leader state, which the components are built on.
func newShared(config Config) (*shared, error) {
	level, err := logrus.ParseLevel(config.LogLevel)
	if err != nil {
		return nil, eris.Wrap(ErrConfig, "--log-level: "+err.Error())
	}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logline.TimeFormat})
	log.SetLevel(level)
	lines := logqueue.New(os.Stdout, config.LogQueueSize)
	log.SetOutput(lines)
	s := &shared{
		config: config, log: log.WithField("entry", config.Name), registry: metrics.NewRegistry(), leaderState: newLeaderState(), started: time.Now(),
		unreachableLines: rate.NewLimiter(maxUnreachableLines, maxUnreachableLines), unansweredLines: rate.NewLimiter(maxUnansweredLines, maxUnansweredLines), evacuations: make(map[domain.FailureDomain]bool),
	}
	s.firstByteTimes = histogram(s.registry, "requests.first.ms")
	s.totalTimes = histogram(s.registry, "requests.took.ms")
	s.gauge("log.lines.dropped", lines.Dropped)
	return s, nil
}

func provideStore(s *shared) *store.Client {
	return newClient(s.config, store.WithMetrics(s.registry), store.WithUnreadable(s.objectUnreadable))
}

// providePool returns the connections to backend servers, which originate from the address that the entry has for callers.
func providePool(s *shared) *upstream.Pool {
	return upstream.NewPool(upstream.WithSource(sourceIP(s.config.CallerAddress)), upstream.WithObserver(s.serverAnswered), upstream.WithPermit(s.permits))
}

func provideIdentity(s *shared) (*peer.Identity, error) { return peer.NewIdentity(s.config.Name) }

// provideHolder returns the record that the lease holds while this entry is the leader.
func provideHolder(s *shared, identity *peer.Identity) lease.Holder {
	return lease.Holder{Entry: s.config.Name, Address: s.config.PeerAddress, Fingerprint: identity.Fingerprint(), Token: uuid.NewString()}
}

func provideCatalog(s *shared, client *store.Client) *catalog.Catalog {
	return catalog.New(catalog.Deps{
		Store: client, FedByLeader: s.leaderState.linked, IsLeader: func() bool { return s.components.lease.Held() },
		RoutableOnly:   s.holdsRoutableOnly,
		OnChanges:      func(changes catalog.ChangeSet) { s.components.leader.Broadcast(changes) },
		OnPlatformLost: s.platformLost, OnPlatformRegained: s.platformRegained, OnUnreadable: s.objectUnreadable, OnConfig: s.configInForce,
		OnServerLeaving: s.serverLeaving, OnLapse: s.registrationsLapsed,
	})
}

func provideRoster(s *shared, client *store.Client) *roster.Roster {
	return roster.New(roster.Deps{
		Store: client, Self: selfEntry(s.config), Selection: directory.DefaultConfig(), AddressTTL: s.config.addressTTL(),
		IsDown: func(name string) bool { return name != s.config.Name && s.leaderState.isDown(name) },
		IsIsolated: func(name string) bool {
			if name == s.config.Name {
				return s.components.isolation.Any()
			}
			return s.leaderState.isIsolated(name)
		},
		OnError: func(operation string, err error) { s.log.WithError(err).Warn(operation + " failed") },
	})
}

func provideProgress(s *shared) *progress.Monitor { return progress.New(s.progressChanged) }

func provideLease(s *shared, client *store.Client, self lease.Holder, monitor *progress.Monitor) *lease.Lease {
	return lease.New(lease.Deps{
		Stalled: monitor.Stalled,
		Store:   client, Self: self, Linked: s.leaderState.linked, HolderChanged: s.leaseChanged, WriteConflict: s.leaseWriteConflict,
		Renewed:        func() { s.components.leader.BroadcastRenewal() },
		Attachment:     s.leaseAttachment,
		AttachmentRead: s.attachmentRead,
		Capacity:       s.config.capacity(),
	})
}

func provideController(
	s *shared, pool *upstream.Pool, cat *catalog.Catalog, entryLease *lease.Lease, isolated *isolation.Watch, monitor *progress.Monitor, known *standing.Tracker,
) *grouping.Controller {
	return grouping.New(grouping.Deps{
		RoundEnded: func() { monitor.RoundEnded(progress.Groups) },
		Pool:       pool, Table: cat.Table, Listing: cat.Listing, RegistrationsReliable: cat.RegistrationsReliable,
		IsLeader: s.mayIssueOrders, Epoch: entryLease.Version,
		PeersSeeServing: s.peersSeeServing, PeersReach: s.peersReach, ReachesServers: isolated.Check, ClearSuspicion: func(head backend.ID) { s.components.leader.ClearSuspicion(head) },
		DemandGroups:  func(service, model string) float64 { return s.components.leader.GroupsNeeded(service, model) },
		BeforeTraffic: s.beforeTraffic, OnEvent: s.groupEvent,
		ShareSurplus: s.config.SpareCapacity == spareShared, Evacuated: known.Evacuated, Cold: known.Limited, Reached: func(vm backend.ID) { s.components.leader.Reached(vm) },
		Running: func(head backend.ID) int { return s.components.leader.Running(head) },
	})
}

func provideLeader(
	s *shared, cat *catalog.Catalog, entryLease *lease.Lease, controller *grouping.Controller, monitor *progress.Monitor, known *standing.Tracker,
) *leader.Leader {
	return leader.New(leader.Deps{
		RoundEnded: func() { monitor.RoundEnded(progress.Turns) },
		IsLeader:   entryLease.IsLeader, ChangesSince: cat.ChangesSince, Snapshot: cat.Snapshot, Listing: cat.Listing,
		ListAge: cat.ServersAge, LinkMbps: s.config.LinkMbps,
		Table: cat.Table, Dissolving: controller.Closed,
		UnregisteredMembers: controller.ResponsiveUnregistered, Slowdown: controller.Slowdown,
		Standing: known.Of, HearCold: known.Hear, SetUnreachable: known.SetUnreachable, StallReported: s.stallReported, Blind: s.isBlind,
		Suspect:      func(key backend.GroupKey) { controller.Suspect(context.Background(), key) },
		ReportDemand: s.logDemand, Config: cat.Config, OfferConfig: cat.UpdateConfig, LeaseVersion: entryLease.Version,
		Ages: cat.Ages, ReportHolds: s.holdsChanged,
		AnnounceLeaving: func(leaving link.Leaving) bool { return cat.AnnounceLeaving(leaving, false) }, AnnouncedLeaving: cat.AnnouncedLeaving,
		Confirmed: entryLease.Held, KnownLimits: func() []link.ServerLimit { return s.components.limits.Limits() }, ReportLimit: s.limitChanged,
		LimitHeard:    func(limit link.ServerLimit) { s.components.limits.Adopt(limit) },
		ReserveForNew: s.config.reservesForNew(), ReportReturning: s.returningReported,
	})
}

func provideLinks(identity *peer.Identity, self lease.Holder, handler *leader.Leader) *link.Server {
	return link.NewServer(identity, self.Token, handler)
}

// serverLimits joins the limits that servers state with those of their standing. It implements turn.Limits.
type serverLimits struct {
	*limits.Tracker
	standing *standing.Tracker
	// followsEvacuations reports whether operators may evacuate failure domains.
	followsEvacuations bool
}

// Informed also waits for the failure domains that were evacuated before this process started.
func (l serverLimits) Informed() bool {
	return l.Tracker.Informed() && (!l.followsEvacuations || l.standing.KnowsEvacuations())
}

func (l serverLimits) Limited(server *backend.Server) bool {
	return l.Tracker.Limited(server) || l.standing.Limited(server)
}

func (l serverLimits) Blocked(server *backend.Server) bool { return l.standing.Blocked(server) }

func provideLocal(s *shared, cat *catalog.Catalog, tracker *limits.Tracker, pauses *backoff.Tracker, known *standing.Tracker) *turn.Local {
	return turn.NewLocal(cat.Listing, cat.ServersAge, cat.Table, serverLimits{tracker, known, s.config.EvacuationMs > 0}, pauses)
}

func provideRemote(local *turn.Local, cat *catalog.Catalog, pauses *backoff.Tracker) *turn.Remote {
	return turn.NewRemote(local, cat.Listing, pauses)
}

func provideSuspects(s *shared, remote *turn.Remote, cat *catalog.Catalog, pool *upstream.Pool, isolated *isolation.Watch) *suspects.Watch {
	return suspects.New(suspects.Deps{
		Probe: func(ctx context.Context, server *backend.Server) suspects.Liveness {
			return probeProcess(ctx, cat.Listing(), pool, server)
		},
		SendToLeader: remote.Send, Linked: s.leaderState.linked, Isolated: isolated.Isolated, Checked: s.serverChecked,
	})
}

func provideIsolation(s *shared, cat *catalog.Catalog, pool *upstream.Pool, known *standing.Tracker) *isolation.Watch {
	return isolation.New(isolation.Deps{
		Listing: cat.Listing, Blocked: known.Evacuated, Changed: s.isolationChanged,
		Probe: func(ctx context.Context, server *backend.Server) bool {
			status, _, _ := askForReport(ctx, pool, server) // an answer with a broken body shows as well that the server is reached
			return status != 0
		},
	})
}

func provideLimits(s *shared) *limits.Tracker {
	return limits.New(limits.Deps{
		SendToLeader: func(message link.Up) { s.components.remote.Send(message) },
		Changed:      s.limitHeard, Sent: s.sentToLimited, Invalid: s.limitInvalid,
	})
}

func provideStanding(s *shared, cat *catalog.Catalog) *standing.Tracker {
	return standing.New(standing.Deps{
		Table: cat.Table, Listing: cat.Listing, ColdBegan: s.coldBegan, ColdEnded: s.coldEnded,
		EvacuationBegan: s.evacuationBegan, EvacuationEnded: s.evacuationEnded, Invalid: s.coldInvalid,
	})
}

func provideBackoff(s *shared) *backoff.Tracker {
	return backoff.New(backoff.Deps{
		SendToLeader: func(message link.Up) { s.components.remote.Send(message) },
		Began:        s.pauseBegan, Ended: s.pauseEnded, Withheld: s.withheldInPause, Invalid: s.pauseInvalid,
	})
}

func provideRetries(s *shared) *relay.Retries {
	return relay.NewRetries(relay.Allowance{Ratio: s.config.RetryRatio, Extra: s.config.RetryExtra}, assumedEntries)
}

func provideBodies(s *shared) *intake.Bodies {
	return intake.New(intake.Deps{Capacity: intakepolicy.Capacity(s.config.memory()), Metrics: s.registry, Refused: s.bodiesRefused})
}

func provideConnections(s *shared, pool *upstream.Pool, forwarding *relay.Relay, bodies *intake.Bodies) *ingress.Connections {
	return ingress.NewConnections(ingress.ConnectionsDeps{
		Limits: s.config.limits(), Own: func() int { return pool.OpenCount() + forwarding.OpenToPeers() }, GiveUpSlowest: bodies.GiveUpSlowest,
		Report: s.connectionsClosed, Metrics: s.registry,
	})
}

func provideRelay(
	s *shared, bodies *intake.Bodies, cat *catalog.Catalog, remote *turn.Remote, pool *upstream.Pool, retries *relay.Retries, watch *suspects.Watch,
	isolated *isolation.Watch, entries *roster.Roster, tracker *limits.Tracker, pauses *backoff.Tracker,
) *relay.Relay {
	return relay.New(relay.Deps{
		Table: cat.Table, Turns: remote, Pool: pool, Bodies: bodies, Retries: retries, Suspects: watch, Report: s.requestEnded,
		Rejected: s.requestRejected, Unreachable: s.serverUnreachable, FirstRequest: func() { remote.Send(link.Up{RequestSeen: true}) }, Random: rand.Float64,
		Limits: tracker, Pauses: pauses, Isolation: isolated, PeerPool: upstream.NewPool(upstream.WithSource(sourceIP(s.config.CallerAddress)), upstream.WithObserver(s.entryAnswered)),
		Peer: func(tried []string) (relay.Peer, bool) {
			entry, ok := entries.Peer(tried)
			return relay.Peer{Name: entry.Name, Address: entry.PublicAddress}, ok
		},
	})
}

// connect subscribes components to each other's changes where constructor arguments can't express it, and registers the gauges.
func (g *Gateway) connect() {
	g.shared.components = &g.components
	g.catalog.Follow(store.KindEntry, catalog.EntriesWatchPolicy, func(update catalog.Update) { g.roster.Apply(update.Objects(), update.Complete) })
	if g.config.EvacuationMs > 0 {
		g.catalog.Follow(platform.KindEvacuations, catalog.EvacuationsWatchPolicy(g.config.evacuationTime()), g.applyEvacuations)
	}
	g.catalog.OnServersChange(g.standing.Observe)
	g.catalog.OnServersChange(g.controller.Wake)
	g.catalog.OnServersChange(g.leader.RefreshGroups)
	g.gauges()
}

// newClient returns a client for the platform's object API.
func newClient(config Config, options ...store.Option) *store.Client {
	options = append(options, store.WithCodec(platform.ObjectCodec{}), store.WithCallTimeout(platformTimeout),
		store.WithSource(sourceIP(config.CallerAddress)),
		store.WithRates(store.Rates{Shared: config.PlatformRate * (1 - reservedShare), Reserved: config.PlatformRate * reservedShare}))
	return store.NewClient("http://"+config.PlatformAddress, options...)
}

// platformTimeout bounds one call to the platform. A call that the platform dropped during an outage must not keep the entry from
// calling again: a configuration must be in force 3 s after the platform's return. A slow platform answers in 0.3 s.
const platformTimeout = time.Second

// reservedShare is the share of the platform call rate that is reserved for writes.
const reservedShare = 0.2

func sourceIP(address string) net.IP {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil // unreachable after Config.Check
	}
	return parsed.Addr().AsSlice()
}

func selfEntry(config Config) store.Entry {
	return store.Entry{
		Name: config.Name, PublicAddress: config.CallerAddress, PeerAddress: config.PeerAddress, AdminAddress: config.MetricsAddress,
		Place: config.Place, FailureDomain: config.FailureDomain,
	}
}

// assumedEntries is the number of entries among which the retry budget is divided until the roster is known.
const assumedEntries = 32

// holdsRoutableOnly reports whether this entry holds only the servers that callers' requests may be sent to. An entry with sufficient
// capacity holds all servers, because it may become the leader at any time.
func (s *shared) holdsRoutableOnly() bool {
	return !s.config.capacity().Sufficient() && !s.components.lease.IsLeader()
}

// beforeTraffic reports that no entry has received a caller's request since the whole system was started for the first time. A leader
// that hears from fewer than half of the entries can't tell.
func (s *shared) beforeTraffic() bool {
	p := s.components
	seen := p.relay.HasReceived() || p.leader.RequestSeen()
	return s.config.FirstStart && !seen && 2*p.leader.FollowerCount() >= p.roster.Len()
}

// mayIssueOrders reports whether this entry may order servers to form or dissolve groups. While the platform is unavailable nobody can
// take the lease, so its last holder continues as long as it hears from at least half of the entries. The integrity of groups does not
// depend on this (see package grouping).
func (s *shared) mayIssueOrders() bool {
	p := s.components
	if s.isBlind() {
		return false
	}
	return p.lease.Held() || (p.lease.IsLeader() && 2*p.leader.FollowerCount() >= p.roster.Len())
}

// isBlind reports whether this entry has lost its connections to the servers of a service with groups while another entry has not, so that it
// can't tell which groups are well.
func (s *shared) isBlind() bool {
	p := s.components
	table := p.catalog.Table()
	if table == nil {
		return false
	}
	for name, service := range table.Services {
		if service.Engine != nil && p.isolation.Isolated(name) {
			return p.leader.OthersReachServers(s.config.Name)
		}
	}
	return false
}

// gauges registers the gauges of the process.
func (g *Gateway) gauges() {
	for name, value := range map[string]func() int64{
		"requests.in_progress":           func() int64 { return int64(g.relay.InProgress()) },
		"connections.to_servers":         g.pool.DialCount,
		"connections.to_servers.refused": g.pool.RefusedCount,
		"connections.to_servers.silent":  g.pool.SilentCount,
		"catalog.history.bytes":          func() int64 { return int64(g.catalog.HistoryBytes()) },
		"config.version":                 func() int64 { version, _ := g.catalog.Config(); return int64(version) },
		"suspects.rules":                 func() int64 { return int64(g.suspects.RuleCount()) },
		"limits.servers":                 func() int64 { return int64(g.limits.Count()) },
		"pauses.servers":                 func() int64 { return int64(g.backoff.Count()) },
		"servers.cold":                   func() int64 { cold, _ := g.standing.Counts(); return int64(cold) },
		"evacuated.servers":              func() int64 { _, evacuated := g.standing.Counts(); return int64(evacuated) },
		"returning.deadlines_known":      func() int64 { return int64(g.leader.KnownDeadlines()) },
		"servers.isolated":               func() int64 { return boolToInt(g.isolation.Any()) },
		"servers.listed":                 func() int64 { return int64(len(g.catalog.Listing().Servers)) },
		"servers.revision":               func() int64 { return int64(g.catalog.Listing().Revision) },
		"servers.list_age_ms":            func() int64 { return g.catalog.ServersAge().Milliseconds() },
		"entries.known":                  func() int64 { return int64(g.roster.Len()) },
		"leader.held":                    func() int64 { return boolToInt(g.lease.Held()) },
		"leader.linked":                  func() int64 { return boolToInt(g.leaderState.linked()) },
		"leader.followers":               func() int64 { return int64(g.leader.FollowerCount()) },
		"leader.queued.bytes":            func() int64 { return int64(g.leader.QueuedBytes()) },
		"process.heap.live.bytes":        liveHeapBytes,
		"process.uptime.seconds":         func() int64 { return int64(time.Since(g.started).Seconds()) },
		"process.stalled":                func() int64 { return boolToInt(g.progress.Stalled()) },
		"process.goroutines":             func() int64 { return int64(runtime.NumGoroutine()) },
		"process.stopping":               func() int64 { return boolToInt(g.leaving.Load()) },
	} {
		g.gauge(name, value)
	}
}

func (s *shared) gauge(name string, value func() int64) {
	_ = s.registry.Register(name, metrics.NewFunctionalGauge(value)) // fails only for a duplicate name
}

// liveHeapBytes returns how much memory was in use after the latest garbage collection, in bytes.
func liveHeapBytes() int64 {
	sample := []rtmetrics.Sample{{Name: "/gc/heap/live:bytes"}}
	rtmetrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// The sample size and decay factor of the histograms: the metrics library's usual values, which cover about five minutes.
const (
	histogramSamples = 1028
	histogramAlpha   = 0.015
)

// histogram registers a histogram of durations in milliseconds.
func histogram(registry metrics.Registry, name string) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, registry, metrics.NewExpDecaySample(histogramSamples, histogramAlpha))
}
