package grouping

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	policy "github.com/skylarkpond/skylarkpond/policy/grouping"
)

// errServing is returned if a VM that a formation needs belongs to a group that may be serving.
var errServing = eris.New("VM's group may be serving")

// formation is the task of forming one group. It runs in one goroutine, which starts others to send orders concurrently.
type formation struct {
	controller *Controller
	key        backend.GroupKey
	model      route.Model
	engine     *route.Engine
	members    []*backend.Server
	loads      int
	// loadsEnd is when the loads are expected to end.
	loadsEnd time.Time
	started  time.Time
}

func (c *Controller) startForming(ctx context.Context, engine *route.Engine, v *view, plan policy.Formation) {
	model, ok := engine.Model(plan.Model)
	if !ok {
		return
	}
	f := &formation{controller: c, model: model, engine: engine, loads: plan.Loads, started: time.Now()}
	for _, id := range plan.Members {
		f.members = append(f.members, v.servers[backend.ID(id)])
	}
	f.key = backend.GroupKey{Name: newGroupName(f.members[0])}
	beforeTraffic := c.deps.BeforeTraffic()
	c.mu.Lock()
	for i, member := range f.members {
		c.forming[member.ID] = ""
		if i == 0 {
			c.forming[member.ID] = model.Name
		}
	}
	f.loadsEnd = time.Now().Add(f.loadTime())
	c.loads.reserve(f.loads, f.loadsEnd, beforeTraffic)
	c.mu.Unlock()
	c.deps.OnEvent(Event{Kind: GroupForming, Group: f.key, Model: model.Name, Detail: f.memberList()})
	c.running.Go(func() { f.run(ctx) })
}

// loadTime is how long the members need to get their weights ready. Loads are faster before the first request arrives.
func (f *formation) loadTime() time.Duration {
	if f.loads == 0 {
		return f.model.WarmLoadTime
	}
	if f.controller.deps.BeforeTraffic() {
		return f.model.LoadTime / speedupBeforeTraffic
	}
	return f.model.LoadTime
}

// speedupBeforeTraffic is the factor by which loads are faster before the first request arrives.
const speedupBeforeTraffic = 10

func (f *formation) memberList() string {
	text := ""
	for _, member := range f.members {
		text += string(member.ID) + " "
	}
	return text
}

func (f *formation) run(ctx context.Context) {
	timeout := taskTimeout + f.loadTime()
	if f.loads > 0 {
		timeout += f.model.LoadTime
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := f.form(ctx)
	c := f.controller
	c.mu.Lock()
	for _, member := range f.members {
		delete(c.forming, member.ID)
		if err != nil {
			c.backoffUntil[member.ID] = time.Now().Add(formationBackoff)
		}
	}
	if err == nil {
		c.opened[f.key] = openedGroup{at: time.Now(), members: f.members}
		for range f.loads {
			c.loads.release(f.loadsEnd)
		}
	}
	c.mu.Unlock()
	event := Event{Kind: GroupOpened, Group: f.key, Model: f.model.Name, Took: time.Since(f.started)}
	if err != nil {
		event.Kind, event.Detail = GroupNotFormed, err.Error()
	}
	c.deps.OnEvent(event)
	c.Wake()
}

// form assembles the members and opens the group.
func (f *formation) form(ctx context.Context) error {
	head, err := f.assemble(ctx)
	if err != nil {
		return err
	}
	return f.open(ctx, head)
}

// assemble removes the VMs from their earlier groups and joins them to the new one. It returns the head's report once all
// members are ready.
func (f *formation) assemble(ctx context.Context) (backend.Report, error) {
	reports, err := f.memberReports(ctx)
	if err != nil {
		return backend.Report{}, err
	}
	f.key.Epoch = f.nextEpoch(reports)
	if err := f.leaveOldGroups(ctx, reports); err != nil {
		return backend.Report{}, err
	}
	if err := f.join(ctx, reports); err != nil {
		return backend.Report{}, err
	}
	return f.awaitReady(ctx)
}

// memberReports requests the reports of all members concurrently. A member that does not answer is excluded from plans for a
// while.
func (f *formation) memberReports(ctx context.Context) ([]backend.Report, error) {
	reports := make([]backend.Report, len(f.members))
	errs := make([]error, len(f.members))
	var requests sync.WaitGroup
	for i, member := range f.members {
		requests.Go(func() { reports[i], errs[i] = f.controller.checkedReport(ctx, member) })
	}
	requests.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, eris.Wrapf(err, "member %s", f.members[i].ID)
		}
	}
	return reports, nil
}

// checkedReport returns a VM's report. A VM that does not answer, or has been restarted since it was listed, is passed to
// handleNoAnswer. So is one that rejects the request and has no group: it can't be a member of another one meanwhile.
func (c *Controller) checkedReport(ctx context.Context, server *backend.Server) (backend.Report, error) {
	report, err := c.client.report(ctx, server)
	if err == nil && report.StartedAtMillis != 0 && server.StartedAtMillis != 0 && report.StartedAtMillis != server.StartedAtMillis {
		err = eris.Wrap(errOtherServer, "the VM has started again")
	}
	if serves := eris.Is(err, errRejected) && server.Group.Name != ""; err != nil && !serves && !c.evacuated(server) && ctx.Err() == nil {
		c.handleNoAnswer(ctx, server, err)
	}
	return report, err
}

// nextEpoch returns an epoch greater than any that the members have seen.
func (f *formation) nextEpoch(reports []backend.Report) uint64 {
	epoch := f.controller.deps.Epoch()
	for _, report := range reports {
		epoch = max(epoch, report.Group.Epoch+1)
	}
	return epoch
}

// leaveOldGroups ends the membership of every old head, also of those that will be members of the new group. A head may have
// received an order to open so recently that its report does not show it yet, and must not join before it has left. If an old head
// has not said itself that it has left, its members leave by orders of their own: the head may be serving where no entry reaches it,
// and stops if a member leaves. The expected order counts in reports are incremented for members that left.
func (f *formation) leaveOldGroups(ctx context.Context, reports []backend.Report) error {
	ended := make(map[backend.GroupKey]ending)
	for i, report := range reports {
		key := report.Group.GroupKey
		if key.Name == "" {
			continue
		}
		if report.Group.State.Serving() {
			return eris.Wrapf(errServing, "%s in %s", f.members[i].ID, key)
		}
		if report.Group.Rank == 0 {
			if err := f.leaveOldGroup(ctx, i, reports); err != nil {
				return err
			}
			ended[key] = headLeft
		}
	}
	for i, report := range reports {
		key := report.Group.GroupKey
		if key.Name == "" || report.Group.Rank == 0 {
			continue
		}
		if ended[key] == headServing {
			how, err := f.controller.closeHead(ctx, key, true)
			if err != nil {
				return err
			}
			ended[key] = how
		}
		if ended[key] == headPresumedGone {
			if err := f.leaveOldGroup(ctx, i, reports); err != nil {
				return err
			}
		}
	}
	return nil
}

// leaveOldGroup makes a member leave its old group.
func (f *formation) leaveOldGroup(ctx context.Context, i int, reports []backend.Report) error {
	if !f.controller.deps.IsLeader() {
		return errNotLeader
	}
	key := reports[i].Group.GroupKey
	order := backend.Order{Kind: backend.OrderLeave, Group: key, ExpectedOrders: reports[i].Orders}
	err := f.controller.client.sendUntilEffective(ctx, f.members[i], order, func(r backend.Report) bool { return r.Group.GroupKey != key })
	reports[i].Orders++
	return eris.Wrapf(err, "%s leaving %s", f.members[i].ID, key)
}

// join sends the join orders concurrently.
func (f *formation) join(ctx context.Context, reports []backend.Report) error {
	errs := make([]error, len(f.members))
	var orders sync.WaitGroup
	for i, member := range f.members {
		orders.Go(func() { errs[i] = f.joinMember(ctx, member, reports[i].Orders) })
	}
	orders.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *formation) joinMember(ctx context.Context, member *backend.Server, expect uint64) error {
	if !f.controller.deps.IsLeader() {
		return errNotLeader
	}
	order := backend.Order{Kind: backend.OrderJoin, Group: f.key, Model: f.model.Name, Members: f.memberIDs(), ExpectedOrders: expect}
	err := f.controller.client.sendUntilEffective(ctx, member, order, func(r backend.Report) bool { return r.Group.GroupKey == f.key })
	return eris.Wrapf(err, "join of %s", member.ID)
}

// errNotLeader is returned if the lease was lost or could not be confirmed.
var errNotLeader = eris.New("no longer in charge")

func (f *formation) memberIDs() []backend.ID {
	ids := make([]backend.ID, 0, len(f.members))
	for _, member := range f.members {
		ids = append(ids, member.ID)
	}
	return ids
}

const (
	// readyListingInterval is the interval between checks of the listing while members get ready. A check is local and costs
	// nothing.
	readyListingInterval = 50 * time.Millisecond
	// readyReportInterval is the interval between requests for the reports of members that should be ready but are not listed
	// as ready.
	readyReportInterval = 400 * time.Millisecond
	// rejoinTime is how long a VM takes to join a group of the model that it has loaded.
	rejoinTime = 200 * time.Millisecond
)

// awaitReady returns the head's report once every member itself reports to be ready under the group's name and epoch.
func (f *formation) awaitReady(ctx context.Context) (backend.Report, error) {
	nextReport := time.Now().Add(rejoinTime + readyListingInterval)
	for {
		if !wait.Pause(ctx, readyListingInterval) {
			return backend.Report{}, eris.Wrap(ctx.Err(), "waiting for members")
		}
		if !f.listedReady() && time.Now().Before(nextReport) {
			continue
		}
		nextReport = time.Now().Add(readyReportInterval)
		reports, err := f.memberReports(ctx)
		if err != nil {
			return backend.Report{}, err
		}
		ready, err := f.allReady(reports)
		if err != nil {
			return backend.Report{}, err
		}
		if ready {
			return reports[0], nil
		}
	}
}

func (f *formation) listedReady() bool {
	listing := f.controller.deps.Listing()
	for _, member := range f.members {
		listed := listing.Servers[member.ID]
		if listed == nil || listed.Group.GroupKey != f.key || listed.Group.State != backend.GroupReady {
			return false
		}
	}
	return true
}

func (f *formation) allReady(reports []backend.Report) (bool, error) {
	ready := true
	for i, report := range reports {
		if report.Group.GroupKey != f.key {
			return false, eris.Wrapf(errRefused, "%s is in %s", f.members[i].ID, report.Group.GroupKey)
		}
		ready = ready && report.Group.State == backend.GroupReady && report.Group.Rank == i
	}
	return ready, nil
}

// open makes the head serve requests.
func (f *formation) open(ctx context.Context, head backend.Report) error {
	if !f.controller.deps.IsLeader() {
		return errNotLeader
	}
	order := backend.Order{Kind: backend.OrderOpen, Group: f.key, ExpectedOrders: head.Orders, EffectDelay: f.engine.GroupOpenTime}
	err := f.controller.client.sendUntilEffective(ctx, f.members[0], order, func(r backend.Report) bool {
		return r.Group.GroupKey == f.key && r.Group.State == backend.GroupOpen
	})
	return eris.Wrap(err, "open")
}
