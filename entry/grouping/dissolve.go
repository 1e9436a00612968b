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

// startDissolve makes the head of an incomplete group stop serving. After that, the group's VMs are free.
func (c *Controller) startDissolve(ctx context.Context, group incompleteGroup) {
	c.mu.Lock()
	started := c.dissolving[group.key]
	c.dissolving[group.key] = true
	if !started && group.cancel {
		c.lossEstimator.ObserveLoss()
	}
	c.mu.Unlock()
	if started {
		return
	}
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, dissolveTimeout)
		defer cancel()
		startedAt := time.Now()
		_, err := c.closeHead(ctx, group.key, group.cancel)
		c.mu.Lock()
		delete(c.dissolving, group.key)
		delete(c.opened, group.key)
		if err == nil {
			c.dissolvedAt[group.key] = time.Now()
		}
		c.mu.Unlock()
		event := Event{Kind: GroupDissolved, Group: group.key, VM: group.head.ID, Detail: group.reason, Took: time.Since(startedAt)}
		if err != nil {
			event.Kind = GroupNotDissolved
			event.Detail += ": " + err.Error()
		}
		c.deps.OnEvent(event)
		c.Wake()
	})
}

// startConversion drains a group whose VMs another model needs. Requests in progress are completed.
func (c *Controller) startConversion(ctx context.Context, v *view, drain policy.Drain) {
	head := v.servers[backend.ID(drain.Head)]
	reason := "its VMs are needed for " + drain.Recipient
	if drain.Ahead {
		reason += " ahead of a rise in demand"
	}
	c.startDissolve(ctx, incompleteGroup{key: head.Group.GroupKey, head: head, reason: reason})
}

const (
	// dissolveTimeout is longer than a leaving member waits for the requests of its group.
	dissolveTimeout = 12 * time.Second
	// headPollInterval is the interval between requests for the state of a head that is closing.
	headPollInterval = 150 * time.Millisecond
)

// errRegistrationsPending is returned if a missing registration may have lapsed only because the platform was unavailable. The
// server may be unreachable for a moment and still be serving; if its members were assigned to another group, they would be in
// two groups.
var errRegistrationsPending = eris.New("registrations may not be back yet")

// ending is what is known about the end of a head's membership in a group.
type ending int

const (
	// headServing means that the head may be serving.
	headServing ending = iota
	// headLeft means that the head itself has said that it is not in the group.
	headLeft
	// headPresumedGone means that the head gives no answer from which that follows. It may be serving where no entry reaches it.
	headPresumedGone
)

// closeHead ends a head's membership in a group: the head stops serving, and no delayed order can make it serve again. Without an error, it
// returns headLeft or headPresumedGone.
func (c *Controller) closeHead(ctx context.Context, key backend.GroupKey, cancel bool) (ending, error) {
	head, ok := headFromName(key.Name)
	if !ok {
		return headServing, eris.Wrapf(errServing, "head of %s is not known", key)
	}
	listed := c.deps.Listing().Servers[head.ID]
	if listed != nil {
		head = listed
	}
	for {
		if !c.deps.IsLeader() {
			return headServing, errNotLeader
		}
		report, err := c.client.report(ctx, head)
		switch {
		case eris.Is(err, errRejected):
			// It may serve the group. Its report, or its registration, will tell.
			if !wait.Pause(ctx, headPollInterval) {
				return headServing, eris.Wrapf(err, "head %s", head.ID)
			}
			continue
		case err != nil && listed == nil && !c.deps.RegistrationsReliable():
			return headServing, eris.Wrapf(errRegistrationsPending, "head %s", head.ID)
		case err != nil && listed == nil:
			if c.peersSeeServing(ctx, head, key) {
				return headServing, eris.Wrapf(errServing, "head %s serves behind a cut", head.ID)
			}
			return c.presumeGone(key, head, "not registered and not reached: "+err.Error()), nil
		case eris.Is(err, errOtherServer):
			return c.presumeGone(key, head, err.Error()), nil
		case err != nil && c.headGone(ctx, head):
			return c.presumeGone(key, head, "refuses connections"), nil
		case err != nil:
			// Asking the peers now makes their answer available by the time the registration ends. That shortens the time
			// without the group by 0.9 s.
			c.peersSeeServing(ctx, head, key)
			return headServing, eris.Wrapf(err, "head %s", head.ID)
		case report.Group.GroupKey != key:
			return headLeft, nil
		}
		done, err := c.closeHeadStep(ctx, head, key, report, cancel)
		switch {
		case err != nil:
			return headServing, err
		case done:
			return headLeft, nil
		}
		if !wait.Pause(ctx, headPollInterval) {
			return headServing, eris.Wrapf(ctx.Err(), "closing %s", key)
		}
	}
}

func (c *Controller) presumeGone(key backend.GroupKey, head *backend.Server, reason string) ending {
	c.deps.OnEvent(Event{Kind: HeadPresumedGone, Group: key, VM: head.ID, Detail: reason})
	return headPresumedGone
}

// unreachableTTL is how long the peers' answer that they can't reach a server remains valid. If a disconnection begins later
// than the answer, the server's registration can't lapse within this time, because that takes three missed heartbeats.
const unreachableTTL = 2 * time.Second

// peersSeeServing reports whether a peer reaches a head that this entry can't reach, and finds it serving the group.
func (c *Controller) peersSeeServing(ctx context.Context, head *backend.Server, key backend.GroupKey) bool {
	c.mu.Lock()
	recent := time.Since(c.unreachableAt[head.ID]) < unreachableTTL
	c.mu.Unlock()
	if recent {
		return false
	}
	if c.deps.PeersSeeServing(ctx, head, key) {
		return true
	}
	c.mu.Lock()
	c.unreachableAt[head.ID] = time.Now()
	c.mu.Unlock()
	return false
}

// closeHeadStep sends the order that applies to the head's current state. It reports whether the head has left the group.
func (c *Controller) closeHeadStep(ctx context.Context, head *backend.Server, key backend.GroupKey, report backend.Report, cancel bool) (bool, error) {
	switch report.Group.State {
	case backend.GroupClosing:
		return false, nil
	case backend.GroupOpen:
		order := backend.Order{Kind: backend.OrderClose, Group: key, Cancel: cancel, ExpectedOrders: report.Orders}
		err := c.client.sendUntilEffective(ctx, head, order, func(r backend.Report) bool {
			return r.Group.GroupKey != key || r.Group.State != backend.GroupOpen
		})
		return false, ignoreRefused(err)
	}
	order := backend.Order{Kind: backend.OrderLeave, Group: key, ExpectedOrders: report.Orders}
	err := c.client.sendUntilEffective(ctx, head, order, func(r backend.Report) bool { return r.Group.GroupKey != key })
	return err == nil, ignoreRefused(err)
}

// ignoreRefused drops errRefused, because a refusal means that the head's state has changed. The next poll shows the new
// state.
func ignoreRefused(err error) error {
	if eris.Is(err, errRefused) {
		return nil
	}
	return err
}

// startStaging loads a model's weights onto a VM's host.
func (c *Controller) startStaging(ctx context.Context, engine *route.Engine, server *backend.Server, modelName string) {
	model, ok := engine.Model(modelName)
	if !ok || server == nil {
		return
	}
	beforeTraffic := c.deps.BeforeTraffic()
	duration := model.LoadTime
	if beforeTraffic {
		duration /= speedupBeforeTraffic
	}
	end := time.Now().Add(duration)
	c.mu.Lock()
	c.staging[server.ID] = pendingLoad{model: modelName, until: time.Now().Add(model.LoadTime + stagingMargin), end: end, born: server.StartedAtMillis}
	c.loads.reserve(1, end, beforeTraffic)
	c.mu.Unlock()
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, taskTimeout)
		defer cancel()
		event := Event{Kind: StageOrdered, VM: server.ID, Model: modelName}
		if err := c.orderStaging(ctx, server, modelName); err != nil {
			event.Kind, event.Detail = StageFailed, err.Error()
			c.handleStagingFailure(server, model, end, err)
		}
		c.deps.OnEvent(event)
	})
}

// handleStagingFailure corrects the load accounting. A VM that refuses is most likely executing a load that an earlier leader
// ordered, so it is left alone for the duration of a load. If the order were repeated, it would use up the capacity for all
// other loads.
func (c *Controller) handleStagingFailure(server *backend.Server, model route.Model, end time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if eris.Is(err, errRefused) {
		c.staging[server.ID] = pendingLoad{model: unknownModel, until: time.Now().Add(model.LoadTime), born: server.StartedAtMillis}
		return
	}
	delete(c.staging, server.ID)
	c.loads.release(end)
}

// unknownModel represents weights whose loading another entry has ordered.
const unknownModel = "?"

func (c *Controller) orderStaging(ctx context.Context, server *backend.Server, model string) error {
	report, err := c.checkedReport(ctx, server)
	if err != nil {
		return err
	}
	order := backend.Order{Kind: backend.OrderStage, Model: model, ExpectedOrders: report.Orders}
	return c.client.sendUntilEffective(ctx, server, order, func(r backend.Report) bool { return r.Orders > report.Orders })
}
