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

// errServing: a VM that was to be taken belongs to a group that may serve.
var errServing = eris.New("VM's group may be serving")

// formation is the task of forming one group. One goroutine works on it, with helpers for orders side by side.
type formation struct {
	controller *Controller
	key        backend.GroupKey
	model      route.Model
	engine     *route.Engine
	members    []*backend.Server
	loads      int
	started    time.Time
}

func (c *Controller) startForming(ctx context.Context, engine *route.Engine, v *view, planned policy.Formation) {
	model, ok := engine.Model(planned.Model)
	if !ok {
		return
	}
	f := &formation{controller: c, model: model, engine: engine, loads: planned.Loads, started: time.Now()}
	for _, id := range planned.Members {
		f.members = append(f.members, v.servers[backend.ID(id)])
	}
	f.key = backend.GroupKey{Name: newName(f.members[0])}
	early := c.deps.BeforeTraffic()
	c.mu.Lock()
	for i, member := range f.members {
		c.tasks[member.ID] = ""
		if i == 0 {
			c.tasks[member.ID] = model.Name
		}
	}
	c.loads.take(f.loads, time.Now().Add(f.loadTime()), early)
	c.mu.Unlock()
	c.deps.OnEvent(Event{Kind: GroupForming, Group: f.key, Model: model.Name, Detail: f.describe()})
	c.running.Go(func() { f.run(ctx) })
}

// loadTime is how long the members need for their weights. Loads are ten times as fast before callers come.
func (f *formation) loadTime() time.Duration {
	if f.loads == 0 {
		return f.model.Warm
	}
	if f.controller.deps.BeforeTraffic() {
		return f.model.Load / earlySpeed
	}
	return f.model.Load
}

// earlySpeed is how many times faster loads are before callers come.
const earlySpeed = 10

func (f *formation) describe() string {
	text := ""
	for _, member := range f.members {
		text += string(member.ID) + " "
	}
	return text
}

func (f *formation) run(ctx context.Context) {
	timeout := taskTimeout + f.loadTime()
	if f.loads > 0 {
		timeout += f.model.Load
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := f.form(ctx)
	c := f.controller
	c.mu.Lock()
	for _, member := range f.members {
		delete(c.tasks, member.ID)
		if err != nil {
			c.resting[member.ID] = time.Now().Add(restFor)
		}
	}
	if err == nil {
		c.opened[f.key] = opened{at: time.Now(), members: f.members}
	}
	c.mu.Unlock()
	event := Event{Kind: GroupOpened, Group: f.key, Model: f.model.Name, Took: time.Since(f.started)}
	if err != nil {
		event.Kind, event.Detail = GroupNotFormed, err.Error()
	}
	c.deps.OnEvent(event)
	c.Wake()
}

// form gathers the VMs and opens the group.
func (f *formation) form(ctx context.Context) error {
	head, err := f.gather(ctx)
	if err != nil {
		return err
	}
	return f.open(ctx, head)
}

// gather takes the VMs out of their earlier groups and joins them. It returns the head's report once all are ready.
func (f *formation) gather(ctx context.Context) (backend.Report, error) {
	reports, err := f.reports(ctx)
	if err != nil {
		return backend.Report{}, err
	}
	f.key.Epoch = f.nextEpoch(reports)
	if err := f.release(ctx, reports); err != nil {
		return backend.Report{}, err
	}
	if err := f.join(ctx, reports); err != nil {
		return backend.Report{}, err
	}
	return f.awaitReady(ctx)
}

// reports asks all members, side by side. One that does not answer is left out of plans for a while.
func (f *formation) reports(ctx context.Context) ([]backend.Report, error) {
	reports := make([]backend.Report, len(f.members))
	errs := make([]error, len(f.members))
	var asked sync.WaitGroup
	for i, member := range f.members {
		asked.Go(func() { reports[i], errs[i] = f.controller.ask(ctx, member) })
	}
	asked.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, eris.Wrapf(err, "member %s", f.members[i].ID)
		}
	}
	return reports, nil
}

// ask reports a VM, and notes one that does not answer.
func (c *Controller) ask(ctx context.Context, server *backend.Server) (backend.Report, error) {
	report, err := c.engines.report(ctx, server)
	if err == nil && report.Born != 0 && server.Born != 0 && report.Born != server.Born {
		err = eris.Wrap(errOther, "the VM has started again")
	}
	if err != nil && ctx.Err() == nil {
		c.noAnswer(ctx, server, err)
	}
	return report, err
}

// nextEpoch is above all that the members have seen.
func (f *formation) nextEpoch(reports []backend.Report) uint64 {
	epoch := f.controller.deps.Epoch()
	for _, report := range reports {
		epoch = max(epoch, report.Group.Epoch+1)
	}
	return epoch
}

// release ends the part of every old head, also of those that are to be members: a head may have been told to open so lately that its
// report does not show it, and must not take a join before it has left. It raises the counts of orders of members that left.
func (f *formation) release(ctx context.Context, reports []backend.Report) error {
	released := make(map[backend.GroupKey]bool)
	for i, report := range reports {
		key := report.Group.GroupKey
		if key.Name == "" {
			continue
		}
		if report.Group.State.Serving() {
			return eris.Wrapf(errServing, "%s in %s", f.members[i].ID, key)
		}
		if report.Group.Rank == 0 {
			if err := f.leave(ctx, i, reports); err != nil {
				return err
			}
			released[key] = true
		}
	}
	for _, report := range reports {
		key := report.Group.GroupKey
		if key.Name == "" || released[key] {
			continue
		}
		if err := f.controller.retire(ctx, key, true); err != nil {
			return err
		}
		released[key] = true
	}
	return nil
}

// leave takes a member that is the head of its old group out of it.
func (f *formation) leave(ctx context.Context, i int, reports []backend.Report) error {
	if !f.controller.deps.IsLeader() {
		return errNotInCharge
	}
	key := reports[i].Group.GroupKey
	order := backend.Order{Kind: backend.OrderLeave, Group: key, Expect: reports[i].Orders}
	err := f.controller.engines.confirm(ctx, f.members[i], order, func(r backend.Report) bool { return r.Group.GroupKey != key })
	reports[i].Orders++
	return eris.Wrapf(err, "%s leaving %s", f.members[i].ID, key)
}

// join orders the joins, side by side.
func (f *formation) join(ctx context.Context, reports []backend.Report) error {
	errs := make([]error, len(f.members))
	var ordered sync.WaitGroup
	for i, member := range f.members {
		ordered.Go(func() { errs[i] = f.joinOne(ctx, member, reports[i].Orders) })
	}
	ordered.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *formation) joinOne(ctx context.Context, member *backend.Server, expect uint64) error {
	if !f.controller.deps.IsLeader() {
		return errNotInCharge
	}
	order := backend.Order{Kind: backend.OrderJoin, Group: f.key, Model: f.model.Name, Members: f.ids(), Expect: expect}
	err := f.controller.engines.confirm(ctx, member, order, func(r backend.Report) bool { return r.Group.GroupKey == f.key })
	return eris.Wrapf(err, "join of %s", member.ID)
}

// errNotInCharge: the lease was lost or could not be confirmed.
var errNotInCharge = eris.New("no longer in charge")

func (f *formation) ids() []backend.ID {
	ids := make([]backend.ID, 0, len(f.members))
	for _, member := range f.members {
		ids = append(ids, member.ID)
	}
	return ids
}

const (
	// readyLook is how often the listing is looked at while members get ready; it costs nothing.
	readyLook = 50 * time.Millisecond
	// readyAsk is how often members are asked that are not listed as ready, once they should be.
	readyAsk = 400 * time.Millisecond
	// rejoinTime is how long a VM takes to join with the model it has loaded.
	rejoinTime = 200 * time.Millisecond
)

// awaitReady returns the head's report once every member itself reports to be ready under this name and epoch.
func (f *formation) awaitReady(ctx context.Context) (backend.Report, error) {
	nextAsk := time.Now().Add(rejoinTime + readyLook)
	for {
		if !wait.Pause(ctx, readyLook) {
			return backend.Report{}, eris.Wrap(ctx.Err(), "waiting for members")
		}
		if !f.listedReady() && time.Now().Before(nextAsk) {
			continue
		}
		nextAsk = time.Now().Add(readyAsk)
		reports, err := f.reports(ctx)
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

// open makes the head serve.
func (f *formation) open(ctx context.Context, head backend.Report) error {
	if !f.controller.deps.IsLeader() {
		return errNotInCharge
	}
	order := backend.Order{Kind: backend.OrderOpen, Group: f.key, Expect: head.Orders, Takes: f.engine.OpenTime}
	err := f.controller.engines.confirm(ctx, f.members[0], order, func(r backend.Report) bool {
		return r.Group.GroupKey == f.key && r.Group.State == backend.GroupOpen
	})
	return eris.Wrap(err, "open")
}
