package grouping

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
)

// Suspect looks into a group whose head keeps silent: a group that has lost a member goes on accepting, and nothing moves in it for
// seconds. The members are asked side by side; one that does not answer makes the group be dissolved, long before its
// registration lapses. It returns at once.
func (c *Controller) Suspect(ctx context.Context, key backend.GroupKey) {
	c.mu.Lock()
	started := c.checking[key]
	c.checking[key] = true
	c.mu.Unlock()
	if started || key.Name == "" {
		return
	}
	c.running.Go(func() {
		c.check(ctx, key)
		c.mu.Lock()
		delete(c.checking, key)
		c.mu.Unlock()
	})
}

func (c *Controller) check(ctx context.Context, key backend.GroupKey) {
	members := c.membersOf(key)
	answers := make(chan error, len(members))
	for _, member := range members {
		go func() {
			_, err := c.ask(ctx, member)
			answers <- err
		}()
	}
	for range members {
		if err := <-answers; err != nil {
			c.deps.OnEvent(Event{Kind: GroupSuspected, Group: key, Detail: err.Error()})
			c.Wake()
			return
		}
	}
	if head, ok := headOf(key.Name); ok {
		c.deps.ClearSuspicion(head.ID)
	}
}

func (c *Controller) membersOf(key backend.GroupKey) []*backend.Server {
	var members []*backend.Server
	for _, server := range c.deps.Listing().Servers {
		if server.Group.GroupKey == key {
			members = append(members, server)
		}
	}
	return members
}

// darkAgain is how often a VM that did not answer is asked again.
const darkAgain = time.Second

// askDark asks the VMs that did not answer, so that one that was slow or cut off for a moment is soon of use again.
func (c *Controller) askDark(ctx context.Context) {
	c.mu.Lock()
	due := time.Since(c.askedDark) >= darkAgain
	var dark []backend.ID
	for id, until := range c.dark {
		if time.Now().After(until) {
			delete(c.dark, id)
			continue
		}
		dark = append(dark, id)
	}
	if due {
		c.askedDark = time.Now()
	}
	c.mu.Unlock()
	if !due {
		return
	}
	for _, id := range dark {
		if server := c.deps.Listing().Servers[id]; server != nil {
			c.running.Go(func() { c.askAgain(ctx, server) })
		}
	}
}

func (c *Controller) askAgain(ctx context.Context, server *backend.Server) {
	if _, err := c.engines.reportOnce(ctx, server); err != nil {
		return // it stays left out
	}
	c.mu.Lock()
	delete(c.dark, server.ID)
	c.mu.Unlock()
	c.deps.OnEvent(Event{Kind: MemberResponsive, VM: server.ID})
}

// Closed says that a group is listed as open although it is being dissolved, or is known to have lost a member.
func (c *Controller) Closed(key backend.GroupKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, over := c.closed[key]; over || c.dissolving[key] {
		return true
	}
	// This is asked for every group several times a second: the dark VMs are few, the listed ones are many.
	listing := c.deps.Listing()
	for id := range c.dark {
		server := listing.Servers[id]
		if server != nil && server.Group.GroupKey == key && c.isDark(id, time.Now()) {
			return true
		}
	}
	return false
}

// isDark says whether a VM is left out because it did not answer. It is called under the lock.
func (c *Controller) isDark(id backend.ID, now time.Time) bool { return now.Before(c.dark[id]) }

// Look asks a server for the leader, which can't reach it.
func (c *Controller) Report(ctx context.Context, server *backend.Server) (backend.Report, error) {
	return c.engines.reportOnce(ctx, server)
}
