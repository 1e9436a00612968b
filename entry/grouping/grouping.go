// Package grouping carries out what policy/grouping decides: it forms groups of VMs by orders to their model servers, opens
// them, and dissolves those that lost a member.
//
// What always holds, also while another entry believes that it is in charge, and when orders are carried out late:
//
//   - Every order names the count of orders that its VM must have, so that of any number of copies at most one takes effect,
//     and none after another order.
//   - The name of a group is never used again. A group is opened only by the task that ordered its joins, and only after each
//     member has itself reported to be ready under that name and epoch.
//   - A VM takes a join only after the head of its earlier group has taken an order that ends its part in that group, or
//     is gone. So a late order to open that head is refused.
package grouping

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	policy "github.com/skylarkpond/skylarkpond/policy/grouping"
)

// Deps is what a Controller works with.
type Deps struct {
	Pool    *upstream.Pool
	Table   func() *route.Table
	Listing func() *backend.Listing
	// Settled says whether a registration that is missing tells that its server is gone.
	Settled func() bool
	// Held says whether this entry is in charge.
	Held func() bool
	// Epoch returns a number that no earlier holder of the lease had.
	Epoch func() uint64
	// Reached asks other entries whether they reach a server that this one does not, and says whether it serves a group there.
	Reached func(ctx context.Context, server *backend.Server, key backend.GroupKey) (serving bool)
	// Answers asks other entries for a server, and says whether one of them reaches it.
	Answers func(ctx context.Context, server *backend.Server) bool
	// Sound tells that a suspected group has answered in full.
	Sound func(head backend.ID)
	// Demand returns how many groups' worth of requests of a model come, or 0 where that is not known yet.
	Demand func(service, model string) float64
	// Early says that no caller has come yet.
	Early func() bool
	// Event tells what was done or seen.
	Event func(Event)
}

// Event is one step, for the log.
type Event struct {
	Kind EventKind
	// Service is set for FleetSeen and ModelUnformable alone.
	Service string
	Group   backend.GroupKey
	VM      backend.ID
	Model   string
	Detail  string
	Took    time.Duration
}

// EventKind names a step.
type EventKind string

// The steps.
const (
	GroupForming   EventKind = "group-forming"
	GroupOpened    EventKind = "group-opened"
	GroupFailed    EventKind = "group-not-formed"
	GroupDissolved EventKind = "group-dissolved"
	GroupStuck     EventKind = "group-not-dissolved"
	SpareWarmed    EventKind = "spare-warmed"
	SpareNotWarmed EventKind = "spare-not-warmed"
	StageOrdered   EventKind = "stage-ordered"
	StageFailed    EventKind = "stage-failed"
	GroupSuspected EventKind = "group-suspected"
	MemberDark     EventKind = "member-dark"
	MemberBack     EventKind = "member-answers-again"
	// ModelUnformable: no fabric domain has the VMs for a group of the model.
	ModelUnformable EventKind = "model-cannot-be-formed"
	// FleetSeen is what a round saw of one service, once in fleetEvery.
	FleetSeen EventKind = "fleet"
)

const (
	// tick is how often the VMs are looked at; changes of the listing come in between.
	tick = 100 * time.Millisecond
	// darkFor is how long a VM that did not answer is left out. It is above the time in which the registration of a VM that is gone
	// lapses (3.6 s); one that answers again is back sooner.
	darkFor = 4500 * time.Millisecond
	// restFor is how long the VMs of a formation that failed are left alone, so that a cause which lasts does not cost
	// an order a millisecond.
	restFor = 300 * time.Millisecond
	// taskTimeout bounds the forming of a group beyond the time of its loads.
	taskTimeout = 8 * time.Second
	// stageMargin is how much longer than its time a load is waited for before it counts as lost.
	stageMargin = 20 * time.Second
)

// Controller is safe for concurrent use.
type Controller struct {
	deps    Deps
	engines *engines
	wake    chan struct{}

	mu sync.Mutex // guards what follows; a leaf lock
	// tasks holds the VMs of groups that are being formed, with the model at the head's and nothing at the others'.
	tasks map[backend.ID]string
	// checking holds the groups that are being looked into.
	checking map[backend.GroupKey]bool
	// dissolving holds the groups that a task dissolves.
	dissolving map[backend.GroupKey]bool
	// opened holds groups that were opened and are not yet listed as such.
	opened map[backend.GroupKey]opened
	// closed holds groups that were dissolved and may still be listed as open, with when.
	closed map[backend.GroupKey]time.Time
	// resting holds VMs of a formation that failed, until when.
	resting map[backend.ID]time.Time
	// lastModels holds the model of each VM's last group.
	lastModels map[backend.ID]lastModel
	// cold holds spares that could not be warmed, until when they are left as they are.
	cold map[backend.ID]time.Time
	// dark holds VMs that did not answer, until when.
	dark map[backend.ID]time.Time
	// unreached holds heads that no other entry reached, with when they were asked.
	unreached map[backend.ID]time.Time
	// staging holds the loads that were ordered.
	staging map[backend.ID]staging
	// whole holds the groups that were seen whole, vouched how many of their members are not registered and answer, absentees those members.
	whole     map[backend.GroupKey]wholeGroup
	vouched   map[backend.GroupKey]int
	absentees map[backend.ID]*absentee
	loads     *loadPace
	// silent holds when a VM of each fabric domain last did not answer.
	silent map[domain.FabricDomain]time.Time
	// toldFleet is when each service's VMs were last told.
	toldFleet map[string]time.Time
	// listed is how many VMs of each service and fabric domain were listed last, and since when.
	listed map[string]listedCount
	// askedDark is when the VMs that did not answer were asked last.
	askedDark time.Time
	// losses learn how many VMs are lost, watched is up to when.
	losses  *policy.LossEstimator
	watched time.Time
	running sync.WaitGroup
	inForce bool
}

// opened is a group that this entry has opened. Its members may be cut off from the platform, so that they stay listed as they
// were before.
type opened struct {
	at      time.Time
	members []*backend.Server
}

// lastModel is the model of a VM's last group in one of its lives.
type lastModel struct {
	model string
	born  int64
}

type staging struct {
	model string
	until time.Time
	born  int64
}

// New returns a controller; Run makes it work.
func New(deps Deps) *Controller {
	return &Controller{
		deps: deps, engines: newEngines(deps.Pool), wake: make(chan struct{}, 1),
		tasks: make(map[backend.ID]string), dissolving: make(map[backend.GroupKey]bool),
		checking: make(map[backend.GroupKey]bool),
		opened:   make(map[backend.GroupKey]opened), closed: make(map[backend.GroupKey]time.Time),
		resting: make(map[backend.ID]time.Time), cold: make(map[backend.ID]time.Time),
		lastModels: make(map[backend.ID]lastModel), dark: make(map[backend.ID]time.Time),
		silent:    make(map[domain.FabricDomain]time.Time),
		toldFleet: make(map[string]time.Time), listed: make(map[string]listedCount),
		whole: make(map[backend.GroupKey]wholeGroup), vouched: make(map[backend.GroupKey]int),
		absentees: make(map[backend.ID]*absentee),
		staging:   make(map[backend.ID]staging), unreached: make(map[backend.ID]time.Time), loads: newLoadPace(), losses: policy.NewLossEstimator(),
	}
}

// Wake makes the controller look at once.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	defer c.running.Wait()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.wake:
		}
		c.round(ctx)
	}
}

// round looks at all model services and starts what is to be done.
func (c *Controller) round(ctx context.Context) {
	if !c.holds() {
		return
	}
	table := c.deps.Table()
	if table == nil {
		return
	}
	c.engines.sweep()
	c.askDark(ctx)
	listing := c.deps.Listing()
	for _, service := range table.Services {
		if service.Engine == nil || len(service.Engine.Models) == 0 {
			continue
		}
		c.serve(ctx, service, listing.ByService[service.Name])
	}
}

// holds forgets what an earlier time in charge has left when this entry takes charge again.
func (c *Controller) holds() bool {
	held := c.deps.Held()
	c.mu.Lock()
	defer c.mu.Unlock()
	if held && !c.inForce {
		c.loads.restart(time.Now())
	}
	c.inForce = held
	return held
}

func (c *Controller) serve(ctx context.Context, service route.Service, servers []*backend.Server) {
	view := c.look(ctx, service, servers)
	for _, broken := range view.broken {
		c.startDissolve(ctx, broken)
	}
	early := c.deps.Early()
	view.input.BeforeTraffic = early
	view.input.LossRate = c.lossRate(service.Engine, view)
	c.noteFilling(service.Name, view.input.Domains)
	view.input.AvailableLoads = c.availableLoads(service.Engine, early)
	view.input.LoadsInProgress, view.input.LoadsAtOnce = c.loadsInProgress(), service.Engine.LoadsAtOnce
	plan := policy.Decide(view.input)
	c.tellFleet(service, view)
	for _, formation := range plan.Form {
		c.startForming(ctx, service.Engine, view, formation)
	}
	for _, warming := range plan.Warm {
		c.startWarming(ctx, service.Engine, view.servers[backend.ID(warming.VM)], warming.Model)
	}
	for _, drain := range plan.Drain {
		c.startConversion(ctx, view, drain)
	}
	for _, stage := range plan.Stage {
		c.startStaging(ctx, service.Engine, view.servers[backend.ID(stage.VM)], stage.Model)
	}
}

func (c *Controller) loadsInProgress() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loads.inProgress(time.Now())
}

func (c *Controller) availableLoads(engine *route.Engine, early bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if early {
		return c.loads.earlyRoom(engine, time.Now())
	}
	return c.loads.room(engine, time.Now())
}
