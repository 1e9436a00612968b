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
func (p *planner) rolling(s Service) bool { return p.turn(s) != "" }

func (p *planner) outdated(groups []Group, s Service) int {
	count := 0
	for _, g := range groups {
		if g.Service == s.Name && g.outdated(s) && g.counts() {
			count++
		}
	}
	return count
}

// turn names the domain whose turn it is, the first that still has groups to roll, or "".
func (p *planner) turn(s Service) string {
	first := ""
	for _, d := range p.domains() {
		if p.outdated(d.Groups, s) > 0 && (first == "" || d.Name < first) {
			first = d.Name
		}
	}
	return first
}

func (p *planner) roll() {
	for _, s := range p.byNeed() {
		if !p.rolling(s) {
			continue
		}
		if p.takesNew(s) {
			p.formBeside(s)
		}
		if p.turn(s) == p.view.Domain {
			p.giveUpOld(s)
		}
	}
}

// takesNew says that this domain is the one to form groups of the new version: the one whose turn it is
// if it has room, else the first that has. Without the others, a replica that fills its domain would
// keep its old version while another domain stands empty.
func (p *planner) takesNew(s Service) bool {
	turn := p.turn(s)
	return turn == p.view.Domain || !p.roomElsewhere(s, func(d Domain) bool {
		return d.Name == turn || d.Name < p.view.Domain
	})
}

// roomElsewhere says that one of the other domains that which selects has room for a group of s. It may
// err on the side of no room, since the members of groups that are gone are counted as taken.
func (p *planner) roomElsewhere(s Service, which func(Domain) bool) bool {
	for _, d := range p.view.Others {
		if which(d) && p.roomIn(d, s) >= s.GroupSize {
			return true
		}
	}
	return false
}

func (p *planner) roomIn(d Domain, s Service) int {
	left := slots{free: make(map[string]int, len(d.Live))}
	for class, count := range d.Live {
		left.free[class] = count
	}
	for _, g := range d.Groups {
		left.take(Service{Name: g.Service, Dedicated: p.services[g.Service].Dedicated, GroupSize: g.size()}, 1)
	}
	return left.room(s)
}

func (p *planner) formBeside(s Service) {
	surge := max(1, int(MaxSurgeShare*float64(s.Replicas)))
	for coming := p.coming(s); coming < surge && p.form(s, "takes the place of an older version"); {
		coming++
	}
}

// giveUpOld drains groups of the older version for which others serve.
func (p *planner) giveUpOld(s Service) {
	minimum := s.Replicas
	serving := p.servingEverywhere(s.Name) - p.endingServing(s.Name)
	if serving <= minimum && p.stuck(s) {
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

// stuck says that no group of s is on the way, and that none can be until one is given up.
func (p *planner) stuck(s Service) bool {
	anywhere := func(Domain) bool { return true }
	return p.coming(s) == 0 && p.draining(s) == 0 && !p.roomElsewhere(s, anywhere)
}

// draining counts the groups of s, here and elsewhere, whose VMs are about to be free.
func (p *planner) draining(s Service) int {
	count := 0
	for _, d := range p.domains() {
		for _, g := range d.Groups {
			if g.Service == s.Name && (g.State == Draining || p.ends(g.ID)) {
				count++
			}
		}
	}
	return count
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
		if g.Service != s.Name || !g.outdated(s) || g.State != Serving || p.touched[g.ID] || !p.lasts(g) {
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
			if g.Service == service && g.State == Serving && !g.NotWhole && !g.HomeNotWhole {
				count++
			}
		}
	}
	return count
}
