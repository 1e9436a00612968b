package forming

// Rolling replacement of groups after a change of version or group size. Restarting all replicas at once is
// an outage, and so is restarting one in each domain at once for a small service. Groups are therefore
// replaced one by one across all domains. The domains take turns in the order of their names, which every
// controller can determine from the placements alone. The number of serving groups stays at or above the
// wanted one as long as a new group finds room, beside the old ones or in another domain. Without room
// anywhere, one old group at a time is drained first. A service with a single replica is not drained for
// this: it keeps the old version, and the plan reports it as blocked.

// MaxSurgeShare is the share of the replicas of a service that may be formed beyond the wanted number
// during a rollout. It replaces 50 replicas in about ten rounds of loading without crowding out the loads
// of repairs.
const MaxSurgeShare = 0.1

// rolling reports whether any domain still has groups of s that are outdated.
func (p *planner) rolling(s Service) bool { return p.domainInTurn(s) != "" }

func (p *planner) countOutdated(groups []Group, s Service) int {
	count := 0
	for _, g := range groups {
		if g.Service == s.Name && g.outdated(s) && g.countsAsReplica() {
			count++
		}
	}
	return count
}

// domainInTurn returns the name of the domain whose turn it is to replace its outdated groups of s: the
// first by name that has any, or "" if none has.
func (p *planner) domainInTurn(s Service) string {
	first := ""
	for _, d := range p.allDomains() {
		if p.countOutdated(d.Groups, s) > 0 && (first == "" || d.Name < first) {
			first = d.Name
		}
	}
	return first
}

func (p *planner) replaceOutdated() {
	for _, s := range p.servicesByNeed() {
		if !p.rolling(s) {
			continue
		}
		if p.formsReplacements(s) {
			p.formSurge(s)
		}
		if p.domainInTurn(s) == p.view.Domain {
			p.drainOutdated(s)
		}
	}
}

// formsReplacements reports whether this domain forms the groups that replace outdated ones. That is the
// domain in turn if it has room, else the first by name that has room. If only the domain in turn did so, a
// replica that fills its domain would keep its old version while another domain is empty.
func (p *planner) formsReplacements(s Service) bool {
	domainInTurn := p.domainInTurn(s)
	return domainInTurn == p.view.Domain || !p.roomElsewhere(s, func(d Domain) bool {
		return d.Name == domainInTurn || d.Name < p.view.Domain
	})
}

// roomElsewhere reports whether any other domain that selects accepts has room for a group of s. It may miss
// room, because the VMs of all groups in the placement count as taken, even if they are gone.
func (p *planner) roomElsewhere(s Service, selects func(Domain) bool) bool {
	for _, d := range p.view.Others {
		if selects(d) && p.freeIn(d, s) >= s.GroupSize {
			return true
		}
	}
	return false
}

func (p *planner) freeIn(d Domain, s Service) int {
	capacity := domainCapacity{free: make(map[string]int, len(d.Live))}
	for class, count := range d.Live {
		capacity.free[class] = count
	}
	for _, g := range d.Groups {
		capacity.reserve(Service{Name: g.Service, Dedicated: p.services[g.Service].Dedicated, GroupSize: g.size()}, 1)
	}
	return capacity.freeFor(s)
}

func (p *planner) formSurge(s Service) {
	surge := max(1, int(MaxSurgeShare*float64(s.Replicas)))
	for starting := p.countStarting(s); starting < surge && p.form(s, "takes the place of an older version"); {
		starting++
	}
}

// drainOutdated drains outdated groups of s as long as enough groups keep serving.
func (p *planner) drainOutdated(s Service) {
	minimum := s.Replicas
	serving := p.servingInAllDomains(s.Name) - p.countServingEnded(s.Name)
	if serving <= minimum && p.rolloutStuck(s) {
		minimum--
	}
	if minimum < 1 {
		p.plan.BlockedReasons[s.Name] = "no room to load the new version beside the only replica"
		return
	}
	for ; serving > minimum; serving-- {
		g := p.leastBusyOutdated(s)
		if g == nil {
			return
		}
		p.drain(g, "", "another version is wanted")
	}
}

// rolloutStuck reports whether no group of s is about to serve, none is draining, and no domain has room
// for one, so that an old group must be drained first.
func (p *planner) rolloutStuck(s Service) bool {
	anywhere := func(Domain) bool { return true }
	return p.countStarting(s) == 0 && p.countDraining(s) == 0 && !p.roomElsewhere(s, anywhere)
}

// countDraining counts the groups of s in all domains that are draining or that this plan ends, so that
// their VMs become free.
func (p *planner) countDraining(s Service) int {
	count := 0
	for _, d := range p.allDomains() {
		for _, g := range d.Groups {
			if g.Service == s.Name && (g.State == Draining || p.endedByPlan(g.ID)) {
				count++
			}
		}
	}
	return count
}

// countStarting counts the groups of s in all domains that are forming or loading.
func (p *planner) countStarting(s Service) int {
	count := p.formed[s.Name]
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if g.Service == s.Name && g.State != Serving && p.remainsActive(g) {
			count++
		}
	}
	for _, d := range p.view.Others {
		for _, g := range d.Groups {
			if g.Service == s.Name && g.State != Serving && g.countsAsReplica() {
				count++
			}
		}
	}
	return count
}

// countServingEnded counts the serving groups of a service that this plan already ends.
func (p *planner) countServingEnded(service string) int {
	count := 0
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if g.Service == service && p.isServing(g) && p.endedByPlan(g.ID) {
			count++
		}
	}
	return count
}

func (p *planner) leastBusyOutdated(s Service) *Group {
	var best *Group
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if g.Service != s.Name || !g.outdated(s) || g.State != Serving || p.changed[g.ID] || !p.remainsActive(g) {
			continue
		}
		if best == nil || g.InProgress < best.InProgress {
			best = g
		}
	}
	return best
}

// servingInAllDomains counts the serving groups of a service in all domains.
func (p *planner) servingInAllDomains(service string) int {
	count := 0
	for i := range p.view.Groups {
		if g := &p.view.Groups[i]; g.Service == service && p.isServing(g) {
			count++
		}
	}
	for _, d := range p.view.Others {
		for _, g := range d.Groups {
			if g.Service == service && g.State == Serving && !g.NotWhole && !g.HomeNotWhole {
				count++
			}
		}
	}
	return count
}
