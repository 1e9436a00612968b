package forming

import (
	"hash/fnv"
	"sort"
)

// This file answers the fault pattern that fabric domains lose and gain VMs while each is run by another
// controller, and that no controller tells another what to do. If each formed what is missing of a
// service, all would form it at once; if each held a fixed share, a domain that lost VMs would leave its
// share unserved while others have room. So every controller works out the same split from the same
// view, and takes only its own part. Views that differ for a moment overshoot by the groups formed in
// that moment; the same rule then names which of them are extra.
//
// The split keeps what stands, since moving a replica costs a load. It fills the service that is
// furthest below its wish first, and puts a replica where the service has the smallest share of the
// VMs: a domain that goes dark then takes the smallest part of each service.

// domainCapacity holds what a domain can still take, by dedication.
type domainCapacity struct {
	name  string
	free  map[string]int
	total map[string]int
	// groups counts groups by service.
	groups map[string]int
}

// Split returns the groups of each service wanted in each domain, and how many replicas find no room
// anywhere.
func Split(services []Service, domains []Domain) (targets map[string]map[string]int, unplaced map[string]int) {
	ordered := servicesByWeight(services)
	held := newCapacities(ordered, domains)
	missing := keepExisting(ordered, held)
	unplaced = placeMissing(ordered, held, missing)
	targets = make(map[string]map[string]int, len(held))
	for _, d := range held {
		targets[d.name] = d.groups
	}
	return targets, unplaced
}

func servicesByWeight(services []Service) []Service {
	ordered := append([]Service(nil), services...)
	sort.Slice(ordered, func(i, j int) bool {
		a, b := ordered[i], ordered[j]
		if a.DowntimeWeight != b.DowntimeWeight {
			return a.DowntimeWeight > b.DowntimeWeight
		}
		return a.Name < b.Name
	})
	return ordered
}

func newCapacities(services []Service, domains []Domain) []*domainCapacity {
	held := make([]*domainCapacity, 0, len(domains))
	for _, d := range domains {
		s := &domainCapacity{name: d.Name, free: map[string]int{}, total: d.Live, groups: map[string]int{}}
		for class, count := range d.Live {
			s.free[class] = count
		}
		for _, g := range d.Groups {
			if g.countsAsReplica() {
				s.groups[g.Service]++
			}
		}
		held = append(held, s)
	}
	sort.Slice(held, func(i, j int) bool { return held[i].name < held[j].name })
	wanted := make(map[string]bool, len(services))
	for _, s := range services {
		wanted[s.Name] = true
	}
	for _, d := range held {
		for name := range d.groups {
			if !wanted[name] {
				delete(d.groups, name)
			}
		}
	}
	return held
}

// keepExisting counts what stands up to what is wanted, takes its VMs from the free ones, and returns
// what is missing. Above the wish, the domain with the most groups of the service gives one up first.
func keepExisting(services []Service, domains []*domainCapacity) map[string]int {
	missing := make(map[string]int)
	for _, s := range services {
		total := 0
		for _, d := range domains {
			total += d.groups[s.Name]
		}
		for ; total > s.Replicas; total-- {
			domainWithMostGroups(domains, s.Name).groups[s.Name]--
		}
		missing[s.Name] = s.Replicas - total
		for _, d := range domains {
			d.reserve(s, d.groups[s.Name])
		}
	}
	return missing
}

func domainWithMostGroups(domains []*domainCapacity, service string) *domainCapacity {
	best := domains[0]
	for _, d := range domains[1:] {
		if d.groups[service] > best.groups[service] {
			best = d
		}
	}
	return best
}

// placeMissing places one missing replica after the other.
func placeMissing(services []Service, domains []*domainCapacity, missing map[string]int) map[string]int {
	unplaced := make(map[string]int)
	for {
		s, ok := mostUnderReplicated(services, missing)
		if !ok {
			return unplaced
		}
		missing[s.Name]--
		d := bestDomain(domains, s)
		if d == nil {
			unplaced[s.Name] += missing[s.Name] + 1
			missing[s.Name] = 0
			continue
		}
		d.groups[s.Name]++
		d.reserve(s, 1)
	}
}

// mostUnderReplicated returns the service with the largest share of its replicas missing.
func mostUnderReplicated(services []Service, missing map[string]int) (Service, bool) {
	var best Service
	found := false
	for _, s := range services {
		if missing[s.Name] <= 0 {
			continue
		}
		if !found || missing[s.Name]*best.Replicas > missing[best.Name]*s.Replicas {
			best = s
			found = true
		}
	}
	return best, found
}

// bestDomain returns the domain with room for a group of s that holds the fewest of them for its size.
func bestDomain(domains []*domainCapacity, s Service) *domainCapacity {
	var best *domainCapacity
	for _, d := range domains {
		if d.freeFor(s) < s.GroupSize {
			continue
		}
		if best == nil || d.preferredTo(best, s) {
			best = d
		}
	}
	return best
}

func (d *domainCapacity) preferredTo(other *domainCapacity, s Service) bool {
	share, otherShare := d.groups[s.Name]*other.totalFor(s), other.groups[s.Name]*d.totalFor(s)
	if share != otherShare {
		return share < otherShare
	}
	if d.freeFor(s) != other.freeFor(s) {
		return d.freeFor(s) > other.freeFor(s)
	}
	return tieBreak(s.Name, d.name) < tieBreak(s.Name, other.name)
}

func (d *domainCapacity) freeFor(s Service) int {
	room := max(0, d.free[s.Name])
	if !s.Dedicated {
		room += max(0, d.free[""])
	}
	return room
}

func (d *domainCapacity) totalFor(s Service) int {
	size := d.total[s.Name]
	if !s.Dedicated {
		size += d.total[""]
	}
	return size
}

// reserve books the VMs of count groups, dedicated ones first.
func (d *domainCapacity) reserve(s Service, count int) {
	vms := count * s.GroupSize
	own := min(vms, max(0, d.free[s.Name]))
	d.free[s.Name] -= own
	if !s.Dedicated {
		d.free[""] -= vms - own
	}
}

// tieBreak breaks ties differently for each service, so that the first domain by name does not get the
// first replica of all of them.
func tieBreak(service, domain string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service + "\x00" + domain))
	return h.Sum32()
}
