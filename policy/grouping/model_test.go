package grouping_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/grouping"
)

// The model plays a service in virtual time, in steps: VMs that die for good or go dark with their domain, new ones that come empty, groups
// that break and are formed again, and a weight store whose loads slow each other.
const (
	step    = 0.1 // seconds
	dayEnds = 34.0
)

// site is what a service's VMs are like.
type site struct {
	domains, perDomain int
	models             []grouping.Model
	// pace is the seconds of a load, need how many groups the demand takes, by model.
	pace, need map[string]float64
	// loadSlow is how many loads run at full speed, loadRate how many may begin in a second.
	loadSlow int
	loadRate float64
	// lost is how many VMs are lost each time.
	lost int
}

var (
	// small are six fabric domains of 9 VMs.
	small = site{
		domains: 6, perDomain: 9, models: models,
		pace: map[string]float64{"large": 16, "small": 12}, need: map[string]float64{"large": 3.4, "small": 3.4},
		loadSlow: 6, loadRate: 4, lost: 2,
	}
	// eleven are six of 11, in which one group of each model leaves two VMs.
	eleven = site{
		domains: 6, perDomain: 11, models: []grouping.Model{{Name: "large", Size: 6, Share: 0.67}, {Name: "small", Size: 3, Share: 0.33}},
		pace: map[string]float64{"large": 16, "small": 12}, need: map[string]float64{"large": 3.2, "small": 3.7},
		loadSlow: 8, loadRate: 5.5, lost: 1,
	}
	// twentySeven are six of 27.
	twentySeven = site{
		domains: 6, perDomain: 27, models: []grouping.Model{{Name: "large", Size: 12, Share: 0.5}, {Name: "small", Size: 6, Share: 0.5}},
		pace: map[string]float64{"large": 16, "small": 12}, need: map[string]float64{"large": 2, "small": 9},
		loadSlow: 19, loadRate: 12, lost: 2,
	}
	// grown are six of 37. A group of the larger model takes nearly half of a domain.
	grown = site{
		domains: 6, perDomain: 37, models: []grouping.Model{{Name: "large", Size: 16, Share: 0.49}, {Name: "small", Size: 4, Share: 0.51}},
		pace: map[string]float64{"large": 16, "small": 12}, need: map[string]float64{"large": 4, "small": 17},
		loadSlow: 27, loadRate: 16, lost: 2,
	}
)

// times of the model's operations, in seconds, as measured on runs of the real programs.
const (
	noticeMember = 0.9 // until a lost member is noticed and the head closed
	noticeHead   = 4.5 // until a lost head's registration has lapsed
	formLoaded   = 0.9
	formStaged   = 2.1
	drainTakes   = 2.0
	demandKnown  = 3.0 // from the first caller on
)

type loss struct {
	at     float64
	zone   int
	count  int
	domain bool    // the whole domain goes dark
	back   float64 // when it is back
}

type arrival struct {
	at    float64
	zone  int
	count int
}

type day struct {
	losses   []loss
	arrivals []arrival
}

// lossyDay loses some VMs of groups every three seconds, one domain for a while, and gets two empty ones every three seconds from
// 12 s on.
func (s site) lossyDay(r *rand.Rand) day {
	var d day
	zone := r.IntN(3)
	for at := 2.0 + r.Float64(); at < 28; at += 2.2 + 1.6*r.Float64() {
		d.losses = append(d.losses, loss{at: at, zone: zone, count: s.lost})
		zone = (zone + 1) % 3
	}
	d.losses = append(d.losses, loss{at: 11, zone: r.IntN(3), domain: true, back: 18})
	for at := 11.0 + r.Float64(); at < 31; at += 2.6 + 1.6*r.Float64() {
		d.arrivals = append(d.arrivals, arrival{at: at, zone: r.IntN(3), count: 2})
	}
	return d
}

type simVM struct {
	id      string
	domain  int
	staged  string
	loaded  string
	staging string
	ready   float64 // when the staging ends
	group   *simGroup
	dead    bool
	darkTo  float64
}

type simGroup struct {
	model   string
	members []*simVM
	open    float64 // when it serves
	broken  float64 // when its survivors are free; 0 while whole
	lost    bool    // serves no more
}

// planner is grouping.Decide, or a baseline.
type planner func(grouping.Input) grouping.Plan

type sim struct {
	site
	r       *rand.Rand
	now     float64
	vms     []*simVM
	groups  []*simGroup
	tokens  float64
	loading []float64 // ends
	planner planner
	next    int
	losses  *grouping.LossEstimator
}

func newSim(at site, r *rand.Rand, plan planner) *sim {
	s := &sim{site: at, r: r, planner: plan, losses: grouping.NewLossEstimator()}
	for d := range s.domains {
		for range s.perDomain {
			s.add(d)
		}
	}
	return s
}

func (s *sim) add(domain int) {
	s.next++
	s.vms = append(s.vms, &simVM{id: fmt.Sprintf("vm%03d", s.next), domain: domain})
}

// start forms the groups before callers come: all loads are done by then.
func (s *sim) start() {
	for range 20 {
		plan := s.planner(s.input(true, 100))
		if len(plan.Form)+len(plan.Stage) == 0 {
			break
		}
		for _, f := range plan.Form {
			g := s.form(f)
			g.open = 0
			for _, vm := range g.members {
				vm.staged, vm.loaded = f.Model, f.Model
			}
		}
		for _, st := range plan.Stage {
			s.vm(st.VM).staged = st.Model
		}
	}
}

func (s *sim) vm(id string) *simVM {
	return s.vms[slices.IndexFunc(s.vms, func(v *simVM) bool { return v.id == id })]
}

func (s *sim) form(f grouping.Formation) *simGroup {
	g := &simGroup{model: f.Model}
	takes := formLoaded
	for _, id := range f.Members {
		vm := s.vm(id)
		g.members = append(g.members, vm)
		vm.group = g
		if vm.loaded != f.Model {
			takes = formStaged
		}
	}
	g.open = s.now + takes
	s.groups = append(s.groups, g)
	return g
}

// drain ends the work of a group; its VMs are free once that is done.
func (s *sim) drain(d grouping.Drain) {
	for _, g := range s.groups {
		if !g.lost && g.model == d.Model && fmt.Sprint(g.members[0].domain) == d.Domain {
			g.lost = true
			g.broken = s.now + drainTakes
			return
		}
	}
}

func (s *sim) input(early bool, loads int) grouping.Input {
	in := grouping.Input{Models: slices.Clone(s.models), BeforeTraffic: early, AvailableLoads: loads, LossRate: s.losses.Rate()}
	for i := range in.Models {
		name := in.Models[i].Name
		in.Models[i].LoadTime = time.Duration(s.pace[name] * float64(time.Second))
		if s.now > demandKnown {
			in.Models[i].DemandGroups = s.need[name]
		}
	}
	for d := range s.domains {
		domain := grouping.Domain{Name: fmt.Sprint(d), Groups: map[string]int{}}
		for _, vm := range s.vms {
			if vm.domain != d || vm.dead || s.now < vm.darkTo {
				continue
			}
			domain.Total++
			if vm.group != nil {
				if vm.group.members[0] == vm && !vm.group.lost {
					domain.Groups[vm.group.model]++
				}
				if vm.group.lost {
					domain.DissolvingVMs++
				}
				continue
			}
			domain.Free = append(domain.Free, grouping.VM{ID: vm.id, Staged: vm.staged, Loaded: vm.loaded, Staging: vm.staging})
		}
		in.Domains = append(in.Domains, domain)
	}
	return in
}

// strike loses a VM: its group stands still at once, and its members are free once that was noticed.
func (s *sim) strike(vm *simVM, darkTo float64) {
	if darkTo > 0 {
		vm.darkTo = darkTo
	} else {
		vm.dead = true
	}
	vm.loaded, vm.staging = "", ""
	if g := vm.group; g != nil && !g.lost {
		s.losses.ObserveLoss()
		g.lost = true
		g.broken = s.now + noticeMember
		if g.members[0] == vm {
			g.broken = s.now + noticeHead
		}
	}
	if vm.group != nil && darkTo > 0 {
		vm.group = nil
	}
}

func (s *sim) lose(l loss) {
	if l.domain {
		for _, vm := range s.vms {
			if vm.domain == 2*l.zone && !vm.dead {
				s.strike(vm, l.back)
			}
		}
		return
	}
	for range l.count {
		var grouped, all []*simVM
		for _, vm := range s.vms {
			if vm.domain/2 != l.zone || vm.dead || s.now < vm.darkTo {
				continue
			}
			all = append(all, vm)
			if vm.group != nil && !vm.group.lost {
				grouped = append(grouped, vm)
			}
		}
		if len(grouped) == 0 {
			grouped = all
		}
		if len(grouped) > 0 {
			s.strike(grouped[s.r.IntN(len(grouped))], 0)
		}
	}
}

func (s *sim) advance() {
	s.now += step
	grouped := 0
	for _, g := range s.groups {
		if !g.lost {
			grouped += len(g.members)
		}
	}
	s.losses.ObserveExposure(grouped, step)
	for _, g := range s.groups {
		if g.lost && g.broken > 0 && s.now >= g.broken {
			g.broken = 0
			for _, vm := range g.members {
				if vm.group == g {
					vm.group = nil
				}
			}
		}
	}
	for _, vm := range s.vms {
		if vm.staging != "" && s.now >= vm.ready {
			vm.staged, vm.staging = vm.staging, ""
		}
	}
	s.loading = slices.DeleteFunc(s.loading, func(end float64) bool { return end <= s.now })
	s.tokens = min(3, s.tokens+s.loadRate*step)
}

func (s *sim) act() {
	room := min(int(s.tokens), s.loadSlow-len(s.loading))
	plan := s.planner(s.input(false, max(0, room)))
	for _, f := range plan.Form {
		s.form(f)
	}
	for _, drain := range plan.Drain {
		s.drain(drain)
	}
	for _, warming := range plan.Warm {
		s.vm(warming.VM).loaded = warming.Model
	}
	for _, st := range plan.Stage {
		vm := s.vm(st.VM)
		slow := max(1, float64(len(s.loading)+1)/float64(s.loadSlow))
		vm.staging, vm.ready = st.Model, s.now+s.pace[st.Model]*slow
		vm.staged = ""
		s.loading = append(s.loading, vm.ready)
		s.tokens--
	}
}

// figures are what callers get.
type figures struct {
	served  float64            // share of the demand that stands, mean over time and models
	byModel map[string]float64 // the same by model
	idle    float64            // VM-seconds that served nobody, as a share
}

func (s *sim) play(d day) figures {
	f := figures{byModel: map[string]float64{}}
	s.start()
	steps := 0
	losses, arrivals := d.losses, d.arrivals
	slices.SortFunc(losses, func(a, b loss) int { return int(1000 * (a.at - b.at)) })
	alive, serving := 0.0, 0.0
	for s.now < dayEnds {
		s.advance()
		for len(losses) > 0 && losses[0].at <= s.now {
			s.lose(losses[0])
			losses = losses[1:]
		}
		for len(arrivals) > 0 && arrivals[0].at <= s.now {
			for range arrivals[0].count {
				s.add(2*arrivals[0].zone + s.r.IntN(2))
			}
			arrivals = arrivals[1:]
		}
		s.act()
		steps++
		count := map[string]float64{}
		for _, g := range s.groups {
			if !g.lost && s.now >= g.open {
				count[g.model]++
				serving += float64(len(g.members))
			}
		}
		for _, vm := range s.vms {
			if !vm.dead && s.now >= vm.darkTo {
				alive++
			}
		}
		for _, m := range s.models {
			share := min(1, count[m.Name]/s.need[m.Name])
			f.byModel[m.Name] += share
			f.served += share / float64(len(s.models))
		}
	}
	f.served /= float64(steps)
	for name := range f.byModel {
		f.byModel[name] /= float64(steps)
	}
	f.idle = 1 - serving/alive
	return f
}

// mean plays days of several seeds.
func mean(at site, plan planner, seeds int) figures {
	total := figures{byModel: map[string]float64{}}
	for seed := range seeds {
		r := rand.New(rand.NewPCG(uint64(seed), 7))
		d := at.lossyDay(r)
		f := newSim(at, r, plan).play(d)
		total.served += f.served / float64(seeds)
		total.idle += f.idle / float64(seeds)
		for name, share := range f.byModel {
			total.byModel[name] += share / float64(seeds)
		}
	}
	return total
}
