// Package controller is the role that forms, loads, drains and dissolves the groups of the fabric domains
// that this entry owns.
//
// The flow of one round over a domain: probe its VMs -> build a forming.View -> forming.Decide -> write the
// changed placement in one conditional write -> once that is confirmed, send the orders that it names.
// What the orders came to shows in the next round's probes: some engines ignore fencing numbers, so that
// an answer to an order proves nothing.
//
// Ownership is computed from the live entries and made safe by the placement object: whoever takes over
// raises its epoch, and the write of one who was replaced fails. An owner acts only within ActWithin of
// its last confirmed read or write of the object, checked at each action by the monotonic clock, so that
// a process that wakes from a pause looks first.
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

// Times.
const (
	// Interval is the pause between two rounds over a domain. With the list read each round, a VM that the
	// list calls leaving is noticed within it, which leaves two of the three seconds to spread the news.
	Interval = time.Second
	// ActWithin is how long a confirmed read or write of the placement allows to act. It bounds how long a
	// controller that was replaced without noticing goes on; a round takes far less.
	ActWithin = 2 * time.Second
	// WriteTimeout bounds how long a write whose answer was lost is settled; then the next round reads.
	WriteTimeout = 2 * time.Second
	// OrderDeadline is how long after its sending an order may still be carried out.
	OrderDeadline = 2 * time.Second
	// OrderTimeout bounds the wait for the answer to an order.
	OrderTimeout = time.Second
	// AsideFor is how long a straggler is kept out of groups, unless it restarts.
	AsideFor = time.Hour
	// RivalPause is how long an entry waits before it takes a domain back. Two entries with different views of
	// who is live, as when the network between them is cut, would otherwise take it from each other each
	// round, which is a write a second for each domain; and since whoever takes over watches anew, neither
	// would ever replace a silent member. It is twice forming.SilenceGrace, so that each turn is long enough for that.
	RivalPause = 2 * forming.SilenceGrace
)

// workers bounds the domains worked on at a time, and probers the probes and orders under way per domain.
const (
	workers = 4
	probers = 16
)

// Owners tells which entries are live.
type Owners interface {
	// Self is the own name, Live the names of the live entries that are not leaving, own included.
	Self() string
	Live() []string
}

// Placements are the mirrored placement objects: which fabric domains exist, and what others report.
type Placements interface {
	Placements() []platform.Object
}

// GroupLoad is what homes report of groups.
type GroupLoad interface {
	// InProgress counts the requests at work on a group, at all entries. Known is true only if the home has
	// seen the group draining and takes no more: a count from before says nothing.
	InProgress(group vm.GroupID) (n int, known bool)
	// Whole says what the home last said of the group, if it said so within some seconds.
	Whole(group vm.GroupID) (whole, known bool)
	// NotWhole says that the home said a moment ago that it gives the group no work, since it is not whole.
	NotWhole(group vm.GroupID) bool
	// TokenGap is the time between tokens that the home measures; 0 if unknown.
	TokenGap(group vm.GroupID) time.Duration
}

// Deps are what a Controller works with.
type Deps struct {
	Store      platform.Store
	Engines    engine.Client
	Owners     Owners
	Placements Placements
	Loads      GroupLoad
	// Settings returns the snapshot in force, or nil before the first.
	Settings    func() *settings.Snapshot
	Incarnation string
	Recorder    *timeline.Recorder
	Metrics     metrics.Registry
	Log         logrus.FieldLogger
	// Took is called with each placement that was written or read, so that the mirror need not wait for its
	// watch; nil: nobody is told.
	Took func(platform.Object)
	// Now reads the monotonic clock, and NewID makes ids that are never given twice; nil: the usual ones.
	Now   func() time.Time
	NewID func() string
}

// Controller works on the fabric domains that this entry owns. It is safe for concurrent use.
type Controller struct {
	Deps
	start time.Time

	mu      sync.Mutex // guards what follows; a leaf lock: not held over I/O
	domains map[domain.FabricDomain]*work
	// rounds counts those in which this entry was to discover domains.
	rounds int
}

// New returns a controller; Run makes it work.
func New(d Deps) *Controller {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.NewID == nil {
		d.NewID = rand.Text
	}
	if d.Took == nil {
		d.Took = func(platform.Object) {}
	}
	return &Controller{Deps: d, start: d.Now(), domains: make(map[domain.FabricDomain]*work)}
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	jobs := make(chan domain.FabricDomain)
	var pool sync.WaitGroup
	for range workers {
		pool.Go(func() {
			for fabric := range jobs {
				_ = c.Reconcile(ctx, fabric) // Status shows why a round ended early
			}
		})
	}
	defer pool.Wait()
	defer close(jobs)
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		c.Discover(ctx)
		for _, fabric := range c.candidates() {
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

// candidates are the domains that this entry owns, or worked on until now.
func (c *Controller) candidates() []domain.FabricDomain {
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
	for fabric := range c.domains {
		if !seen[fabric] {
			found = append(found, fabric)
		}
	}
	return found
}

func (c *Controller) owns(fabric domain.FabricDomain) bool {
	return domain.Owner("controller/"+string(fabric), c.Owners.Live()) == c.Owners.Self()
}

// begin hands out the domain's work to one round at a time; nil if a round is under way.
func (c *Controller) begin(fabric domain.FabricDomain) *work {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.domains[fabric]
	if w == nil {
		w = newWork(c, fabric)
		c.domains[fabric] = w
	}
	if w.busy {
		return nil
	}
	w.busy = true
	return w
}

// end gives the work back, with its status for Status, and drops it if the domain is not owned any more.
func (c *Controller) end(w *work, keep bool) {
	if !keep {
		w.showGauges(nil)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w.busy = false
	w.status = w.newStatus()
	if !keep {
		delete(c.domains, w.fabric)
	}
}

// Status is what an operator sees of a domain that this entry controls.
type Status struct {
	Domain   domain.FabricDomain `json:"domain"`
	Epoch    uint64              `json:"epoch"`
	Targets  map[string]int      `json:"targets"`
	Down     map[string]int      `json:"down"`
	Stranded int                 `json:"stranded_accelerators"`
	// Held says, by service, why something wanted is not done.
	Held map[string]string `json:"held,omitempty"`
	// Problem is what the last round failed with.
	Problem string `json:"problem,omitempty"`
}

// Status returns the domains that this entry controls.
func (c *Controller) Status() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := make([]Status, 0, len(c.domains))
	for _, w := range c.domains {
		found = append(found, w.status)
	}
	return found
}
