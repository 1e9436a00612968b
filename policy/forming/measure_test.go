package forming_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/forming"
)

var measureHours = flag.Int("hours", 4, "virtual hours that TestMeasureForming plays")

// deployment is one of the two kinds of deployment that the settings are made for, with the VMs that it
// has.
type deployment struct {
	name               string
	downtime, stranded float64
	// vms is the number of VMs of each fabric domain. 50 groups of 4 need 200.
	vms []int
}

var deployments = []deployment{
	{"cooperative, 216 VMs", 10, 1, []int{36, 36, 36, 36, 36, 36}},
	{"studio, 200 VMs", 1, 10, []int{36, 36, 32, 32, 32, 32}},
}

// variant is a decision function under comparison.
type variant struct {
	name   string
	decide func(forming.View) forming.Plan
	spares int
}

var variants = []variant{
	{"baseline", baseline, 0},
	{"decision", forming.Decide, 0},
	{"decision, 4 spares", forming.Decide, 4},
}

// costs are the results of a run after the initial loads: group-hours of downtime, stranded
// accelerator-hours, and loads, each per day.
type costs struct {
	down, stranded, loads float64
}

func (d deployment) cost(m costs) float64 { return d.downtime*m.down + d.stranded*m.stranded }

func (d deployment) simulate(v variant, hours int, more func(s *sim, from time.Duration)) costs {
	service := forming.Service{
		Name: "language", Version: "m:1", GroupSize: 4, Replicas: 50, Spares: v.spares, DowntimeWeight: d.downtime,
		StrandedWeight: d.stranded, LoadsPerMinute: 16, DrainTimeout: 5 * time.Minute,
	}
	s := newSim(v.decide, []forming.Service{service}, d.vms...)
	settle := time.Hour
	s.wakeAll()
	until := settle + time.Duration(hours)*time.Hour
	s.addFaults(rand.New(rand.NewPCG(1, 2)), settle, until)
	more(s, settle)
	s.run(settle)
	s.downSeconds, s.strandedSeconds, s.loads = 0, 0, 0
	s.run(until)
	days := float64(hours) / 24
	return costs{down: s.downSeconds / 3600 / days, stranded: s.strandedSeconds / 3600 / days, loads: float64(s.loads) / days}
}

// ordinaryFaults adds no faults to the daily fault rates.
func ordinaryFaults(*sim, time.Duration) {}

// correlatedFaults adds faults that hit many VMs at once: a network failure that cuts off a domain for five
// minutes without loss of state, and a rack of twelve VMs that loses power for half an hour.
func correlatedFaults(s *sim, from time.Duration) {
	for _, v := range s.domains[0].vms {
		s.pause(v, from+time.Hour, 5*time.Minute)
	}
	for _, v := range s.domains[1].vms[:12] {
		s.fail(v, from+2*time.Hour, 30*time.Minute)
	}
}

// TestMeasureForming prints the figures of docs/measurements/forming.md. It asserts that Decide costs less
// than the baseline by the weights of each deployment, and causes less downtime.
func TestMeasureForming(t *testing.T) {
	RegisterTestingT(t)
	worlds := []struct {
		name string
		more func(*sim, time.Duration)
	}{{"ordinary", ordinaryFaults}, {"common causes", correlatedFaults}}
	for _, d := range deployments {
		for _, world := range worlds {
			base := costs{}
			for i, v := range variants {
				m := d.simulate(v, *measureHours, world.more)
				t.Logf("| %s | %s | %s | %.2f | %.0f | %.0f | %.0f |", d.name, world.name, v.name, m.down, m.stranded, m.loads, d.cost(m))
				if i == 0 {
					base = m
					continue
				}
				Expect(d.cost(m)).To(BeNumerically("<", d.cost(base)), d.name+", "+world.name+", "+v.name)
				Expect(m.down).To(BeNumerically("<", base.down), d.name+", "+world.name+", "+v.name)
			}
		}
	}
}

// TestMeasureFabricDomains prints the cost of keeping each group within one fabric domain, by comparing the
// same number of VMs and the same fault rates in six domains and in one.
func TestMeasureFabricDomains(t *testing.T) {
	RegisterTestingT(t)
	six := deployment{"6 domains of 35 VMs", 10, 1, []int{35, 35, 35, 35, 35, 35}}
	one := deployment{"1 domain of 210 VMs", 10, 1, []int{210}}
	apart := six.simulate(variants[1], *measureHours, ordinaryFaults)
	together := one.simulate(variants[1], *measureHours, ordinaryFaults)
	t.Logf("| %s | %.2f | %.0f |", six.name, apart.down, apart.stranded)
	t.Logf("| %s | %.2f | %.0f |", one.name, together.down, together.stranded)
	Expect(apart.stranded).To(BeNumerically(">", together.stranded))
}

var _ = Describe("One fault in virtual time", func() {
	// after returns the downtime in group-seconds that a fault causes at a settled service of ten groups.
	after := func(decide func(forming.View) forming.Plan, free int, fault func(s *sim, v *simVM, at time.Duration)) float64 {
		s := newSim(decide, []forming.Service{{
			Name: "language", Version: "m:1", GroupSize: 4, Replicas: 10, DowntimeWeight: 10, DrainTimeout: 5 * time.Minute,
		}}, 40+free)
		s.wakeAll()
		s.run(time.Hour)
		s.downSeconds = 0
		fault(s, s.domains[0].vm(s.domains[0].groups[0].Members[0].VM), time.Hour+10*time.Second)
		s.run(4 * time.Hour)
		return s.downSeconds
	}
	death := func(s *sim, v *simVM, at time.Duration) { s.fail(v, at, 2*time.Hour) }

	It("has a free VM cut the downtime after a death to a load and the patience before it", func() {
		with := after(forming.Decide, 1, death)
		without := after(forming.Decide, 0, death)
		GinkgoWriter.Printf("downtime after a death: %.0f s with a free VM, %.0f s without\n", with, without)
		Expect(with).To(BeNumerically("<=", (forming.SilenceGrace + simLoadTime + 10*time.Second).Seconds()))
		Expect(without).To(BeNumerically(">", 2*time.Hour.Seconds()))
	})

	// A VM stands still for five seconds while its host migrates it. Its group must not load again.
	It("lets a pause cost no more than the pause", func() {
		pause := func(s *sim, v *simVM, at time.Duration) { s.pause(v, at, 5*time.Second) }
		Expect(after(forming.Decide, 1, pause)).To(BeNumerically("<=", 6))
		Expect(after(baseline, 1, pause)).To(BeNumerically(">", simLoadTime.Seconds()))
	})

	// A switch fails, and all VMs of a domain are silent for five minutes but keep their state. Loading ten
	// groups again would take far longer than the fault itself.
	It("takes a domain that was cut off back as it was", func() {
		cut := func(s *sim, _ *simVM, at time.Duration) {
			for _, v := range s.domains[0].vms {
				s.pause(v, at, 5*time.Minute)
			}
		}
		decided, plain := after(forming.Decide, 0, cut), after(baseline, 0, cut)
		GinkgoWriter.Printf("downtime after a cut of 5 minutes of 10 groups: %.0f group-seconds, baseline %.0f\n", decided, plain)
		Expect(decided).To(BeNumerically("<=", 10*(5*time.Minute).Seconds()+10))
		Expect(plain).To(BeNumerically(">", 10*(5*time.Minute+simLoadTime).Seconds()))
	})
})
