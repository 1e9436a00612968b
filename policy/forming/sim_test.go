package forming_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/forming"
)

// sim simulates fabric domains in virtual time with ticks of one second: VMs that fail, controllers that
// decide, and a weight store whose rate is shared by the loads. Each controller sees the current state of
// its own domain, and the placements of the others as of the previous tick.
type sim struct {
	now       time.Duration
	decide    func(forming.View) forming.Plan
	services  []forming.Service
	domains   []*simDomain
	scheduled map[time.Duration][]func()
	lastID    int
	// downSeconds is the sum of the seconds that each wanted group did not serve, strandedSeconds the
	// accelerator-seconds of VMs that were up but in no serving group.
	downSeconds, strandedSeconds float64
	downNow, strandedNow         float64
	loads                        int
}

type simDomain struct {
	name          string
	vms           []*simVM
	groups        []forming.Group
	drainingSince map[string]time.Duration
	tracker       *forming.Tracker
	pacer         forming.Pacer
	report        forming.Domain
	nextReport    forming.Domain
	byName        map[string]*simVM
	// active is the time until which the domain is evaluated each tick.
	active time.Duration
}

type simVM struct {
	forming.VM
	domain       *simDomain
	down, paused bool
	boots        int
	loaded       float64 // fraction of the weights loaded
}

// Rates and durations of the simulation.
const (
	simAccelerators = 8
	simLoadTime     = 90 * time.Second
	simDrainTime    = 20 * time.Second
	// simStoreSlots is the number of members that can load at full speed at the same time.
	simStoreSlots = 24
)

func newSim(decide func(forming.View) forming.Plan, services []forming.Service, sizes ...int) *sim {
	s := &sim{decide: decide, services: services, scheduled: map[time.Duration][]func(){}}
	for i, size := range sizes {
		d := &simDomain{name: fmt.Sprintf("fab-%d", i+1), drainingSince: map[string]time.Duration{}, tracker: forming.NewTracker(), byName: map[string]*simVM{}}
		for j := range size {
			v := &simVM{domain: d, VM: forming.VM{Name: fmt.Sprintf("%s-%02d", d.name, j+1), Accelerators: simAccelerators, Listed: true}}
			v.restart()
			d.vms = append(d.vms, v)
			d.byName[v.Name] = v
		}
		s.domains = append(s.domains, d)
	}
	return s
}

func (v *simVM) restart() {
	v.boots++
	v.BootID = fmt.Sprintf("%s-boot%d", v.Name, v.boots)
	v.Group, v.Epoch, v.Ready, v.loaded, v.Leaving = "", 0, false, 0, false
}

func (s *sim) schedule(when time.Duration, v *simVM, f func()) {
	when = when.Truncate(time.Second)
	s.scheduled[when] = append(s.scheduled[when], func() {
		f()
		s.wake(v.domain)
	})
}

// fail takes a VM down for a while; it returns without state.
func (s *sim) fail(v *simVM, at, away time.Duration) {
	s.schedule(at, v, func() { v.down = true; v.restart() })
	s.schedule(at+away, v, func() { v.down = false })
}

// pause stops a VM from answering for a while; it keeps its state.
func (s *sim) pause(v *simVM, at, away time.Duration) {
	s.schedule(at, v, func() { v.paused = true })
	s.schedule(at+away, v, func() { v.paused = false })
}

// remove announces the removal of a VM, takes it down after the notice period, and brings it back without
// state.
func (s *sim) remove(v *simVM, at, notice, away time.Duration) {
	s.schedule(at, v, func() { v.Leaving = true })
	s.fail(v, at+notice, away)
}

// addFaults schedules the daily fault rates of a fleet of 2,520 VMs, scaled to this one: 14 VMs fail, and
// 360 are restarted or replaced, half of them announced. It adds a pause every two days per VM.
func (s *sim) addFaults(random *rand.Rand, from, until time.Duration) {
	day := 24 * time.Hour
	for _, d := range s.domains {
		for _, v := range d.vms {
			s.poissonArrivals(random, from, until, day*2520/14, func(at time.Duration) { s.fail(v, at, 2*time.Hour) })
			s.poissonArrivals(random, from, until, day*2520/180, func(at time.Duration) { s.fail(v, at, 5*time.Minute) })
			s.poissonArrivals(random, from, until, day*2520/180, func(at time.Duration) { s.remove(v, at, 2*time.Minute, 5*time.Minute) })
			s.poissonArrivals(random, from, until, 2*day, func(at time.Duration) {
				s.pause(v, at, time.Duration(2+random.IntN(7))*time.Second)
			})
		}
	}
}

func (s *sim) poissonArrivals(random *rand.Rand, from, until, mean time.Duration, f func(at time.Duration)) {
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() * float64(mean))
		if at >= until {
			return
		}
		f(at)
	}
}

// run simulates until the given time.
func (s *sim) run(until time.Duration) {
	for ; s.now < until; s.now += time.Second {
		if due, ok := s.scheduled[s.now]; ok {
			for _, f := range due {
				f()
			}
			delete(s.scheduled, s.now)
		}
		s.advanceLoads()
		if s.decideActive() {
			s.measureNow()
		}
		s.downSeconds += s.downNow
		s.strandedSeconds += s.strandedNow
	}
}

// wake evaluates a domain each tick until the longest grace period has passed. After that nothing there
// changes by itself, so that hours without events take no time.
func (s *sim) wake(d *simDomain) { d.active = s.now + forming.CorrelatedSilenceGrace + 15*time.Second }

func (s *sim) wakeAll() {
	for _, d := range s.domains {
		s.wake(d)
	}
}

// decideActive runs the controllers of the active domains, and reports whether there was one. A domain
// whose plan has steps keeps the others active for long enough to observe them.
func (s *sim) decideActive() bool {
	any := false
	for _, d := range s.domains {
		if s.now <= d.active {
			s.decideFor(d)
			any = true
		}
	}
	for _, d := range s.domains {
		d.report = d.nextReport
	}
	return any
}

func (s *sim) decideFor(d *simDomain) {
	view := forming.View{Domain: d.name, Services: s.services, Groups: d.groups, LoadAllowed: d.pacer.Allowed(s.now)}
	for _, v := range d.vms {
		vm := v.VM
		vm.Responding = !v.down && !v.paused
		view.VMs = append(view.VMs, vm)
	}
	for i := range view.Groups {
		g := &view.Groups[i]
		since, draining := d.drainingSince[g.ID]
		g.HomeReported, g.InProgress = true, 0
		if draining && s.now-since < simDrainTime {
			g.InProgress = 1
		}
	}
	for _, other := range s.domains {
		if other != d && other.report.Name != "" {
			view.Others = append(view.Others, other.report)
		}
	}
	d.tracker.Observe(s.now, &view)
	plan := s.decide(view)
	for _, step := range plan.Steps {
		s.apply(d, &view, step)
	}
	if len(plan.Steps) > 0 {
		s.wake(d)
		for _, other := range s.domains {
			other.active = max(other.active, s.now+5*time.Second)
		}
	}
	d.nextReport = forming.Domain{Name: d.name, Live: plan.Live, Groups: slices.Clone(d.groups)}
}

func (s *sim) apply(d *simDomain, view *forming.View, step forming.Step) {
	i := slices.IndexFunc(d.groups, func(g forming.Group) bool { return g.ID == step.Group })
	switch step.Kind {
	case forming.StepForm:
		s.lastID++
		g := forming.Group{
			ID: fmt.Sprintf("g%06d", s.lastID), Service: step.Service, Version: step.Version,
			State: forming.Forming, Size: len(step.Members),
		}
		for _, name := range step.Members {
			g.Members = append(g.Members, forming.Member{VM: name})
		}
		d.groups = append(d.groups, g)
	case forming.StepLoad:
		s.startLoad(d, view, &d.groups[i])
	case forming.StepServe:
		d.groups[i].State = forming.Serving
	case forming.StepDrain:
		d.groups[i].State = forming.Draining
		d.drainingSince[step.Group] = s.now
	case forming.StepMark:
		d.groups[i].NotWhole = step.NotWhole
	case forming.StepRelease, forming.StepDissolve:
		for _, m := range d.groups[i].Members {
			if v := d.vm(m.VM); v.Group == step.Group {
				v.Group, v.Epoch, v.Ready, v.loaded = "", 0, false, 0
			}
		}
		if step.Kind == forming.StepDissolve {
			d.groups = slices.Delete(d.groups, i, i+1)
		}
	}
}

func (s *sim) startLoad(d *simDomain, view *forming.View, g *forming.Group) {
	g.State = forming.Loading
	g.Epoch = 1
	s.loads++
	for i := range g.Members {
		v := d.vm(g.Members[i].VM)
		g.Members[i].BootID = v.BootID
		v.Group, v.Epoch, v.Ready, v.loaded = g.ID, 1, false, 0
	}
	for _, service := range s.services {
		if service.Name == g.Service {
			d.pacer.Started(s.now, service, view.WaitingDomains())
		}
	}
}

func (d *simDomain) vm(name string) *simVM { return d.byName[name] }

// advanceLoads divides the rate of the weight store among all members that load.
func (s *sim) advanceLoads() {
	var loading []*simVM
	for _, d := range s.domains {
		for _, v := range d.vms {
			if v.Group != "" && !v.Ready && !v.down && !v.paused {
				loading = append(loading, v)
			}
		}
	}
	share := min(1, simStoreSlots/float64(max(1, len(loading)))) / simLoadTime.Seconds()
	for _, v := range loading {
		v.loaded += share
		v.Ready = v.loaded >= 1
		s.wake(v.domain)
	}
}

// serving counts the groups of a service that are whole and may receive requests.
func (s *sim) serving(service string) int {
	count := 0
	for _, d := range s.domains {
		for _, g := range d.groups {
			if g.Service == service && d.whole(g) {
				count++
			}
		}
	}
	return count
}

func (d *simDomain) whole(g forming.Group) bool {
	if g.State != forming.Serving {
		return false
	}
	return !slices.ContainsFunc(g.Members, func(m forming.Member) bool {
		v := d.vm(m.VM)
		return v.down || v.paused || v.BootID != m.BootID || v.Group != g.ID || !v.Ready
	})
}

// measureNow computes the costs of this second from the simulated state, not from what a plan reports.
func (s *sim) measureNow() {
	s.downNow, s.strandedNow = 0, 0
	for _, service := range s.services {
		s.downNow += float64(max(0, service.Replicas-s.serving(service.Name)))
	}
	for _, d := range s.domains {
		up, busy := 0, 0
		for _, v := range d.vms {
			if !v.down {
				up++
			}
		}
		for _, g := range d.groups {
			if d.whole(g) {
				busy += len(g.Members)
			}
		}
		s.strandedNow += float64((up - busy) * simAccelerators)
	}
}

// baseline replaces faulty VMs at once: any silent or restarted member ends its group, and a new one is
// formed and loaded from the VMs that answer. It keeps no spares, does not pace loads, and knows only the
// number of groups of other domains.
func baseline(v forming.View) forming.Plan {
	plan := forming.Plan{Live: map[string]int{}}
	vms := make(map[string]forming.VM)
	for _, vm := range v.VMs {
		vms[vm.Name] = vm
	}
	taken := make(map[string]bool)
	total := make(map[string]int)
	for _, d := range v.Others {
		for _, g := range d.Groups {
			total[g.Service]++
		}
	}
	for _, g := range v.Groups {
		step := baselineStep(v, g, vms)
		if step.Kind == forming.StepDissolve {
			plan.Steps = append(plan.Steps, step)
			continue
		}
		total[g.Service]++
		for _, m := range g.Members {
			taken[m.VM] = true
		}
		if step.Kind != "" {
			plan.Steps = append(plan.Steps, step)
		}
	}
	for _, s := range v.Services {
		plan.Steps = append(plan.Steps, baselineForm(v, s, total[s.Name], taken)...)
	}
	return plan
}

func baselineStep(v forming.View, g forming.Group, vms map[string]forming.VM) forming.Step {
	ready := true
	for _, m := range g.Members {
		vm := vms[m.VM]
		if !vm.Responding || (g.State != forming.Forming && vm.BootID != m.BootID) {
			return forming.Step{Kind: forming.StepDissolve, Group: g.ID}
		}
		if vm.Leaving && g.State == forming.Serving {
			return forming.Step{Kind: forming.StepDrain, Group: g.ID}
		}
		ready = ready && vm.Ready && vm.Group == g.ID
	}
	switch {
	case g.State == forming.Forming:
		return forming.Step{Kind: forming.StepLoad, Group: g.ID}
	case g.State == forming.Loading && ready:
		return forming.Step{Kind: forming.StepServe, Group: g.ID}
	case g.State == forming.Draining && g.InProgress == 0:
		return forming.Step{Kind: forming.StepDissolve, Group: g.ID}
	}
	return forming.Step{}
}

func baselineForm(v forming.View, s forming.Service, total int, taken map[string]bool) []forming.Step {
	var steps []forming.Step
	var members []string
	for _, vm := range v.VMs {
		if total >= s.Replicas {
			break
		}
		if !vm.Responding || taken[vm.Name] {
			continue
		}
		members = append(members, vm.Name)
		taken[vm.Name] = true
		if len(members) == s.GroupSize {
			steps = append(steps, forming.Step{Kind: forming.StepForm, Service: s.Name, Version: s.Version, Members: members})
			members = nil
			total++
		}
	}
	return steps
}
