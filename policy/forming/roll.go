package forming

// This file answers the load pattern of a changed version or setting that every replica must take up.
// Restarting all at once is an outage, and each domain restarting one of its own at once is one for a
// small service. So groups are replaced one by one over all domains: the domains take turns in the order
// of their names, which every controller can tell from the placements alone, and the number that serves
// never goes below the wanted one where a new group finds room, beside the old ones or in another domain.
// Where there is no room anywhere, one at a time is given up first; a service whose only replica that
// would be waits and says so.

// MaxSurgeShare is the share of a service's replicas that may be formed beyond the wanted ones during a
// roll: enough to finish 50 replicas in about ten rounds of loading, few enough that their loads do not
// crowd out repairs.
const MaxSurgeShare = 0.1

// rolling says that some domain still has groups of s of another version.
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

// domainInTurn names the domain whose domainInTurn it is, the first that still has groups to roll, or "".
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

// formsReplacements says that this domain is the one to form groups of the new version: the one whose turn it is
// if it has room, else the first that has. Without the others, a replica that fills its domain would
// keep its old version while another domain stands empty.
func (p *planner) formsReplacements(s Service) bool {
	turn := p.domainInTurn(s)
	return turn == p.view.Domain || !p.roomElsewhere(s, func(d Domain) bool {
		return d.Name == turn || d.Name < p.view.Domain
	})
}

// roomElsewhere says that one of the other domains that which selects has room for a group of s. It may
// err on the side of no room, since the members of groups that are gone are counted as taken.
func (p *planner) roomElsewhere(s Service, which func(Domain) bool) bool {
	for _, d := range p.view.Others {
		if which(d) && p.freeIn(d, s) >= s.GroupSize {
			return true
		}
	}
	return false
}

func (p *planner) freeIn(d Domain, s Service) int {
	left := domainCapacity{free: make(map[string]int, len(d.Live))}
	for class, count := range d.Live {
		left.free[class] = count
	}
	for _, g := range d.Groups {
		left.reserve(Service{Name: g.Service, Dedicated: p.services[g.Service].Dedicated, GroupSize: g.size()}, 1)
	}
	return left.freeFor(s)
}

func (p *planner) formSurge(s Service) {
	surge := max(1, int(MaxSurgeShare*float64(s.Replicas)))
	for coming := p.countStarting(s); coming < surge && p.form(s, "takes the place of an older version"); {
		coming++
	}
}

// drainOutdated drains groups of the older version for which others serve.
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

// rolloutStuck says that no group of s is on the way, and that none can be until one is given up.
func (p *planner) rolloutStuck(s Service) bool {
	anywhere := func(Domain) bool { return true }
	return p.countStarting(s) == 0 && p.countDraining(s) == 0 && !p.roomElsewhere(s, anywhere)
}

// countDraining counts the groups of s, here and elsewhere, whose VMs are about to be free.
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

// countStarting counts the groups of s, here and elsewhere, that are on the way to serve.
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

// countServingEnded counts the serving groups that this plan already ends.
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

// servingInAllDomains counts the groups of a service that serve, in all domains.
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
