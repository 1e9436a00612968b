package grouping_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/grouping"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// engine serves models with groups of three and two VMs. Its durations are a tenth of realistic ones.
var engine = &route.Engine{
	Slots: 4, LoadsPerSecond: 20, LoadsAtOnce: 6, GroupOpenTime: 60 * time.Millisecond,
	Models: []route.Model{
		{Name: "large", Size: 3, DemandShare: 0.6, LoadTime: time.Second, WarmLoadTime: 100 * time.Millisecond},
		{Name: "small", Size: 2, DemandShare: 0.4, LoadTime: time.Second, WarmLoadTime: 100 * time.Millisecond},
	},
}

// table has a second service without VMs, to check that processing one service does not discard what is known about the other.
var table = route.NewTable(1, nil, []route.Service{{Name: "s", Engine: engine}, {Name: "t", Engine: engine}}, nil, route.Limits{})

// fixture runs the VMs of one or more fabric domains, a stand-in platform and a catalog that the controllers under test share.
type fixture struct {
	api     *objects.API
	world   *replica.Cluster
	catalog *catalog.Catalog
	vms     []*replica.Server
	// ctx is cancelled when the spec ends.
	ctx     context.Context
	running sync.WaitGroup
	next    int
}

func newFixture(vms int) *fixture {
	f := &fixture{api: objects.New(), world: replica.NewCluster()}
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	f.catalog = f.newCatalog()
	for range vms {
		f.addVM("large")
	}
	DeferCleanup(func() {
		cancel()
		f.running.Wait()
		for _, vm := range f.vms {
			vm.Close()
		}
		f.api.Close()
	})
	return f
}

// newCatalog starts an empty catalog, as a newly started process has it.
func (f *fixture) newCatalog() *catalog.Catalog {
	client := store.NewClient("http://"+f.api.Address(), store.WithCodec(platform.ObjectCodec{}))
	created := catalog.New(catalog.Deps{
		Store: client, FedByLeader: func() bool { return false }, IsLeader: func() bool { return true }, OnChanges: func(catalog.ChangeSet) {},
		OnPlatformLost: func(store.Kind, error) {}, OnPlatformRegained: func(store.Kind, time.Duration) {}, OnUnreadable: func(store.Object, error) {},
		OnConfig: func(*route.Table) {}, OnServerLeaving: func(*backend.Server, bool) {},
	})
	f.running.Go(func() { created.Run(f.ctx) })
	return created
}

func (f *fixture) addVM(staged ...string) *replica.Server { return f.addVMIn("d", staged...) }

func (f *fixture) addVMIn(fabric string, staged ...string) *replica.Server {
	f.next++
	vm := f.world.Start(f.api, replica.Config{
		ID: fmt.Sprintf("vm-%02d", f.next), Service: "s", Zone: "z", Domain: fabric, Slots: 4, Engine: true, Staged: staged,
		JoinTime: 80 * time.Millisecond, OpenTime: 60 * time.Millisecond, ReportLag: 40 * time.Millisecond,
	})
	f.vms = append(f.vms, vm)
	return vm
}

// testController is a controller that considers itself the leader while its leader flag is set.
type testController struct {
	*grouping.Controller
	leader atomic.Bool
	// peersReach makes the peers report that they reach every VM, and that every head that this controller can't reach is
	// serving.
	peersReach atomic.Bool
	// isolated makes the controller's entry reach no server.
	isolated atomic.Bool
	// requests is the number of requests that are in progress at each head. evacuated evacuates all VMs.
	requests  atomic.Int32
	evacuated atomic.Bool
	// unresponsive counts the events about a VM that does not answer.
	unresponsive atomic.Int32
	// formations counts the groups that the controller began to form.
	formations atomic.Int32
	// unformableReports counts the events about a model of service s that fits into no fabric domain.
	unformableReports atomic.Int32
	// rounds counts the reconciliations that have ended. One waits while looks is locked.
	rounds atomic.Int32
	looks  sync.Mutex
	stop   context.CancelFunc
}

func (f *fixture) startController(epoch uint64) *testController { return f.startWith(f.catalog, epoch) }

// startWith starts a controller that uses the given catalog, as a separate process would.
func (f *fixture) startWith(listings *catalog.Catalog, epoch uint64) *testController {
	controller := &testController{}
	controller.leader.Store(true)
	controller.Controller = grouping.New(grouping.Deps{
		Pool: upstream.NewPool(), Listing: listings.Listing,
		Table: func() *route.Table {
			controller.looks.Lock()
			defer controller.looks.Unlock()
			return table
		},
		RoundEnded: func() { controller.rounds.Add(1) }, RegistrationsReliable: listings.RegistrationsReliable,
		IsLeader: controller.leader.Load, Epoch: func() uint64 { return epoch },
		PeersSeeServing: func(context.Context, *backend.Server, backend.GroupKey) bool { return controller.peersReach.Load() },
		ReachesServers:  func(context.Context, string) bool { return !controller.isolated.Load() },
		PeersReach:      func(context.Context, *backend.Server) bool { return controller.peersReach.Load() },
		ClearSuspicion:  func(backend.ID) {}, DemandGroups: func(string, string) float64 { return 0 }, BeforeTraffic: func() bool { return false },
		Running:   func(backend.ID) int { return int(controller.requests.Load()) },
		Evacuated: func(*backend.Server) bool { return controller.evacuated.Load() },
		OnEvent: func(event grouping.Event) {
			GinkgoWriter.Printf("%d %+v\n", epoch, event)
			switch event.Kind {
			case grouping.GroupForming:
				controller.formations.Add(1)
			case grouping.MemberUnresponsive:
				controller.unresponsive.Add(1)
			case grouping.ModelCannotBeFormed:
				if event.Service == "s" {
					controller.unformableReports.Add(1)
				}
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { controller.Run(ctx) })
	controller.stop = func() {
		cancel()
		running.Wait()
	}
	DeferCleanup(controller.stop)
	return controller
}

// heads returns the heads of the complete, open groups of both models, as listed in the shared catalog.
func (f *fixture) heads() []*backend.Server {
	servers := f.catalog.Listing().ByService["s"]
	return append(turn.Heads(servers, engine, "large", nil), turn.Heads(servers, engine, "small", nil)...)
}

func (f *fixture) vm(id backend.ID) *replica.Server {
	for _, vm := range f.vms {
		if vm.ID() == string(id) {
			return vm
		}
	}
	return nil
}

// member returns the VM that has the given rank. It is used where only one group exists.
func (f *fixture) member(rank int) *replica.Server {
	for _, vm := range f.vms {
		if group := vm.Group(); group != nil && group.Rank == rank {
			return vm
		}
	}
	return nil
}

// outage makes the platform unresponsive for a while. Some registrations lapse during that time and return within 1.5 s after
// the platform does.
func (f *fixture) outage(r *rand.Rand) {
	f.api.SetFaults(objects.Faults{Unresponsive: true})
	duration := time.Duration(300+r.IntN(600)) * time.Millisecond
	time.AfterFunc(duration, func() { f.api.SetFaults(objects.Faults{}) })
	for _, vm := range f.vms {
		if r.IntN(2) == 0 {
			continue
		}
		vm.SetFaults(replica.Faults{Unregistered: true, Unresponsive: r.IntN(3) == 0})
		f.api.Delete("servers", vm.ID())
		time.AfterFunc(duration+time.Duration(r.IntN(1500))*time.Millisecond, func() { vm.SetFaults(replica.Faults{}) })
	}
}

func (f *fixture) groupCount() int { return len(f.heads()) }

const waitFor = "20s"
