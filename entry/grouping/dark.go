package grouping

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
)

const (
	// If VMs of selfSuspicionDomains fabric domains fail to answer within selfSuspicionWindow, this entry itself is probably
	// slow or disconnected: fabric domains fail one at a time, and losses of single VMs are seconds apart.
	selfSuspicionWindow  = time.Second
	selfSuspicionDomains = 3
)

// handleNoAnswer excludes a VM that did not answer. If this entry itself may be the cause, it asks its peers first: an entry
// that is slow, or cut off from the servers, would find one healthy group after the other unresponsive.
func (c *Controller) handleNoAnswer(ctx context.Context, server *backend.Server, err error) {
	ownFault := c.suspectsItself(server) || !c.deps.ReachesServers(ctx, server.Service)
	if ownFault && c.deps.PeersReach(ctx, server) {
		c.deps.OnEvent(Event{Kind: MemberResponsive, VM: server.ID, Detail: "another entry reaches it: " + err.Error()})
		return
	}
	c.mu.Lock()
	_, known := c.silent[server.ID]
	c.silent[server.ID] = time.Now().Add(unresponsiveTimeout)
	c.mu.Unlock()
	if !known {
		c.deps.OnEvent(Event{Kind: MemberUnresponsive, VM: server.ID, Detail: err.Error()})
	}
}

// suspectsItself records that a VM did not answer, and reports whether VMs of so many fabric domains failed to answer that
// this entry itself is the likely cause.
func (c *Controller) suspectsItself(server *backend.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.domainSilentAt[server.Fabric] = now
	domains := 0
	for domain, at := range c.domainSilentAt {
		if now.Sub(at) > selfSuspicionWindow {
			delete(c.domainSilentAt, domain)
			continue
		}
		domains++
	}
	return domains >= selfSuspicionDomains
}
