package forming_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/forming"
)

// rollout simulates several fabric domains in virtual time, each with a controller of its own. No VM fails,
// and a load takes one round.
type rollout struct {
	now      time.Duration
	services []forming.Service
	domains  []*fabricDomain
	formed   int
}

type fabricDomain struct {
	name           string
	vms            []forming.VM
	groups         []forming.Group
	live           map[string]int
	blockedReasons map[string]string
	tracker        *forming.Tracker
}

func newRollout(s forming.Service, sizes ...int) *rollout {
	r := &rollout{services: []forming.Service{s}}
	for i, size := range sizes {
		d := &fabricDomain{name: fmt.Sprintf("d%d", i+1), vms: vms(size), live: map[string]int{"": size}, tracker: forming.NewTracker()}
		r.domains = append(r.domains, d)
	}
	return r
}

// addServing adds a serving group of s to a domain, on its first VMs that are in no group.
func (r *rollout) addServing(domain int, s forming.Service) {
	d := r.domains[domain]
	v := forming.View{VMs: d.vms}
	r.formed++
	addServingGroup(&v, fmt.Sprintf("%s-g%d", d.name, r.formed), s, len(d.groups)*s.GroupSize)
	d.groups = append(d.groups, v.Groups...)
}

func (r *rollout) runRound() {
	for _, d := range r.domains {
		view := forming.View{
			Domain: d.name, Services: r.services, VMs: slices.Clone(d.vms), Groups: slices.Clone(d.groups), LoadAllowed: true,
		}
		for _, other := range r.domains {
			if other != d {
				view.Others = append(view.Others, other.report())
			}
		}
		d.tracker.Observe(r.now, &view)
		plan := forming.Decide(view)
		d.live, d.blockedReasons = plan.Live, plan.BlockedReasons
		for _, step := range plan.Steps {
			r.apply(d, step)
		}
	}
	r.now += time.Second
}

func (r *rollout) runRounds(count int) {
	for range count {
		r.runRound()
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

func (r *rollout) apply(d *fabricDomain, step forming.Step) {
	if step.Kind == forming.StepForm {
		r.formed++
		g := forming.Group{
			ID: fmt.Sprintf("%s-g%d", d.name, r.formed), Service: step.Service, Version: step.Version, State: forming.Forming, HomeReported: true,
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

// serving counts the serving groups, and those of them with the wanted version and size.
func (r *rollout) serving() (all, wanted int) {
	for _, d := range r.domains {
		for _, g := range d.groups {
			if g.State != forming.Serving || g.NotWhole {
				continue
			}
			all++
			if g.Version == r.services[0].Version && len(g.Members) == r.services[0].GroupSize {
				wanted++
			}
		}
	}
	return all, wanted
}

var _ = Describe("A change of version", func() {
	// Each replica must load a new version, and serves nobody while it does. Guards against too few or no
	// replicas serving in the meantime, and against an old version that is never replaced.
	DescribeTable("reaches every group one by one, and leaves enough serving",
		func(replicas int, sizes, standing []int, least int) {
			s := service("chat", 4, replicas)
			s.StrandedWeight = 1
			r := newRollout(s, sizes...)
			for domain, count := range standing {
				for range count {
					r.addServing(domain, s)
				}
			}
			r.services[0].Version = "m:2"
			for range 200 {
				r.runRound()
				all, _ := r.serving()
				Expect(all).To(BeNumerically(">=", least), "at %v", r.now)
			}
			all, wanted := r.serving()
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
		r := newRollout(s, 5)
		r.addServing(0, s)
		r.services[0].Version = "m:2"
		r.runRounds(50)
		all, wanted := r.serving()
		Expect(all).To(Equal(1))
		Expect(wanted).To(BeZero())
		Expect(r.domains[0].blockedReasons).To(HaveKeyWithValue("chat", ContainSubstring("only replica")))
	})

	// The domain in turn is dark together with its old group, which nobody can replace. The other domains
	// must not wait for it.
	It("does not wait for a domain that is dark", func() {
		s := service("chat", 4, 2)
		r := newRollout(s, 4, 9)
		r.addServing(0, s)
		r.addServing(1, s)
		for i := range r.domains[0].vms {
			r.domains[0].vms[i].Responding = false
		}
		r.runRounds(100)
		r.services[0].Version = "m:2"
		r.runRounds(200)
		all, wanted := r.serving()
		Expect(wanted).To(Equal(2))
		Expect(all).To(Equal(2))
	})

	// The group size changes instead of the version, so that the existing groups are outdated as well.
	It("reaches every group when their size changes", func() {
		s := service("chat", 4, 2)
		r := newRollout(s, 7, 7)
		r.addServing(0, s)
		r.addServing(1, s)
		r.services[0].GroupSize = 3
		for range 100 {
			r.runRound()
			all, _ := r.serving()
			Expect(all).To(BeNumerically(">=", 2), "at %v", r.now)
		}
		_, wanted := r.serving()
		Expect(wanted).To(BeNumerically(">=", 2))
	})
})
