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

// slots holds what a domain can still take, by dedication.
type slots struct {
	name string
	free map[string]int
	all  map[string]int
	// held counts groups by service.
	held map[string]int
}

// Split returns the groups of each service wanted in each domain, and how many replicas find no room
// anywhere.
func Split(services []Service, domains []Domain) (targets map[string]map[string]int, unplaced map[string]int) {
	ordered := orderedServices(services)
	held := openSlots(ordered, domains)
	missing := keepStanding(ordered, held)
	unplaced = fill(ordered, held, missing)
	targets = make(map[string]map[string]int, len(held))
	for _, d := range held {
		targets[d.name] = d.held
	}
	return targets, unplaced
}

func orderedServices(services []Service) []Service {
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

func openSlots(services []Service, domains []Domain) []*slots {
	held := make([]*slots, 0, len(domains))
	for _, d := range domains {
		s := &slots{name: d.Name, free: map[string]int{}, all: d.Live, held: map[string]int{}}
		for class, count := range d.Live {
			s.free[class] = count
		}
		for _, g := range d.Groups {
			if g.counts() {
				s.held[g.Service]++
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
		for name := range d.held {
			if !wanted[name] {
				delete(d.held, name)
			}
		}
	}
	return held
}

// keepStanding counts what stands up to what is wanted, takes its VMs from the free ones, and returns
// what is missing. Above the wish, the domain with the most groups of the service gives one up first.
func keepStanding(services []Service, domains []*slots) map[string]int {
	missing := make(map[string]int)
	for _, s := range services {
		total := 0
		for _, d := range domains {
			total += d.held[s.Name]
		}
		for ; total > s.Replicas; total-- {
			fullest(domains, s.Name).held[s.Name]--
		}
		missing[s.Name] = s.Replicas - total
		for _, d := range domains {
			d.take(s, d.held[s.Name])
		}
	}
	return missing
}

func fullest(domains []*slots, service string) *slots {
	best := domains[0]
	for _, d := range domains[1:] {
		if d.held[service] > best.held[service] {
			best = d
		}
	}
	return best
}

// fill places one missing replica after the other.
func fill(services []Service, domains []*slots, missing map[string]int) map[string]int {
	unplaced := make(map[string]int)
	for {
		s, ok := neediest(services, missing)
		if !ok {
			return unplaced
		}
		missing[s.Name]--
		d := roomiest(domains, s)
		if d == nil {
			unplaced[s.Name] += missing[s.Name] + 1
			missing[s.Name] = 0
			continue
		}
		d.held[s.Name]++
		d.take(s, 1)
	}
}

// neediest returns the service with the largest share of its replicas missing.
func neediest(services []Service, missing map[string]int) (Service, bool) {
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

// roomiest returns the domain with room for a group of s that holds the fewest of them for its size.
func roomiest(domains []*slots, s Service) *slots {
	var best *slots
	for _, d := range domains {
		if d.room(s) < s.GroupSize {
			continue
		}
		if best == nil || d.before(best, s) {
			best = d
		}
	}
	return best
}

func (d *slots) before(other *slots, s Service) bool {
	share, otherShare := d.held[s.Name]*other.size(s), other.held[s.Name]*d.size(s)
	if share != otherShare {
		return share < otherShare
	}
	if d.room(s) != other.room(s) {
		return d.room(s) > other.room(s)
	}
	return spread(s.Name, d.name) < spread(s.Name, other.name)
}

func (d *slots) room(s Service) int {
	room := max(0, d.free[s.Name])
	if !s.Dedicated {
		room += max(0, d.free[""])
	}
	return room
}

func (d *slots) size(s Service) int {
	size := d.all[s.Name]
	if !s.Dedicated {
		size += d.all[""]
	}
	return size
}

// take books the VMs of count groups, dedicated ones first.
func (d *slots) take(s Service, count int) {
	vms := count * s.GroupSize
	own := min(vms, max(0, d.free[s.Name]))
	d.free[s.Name] -= own
	if !s.Dedicated {
		d.free[""] -= vms - own
	}
}

// spread breaks ties differently for each service, so that the first domain by name does not get the
// first replica of all of them.
func spread(service, domain string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service + "\x00" + domain))
	return h.Sum32()
}
