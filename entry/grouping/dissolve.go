package grouping

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	policy "github.com/skylarkpond/skylarkpond/policy/grouping"
)

// startDissolve makes a head that is not whole stop serving. The VMs are free once it does.
func (c *Controller) startDissolve(ctx context.Context, group brokenGroup) {
	c.mu.Lock()
	started := c.dissolving[group.key]
	c.dissolving[group.key] = true
	if !started && group.cancel {
		c.losses.ObserveLoss()
	}
	c.mu.Unlock()
	if started {
		return
	}
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, closeTimeout)
		defer cancel()
		began := time.Now()
		err := c.retire(ctx, group.key, group.cancel)
		c.mu.Lock()
		delete(c.dissolving, group.key)
		delete(c.opened, group.key)
		if err == nil {
			c.closed[group.key] = time.Now()
		}
		c.mu.Unlock()
		event := Event{Kind: GroupDissolved, Group: group.key, VM: group.head.ID, Detail: group.reason, Took: time.Since(began)}
		if err != nil {
			event.Kind = GroupStuck
			event.Detail += ": " + err.Error()
		}
		c.deps.Event(event)
		c.Wake()
	})
}

// startConversion ends the work of a group whose VMs another model needs. Nothing is cut.
func (c *Controller) startConversion(ctx context.Context, v *view, drain policy.Drain) {
	var chosen *backend.Server
	for _, head := range v.whole {
		fits := string(head.Fabric) == drain.Domain && head.Model == drain.Model
		if fits && (chosen == nil || head.ID < chosen.ID) {
			chosen = head
		}
	}
	if chosen == nil {
		return // its group was closed meanwhile
	}
	c.startDissolve(ctx, brokenGroup{key: chosen.Group.GroupKey, head: chosen, reason: "its VMs are needed for " + drain.Recipient})
}

const (
	// closeTimeout is above the time that a member which leaves waits for its group's work.
	closeTimeout = 12 * time.Second
	// closeLook is how often a head that is closing is asked.
	closeLook = 150 * time.Millisecond
)

// errUnsettled: a registration is missing, and may only have lapsed while the platform was away. Its server may be dark for a moment and
// still serve: its members taken for another group would be in two.
var errUnsettled = eris.New("registrations may not be back yet")

// retire ends the part of a head in a group: it serves no more, and no late order can make it serve. A nil error also
// means that the head is gone, or has gone on to another group by itself.
func (c *Controller) retire(ctx context.Context, key backend.GroupKey, cancel bool) error {
	head, ok := headOf(key.Name)
	if !ok {
		return eris.Wrapf(errServing, "head of %s is not known", key)
	}
	listed := c.deps.Listing().Servers[head.ID]
	if listed != nil {
		head = listed
	}
	for {
		if !c.deps.Held() {
			return errNotInCharge
		}
		report, err := c.engines.report(ctx, head)
		switch {
		case err != nil && listed == nil && !c.deps.Settled():
			return eris.Wrapf(errUnsettled, "head %s", head.ID)
		case err != nil && listed == nil:
			if c.servesOthers(ctx, head, key) {
				return eris.Wrapf(errServing, "head %s serves behind a cut", head.ID)
			}
			return nil // its registration has ended and it answers nobody: it is gone
		case eris.Is(err, errOther):
			return nil // another server has the address
		case err != nil:
			// Asked now, the others' word is at hand when the registration ends: 0.9 s less without the group.
			c.servesOthers(ctx, head, key)
			return eris.Wrapf(err, "head %s", head.ID)
		case report.Group.GroupKey != key:
			return nil
		}
		done, err := c.retireStep(ctx, head, key, report, cancel)
		if done || err != nil {
			return err
		}
		if !wait.Pause(ctx, closeLook) {
			return eris.Wrapf(ctx.Err(), "closing %s", key)
		}
	}
}

// unreachedFor is how long the word of the other entries counts that they don't reach a server. Within it the server's registration can't
// have lapsed for a cut that began later: that takes three silent heartbeats.
const unreachedFor = 2 * time.Second

// servesOthers says whether another entry reaches a head that this one does not, and finds it serving.
func (c *Controller) servesOthers(ctx context.Context, head *backend.Server, key backend.GroupKey) bool {
	c.mu.Lock()
	lately := time.Since(c.unreached[head.ID]) < unreachedFor
	c.mu.Unlock()
	if lately {
		return false
	}
	if c.deps.Reached(ctx, head, key) {
		return true
	}
	c.mu.Lock()
	c.unreached[head.ID] = time.Now()
	c.mu.Unlock()
	return false
}

// retireStep sends the order that fits the head's state, and says whether the head is out of the group.
func (c *Controller) retireStep(ctx context.Context, head *backend.Server, key backend.GroupKey, report backend.Report, cancel bool) (bool, error) {
	switch report.Group.State {
	case backend.GroupClosing:
		return false, nil
	case backend.GroupOpen:
		order := backend.Order{Kind: backend.OrderClose, Group: key, Cancel: cancel, Expect: report.Orders}
		err := c.engines.confirm(ctx, head, order, func(r backend.Report) bool {
			return r.Group.GroupKey != key || r.Group.State != backend.GroupOpen
		})
		return false, ignoreRefused(err)
	}
	order := backend.Order{Kind: backend.OrderLeave, Group: key, Expect: report.Orders}
	err := c.engines.confirm(ctx, head, order, func(r backend.Report) bool { return r.Group.GroupKey != key })
	return err == nil, ignoreRefused(err)
}

// ignoreRefused lets the next look at the head decide: a refusal means that its state has changed meanwhile.
func ignoreRefused(err error) error {
	if eris.Is(err, errRefused) {
		return nil
	}
	return err
}

// startStaging puts a model's weights on a VM's host.
func (c *Controller) startStaging(ctx context.Context, engine *route.Engine, server *backend.Server, modelName string) {
	model, ok := engine.Model(modelName)
	if !ok || server == nil {
		return
	}
	early := c.deps.Early()
	takes := model.Load
	if early {
		takes /= earlySpeed
	}
	end := time.Now().Add(takes)
	c.mu.Lock()
	c.staging[server.ID] = staging{model: modelName, until: time.Now().Add(model.Load + stageMargin), born: server.Born}
	c.loads.take(1, end, early)
	c.mu.Unlock()
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, taskTimeout)
		defer cancel()
		event := Event{Kind: StageOrdered, VM: server.ID, Model: modelName}
		if err := c.stage(ctx, server, modelName); err != nil {
			event.Kind, event.Detail = StageFailed, err.Error()
			c.stagingFailed(server, model, end, err)
		}
		c.deps.Event(event)
	})
}

// stagingFailed corrects the account of loads. A VM that refuses is most likely busy with a load that an earlier holder of the lease ordered:
// it is left alone for as long as one takes. Ordered again and again, it would use up the room for all other loads.
func (c *Controller) stagingFailed(server *backend.Server, model route.Model, end time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if eris.Is(err, errRefused) {
		c.staging[server.ID] = staging{model: unknownModel, until: time.Now().Add(model.Load), born: server.Born}
		return
	}
	delete(c.staging, server.ID)
	c.loads.giveBack(end)
}

// unknownModel stands for weights that another entry has ordered.
const unknownModel = "?"

func (c *Controller) stage(ctx context.Context, server *backend.Server, model string) error {
	report, err := c.ask(ctx, server)
	if err != nil {
		return err
	}
	order := backend.Order{Kind: backend.OrderStage, Model: model, Expect: report.Orders}
	return c.engines.confirm(ctx, server, order, func(r backend.Report) bool { return r.Orders > report.Orders })
}
