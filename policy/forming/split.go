package forming

import (
	"hash/fnv"
	"sort"
)

// Distribution of the replicas over the fabric domains. Each domain gains and loses VMs and is run by a
// controller of its own, and the controllers do not command each other. If each of them formed every
// missing replica, they would all form it at once; with fixed shares, the share of a domain that lost VMs
// would stay unserved while other domains have room. So every controller computes the same split from the
// same view and acts only on the part of its own domain. While views differ, groups may be formed in
// excess; the same rule then determines which of them are extra.
//
// The split keeps existing groups, since moving a replica costs a load. It adds a replica to the service
// with the largest share of its replicas missing, in the domain where that service has the fewest groups in
// proportion to the VMs that it can use, so that the loss of a domain costs each service as little as
// possible.

// domainCapacity tracks the VMs of a domain while replicas are assigned to it. free and total are by the
// service that VMs are dedicated to ("" for any).
type domainCapacity struct {
	name  string
	free  map[string]int
	total map[string]int
	// groups counts the groups kept or assigned, by service.
	groups map[string]int
}

// Split returns the number of groups wanted by domain and service, and by service the number of replicas
// for which no domain has room.
func Split(services []Service, domains []Domain) (targets map[string]map[string]int, unplaced map[string]int) {
	ordered := servicesByWeight(services)
	capacities := newCapacities(ordered, domains)
	missing := keepExisting(ordered, capacities)
	unplaced = placeMissing(ordered, capacities, missing)
	targets = make(map[string]map[string]int, len(capacities))
	for _, d := range capacities {
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
	capacities := make([]*domainCapacity, 0, len(domains))
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
		capacities = append(capacities, s)
	}
	sort.Slice(capacities, func(i, j int) bool { return capacities[i].name < capacities[j].name })
	wanted := make(map[string]bool, len(services))
	for _, s := range services {
		wanted[s.Name] = true
	}
	for _, d := range capacities {
		for name := range d.groups {
			if !wanted[name] {
				delete(d.groups, name)
			}
		}
	}
	return capacities
}

// keepExisting keeps the existing groups up to the wanted number, reserves their VMs, and returns the
// number of missing replicas by service. While a service has too many groups, the domain with the most of
// them gives one up.
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

// placeMissing assigns the missing replicas one by one and returns, by service, the number that did not
// fit.
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

// bestDomain returns the domain for the next group of s: of those with room, the one with the fewest groups
// of s in proportion to its VMs. It returns nil if none has room.
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
	free := max(0, d.free[s.Name])
	if !s.Dedicated {
		free += max(0, d.free[""])
	}
	return free
}

func (d *domainCapacity) totalFor(s Service) int {
	total := d.total[s.Name]
	if !s.Dedicated {
		total += d.total[""]
	}
	return total
}

// reserve takes the VMs of count groups from the free ones, dedicated VMs first.
func (d *domainCapacity) reserve(s Service, count int) {
	vms := count * s.GroupSize
	own := min(vms, max(0, d.free[s.Name]))
	d.free[s.Name] -= own
	if !s.Dedicated {
		d.free[""] -= vms - own
	}
}

// tieBreak orders domains differently for each service, so that the first domain by name does not get the
// first replica of every service.
func tieBreak(service, domain string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service + "\x00" + domain))
	return h.Sum32()
}
