package grouping

import "time"

// Registration records how the VMs of a fabric domain, or of a service, were listed so far.
//
// Workload: after the first start of a system, the VMs register within seconds. The platform takes a limited number of registrations per
// second, so the VMs of a domain may be listed within milliseconds, or one by one beside those of all other domains.
//
// Failure mode without this policy: a pause between two registrations is taken for the end. Groups of the smallest model are formed from the
// first VMs of each domain, and no domain has room for a group of a larger one.
type Registration struct {
	vms                int
	firstAt, changedAt time.Duration
}

const (
	// registrationQuietPeriod is how long the number of listed VMs must be constant before all running VMs are considered listed.
	registrationQuietPeriod = 400 * time.Millisecond
	// registrationGaps is the number of mean intervals between two registrations after which a domain is considered complete although VMs of
	// other domains are still being listed. If registrations are independent, one of 8,000 intervals is longer.
	registrationGaps = 9
	// maxRegistrationWait bounds the wait, counted from the first VM of a domain. Where VMs are started one by one, groups must not wait for
	// the last.
	maxRegistrationWait = 4 * time.Second
)

// Observe records the number of listed VMs at a time, which is counted from any fixed moment.
func (r *Registration) Observe(vms int, now time.Duration) {
	switch {
	case r.vms == 0:
		*r = Registration{vms: vms, firstAt: now, changedAt: now}
	case r.vms != vms:
		r.vms, r.changedAt = vms, now
	}
}

// Complete reports whether all running VMs of a domain are considered listed. service is the registration of all VMs of the service, which are
// in the given number of domains.
func (r *Registration) Complete(service *Registration, domains int, now time.Duration) bool {
	quiet := now - r.changedAt
	gap := max(r.meanGap(), time.Duration(domains)*service.meanGap())
	return now-service.changedAt >= registrationQuietPeriod || now-r.firstAt >= maxRegistrationWait ||
		quiet >= max(registrationQuietPeriod, registrationGaps*gap)
}

// meanGap returns the mean interval between two registrations.
func (r *Registration) meanGap() time.Duration {
	return (r.changedAt - r.firstAt) / time.Duration(max(1, r.vms-1))
}
