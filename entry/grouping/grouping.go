// Package grouping carries out the decisions of policy/grouping: it forms groups of VMs by sending orders to their model
// servers, opens the groups, and dissolves those that lost a member.
//
// The following invariants hold even while another entry also considers itself the leader, and when orders are executed late:
//
//   - Every order states the order count that its VM must have. Of any number of copies at most one takes effect, and
//     none takes effect after another order.
//   - A group name is never reused. A group is opened only by the task that ordered its joins, and only after each
//     member itself has reported to be ready under that name and epoch.
//   - A VM receives a join only after the head of its earlier group has executed an order that ends its membership in
//     that group, or the VM itself has. A delayed order to open that head is therefore refused, or opens a head that has
//     lost a member and makes no progress.
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

// Deps holds the dependencies of a Controller.
type Deps struct {
	Pool    *upstream.Pool
	Table   func() *route.Table
	Listing func() *backend.Listing
	// RegistrationsReliable reports whether a missing registration means that its server is gone.
	RegistrationsReliable func() bool
	// IsLeader reports whether this entry acts as the leader and may issue orders.
	IsLeader func() bool
	// Epoch returns a number that no earlier holder of the lease had.
	Epoch func() uint64
	// PeersSeeServing asks other entries whether they reach a server that this entry can't reach, and reports whether it is
	// serving the group.
	PeersSeeServing func(ctx context.Context, server *backend.Server, key backend.GroupKey) (serving bool)
	// ReachesServers reports whether any server of a service answers this entry now.
	ReachesServers func(ctx context.Context, service string) bool
	// PeersReach reports whether another entry reaches the server.
	PeersReach func(ctx context.Context, server *backend.Server) bool
	// ClearSuspicion is called when all members of a suspected group have answered.
	ClearSuspicion func(head backend.ID)
	// Reached is called when a VM that did not answer does again. It may be nil.
	Reached func(vm backend.ID)
	// Running returns the number of requests that entries have in progress at a head. It may be nil.
	Running func(head backend.ID) int
	// Evacuated reports whether operators want nothing sent to a VM. Cold reports whether it takes few requests. Both may be nil.
	Evacuated, Cold func(server *backend.Server) bool
	// DemandGroups returns the number of groups that the current requests of a model would fill; 0 if unknown.
	DemandGroups func(service, model string) float64
	// ShareSurplus divides the VMs that the demand leaves over among the models in proportion to their demand.
	ShareSurplus bool
	// BeforeTraffic reports that no request has arrived yet.
	BeforeTraffic func() bool
	// RoundEnded is called after each reconciliation, whether or not this entry is the leader.
	RoundEnded func()
	// OnEvent is called for each action and observation.
	OnEvent func(Event)
}

// Event describes one action or observation for the log.
type Event struct {
	Kind EventKind
	// Service is set only for FleetReport and ModelCannotBeFormed.
	Service string
	Group   backend.GroupKey
	VM      backend.ID
	Model   string
	Detail  string
	Took    time.Duration
}

// EventKind identifies the type of an Event.
type EventKind string

// Event kinds.
const (
	GroupForming      EventKind = "group-forming"
	GroupOpened       EventKind = "group-opened"
	GroupNotFormed    EventKind = "group-not-formed"
	GroupDissolved    EventKind = "group-dissolved"
	GroupNotDissolved EventKind = "group-not-dissolved"
	// HeadPresumedGone means that the members of a group may leave it although its head has not said that it has left.
	HeadPresumedGone   EventKind = "head-presumed-gone"
	SpareWarmed        EventKind = "spare-warmed"
	SpareNotWarmed     EventKind = "spare-not-warmed"
	StageOrdered       EventKind = "stage-ordered"
	StageFailed        EventKind = "stage-failed"
	GroupSuspected     EventKind = "group-suspected"
	MemberUnresponsive EventKind = "member-dark"
	MemberResponsive   EventKind = "member-answers-again"
	// GroupSlow reports that a member works slower than normal, and GroupNormal that none does any more.
	GroupSlow   EventKind = "group-slow"
	GroupNormal EventKind = "group-normal"
	// ModelCannotBeFormed reports that no fabric domain has enough VMs for a group of the model.
	ModelCannotBeFormed EventKind = "model-cannot-be-formed"
	// FleetReport describes the VMs of one service, once per fleetReportInterval.
	FleetReport EventKind = "fleet"
)

const (
	// reconcileInterval is the interval between reconciliations. Changes of the listing trigger additional ones.
	reconcileInterval = 100 * time.Millisecond
	// unresponsiveTimeout is how long a VM that did not answer is excluded. It is longer than the registration of a VM that is
	// gone takes to lapse (3.6 s). A VM that answers again is readmitted sooner.
	unresponsiveTimeout = 4500 * time.Millisecond
	// formationBackoff is how long the VMs of a failed formation are left alone. Without it, a persistent cause would cost an
	// order per millisecond.
	formationBackoff = 300 * time.Millisecond
	// taskTimeout bounds the formation of a group, not counting the duration of its loads.
	taskTimeout = 8 * time.Second
	// stagingMargin is how much longer than its expected duration a load may take before it is considered lost.
	stagingMargin = 20 * time.Second
)

// Controller forms, opens and dissolves the groups of all model services while this entry is the leader. It is safe for
// concurrent use.
type Controller struct {
	deps   Deps
	client *serverClient
	wake   chan struct{}
	// started is when the controller was created.
	started time.Time

	mu sync.Mutex // guards the fields below; of other locks, only those of Evacuated and Cold are taken while it is held
	// forming contains the VMs that a task is joining to a group: the head with the group's model, all others with an empty
	// string.
	forming map[backend.ID]string
	// checking contains the groups whose members are being probed.
	checking map[backend.GroupKey]bool
	// dissolving contains the groups that a task is dissolving.
	dissolving map[backend.GroupKey]bool
	// opened contains the groups that were opened and are not yet listed as open.
	opened map[backend.GroupKey]openedGroup
	// dissolvedAt contains the groups that were dissolved and may still be listed as open, with the time of the dissolution.
	dissolvedAt map[backend.GroupKey]time.Time
	// backoffUntil contains the VMs of failed formations, with the time until which they are left alone.
	backoffUntil map[backend.ID]time.Time
	// lastModels contains the model of each VM's last group.
	lastModels map[backend.ID]groupModel
	// warmRetryAt contains the spares whose warming failed, with the time until which they are left alone.
	warmRetryAt map[backend.ID]time.Time
	// silent contains the VMs that did not answer, with the time until which they are excluded.
	silent map[backend.ID]time.Time
	// unreachableAt contains the heads that no peer could reach, with the time when the peers were asked.
	unreachableAt map[backend.ID]time.Time
	// refusals contains the processes of heads to which connections are refused.
	refusals map[upstream.Endpoint]refusals
	// slow contains the groups that work slower than normal.
	slow map[backend.GroupKey]slowGroup
	// staging contains the loads that were ordered.
	staging map[backend.ID]pendingLoad
	// complete contains the groups that were seen with all their members. responsiveUnregistered is the number of their
	// members that are not registered but answer, unregistered the state of those members.
	complete               map[backend.GroupKey]completeGroup
	responsiveUnregistered map[backend.GroupKey]int
	unregistered           map[backend.ID]*unregisteredMember
	loads                  *loadLimiter
	// domainSilentAt is when a VM of each fabric domain last failed to answer.
	domainSilentAt map[domain.FabricDomain]time.Time
	// fleetReportedAt is when each service's VMs were last reported.
	fleetReportedAt map[string]time.Time
	// unformable marks the models, by service and name, that were reported as larger than any fabric domain.
	unformable map[string]bool
	// registrations is how the VMs of each service were listed so far.
	registrations map[string]*serviceRegistration
	// unresponsivePolledAt is when the VMs that did not answer were last polled.
	unresponsivePolledAt time.Time
	// lossEstimator estimates the rate at which VMs are lost. exposureObservedAt is the time up to which it has observations.
	lossEstimator      *policy.LossEstimator
	exposureObservedAt time.Time
	running            sync.WaitGroup
	wasLeader          bool
}

// openedGroup is a group that this entry has opened. If its members are disconnected from the platform, their registrations
// still show the state before the opening.
type openedGroup struct {
	at      time.Time
	members []*backend.Server
}

// groupModel is the model of a VM's last group. It applies only to the VM process that started at born.
type groupModel struct {
	model string
	born  int64
}

// pendingLoad is a load that was ordered. It is expected to end at end and given up at until.
type pendingLoad struct {
	model      string
	end, until time.Time
	born       int64
}

// New returns a controller. Run starts its work.
func New(deps Deps) *Controller {
	return &Controller{
		deps: deps, client: newServerClient(deps.Pool), wake: make(chan struct{}, 1), started: time.Now(),
		forming: make(map[backend.ID]string), dissolving: make(map[backend.GroupKey]bool),
		checking: make(map[backend.GroupKey]bool),
		opened:   make(map[backend.GroupKey]openedGroup), dissolvedAt: make(map[backend.GroupKey]time.Time),
		backoffUntil: make(map[backend.ID]time.Time), warmRetryAt: make(map[backend.ID]time.Time),
		lastModels: make(map[backend.ID]groupModel), silent: make(map[backend.ID]time.Time),
		slow:            make(map[backend.GroupKey]slowGroup),
		refusals:        make(map[upstream.Endpoint]refusals),
		domainSilentAt:  make(map[domain.FabricDomain]time.Time),
		fleetReportedAt: make(map[string]time.Time), unformable: make(map[string]bool), registrations: make(map[string]*serviceRegistration),
		complete: make(map[backend.GroupKey]completeGroup), responsiveUnregistered: make(map[backend.GroupKey]int),
		unregistered: make(map[backend.ID]*unregisteredMember),
		staging:      make(map[backend.ID]pendingLoad), unreachableAt: make(map[backend.ID]time.Time), loads: newLoadLimiter(), lossEstimator: policy.NewLossEstimator(),
	}
}

// Wake triggers a reconciliation without waiting for the next interval.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run reconciles until ctx is cancelled.
func (c *Controller) Run(ctx context.Context) {
	defer c.running.Wait()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.wake:
		}
		c.reconcile(ctx)
		c.deps.RoundEnded()
	}
}

// reconcile processes all model services and starts the tasks that are due.
func (c *Controller) reconcile(ctx context.Context) {
	if !c.updateLeadership() {
		return
	}
	table := c.deps.Table()
	if table == nil {
		return
	}
	c.client.prune()
	c.pollUnresponsive(ctx)
	c.checkSlowGroups(ctx)
	listing := c.deps.Listing()
	if listing.RoutableOnly {
		return // a new leader that has yet to read the other servers
	}
	for _, service := range table.Services {
		if service.Engine == nil || len(service.Engine.Models) == 0 {
			continue
		}
		c.reconcileService(ctx, service, listing.ByService[service.Name])
	}
}

// updateLeadership reports whether this entry is the leader. When it becomes the leader, the load limits start afresh.
func (c *Controller) updateLeadership() bool {
	leader := c.deps.IsLeader()
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader && !c.wasLeader {
		c.loads.reset(time.Now())
	}
	c.wasLeader = leader
	return leader
}

func (c *Controller) reconcileService(ctx context.Context, service route.Service, servers []*backend.Server) {
	view := c.observe(ctx, service, servers)
	for _, incomplete := range view.incomplete {
		c.startDissolve(ctx, incomplete)
	}
	beforeTraffic := c.deps.BeforeTraffic()
	view.input.BeforeTraffic = beforeTraffic
	view.input.ShareSurplus = c.deps.ShareSurplus
	view.input.LossRate = c.lossRate(service.Engine, view)
	c.markRegistering(service.Name, view.input.Domains)
	view.input.AvailableLoads = c.availableLoads(service.Engine, beforeTraffic)
	view.input.LoadsInProgress, view.input.LoadsAtOnce = c.loadsInProgress(), service.Engine.LoadsAtOnce
	plan := policy.Decide(view.input)
	c.reportFleet(service, view)
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

func (c *Controller) availableLoads(engine *route.Engine, beforeTraffic bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if beforeTraffic {
		return c.loads.availableBeforeTraffic(engine, time.Now())
	}
	return c.loads.available(engine, time.Now())
}
