package grouping

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
)

// This file probes group members whose registration has ended. A VM that is disconnected only from the platform continues to
// work in its group. If a missing registration counted as a loss, a disconnection of several VMs would close a group for each
// of them and abort its streams.

const (
	// unregisteredPollInterval is the interval between probes of a member without a registration.
	unregisteredPollInterval = 500 * time.Millisecond
	// unregisteredGrace is how long an answer remains valid, and how long the first answer is awaited. It is longer than two
	// attempts take.
	unregisteredGrace = 1300 * time.Millisecond
)

// completeGroup is a group that was seen with all its members.
type completeGroup struct {
	members  []*backend.Server
	lastSeen time.Time
}

// unregisteredMember is the state of a group member that has no registration.
type unregisteredMember struct {
	polling bool
	// nextPoll is when the member is probed next, presentUntil is when it ceases to count as present.
	nextPoll, presentUntil time.Time
}

// missingMember describes a loss in a group of which not all members are listed. It returns an empty string as long as the
// unlisted members answer probes. It must be called with c.mu held.
func (c *Controller) missingMember(ctx context.Context, key backend.GroupKey, listed []*backend.Server, now time.Time) string {
	group, known := c.complete[key]
	if !known {
		if c.deps.RegistrationsReliable() {
			return "a member's registration is gone"
		}
		return ""
	}
	missing := group.missingFrom(listed)
	for _, member := range missing {
		if !c.answeredRecently(ctx, member, key, now) {
			return "member " + string(member.ID) + " is not registered and does not answer"
		}
	}
	group.lastSeen = now
	c.complete[key] = group
	c.responsiveUnregistered[key] = len(missing)
	return ""
}

// missingFrom returns the members that are not in listed.
func (g completeGroup) missingFrom(listed []*backend.Server) []*backend.Server {
	var missing []*backend.Server
	for _, member := range g.members {
		if !slices.ContainsFunc(listed, func(server *backend.Server) bool { return server.ID == member.ID }) {
			missing = append(missing, member)
		}
	}
	return missing
}

// answeredRecently reports whether a member without a registration answered recently, and probes it periodically. It must be
// called with c.mu held.
func (c *Controller) answeredRecently(ctx context.Context, member *backend.Server, key backend.GroupKey, now time.Time) bool {
	state := c.unregistered[member.ID]
	if state == nil {
		state = &unregisteredMember{presentUntil: now.Add(unregisteredGrace)}
		c.unregistered[member.ID] = state
	}
	if !state.polling && now.After(state.nextPoll) {
		state.polling = true
		state.nextPoll = now.Add(unregisteredPollInterval)
		c.running.Go(func() { c.pollUnregistered(ctx, member, key, state) })
	}
	return now.Before(state.presentUntil)
}

func (c *Controller) pollUnregistered(ctx context.Context, member *backend.Server, key backend.GroupKey, state *unregisteredMember) {
	report, err := c.client.reportOnce(ctx, member)
	c.mu.Lock()
	defer c.mu.Unlock()
	state.polling = false
	// One that rejects the request answers.
	if err == nil && report.Group.GroupKey == key || eris.Is(err, errRejected) {
		state.presentUntil = time.Now().Add(unregisteredGrace)
		return
	}
	state.presentUntil = time.Time{}
	c.Wake()
}

// recordComplete records the members of a group if all of them are listed. It must be called with c.mu held.
func (c *Controller) recordComplete(engine *route.Engine, key backend.GroupKey, model string, members []*backend.Server, now time.Time) {
	if known, ok := engine.Model(model); ok && len(members) == known.Size {
		c.complete[key] = completeGroup{members: members, lastSeen: now}
	}
}

// pruneComplete removes groups and unregistered members that were not seen recently. It must be called with c.mu held.
func (c *Controller) pruneComplete(now time.Time) {
	for key, group := range c.complete {
		if now.Sub(group.lastSeen) > dissolvedTTL {
			delete(c.complete, key)
			delete(c.responsiveUnregistered, key)
		}
	}
	for id, state := range c.unregistered {
		if now.Sub(state.nextPoll) > dissolvedTTL {
			delete(c.unregistered, id)
		}
	}
}

// ResponsiveUnregistered returns the number of members of a group that are not registered but answer probes.
func (c *Controller) ResponsiveUnregistered(key backend.GroupKey) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responsiveUnregistered[key]
}
