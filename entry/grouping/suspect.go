package grouping

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
)

// Suspect checks a group whose head sends nothing. A group that lost a member continues to accept requests, but makes no
// progress for seconds. Suspect probes the members concurrently; if one does not answer, the group is dissolved long before
// that member's registration lapses. It returns immediately.
func (c *Controller) Suspect(ctx context.Context, key backend.GroupKey) {
	c.mu.Lock()
	started := c.checking[key]
	c.checking[key] = true
	c.mu.Unlock()
	if started || key.Name == "" {
		return
	}
	c.running.Go(func() {
		c.checkGroup(ctx, key)
		c.mu.Lock()
		delete(c.checking, key)
		c.mu.Unlock()
	})
}

func (c *Controller) checkGroup(ctx context.Context, key backend.GroupKey) {
	members := c.listedMembers(key)
	type result struct {
		vm     backend.ID
		report backend.Report
		err    error
	}
	results := make(chan result, len(members))
	for _, member := range members {
		go func() {
			report, err := c.checkedReport(ctx, member)
			results <- result{member.ID, report, err}
		}()
	}
	slowest := result{report: backend.Report{Slowdown: 1}}
	for range members {
		got := <-results
		if got.err != nil && !c.isExcluded(got.vm) {
			continue // another entry reaches it
		}
		if got.err != nil {
			c.deps.OnEvent(Event{Kind: GroupSuspected, Group: key, Detail: got.err.Error()})
			c.Wake()
			return
		}
		if got.report.Slowdown > slowest.report.Slowdown {
			slowest = got
		}
	}
	c.recordSlowdown(key, slowest.vm, slowest.report.Slowdown)
	if head, ok := headFromName(key.Name); ok {
		c.deps.ClearSuspicion(head.ID)
	}
}

func (c *Controller) listedMembers(key backend.GroupKey) []*backend.Server {
	var members []*backend.Server
	for _, server := range c.deps.Listing().Servers {
		if server.Group.GroupKey == key {
			members = append(members, server)
		}
	}
	return members
}

// unresponsivePollInterval is the interval between polls of the VMs that did not answer.
const unresponsivePollInterval = time.Second

// pollUnresponsive polls the VMs that did not answer, so that a VM that was slow or disconnected for a moment becomes usable
// again soon.
func (c *Controller) pollUnresponsive(ctx context.Context) {
	c.mu.Lock()
	due := time.Since(c.unresponsivePolledAt) >= unresponsivePollInterval
	var unresponsive []backend.ID
	for id, until := range c.silent {
		if time.Now().After(until) {
			delete(c.silent, id)
			continue
		}
		unresponsive = append(unresponsive, id)
	}
	if due {
		c.unresponsivePolledAt = time.Now()
	}
	c.mu.Unlock()
	if !due {
		return
	}
	for _, id := range unresponsive {
		if server := c.deps.Listing().Servers[id]; server != nil {
			c.running.Go(func() { c.pollVM(ctx, server) })
		}
	}
}

func (c *Controller) pollVM(ctx context.Context, server *backend.Server) {
	if _, err := c.client.reportOnce(ctx, server); err != nil {
		return // the VM remains excluded
	}
	c.mu.Lock()
	delete(c.silent, server.ID)
	c.mu.Unlock()
	if c.deps.Reached != nil {
		c.deps.Reached(server.ID)
	}
	c.deps.OnEvent(Event{Kind: MemberResponsive, VM: server.ID})
}

// Closed reports whether a group that is listed as open is being dissolved or is known to have lost a member.
func (c *Controller) Closed(key backend.GroupKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, dissolved := c.dissolvedAt[key]; dissolved || c.dissolving[key] {
		return true
	}
	// This method is called for every group several times per second. Few VMs are unresponsive and many are listed, so it
	// iterates over the former.
	listing := c.deps.Listing()
	for id := range c.silent {
		server := listing.Servers[id]
		if server != nil && server.Group.GroupKey == key && c.isSilent(id, time.Now()) {
			return true
		}
	}
	return false
}

// isExcluded reports whether a VM is excluded because it did not answer.
func (c *Controller) isExcluded(id backend.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isSilent(id, time.Now())
}

// isSilent reports whether a VM is excluded because it did not answer. It must be called with c.mu held.
func (c *Controller) isSilent(id backend.ID, now time.Time) bool { return now.Before(c.silent[id]) }

// Report returns a server's state. Entries use it to answer a leader that can't reach the server itself.
func (c *Controller) Report(ctx context.Context, server *backend.Server) (backend.Report, error) {
	return c.client.reportOnce(ctx, server)
}
