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

// engine has models of three and two VMs, and times that are tenths of real ones.
var engine = &route.Engine{
	Slots: 4, LoadsPerSecond: 20, LoadsAtOnce: 6, OpenTime: 60 * time.Millisecond,
	Models: []route.Model{
		{Name: "large", Size: 3, Share: 0.6, Load: time.Second, Warm: 100 * time.Millisecond},
		{Name: "small", Size: 2, Share: 0.4, Load: time.Second, Warm: 100 * time.Millisecond},
	},
}

// table has a second service, without VMs: what is known of one must not be lost when the other is looked at.
var table = route.NewTable(1, nil, []route.Service{{Name: "s", Engine: engine}, {Name: "t", Engine: engine}}, nil, route.Limits{})

// cell is a fabric domain of VMs before some controllers.
type cell struct {
	api     *objects.API
	world   *replica.World
	catalog *catalog.Catalog
	vms     []*replica.Server
	// ctx ends with the spec.
	ctx     context.Context
	running sync.WaitGroup
	next    int
}

func newCell(vms int) *cell {
	c := &cell{api: objects.New(), world: replica.NewWorld()}
	ctx, cancel := context.WithCancel(context.Background())
	c.ctx = ctx
	c.catalog = c.newCatalog()
	for range vms {
		c.add("large")
	}
	DeferCleanup(func() {
		cancel()
		c.running.Wait()
		for _, vm := range c.vms {
			vm.Close()
		}
		c.api.Close()
	})
	return c
}

// newCatalog is that of a process that starts now.
func (c *cell) newCatalog() *catalog.Catalog {
	client := store.NewClient("http://"+c.api.Address(), store.WithWire(platform.Objects{}))
	started := catalog.New(catalog.Deps{
		Store: client, Fed: func() bool { return false }, Leads: func() bool { return true }, News: func(catalog.News) {},
		Lost: func(store.Kind, error) {}, Regained: func(store.Kind, time.Duration) {}, Unreadable: func(store.Object, error) {},
		Config: func(*route.Table) {},
	})
	c.running.Go(func() { started.Run(c.ctx) })
	return started
}

func (c *cell) add(staged ...string) *replica.Server { return c.addIn("d", staged...) }

func (c *cell) addIn(fabric string, staged ...string) *replica.Server {
	c.next++
	vm := c.world.Start(c.api, replica.Config{
		ID: fmt.Sprintf("vm-%02d", c.next), Service: "s", Zone: "z", Domain: fabric, Slots: 4, Engine: true, Staged: staged,
		JoinTakes: 80 * time.Millisecond, OpenTakes: 60 * time.Millisecond, ReportLag: 40 * time.Millisecond,
	})
	c.vms = append(c.vms, vm)
	return vm
}

// control is a controller that believes itself in charge while its flag is set.
type control struct {
	*grouping.Controller
	held atomic.Bool
	// reached says that another entry finds every head serving that this one does not reach.
	reached atomic.Bool
	// begun counts the formations.
	begun atomic.Int32
	// unformable counts the lines that tell of a model that no fabric domain holds.
	unformable atomic.Int32
	stop       context.CancelFunc
}

func (c *cell) control(epoch uint64) *control { return c.controlBy(c.catalog, epoch) }

// controlBy is the controller of a process with a catalog of its own.
func (c *cell) controlBy(known *catalog.Catalog, epoch uint64) *control {
	k := &control{}
	k.held.Store(true)
	k.Controller = grouping.New(grouping.Deps{
		Pool: upstream.NewPool(), Table: func() *route.Table { return table }, Listing: known.Listing, RegistrationsReliable: known.Settled,
		IsLeader: k.held.Load, Epoch: func() uint64 { return epoch },
		PeersSeeServing: func(context.Context, *backend.Server, backend.GroupKey) bool { return k.reached.Load() },
		PeersReach:      func(context.Context, *backend.Server) bool { return k.reached.Load() },
		ClearSuspicion:  func(backend.ID) {}, DemandGroups: func(string, string) float64 { return 0 }, BeforeTraffic: func() bool { return false },
		OnEvent: func(event grouping.Event) {
			GinkgoWriter.Printf("%d %+v\n", epoch, event)
			switch event.Kind {
			case grouping.GroupForming:
				k.begun.Add(1)
			case grouping.ModelCannotBeFormed:
				k.unformable.Add(1)
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { k.Run(ctx) })
	k.stop = func() {
		cancel()
		running.Wait()
	}
	DeferCleanup(k.stop)
	return k
}

// heads returns the heads of whole, open groups of both models, as entries see them.
func (c *cell) heads() []*backend.Server {
	servers := c.catalog.Listing().ByService["s"]
	return append(turn.Heads(servers, engine, "large", nil), turn.Heads(servers, engine, "small", nil)...)
}

func (c *cell) vm(id backend.ID) *replica.Server {
	for _, vm := range c.vms {
		if vm.ID() == string(id) {
			return vm
		}
	}
	return nil
}

// member returns the VM with a rank in the only group.
func (c *cell) member(rank int) *replica.Server {
	for _, vm := range c.vms {
		if group := vm.Group(); group != nil && group.Rank == rank {
			return vm
		}
	}
	return nil
}

// outage takes the platform away for a time, in which some registrations lapse; they are back within a second and a half of its return.
func (c *cell) outage(r *rand.Rand) {
	c.api.Set(objects.Faults{Silent: true})
	away := time.Duration(300+r.IntN(600)) * time.Millisecond
	time.AfterFunc(away, func() { c.api.Set(objects.Faults{}) })
	for _, vm := range c.vms {
		if r.IntN(2) == 0 {
			continue
		}
		vm.Set(replica.Faults{Unregistered: true, Mute: r.IntN(3) == 0})
		c.api.Delete("servers", vm.ID())
		time.AfterFunc(away+time.Duration(r.IntN(1500))*time.Millisecond, func() { vm.Set(replica.Faults{}) })
	}
}

func (c *cell) groups() int { return len(c.heads()) }

const waitFor = "20s"
