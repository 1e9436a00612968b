// Package controller reconciles the fabric domains that this entry owns: it forms, loads, drains and
// dissolves their groups.
//
// One round over a domain probes its VMs, builds a forming.View, calls forming.Decide, and stores the changed
// placement in one conditional write. Once that write is confirmed, the round sends the orders that the
// placement calls for. The next round's probes show whether an order took effect. The reply to an order is
// not proof of that, because some engines ignore fencing numbers.
//
// Ownership is computed from the set of live entries. The placement object makes it safe: an entry that
// takes a domain over increments the placement's epoch, and later conditional writes by the previous owner
// fail. An owner acts only within MaxPlacementAge of its last confirmed read or write of the placement. The
// monotonic clock is checked before each action, so a process that resumes after a pause reads the placement
// again before it acts.
package controller

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/forming"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Intervals and time limits.
const (
	// RoundInterval is the pause between two rounds over a domain. The VM list is read each round, so a VM that
	// the list reports as leaving is noticed within one interval. That leaves two of the three seconds allowed
	// for spreading the news to all entries.
	RoundInterval = time.Second
	// MaxPlacementAge is how long after the start of a confirmed read or write of the placement the controller
	// may act on it. It bounds how long a controller keeps acting after it was replaced without noticing. A
	// round takes far less.
	MaxPlacementAge = 2 * time.Second
	// WriteTimeout bounds a placement write, including the reads that find out whether a write without a reply
	// took effect. After it, the next round reads the placement again.
	WriteTimeout = 2 * time.Second
	// OrderDeadline is how long after it was sent an order may still be carried out.
	OrderDeadline = 2 * time.Second
	// OrderTimeout bounds the wait for the reply to an order.
	OrderTimeout = time.Second
	// AsideDuration is how long a straggler is excluded from groups, unless it restarts earlier.
	AsideDuration = time.Hour
	// ReclaimDelay is how long an entry waits before it takes a domain back from another entry. Entries that
	// disagree on which entries are live, for example in a network partition, would otherwise take the domain
	// from each other in every round. That costs one write per second and domain, and since a takeover restarts
	// the observation of members, neither entry would ever replace a silent member. ReclaimDelay is twice
	// forming.SilenceGrace so that each entry owns the domain long enough to replace one.
	ReclaimDelay = 2 * forming.SilenceGrace
)

// Concurrency limits: domains reconciled at a time, and probes or orders in flight per domain.
const (
	maxConcurrentDomains = 4
	maxConcurrentCalls   = 16
)

// Membership reports which entries are live.
type Membership interface {
	// Self returns the name of this entry.
	Self() string
	// Live returns the names of the live entries that are not leaving, including this one.
	Live() []string
}

// Placements gives access to the mirrored placement objects. They name the existing fabric domains and hold the
// reports of the other controllers.
type Placements interface {
	Placements() []platform.Object
}

// GroupReports gives access to the homes' reports on their groups.
type GroupReports interface {
	// InProgress returns the number of requests in progress on a group, over all entries. known is true only if
	// the home has seen that the group is draining and accepts no more requests. A count from before that
	// moment can still rise, so it is no proof that the group is idle.
	InProgress(group vm.GroupID) (n int, known bool)
	// Whole returns whether the home last reported the group as whole. known is false if there is no report from
	// the last few seconds.
	Whole(group vm.GroupID) (whole, known bool)
	// NotWhole returns whether the home recently reported that it sends the group no requests because the group
	// is not whole.
	NotWhole(group vm.GroupID) bool
	// TokenGap returns the time between tokens that the home measures, or 0 if it is unknown.
	TokenGap(group vm.GroupID) time.Duration
}

// Deps holds the dependencies of a Controller.
type Deps struct {
	Store        platform.Store
	Engines      engine.Client
	Membership   Membership
	Placements   Placements
	GroupReports GroupReports
	// Settings returns the snapshot in force, or nil before there is one.
	Settings    func() *settings.Snapshot
	Incarnation string
	Recorder    *timeline.Recorder
	Metrics     metrics.Registry
	Log         logrus.FieldLogger
	// OnPlacement, if not nil, is called with each placement that was written or read, so that the mirror need
	// not wait for its watch.
	OnPlacement func(platform.Object)
	// Now returns the current time with a monotonic reading. The default is time.Now.
	Now func() time.Time
	// NewID returns an id that is never returned twice. The default is rand.Text.
	NewID func() string
}

// Controller reconciles the fabric domains that this entry owns. It is safe for concurrent use.
type Controller struct {
	Deps
	startedAt time.Time

	mu          sync.Mutex // guards the fields below; a leaf lock, not held during I/O
	reconcilers map[domain.FabricDomain]*reconciler
	// discoveryRounds counts the rounds in which this entry was responsible for discovering domains.
	discoveryRounds int
}

// New returns a Controller. Run starts it.
func New(d Deps) *Controller {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.NewID == nil {
		d.NewID = rand.Text
	}
	if d.OnPlacement == nil {
		d.OnPlacement = func(platform.Object) {}
	}
	return &Controller{Deps: d, startedAt: d.Now(), reconcilers: make(map[domain.FabricDomain]*reconciler)}
}

// Run discovers and reconciles fabric domains until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	jobs := make(chan domain.FabricDomain)
	var pool sync.WaitGroup
	for range maxConcurrentDomains {
		pool.Go(func() {
			for fabric := range jobs {
				_ = c.Reconcile(ctx, fabric) // Status reports the error
			}
		})
	}
	defer pool.Wait()
	defer close(jobs)
	ticker := time.NewTicker(RoundInterval)
	defer ticker.Stop()
	for {
		c.Discover(ctx)
		for _, fabric := range c.domainsToReconcile() {
			select {
			case jobs <- fabric:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// domainsToReconcile returns the domains that this entry owns and those of which it still holds state.
func (c *Controller) domainsToReconcile() []domain.FabricDomain {
	var found []domain.FabricDomain
	seen := make(map[domain.FabricDomain]bool)
	for _, object := range c.Placements.Placements() {
		fabric := domain.FabricDomain(object.Name)
		if c.owns(fabric) {
			found = append(found, fabric)
			seen[fabric] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for fabric := range c.reconcilers {
		if !seen[fabric] {
			found = append(found, fabric)
		}
	}
	return found
}

func (c *Controller) owns(fabric domain.FabricDomain) bool {
	return domain.Owner("controller/"+string(fabric), c.Membership.Live()) == c.Membership.Self()
}

// acquire returns the domain's reconciler for the exclusive use of one round, or nil if a round is in progress.
func (c *Controller) acquire(fabric domain.FabricDomain) *reconciler {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reconcilers[fabric]
	if r == nil {
		r = newReconciler(c, fabric)
		c.reconcilers[fabric] = r
	}
	if r.inRound {
		return nil
	}
	r.inRound = true
	return r
}

// release ends the round and publishes the domain's status. It drops the reconciler if the entry does not own
// the domain any more.
func (c *Controller) release(r *reconciler, owned bool) {
	if !owned {
		r.setGauges(nil)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.inRound = false
	r.status = r.newStatus()
	if !owned {
		delete(c.reconcilers, r.fabric)
	}
}

// Status describes a domain that this entry controls, for operators.
type Status struct {
	Domain   domain.FabricDomain `json:"domain"`
	Epoch    uint64              `json:"epoch"`
	Targets  map[string]int      `json:"targets"`
	Down     map[string]int      `json:"down"`
	Stranded int                 `json:"stranded_accelerators"`
	// Held holds, by service, the reason why a wanted change is not made.
	Held map[string]string `json:"held,omitempty"`
	// Problem is the error of the last round.
	Problem string `json:"problem,omitempty"`
}

// Status returns the status of each domain that this entry controls.
func (c *Controller) Status() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := make([]Status, 0, len(c.reconcilers))
	for _, r := range c.reconcilers {
		found = append(found, r.status)
	}
	return found
}
