package grouping

import (
	"time"

	policy "github.com/skylarkpond/skylarkpond/policy/grouping"
)

const (
	// registrationQuietPeriod is how long the number of listed VMs of a domain must be constant before all running VMs are
	// considered listed. Each VM registers within a heartbeat interval of its start, so dozens of registrations follow each
	// other within tens of milliseconds.
	registrationQuietPeriod = 400 * time.Millisecond
	// maxRegistrationWait bounds that wait, counted from the first VM. Where VMs are started one by one, groups must not wait
	// for the last.
	maxRegistrationWait = 2500 * time.Millisecond
)

// listedCount is the number of listed VMs of a fabric domain.
type listedCount struct {
	vms int
	// firstAt is when the first VM was listed, changedAt when the number last changed.
	firstAt, changedAt time.Time
}

// markRegistering records for each domain whether its VMs are still being listed one by one. If the platform accepts only a
// few registrations per second, the first domains of a large deployment are complete seconds before the last.
func (c *Controller) markRegistering(service string, domains []policy.Domain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i := range domains {
		domains[i].Registering = c.registering(service+"/"+domains[i].Name, domains[i].Total, now)
	}
}

// registering must be called with c.mu held.
func (c *Controller) registering(key string, vms int, now time.Time) bool {
	known, seen := c.listedCounts[key]
	switch {
	case !seen || known.vms == 0:
		known = listedCount{vms: vms, firstAt: now, changedAt: now}
	case known.vms != vms:
		known.vms, known.changedAt = vms, now
	}
	c.listedCounts[key] = known
	return now.Sub(known.changedAt) < registrationQuietPeriod && now.Sub(known.firstAt) < maxRegistrationWait
}
