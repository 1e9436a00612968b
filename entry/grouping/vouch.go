package grouping

import (
	"context"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
)

// This file asks members whose registration has ended. A VM that is cut off from the platform alone goes on working in its group; were the
// registration believed, a cut of some VMs would close a group for each of them and break off the streams there.

const (
	// absentEvery is how often a member without a registration is asked.
	absentEvery = 500 * time.Millisecond
	// absentGrace is how long its last answer counts, and how long the first is waited for. It is above the time of two tries.
	absentGrace = 1300 * time.Millisecond
)

// wholeGroup is a group that was seen whole.
type wholeGroup struct {
	members []*backend.Server
	seen    time.Time
}

// absentee is a member without a registration.
type absentee struct {
	asking bool
	// next is when it is asked again, until is how long it counts as present.
	next, until time.Time
}

// unlistedGap says what is missing from a group of which not all members are listed: nothing as long as the others answer for themselves.
// It is called under the lock.
func (c *Controller) unlistedGap(ctx context.Context, key backend.GroupKey, listed []*backend.Server, now time.Time) string {
	group, known := c.whole[key]
	if !known {
		if c.deps.RegistrationsReliable() {
			return "a member's registration is gone"
		}
		return ""
	}
	missing := group.without(listed)
	for _, member := range missing {
		if !c.stillAnswers(ctx, member, key, now) {
			return "member " + string(member.ID) + " is not registered and does not answer"
		}
	}
	group.seen = now
	c.whole[key] = group
	c.vouched[key] = len(missing)
	return ""
}

// without returns the members that are not among the listed ones.
func (g wholeGroup) without(listed []*backend.Server) []*backend.Server {
	var missing []*backend.Server
	for _, member := range g.members {
		if !slices.ContainsFunc(listed, func(server *backend.Server) bool { return server.ID == member.ID }) {
			missing = append(missing, member)
		}
	}
	return missing
}

// stillAnswers says whether a member without a registration answered lately, and asks it from time to time. It is called under the lock.
func (c *Controller) stillAnswers(ctx context.Context, member *backend.Server, key backend.GroupKey, now time.Time) bool {
	a := c.absentees[member.ID]
	if a == nil {
		a = &absentee{until: now.Add(absentGrace)}
		c.absentees[member.ID] = a
	}
	if !a.asking && now.After(a.next) {
		a.asking = true
		a.next = now.Add(absentEvery)
		c.running.Go(func() { c.askAbsent(ctx, member, key, a) })
	}
	return now.Before(a.until)
}

func (c *Controller) askAbsent(ctx context.Context, member *backend.Server, key backend.GroupKey, a *absentee) {
	report, err := c.engines.reportOnce(ctx, member)
	c.mu.Lock()
	defer c.mu.Unlock()
	a.asking = false
	if err == nil && report.Group.GroupKey == key {
		a.until = time.Now().Add(absentGrace)
		return
	}
	a.until = time.Time{}
	c.Wake()
}

// remember notes the members of a group that is whole. It is called under the lock.
func (c *Controller) remember(engine *route.Engine, key backend.GroupKey, model string, members []*backend.Server, now time.Time) {
	if known, ok := engine.Model(model); ok && len(members) == known.Size {
		c.whole[key] = wholeGroup{members: members, seen: now}
	}
}

// forgetAbsent drops what was not of use lately. It is called under the lock.
func (c *Controller) forgetAbsent(now time.Time) {
	for key, group := range c.whole {
		if now.Sub(group.seen) > closedFor {
			delete(c.whole, key)
			delete(c.vouched, key)
		}
	}
	for id, absentee := range c.absentees {
		if now.Sub(absentee.next) > closedFor {
			delete(c.absentees, id)
		}
	}
}

// Vouched is how many members of a group are not registered and answer for themselves.
func (c *Controller) ResponsiveUnregistered(key backend.GroupKey) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vouched[key]
}
