package grouping

import (
	"time"

	policy "github.com/skylarkpond/skylarkpond/policy/grouping"
)

// serviceRegistration is how the VMs of a service were listed so far.
type serviceRegistration struct {
	all     policy.Registration
	domains map[string]*policy.Registration
}

// markRegistering records for each domain whether its VMs are still being listed one by one. If the platform accepts only a
// few registrations per second, the first domains of a large deployment are complete seconds before the last.
func (c *Controller) markRegistering(service string, domains []policy.Domain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Since(c.started)
	known := c.registrations[service]
	if known == nil {
		known = &serviceRegistration{domains: make(map[string]*policy.Registration)}
		c.registrations[service] = known
	}
	total := 0
	for _, domain := range domains {
		total += domain.Total
	}
	known.all.Observe(total, now)
	for i := range domains {
		registration := known.domains[domains[i].Name]
		if registration == nil {
			registration = &policy.Registration{}
			known.domains[domains[i].Name] = registration
		}
		registration.Observe(domains[i].Total, now)
		domains[i].Registering = !registration.Complete(&known.all, len(domains), now)
	}
}
