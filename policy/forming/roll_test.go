package forming_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/forming"
)

// rollout is some fabric domains, each decided for by a controller of its own, in virtual time. Nothing
// fails in it, and loading takes a round.
type rollout struct {
	now      time.Duration
	services []forming.Service
	domains  []*fabricDomain
	formed   int
}

type fabricDomain struct {
	name    string
	vms     []forming.VM
	groups  []forming.Group
	live    map[string]int
	held    map[string]string
	tracker *forming.Tracker
}

func newRollout(s forming.Service, sizes ...int) *rollout {
	p := &rollout{services: []forming.Service{s}}
	for i, size := range sizes {
		d := &fabricDomain{name: fmt.Sprintf("d%d", i+1), vms: vms(size), live: map[string]int{"": size}, tracker: forming.NewTracker()}
		p.domains = append(p.domains, d)
	}
	return p
}

// addServing lets a group of s addServing in a domain, on its first VMs that are in none.
func (p *rollout) addServing(domain int, s forming.Service) {
	d := p.domains[domain]
	v := forming.View{VMs: d.vms}
	p.formed++
	addServingGroup(&v, fmt.Sprintf("%s-g%d", d.name, p.formed), s, len(d.groups)*s.GroupSize)
	d.groups = append(d.groups, v.Groups...)
}

func (p *rollout) runRound() {
	for _, d := range p.domains {
		view := forming.View{
			Domain: d.name, Services: p.services, VMs: slices.Clone(d.vms), Groups: slices.Clone(d.groups), LoadAllowed: true,
		}
		for _, other := range p.domains {
			if other != d {
				view.Others = append(view.Others, other.report())
			}
		}
		d.tracker.Observe(p.now, &view)
		plan := forming.Decide(view)
		d.live, d.held = plan.Live, plan.BlockedReasons
		for _, step := range plan.Steps {
			p.apply(d, step)
		}
	}
	p.now += time.Second
}

func (p *rollout) runRounds(count int) {
	for range count {
		p.runRound()
	}
}

func (d *fabricDomain) report() forming.Domain {
	report := forming.Domain{Name: d.name, Live: d.live}
	for _, g := range d.groups {
		g.Size, g.Members = len(g.Members), nil
		report.Groups = append(report.Groups, g)
	}
	return report
}

func (p *rollout) apply(d *fabricDomain, step forming.Step) {
	if step.Kind == forming.StepForm {
		p.formed++
		g := forming.Group{
			ID: fmt.Sprintf("%s-g%d", d.name, p.formed), Service: step.Service, Version: step.Version, State: forming.Forming, HomeReported: true,
		}
		for _, name := range step.Members {
			g.Members = append(g.Members, forming.Member{VM: name, BootID: "b-" + name})
		}
		d.groups = append(d.groups, g)
		return
	}
	i := slices.IndexFunc(d.groups, func(g forming.Group) bool { return g.ID == step.Group })
	g := &d.groups[i]
	switch step.Kind {
	case forming.StepLoad:
		g.State = forming.Loading
		d.setMembership(g, g.ID)
	case forming.StepServe:
		g.State = forming.Serving
	case forming.StepDrain:
		g.State = forming.Draining
	case forming.StepRelease:
		d.setMembership(g, "")
	case forming.StepMark:
		g.NotWhole = step.NotWhole
	case forming.StepDissolve:
		d.groups = slices.Delete(d.groups, i, i+1)
	}
}

func (d *fabricDomain) setMembership(g *forming.Group, id string) {
	for _, m := range g.Members {
		i := slices.IndexFunc(d.vms, func(v forming.VM) bool { return v.Name == m.VM })
		d.vms[i].Group, d.vms[i].Epoch, d.vms[i].Ready = id, g.Epoch, id != ""
	}
}

// serving counts the groups that serve, and those of them that are as wanted.
func (p *rollout) serving() (all, wanted int) {
	for _, d := range p.domains {
		for _, g := range d.groups {
			if g.State != forming.Serving || g.NotWhole {
				continue
			}
			all++
			if g.Version == p.services[0].Version && len(g.Members) == p.services[0].GroupSize {
				wanted++
			}
		}
	}
	return all, wanted
}

var _ = Describe("A change of version", func() {
	// An operator wants another version of a model. Each replica must load it anew, and while one does it
	// serves nobody: callers find fewer replicas than were wanted, or none, or the old version for ever.
	DescribeTable("reaches every group one by one, and leaves enough serving",
		func(replicas int, sizes, standing []int, least int) {
			s := service("chat", 4, replicas)
			s.StrandedWeight = 1
			p := newRollout(s, sizes...)
			for domain, count := range standing {
				for range count {
					p.addServing(domain, s)
				}
			}
			p.services[0].Version = "m:2"
			for range 200 {
				p.runRound()
				all, _ := p.serving()
				Expect(all).To(BeNumerically(">=", least), "at %v", p.now)
			}
			all, wanted := p.serving()
			Expect(wanted).To(Equal(all))
			Expect(wanted).To(BeNumerically(">=", replicas))
		},
		Entry("one replica and an extra group, no room beside them", 1, []int{5, 5}, []int{1, 1}, 1),
		Entry("one replica, no room beside it, room in the domain before it", 1, []int{5, 5}, []int{0, 1}, 1),
		Entry("one replica, no room beside it, room in the domain behind it", 1, []int{5, 5}, []int{1, 0}, 1),
		Entry("two replicas, room for one more beside them", 2, []int{9, 5}, []int{1, 1}, 2),
		Entry("two replicas, room for one more in the domain behind", 2, []int{5, 9}, []int{1, 1}, 2),
		Entry("three replicas, room for one more in a domain of its own", 3, []int{4, 8, 4}, []int{1, 2, 0}, 3),
		Entry("three replicas, room in two domains behind the first", 3, []int{4, 8, 8}, []int{1, 1, 1}, 3),
		Entry("two replicas, no room: one is given up at a time", 2, []int{5, 5}, []int{1, 1}, 1),
	)

	It("waits with the only replica where there is no room, and says so", func() {
		s := service("chat", 4, 1)
		p := newRollout(s, 5)
		p.addServing(0, s)
		p.services[0].Version = "m:2"
		p.runRounds(50)
		all, wanted := p.serving()
		Expect(all).To(Equal(1))
		Expect(wanted).To(BeZero())
		Expect(p.domains[0].held).To(HaveKeyWithValue("chat", ContainSubstring("only replica")))
	})

	// The domain that would be first has gone dark with its old group: nobody can roll that, and the others
	// must not wait for it.
	It("does not wait for a domain that is dark", func() {
		s := service("chat", 4, 2)
		p := newRollout(s, 4, 9)
		p.addServing(0, s)
		p.addServing(1, s)
		for i := range p.domains[0].vms {
			p.domains[0].vms[i].Responding = false
		}
		p.runRounds(100)
		p.services[0].Version = "m:2"
		p.runRounds(200)
		all, wanted := p.serving()
		Expect(wanted).To(Equal(2))
		Expect(all).To(Equal(2))
	})

	// The size of a group is changed in place of its version: the groups that stand are as outdated.
	It("reaches every group when their size changes", func() {
		s := service("chat", 4, 2)
		p := newRollout(s, 7, 7)
		p.addServing(0, s)
		p.addServing(1, s)
		p.services[0].GroupSize = 3
		for range 100 {
			p.runRound()
			all, _ := p.serving()
			Expect(all).To(BeNumerically(">=", 2), "at %v", p.now)
		}
		_, wanted := p.serving()
		Expect(wanted).To(BeNumerically(">=", 2))
	})
})
