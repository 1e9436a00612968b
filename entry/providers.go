package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/admission"
	"github.com/skylarkpond/skylarkpond/entry/controller"
	"github.com/skylarkpond/skylarkpond/entry/directory"
	"github.com/skylarkpond/skylarkpond/entry/drain"
	"github.com/skylarkpond/skylarkpond/entry/fleet"
	"github.com/skylarkpond/skylarkpond/entry/front"
	"github.com/skylarkpond/skylarkpond/entry/guard"
	"github.com/skylarkpond/skylarkpond/entry/home"
	"github.com/skylarkpond/skylarkpond/entry/intake"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/entry/mirror"
	"github.com/skylarkpond/skylarkpond/entry/operator"
	"github.com/skylarkpond/skylarkpond/entry/prober"
	"github.com/skylarkpond/skylarkpond/entry/reach"
	"github.com/skylarkpond/skylarkpond/entry/routing"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/ingress"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/logline"
	directorypolicy "github.com/skylarkpond/skylarkpond/policy/directory"
	intakepolicy "github.com/skylarkpond/skylarkpond/policy/intake"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// publishedEntry is the identity of this entry as published in the platform before the roles start, with the
// version of the published object.
type publishedEntry struct {
	identity   *peer.Identity
	entry      platform.Entry
	generation platform.Version
}

// reservedWriteShare is the fraction of the platform call rate that only writes may use.
const reservedWriteShare = 0.2

func provideStore(config Config, measures *processMetrics, log *logrus.Entry) platform.Store {
	return platform.NewClient(config.PlatformURL, platform.WithSource(config.sourceIP()), platform.WithMetrics(measures.registry), platform.WithRates(platform.Rates{
		Shared:   config.PlatformRate * (1 - reservedWriteShare),
		Reserved: config.PlatformRate * reservedWriteShare,
	}), platform.WithUnreadable(func(object platform.Object, reason error) {
		log.WithError(reason).WithFields(logrus.Fields{"kind": object.Kind, "object": object.Name}).Warn(logline.LeftOut)
	}))
}

func provideMembers(self publishedEntry, recorder *timeline.Recorder) *member.Members {
	return member.New(member.Config{
		Self:       self.entry,
		Generation: uint64(self.generation),
		Joining:    true, // until homeCandidates decides
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Events:     recorder,
	})
}

func provideSettingsReady() chan struct{} { return make(chan struct{}) }

func provideMembership(members *member.Members) liveMembership { return liveMembership{members} }

func providePeerClient(config Config, self publishedEntry, members *member.Members) *peer.Client {
	return peer.NewClient(self.identity, members, config.sourceIP())
}

func provideEngines(config Config) *engine.HTTPClient { return engine.NewHTTPClient(config.sourceIP()) }

func providePeerServer(self publishedEntry, members *member.Members, bodies *intake.Bodies) *peer.Server {
	return peer.NewServer(self.identity, members, bodies)
}

func providePinger(client *peer.Client) member.Pinger { return member.NewPinger(client) }

func provideFollower(
	m *mirror.Mirror, store platform.Store, membership liveMembership, members *member.Members, log *logrus.Entry,
) *mirror.Follower {
	return mirror.NewFollower(m, store, membership, members, func(kind platform.Kind, err error) {
		if err != nil {
			log.WithError(err).WithField("kind", kind).Warn(logline.PlatformLost)
			return
		}
		log.WithField("kind", kind).Info(logline.PlatformRegained)
	})
}

func provideTable(homes *homeCandidates) *fleet.Table { return fleet.New(homes.Eligible, time.Now) }

func provideHomedGroups(config Config, table *fleet.Table, presence *vm.Presence, prober *prober.Prober) homedGroups {
	return homedGroups{self: config.Name, table: table, presence: presence, prober: prober}
}

// purgesPerSecond limits purging so that most of the platform's several hundred writes a second remain for claims
// and answers. It suffices to purge 1.7 million records a day.
const purgesPerSecond = 20

func providePurger(store platform.Store) *attempt.Purger {
	return attempt.NewPurger(store, time.Now, purgesPerSecond)
}

func provideAttempts(store platform.Store) *attempt.Records { return attempt.New(store, time.Now) }

func provideGuard(
	config Config, store platform.Store, follower *mirror.Follower, engines engine.Client, recorder *timeline.Recorder,
	measures *processMetrics,
) *guard.Guard {
	return guard.New(guard.Deps{
		Self: config.Name, Store: store, Publisher: follower, Engines: engines, Recorder: recorder,
		Metrics: measures.registry, Clock: time.Now, NewNonce: uuid.NewString,
	})
}

func provideHome(
	self publishedEntry, groups homedGroups, admission *admission.Admission, attempts *attempt.Records, engines engine.Client,
	inForce *settingsInForce, recorder *timeline.Recorder, guard *guard.Guard, measures *processMetrics, log *logrus.Entry,
) *home.Home {
	return home.New(home.Deps{
		Self: self.entry.Name, Incarnation: self.entry.Incarnation, Groups: groups, Presence: groups,
		Admission: admission, Guard: guard, Attempts: attempts, Engines: engines,
		Settings: inForce.Snapshot, Recorder: recorder, Metrics: measures.registry, Log: log,
	})
}

func provideDispatcher(
	self publishedEntry, table *fleet.Table, homes *homeCandidates, home *home.Home, members *member.Members, client *peer.Client,
	recorder *timeline.Recorder, ready chan struct{},
) *dispatcher {
	return &dispatcher{
		self: self.entry.Name, incarnation: self.entry.Incarnation, table: table, homes: homes, home: home, members: members, client: client,
		recorder: recorder, ready: ready,
	}
}

// bodyCopies is how often a body is held: by its front, and encoded for the home.
const bodyCopies = 2

func provideBodies(config Config, measures *processMetrics, log *logrus.Entry) *intake.Bodies {
	return intake.New(intake.Deps{
		Capacity: intakepolicy.Capacity(config.memory()) / bodyCopies, Metrics: measures.registry,
		Refused: func(refused intake.Refusals) { log.WithFields(refused.Fields()).Warn(logline.BodiesRefused) },
	})
}

func provideConnections(
	config Config, engines *engine.HTTPClient, bodies *intake.Bodies, measures *processMetrics, log *logrus.Entry,
) *ingress.Connections {
	return ingress.NewConnections(ingress.ConnectionsDeps{
		Limits: config.limits(), Own: engines.OpenCount, GiveUpSlowest: bodies.GiveUpSlowest, Metrics: measures.registry,
		Report: func(shortage ingress.Shortage) { log.WithFields(shortage.Fields()).Warn(logline.ConnectionsClosed) },
	})
}

func provideFront(
	config Config, bodies *intake.Bodies, inForce *settingsInForce, dispatcher *dispatcher, router *routing.Router, attempts *attempt.Records,
	recorder *timeline.Recorder, measures *processMetrics, log *logrus.Entry,
) *front.Front {
	return front.New(front.Deps{
		Self: config.Name, Settings: inForce.Snapshot, Dispatcher: dispatcher, Homes: dispatcher, Holders: dispatcher,
		Chooser: router, Retries: router, Bodies: bodies,
		Attempts: attempts, Recorder: recorder, Metrics: measures.registry, Log: log,
	})
}

func provideRouter(config Config, measures *processMetrics) *routing.Router {
	return routing.New(domain.FailureDomain(config.FailureDomain), measures.registry)
}

// reportTopic is the topic of the rumours that carry a fleet.Report.
const reportTopic = "home"

const (
	// reportBudget limits what reporting loads costs each entry, in bytes a second, to a fifth of the total budget
	// for control traffic. Loads are also carried by dispatch frames, at no extra cost.
	reportBudget = 2000
	// statusCost is the cost of one status to each entry in bytes: about 80 bytes, forwarded to about five other
	// entries.
	statusCost = 400
	// minReportInterval is the shortest interval between reports without a change.
	minReportInterval = 4 * time.Second
)

// reportIntervalFor returns the report interval that keeps the cost of reports independent of the number of
// groups.
func reportIntervalFor(groups int) time.Duration {
	return max(minReportInterval, time.Duration(groups)*time.Second*statusCost/reportBudget)
}

func provideProber(
	config Config, table *fleet.Table, engines engine.Client, presence *vm.Presence, recorder *timeline.Recorder,
	members *member.Members, admission *admission.Admission,
) *prober.Prober {
	return prober.New(prober.Deps{
		Self: config.Name, Groups: table, Client: engines, Presence: presence, Recorder: recorder,
		LoadOf:          admission.Load,
		Broadcast:       func(report fleet.Report) { broadcastReport(members, report) },
		RefreshInterval: func() time.Duration { return reportIntervalFor(table.Len()) },
		Paused:          members.Paused,
	})
}

func broadcastReport(members *member.Members, report fleet.Report) {
	body, err := cbor.Marshal(report)
	if err != nil {
		return
	}
	members.Broadcast(member.Rumour{Topic: reportTopic, Name: report.Home, Version: uint64(report.HLCTime), Body: body})
}

// reachTopic is the topic of the rumours that carry a reach.Announcement.
const reachTopic = "reach"

func provideReach(config Config, store platform.Store, members *member.Members, recorder *timeline.Recorder) *reach.Tracker {
	announce := func(announcement reach.Announcement) {
		body, err := cbor.Marshal(announcement)
		if err != nil {
			return
		}
		members.Broadcast(member.Rumour{
			Topic: reachTopic, Name: announcement.Entry, Version: uint64(recorder.Now()), Body: body, TTL: reach.AnnouncementTTL,
		})
	}
	probe := func(ctx context.Context) error {
		_, err := store.Get(ctx, platform.KindEntry, config.Name)
		return err
	}
	return reach.New(config.Name, time.Now, announce, probe)
}

func provideController(
	self publishedEntry, reach *reach.Tracker, store platform.Store, engines engine.Client, membership liveMembership, m *mirror.Mirror, table *fleet.Table,
	inForce *settingsInForce, recorder *timeline.Recorder, measures *processMetrics, log *logrus.Entry, follower *mirror.Follower,
) *controller.Controller {
	return controller.New(controller.Deps{
		Store: reach.WrapStore(store), Engines: engines, Membership: platformMembership{membership, reach}, Placements: placementSource{m}, GroupReports: groupReports{table},
		Settings: settingsSource{inForce}.Snapshot, Incarnation: self.entry.Incarnation, Recorder: recorder,
		Metrics: measures.registry, Log: log, OnPlacement: follower.Publish,
	})
}

func provideDirectory(members *member.Members, inForce *settingsInForce, gate *drain.Gate, dispatcher *dispatcher) *directory.Directory {
	return directory.New(directory.Deps{
		Members:    members,
		TTL:        func() time.Duration { return inForce.Snapshot().AddressTTL },
		InProgress: func() int { return gate.InProgress() + int(dispatcher.serving.Load()) },
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Choice:     directorypolicy.DefaultConfig(),
		Overload:   directorypolicy.DefaultOverloadConfig(),
		Clock:      time.Now,
	})
}

func provideStatusCollector(
	config Config, members *member.Members, table *fleet.Table, inForce *settingsInForce, client *peer.Client,
	recorder *timeline.Recorder, controller *controller.Controller,
) *statusCollector {
	return &statusCollector{
		self: config.Name, members: members, table: table, inForce: inForce, client: client, recorder: recorder,
		controller: controller,
	}
}

func provideOperator(
	config Config, store platform.Store, inForce *settingsInForce, m *mirror.Mirror, follower *mirror.Follower,
	collector *statusCollector, recorder *timeline.Recorder, measures *processMetrics, log *logrus.Entry, guard *guard.Guard,
) *operator.Server {
	return operator.New(operator.Deps{
		Entry: config.Name, Store: store, Snapshots: settingsSource{inForce}, Mirror: m, Publisher: follower, Status: collector,
		Timeline: collector, Quarantine: quarantineSource{guard}, VMs: vmLists{store}, Recorder: recorder,
		Metrics: measures.registry, Log: log, Clock: time.Now, NewNonce: uuid.NewString,
		BootstrapKeyHash: config.BootstrapKeyHash,
	})
}

func provideRegistration(self publishedEntry, store platform.Store, follower *mirror.Follower) *registration {
	return &registration{store: store, onWritten: follower.Publish, self: self.entry}
}
