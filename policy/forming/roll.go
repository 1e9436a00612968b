package forming

// This file answers the load pattern of a changed version or setting that every replica must take up.
// Restarting all at once is an outage, and each domain restarting one of its own at once is one for a
// small service. So groups are replaced one by one over all domains: the domains take turns in the order
// of their names, which every controller can tell from the placements alone, and the number that serves
// never goes below the wanted one where a new group finds room beside the old ones. Where there is no
// room, one at a time is given up first; a service with one replica and no room waits and says so.

// SurgeShare is the share of a service's replicas that may be formed beyond the wanted ones during a
// roll: enough to finish 50 replicas in about ten rounds of loading, few enough that their loads do not
// crowd out repairs.
const SurgeShare = 0.1

// rolling says that some domain still has groups of s of another version.
func (p *planner) rolling(s Service) bool {
	return p.outdated(p.view.Groups, s) > 0 || p.outdatedElsewhere(s)
}

func (p *planner) outdated(groups []Group, s Service) int {
	count := 0
	for _, g := range groups {
		if g.Service == s.Name && g.Version != s.Version && g.State != Draining {
			count++
		}
	}
	return count
}

func (p *planner) outdatedElsewhere(s Service) bool {
	for _, d := range p.view.Others {
		if p.outdated(d.Groups, s) > 0 {
			return true
		}
	}
	return false
}

// turn says that no domain with a lower name still has groups to roll.
func (p *planner) turn(s Service) bool {
	for _, d := range p.view.Others {
		if d.Name < p.view.Domain && p.outdated(d.Groups, s) > 0 {
			return false
		}
	}
	return true
}

func (p *planner) roll() {
	for _, s := range p.byNeed() {
		if p.outdated(p.view.Groups, s) > 0 && p.turn(s) {
			p.rollService(s)
		}
	}
}

func (p *planner) rollService(s Service) {
	coming := p.coming(s)
	surge := max(1, int(SurgeShare*float64(s.Replicas)))
	for coming < surge && p.form(s, "takes the place of an older version") {
		coming++
	}
	minimum := s.Replicas
	if coming == 0 {
		minimum--
	}
	if minimum < 1 {
		p.plan.Held[s.Name] = "no room to load the new version beside the only replica"
		return
	}
	for serving := p.servingEverywhere(s.Name) - p.endingServing(s.Name); serving > minimum; serving-- {
		g := p.leastBusyOutdated(s)
		if g == nil {
			return
		}
		p.drain(g, "", "another version is wanted")
	}
}

// coming counts the groups of s, here and elsewhere, that are on the way to serve.
func (p *planner) coming(s Service) int {
	count := p.formed[s.Name]
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if g.Service == s.Name && g.State != Serving && p.lasts(g) {
			count++
		}
	}
	for _, d := range p.view.Others {
		for _, g := range d.Groups {
			if g.Service == s.Name && g.State != Serving && g.counts() {
				count++
			}
		}
	}
	return count
}

// endingServing counts the serving groups that this plan already ends.
func (p *planner) endingServing(service string) int {
	count := 0
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if g.Service == service && p.serves(g) && p.ends(g.ID) {
			count++
		}
	}
	return count
}

func (p *planner) leastBusyOutdated(s Service) *Group {
	var best *Group
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if g.Service != s.Name || g.Version == s.Version || g.State != Serving || p.touched[g.ID] || !p.lasts(g) {
			continue
		}
		if best == nil || g.InProgress < best.InProgress {
			best = g
		}
	}
	return best
}

// servingEverywhere counts the groups of a service that serve, in all domains.
func (p *planner) servingEverywhere(service string) int {
	count := 0
	for i := range p.view.Groups {
		if g := &p.view.Groups[i]; g.Service == service && p.serves(g) {
			count++
		}
	}
	for _, d := range p.view.Others {
		for _, g := range d.Groups {
			if g.Service == service && g.State == Serving && !g.NotWhole {
				count++
			}
		}
	}
	return count
}
