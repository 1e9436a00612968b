package forming

import (
	"sort"
	"time"
)

// planner computes one plan from a view.
type planner struct {
	view         *View
	services     map[string]Service
	vms          map[string]VM
	silenceGrace time.Duration
	plan         Plan
	// changed holds the IDs of the groups that a step of this plan already changes.
	changed map[string]bool
	// broken holds the condition of the groups that need repair, by group ID.
	broken map[string]condition
	// targets holds the number of groups by domain and service, as Split returns it.
	targets map[string]map[string]int
	// pool holds the VMs that are free, or that this plan frees.
	pool []VM
	// formed counts the groups formed by this plan, by service.
	formed map[string]int
}

// Decide returns the plan for a view. The durations in the view must have been filled in by a Tracker.
func Decide(view View) Plan {
	p := newPlanner(&view)
	p.advanceGroups()
	p.formMissing()
	p.endExcess()
	p.replaceOutdated()
	p.drainStraggler()
	p.formExtra()
	p.updateNotWhole()
	p.startNextLoad()
	p.computeCosts()
	return p.plan
}

func newPlanner(v *View) *planner {
	p := &planner{
		view:         v,
		services:     make(map[string]Service, len(v.Services)),
		vms:          make(map[string]VM, len(v.VMs)),
		silenceGrace: silenceGraceFor(v),
		changed:      make(map[string]bool),
		broken:       make(map[string]condition),
		formed:       make(map[string]int),
	}
	for _, s := range v.Services {
		p.services[s.Name] = s
	}
	inGroup := make(map[string]bool)
	for _, g := range v.Groups {
		for _, m := range g.Members {
			inGroup[m.VM] = true
		}
	}
	for _, vm := range v.VMs {
		p.vms[vm.Name] = vm
		if vm.usable() && !inGroup[vm.Name] {
			p.pool = append(p.pool, vm)
		}
	}
	p.plan.BlockedReasons = make(map[string]string)
	p.plan.Live = p.countLive()
	targets, unplaced := Split(v.Services, p.allDomains())
	p.targets = targets
	p.plan.Targets = targets[v.Domain]
	p.plan.DownGroups = make(map[string]int)
	if p.isFirstDomain() {
		p.plan.Unplaced = unplaced
		for name, count := range unplaced {
			p.plan.DownGroups[name] += count
		}
	}
	return p
}

// allDomains returns this fabric domain and the others of the place, in the form that every controller sees
// them.
func (p *planner) allDomains() []Domain {
	own := Domain{Name: p.view.Domain, Live: p.plan.Live, Groups: p.view.Groups}
	return append([]Domain{own}, p.view.Others...)
}

// countLive counts the VMs that replicas can be planned on, by the service that they are dedicated to.
// Unlike VM.usable it includes VMs that are silent for less than the grace period, otherwise each pause
// would move a replica to another domain.
func (p *planner) countLive() map[string]int {
	live := make(map[string]int)
	for _, vm := range p.view.VMs {
		if vm.Listed && !vm.Leaving && !vm.Aside && vm.SilentFor < p.silenceGrace {
			live[vm.DedicatedTo]++
		}
	}
	return live
}

// isFirstDomain reports whether this domain is first by name. Only the first domain reports the groups that
// no domain has room for, so that they are counted once.
func (p *planner) isFirstDomain() bool {
	for _, d := range p.view.Others {
		if d.Name < p.view.Domain {
			return false
		}
	}
	return true
}

func (p *planner) addStep(s Step) {
	p.plan.Steps = append(p.plan.Steps, s)
	if s.Group != "" {
		p.changed[s.Group] = true
	}
}

// advanceGroups moves each group to its next state, as far as its own members allow. Groups that need
// repair are recorded in p.broken.
func (p *planner) advanceGroups() {
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		c := p.condition(g)
		if g.State == Draining {
			p.advanceDraining(g)
			continue
		}
		if c.broken() {
			p.broken[g.ID] = c
			continue
		}
		s, wanted := p.services[g.Service]
		switch {
		case g.State != Serving && (c.worst == faultLeaving || !wanted || g.outdated(s)):
			p.dissolve(g, "superseded before it served")
		case c.worst == faultLeaving:
			p.drain(g, "", c.reason())
		case !wanted:
			p.drain(g, "", "service no longer wanted")
		case g.HomeCutOffFor >= HomeCutOffGrace && !p.anyDraining():
			p.drain(g, "", "its home can't reach its members")
		case g.State == Loading && p.whole(g):
			p.addStep(Step{Kind: StepServe, Group: g.ID, Service: g.Service, Reason: "every member is ready"})
		case g.State == Loading && g.InState >= LoadTimeout:
			p.dissolve(g, "not loaded in time")
		}
	}
}

// advanceDraining releases the members of a draining group once no request is in progress on it or the
// drain timeout has passed, and then dissolves it. The count of the home is checked against that of the
// group's head (its first member), because a home that has just taken over may not know of requests that
// the previous home sent. A group that lost a member has nothing left to drain: its requests have failed,
// and if the head is the lost member, no count will ever arrive.
func (p *planner) advanceDraining(g *Group) {
	drained := p.condition(g).memberLost() || g.HomeReported && g.InProgress == 0 && p.runningOnHead(g) == 0
	if !drained && g.InState < p.drainTimeout(g) {
		return
	}
	if p.released(g) || g.InState >= p.drainTimeout(g)+ReleaseTimeout {
		p.dissolve(g, "drained")
		return
	}
	p.addStep(Step{Kind: StepRelease, Group: g.ID, Service: g.Service, Reason: "drained"})
}

// runningOnHead returns the number of running requests that the head of the group reports.
func (p *planner) runningOnHead(g *Group) int {
	head := p.vms[g.Members[0].VM]
	if !head.Responding || head.Group != g.ID {
		return 0
	}
	return head.Running
}

func (p *planner) drainTimeout(g *Group) time.Duration {
	if s, ok := p.services[g.Service]; ok {
		return s.DrainTimeout
	}
	return RemovedServiceDrainTimeout
}

// released reports whether no responding member still holds the state of the group.
func (p *planner) released(g *Group) bool {
	for _, m := range g.Members {
		v := p.vms[m.VM]
		if v.Responding && v.BootID == m.BootID && v.Group == g.ID {
			return false
		}
	}
	return true
}

func (p *planner) drain(g *Group, aside, reason string) {
	p.addStep(Step{Kind: StepDrain, Group: g.ID, Service: g.Service, VM: aside, Reason: reason})
}

// dissolve removes the group and makes its usable members available to the rest of this plan.
func (p *planner) dissolve(g *Group, reason string) {
	p.addStep(Step{Kind: StepDissolve, Group: g.ID, Service: g.Service, Reason: reason})
	for _, m := range g.Members {
		if vm, ok := p.vms[m.VM]; ok && vm.usable() {
			p.pool = append(p.pool, vm)
		}
	}
}

// form adds a step that forms one group of s from the pool. It returns false if the pool has too few VMs
// for it.
func (p *planner) form(s Service, reason string) bool {
	chosen := p.chooseMembers(s)
	if chosen == nil {
		return false
	}
	members := make([]string, 0, len(chosen))
	taken := make(map[string]bool, len(chosen))
	for _, vm := range chosen {
		members = append(members, vm.Name)
		taken[vm.Name] = true
	}
	kept := p.pool[:0]
	for _, vm := range p.pool {
		if !taken[vm.Name] {
			kept = append(kept, vm)
		}
	}
	p.pool = kept
	p.formed[s.Name]++
	p.addStep(Step{Kind: StepForm, Service: s.Name, Version: s.Version, Members: members, Reason: reason})
	return true
}

// chooseMembers picks the VMs for a group of s: dedicated VMs first, then those with the fewest restarts,
// since a VM in a restart loop would break its new group within minutes. It returns nil if too few VMs are
// eligible.
func (p *planner) chooseMembers(s Service) []VM {
	candidates := make([]VM, 0, len(p.pool))
	for _, vm := range p.pool {
		if eligible(vm, s) {
			candidates = append(candidates, vm)
		}
	}
	if len(candidates) < s.GroupSize || s.GroupSize == 0 {
		return nil
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if (a.DedicatedTo == "") != (b.DedicatedTo == "") {
			return a.DedicatedTo != ""
		}
		if a.Restarts != b.Restarts {
			return a.Restarts < b.Restarts
		}
		return a.Name < b.Name
	})
	return candidates[:s.GroupSize]
}

func eligible(vm VM, s Service) bool {
	return vm.DedicatedTo == s.Name || (vm.DedicatedTo == "" && !s.Dedicated)
}

// startNextLoad starts the most urgent waiting load if the load rate allows one now.
func (p *planner) startNextLoad() {
	g := p.nextLoad()
	if g == nil {
		return
	}
	if !p.view.LoadAllowed {
		p.plan.BlockedReasons[g.Service] = "loads are paced"
		return
	}
	p.addStep(Step{Kind: StepLoad, Group: g.ID, Service: g.Service, Reason: "members are free"})
}
