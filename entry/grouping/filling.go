package grouping

import (
	"time"

	policy "github.com/skylarkpond/skylarkpond/policy/grouping"
)

const (
	// stillFor is how long the number of a domain's listed VMs must stand still until all that run count as listed. Each registers within a
	// heartbeat of its start, so that dozens follow each other within some tens of milliseconds.
	stillFor = 400 * time.Millisecond
	// fillingFor bounds the wait for that from the first VM on: where VMs come one by one, groups are not to wait for the last.
	fillingFor = 2500 * time.Millisecond
)

// listedCount is how many VMs of a fabric domain are listed.
type listedCount struct {
	vms int
	// first is when there were any, changed when the number was last another one.
	first, changed time.Time
}

// noteFilling says of each domain whether its VMs are still being listed one by one. Where a platform takes some registrations a second, the first
// domains of a large deployment are complete seconds before the last.
func (c *Controller) noteFilling(service string, domains []policy.Domain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i := range domains {
		domains[i].Registering = c.filling(service+"/"+domains[i].Name, domains[i].Total, now)
	}
}

// filling is called under the lock.
func (c *Controller) filling(key string, vms int, now time.Time) bool {
	known, seen := c.listed[key]
	switch {
	case !seen || known.vms == 0:
		known = listedCount{vms: vms, first: now, changed: now}
	case known.vms != vms:
		known.vms, known.changed = vms, now
	}
	c.listed[key] = known
	return now.Sub(known.changed) < stillFor && now.Sub(known.first) < fillingFor
}
