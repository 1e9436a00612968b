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
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/entry/mirror"
	"github.com/skylarkpond/skylarkpond/entry/operator"
	"github.com/skylarkpond/skylarkpond/entry/prober"
	"github.com/skylarkpond/skylarkpond/entry/reach"
	"github.com/skylarkpond/skylarkpond/entry/routing"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/link/platform"
	directorypolicy "github.com/skylarkpond/skylarkpond/policy/directory"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// registered is what the start made before the roles: the entry as it was published, and the platform's
// version of that.
type registered struct {
	identity   *peer.Identity
	entry      platform.Entry
	generation platform.Version
}

// reservedShare is the part of the platform rate that only writes may use.
const reservedShare = 0.2

func provideStore(config Config, measures *measures) platform.Store {
	return platform.NewClient(config.PlatformURL, platform.WithSource(config.source()), platform.WithMetrics(measures.registry), platform.WithRates(platform.Rates{
		Shared:   config.PlatformRate * (1 - reservedShare),
		Reserved: config.PlatformRate * reservedShare,
	}))
}

func provideMembers(self registered, recorder *timeline.Recorder) *member.Members {
	return member.New(member.Config{
		Self:       self.entry,
		Generation: uint64(self.generation),
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Events:     recorder,
	})
}

func provideSettled() chan struct{} { return make(chan struct{}) }

func provideOwners(members *member.Members) owners { return owners{members} }

func providePeerClient(config Config, self registered, members *member.Members) *peer.Client {
	return peer.NewClient(self.identity, members, config.source())
}

func provideEngines(config Config) engine.Client { return engine.NewHTTPClient(config.source()) }

func providePeerServer(self registered, members *member.Members) *peer.Server {
	return peer.NewServer(self.identity, members)
}

func providePinger(client *peer.Client) member.Pinger { return member.NewPinger(client) }

func provideFollower(m *mirror.Mirror, store platform.Store, owners owners, members *member.Members) *mirror.Follower {
	return mirror.NewFollower(m, store, owners, members)
}

func provideTable(homes *homes) *fleet.Table { return fleet.New(homes.Steady, time.Now) }

func providePlaced(config Config, table *fleet.Table, presence *vm.Presence, prober *prober.Prober) placed {
	return placed{self: config.Name, table: table, presence: presence, prober: prober}
}

// purgesPerSecond leaves the platform's several hundred writes a second to claims and answers. It purges
// 1.7 million records a day.
const purgesPerSecond = 20

func providePurger(store platform.Store) *attempt.Purger {
	return attempt.NewPurger(store, time.Now, purgesPerSecond)
}

func provideAttempts(store platform.Store) *attempt.Records { return attempt.New(store, time.Now) }

func provideGuard(
	config Config, store platform.Store, follower *mirror.Follower, engines engine.Client, recorder *timeline.Recorder,
	measures *measures,
) *guard.Guard {
	return guard.New(guard.Deps{
		Self: config.Name, Store: store, Publisher: follower, Engines: engines, Recorder: recorder,
		Metrics: measures.registry, Clock: time.Now, NewNonce: uuid.NewString,
	})
}

func provideHome(
	self registered, placed placed, admission *admission.Admission, attempts *attempt.Records, engines engine.Client,
	inForce *settingsInForce, recorder *timeline.Recorder, guard *guard.Guard, measures *measures, log *logrus.Entry,
) *home.Home {
	return home.New(home.Deps{
		Self: self.entry.Name, Incarnation: self.entry.Incarnation, Groups: placed, Presence: placed,
		Admission: admission, Guard: guard, Attempts: attempts, Engines: engines,
		Settings: inForce.Snapshot, Recorder: recorder, Metrics: measures.registry, Log: log,
	})
}

func provideDispatcher(
	self registered, table *fleet.Table, home *home.Home, members *member.Members, client *peer.Client,
	recorder *timeline.Recorder,
) *dispatcher {
	return &dispatcher{
		self: self.entry.Name, life: self.entry.Incarnation, table: table, home: home, members: members, client: client,
		recorder: recorder,
	}
}

func provideFront(
	config Config, inForce *settingsInForce, dispatcher *dispatcher, router *routing.Router, attempts *attempt.Records,
	recorder *timeline.Recorder, measures *measures, log *logrus.Entry,
) *front.Front {
	return front.New(front.Deps{
		Self: config.Name, Settings: inForce.Snapshot, Dispatcher: dispatcher, Holders: dispatcher,
		Chooser: router, Retries: router,
		Attempts: attempts, Recorder: recorder, Metrics: measures.registry, Log: log,
	})
}

func provideRouter(config Config, measures *measures) *routing.Router {
	return routing.New(domain.FailureDomain(config.FailureDomain), measures.registry)
}

// reportTopic is that of the rumours that carry a fleet.Report.
const reportTopic = "home"

const (
	// reportBudget bounds what loads in reports cost each entry, in bytes a second: a fifth of what control
	// may cost in all. Loads ride on the frames of dispatches as well, at no cost.
	reportBudget = 2000
	// statusCost is what one status costs each entry: about 80 bytes, sent on to some five others.
	statusCost = 400
	// reportInterval is the shortest interval of reports without a change.
	reportInterval = 4 * time.Second
)

// reportEvery keeps the cost of reports the same whatever the number of groups.
func reportEvery(groups int) time.Duration {
	return max(reportInterval, time.Duration(groups)*time.Second*statusCost/reportBudget)
}

func provideProber(
	config Config, table *fleet.Table, engines engine.Client, presence *vm.Presence, recorder *timeline.Recorder,
	members *member.Members, admission *admission.Admission,
) *prober.Prober {
	return prober.New(prober.Deps{
		Self: config.Name, Groups: table, Client: engines, Presence: presence, Recorder: recorder,
		LoadOf:          admission.Load,
		Broadcast:       func(report fleet.Report) { tellReport(members, report) },
		RefreshInterval: func() time.Duration { return reportEvery(table.Len()) },
		Paused:          members.Paused,
	})
}

func tellReport(members *member.Members, report fleet.Report) {
	body, err := cbor.Marshal(report)
	if err != nil {
		return
	}
	members.Broadcast(member.Rumour{Topic: reportTopic, Name: report.Home, Version: uint64(report.HLCTime), Body: body})
}

// reachTopic is that of the rumours that carry a reach.Announcement.
const reachTopic = "reach"

func provideReach(config Config, store platform.Store, members *member.Members, recorder *timeline.Recorder) *reach.Tracker {
	tell := func(claim reach.Announcement) {
		body, err := cbor.Marshal(claim)
		if err != nil {
			return
		}
		members.Broadcast(member.Rumour{
			Topic: reachTopic, Name: claim.Entry, Version: uint64(recorder.Now()), Body: body, TTL: reach.AnnouncementTTL,
		})
	}
	ask := func(ctx context.Context) error {
		_, err := store.Get(ctx, platform.KindEntry, config.Name)
		return err
	}
	return reach.New(config.Name, time.Now, tell, ask)
}

func provideController(
	self registered, reach *reach.Tracker, store platform.Store, engines engine.Client, owners owners, m *mirror.Mirror, table *fleet.Table,
	inForce *settingsInForce, recorder *timeline.Recorder, measures *measures, log *logrus.Entry, follower *mirror.Follower,
) *controller.Controller {
	return controller.New(controller.Deps{
		Store: reach.WrapStore(store), Engines: engines, Membership: reaching{owners, reach}, Placements: placements{m}, GroupReports: reports{table},
		Settings: snapshots{inForce}.Snapshot, Incarnation: self.entry.Incarnation, Recorder: recorder,
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

func provideOverview(
	config Config, members *member.Members, table *fleet.Table, inForce *settingsInForce, client *peer.Client,
	recorder *timeline.Recorder, controller *controller.Controller,
) *overview {
	return &overview{
		self: config.Name, members: members, table: table, inForce: inForce, client: client, recorder: recorder,
		controller: controller,
	}
}

func provideOperator(
	config Config, store platform.Store, inForce *settingsInForce, m *mirror.Mirror, follower *mirror.Follower,
	overview *overview, recorder *timeline.Recorder, measures *measures, log *logrus.Entry, guard *guard.Guard,
) *operator.Server {
	return operator.New(operator.Deps{
		Entry: config.Name, Store: store, Snapshots: snapshots{inForce}, Mirror: m, Publisher: follower, Status: overview,
		Timeline: overview, Quarantine: heldRequests{guard}, VMs: vmLists{store}, Recorder: recorder,
		Metrics: measures.registry, Log: log, Clock: time.Now, NewNonce: uuid.NewString,
		BootstrapKeyHash: config.BootstrapKeyHash,
	})
}

func provideRegistration(self registered, store platform.Store, follower *mirror.Follower) *registration {
	return &registration{store: store, took: follower.Publish, self: self.entry}
}
