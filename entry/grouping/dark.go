package grouping

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
)

const (
	// doubtWithin and doubtDomains tell this entry's own trouble from that of VMs: when VMs of so many fabric domains do not answer within
	// that time, it is rather this entry that is slow or cut off. Fabric domains fail one at a time, and single VMs are lost some seconds
	// apart.
	doubtWithin  = time.Second
	doubtDomains = 3
)

// noAnswer leaves a VM out that did not answer. Where this entry may be the one in trouble, others are asked first: an entry that took charge
// on a machine that was busy found fourteen sound groups silent, and dissolved ten of them.
func (c *Controller) noAnswer(ctx context.Context, server *backend.Server, err error) {
	if c.doubtsItself(server) && c.deps.PeersReach(ctx, server) {
		c.deps.OnEvent(Event{Kind: MemberResponsive, VM: server.ID, Detail: "another entry reaches it: " + err.Error()})
		return
	}
	c.mu.Lock()
	_, known := c.dark[server.ID]
	c.dark[server.ID] = time.Now().Add(darkFor)
	c.mu.Unlock()
	if !known {
		c.deps.OnEvent(Event{Kind: MemberUnresponsive, VM: server.ID, Detail: err.Error()})
	}
}

// doubtsItself notes that a VM of a fabric domain did not answer, and says whether VMs of too many have not.
func (c *Controller) doubtsItself(server *backend.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.silent[server.Fabric] = now
	domains := 0
	for domain, at := range c.silent {
		if now.Sub(at) > doubtWithin {
			delete(c.silent, domain)
			continue
		}
		domains++
	}
	return domains >= doubtDomains
}
