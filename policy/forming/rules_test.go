package forming_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/forming"
)

// The view has eight VMs v1 to v8. g1 (v1, v2) and g2 (v3, v4) serve the only service, which wants two
// replicas; the other VMs are free.
var _ = DescribeTable("rules over groups", func(change func(v *forming.View), want ...string) {
	s := service("chat", 2, 2)
	v := forming.View{Domain: "d1", Services: []forming.Service{s}, VMs: vms(8), LoadAllowed: true}
	addServingGroup(&v, "g1", s, 0)
	addServingGroup(&v, "g2", s, 2)
	change(&v)
	Expect(formatSteps(forming.Decide(v).Steps)).To(Equal(append([]string{}, want...)))
},
	Entry("free VMs make an extra group", func(*forming.View) {}, "form v5 v6"),
	Entry("but for the spares that the settings ask for", func(v *forming.View) { v.Services[0].Spares = 3 }),
	Entry("exactly what is wanted, where nothing else weighs", func(v *forming.View) { v.Services[0].DowntimeWeight = 0 }),
	Entry("a VM in a restart loop is taken last", func(v *forming.View) { v.VMs[4].Restarts = 3 }, "form v6 v7"),
	Entry("a dedicated VM is taken for its own service only", func(v *forming.View) { v.VMs[4].DedicatedTo = "desk" }, "form v6 v7"),
	Entry("an extra group makes room for a service that misses one", func(v *forming.View) {
		v.Services = append(v.Services, service("draft", 6, 1))
		v.Services[0].Replicas = 1
	}, "drain g1"),
	Entry("too many groups, where nothing else weighs", func(v *forming.View) {
		v.Services[0].DowntimeWeight, v.Services[0].Replicas = 0, 1
		v.Groups[0].InState, v.Groups[0].InProgress = forming.ExcessGroupGrace, 1
		v.Groups[1].InState = forming.ExcessGroupGrace
	}, "drain g2"),
	Entry("too many groups, but only for a moment: two controllers' views may differ", func(v *forming.View) {
		v.Services[0].DowntimeWeight, v.Services[0].Replicas = 0, 1
		v.Groups[0].InState, v.Groups[1].InState = forming.ExcessGroupGrace-1, forming.ExcessGroupGrace-1
	}),
	Entry("survivors of two broken groups make one whole", func(v *forming.View) {
		v.VMs = v.VMs[:4]
		for _, i := range []int{0, 2} {
			v.VMs[i].Responding, v.VMs[i].SilentFor = false, forming.CorrelatedSilenceGrace
		}
	}, "dissolve g1", "dissolve g2", "form v2 v4"),
	Entry("a third of the domain silent at once is the network", func(v *forming.View) {
		for i := range 3 {
			v.VMs[i].Responding, v.VMs[i].SilentFor = false, forming.CorrelatedSilenceGrace-1
		}
	}, "form v5 v6"),
	Entry("a dark domain keeps its groups, and tells the others", func(v *forming.View) {
		for i := range v.VMs {
			v.VMs[i].Responding, v.VMs[i].SilentFor = false, forming.CorrelatedSilenceGrace
		}
	}, "mark g1", "mark g2"),
	Entry("a group that is not whole stays so while a member is silent", func(v *forming.View) {
		v.VMs = v.VMs[:4]
		v.Groups[1].NotWhole = true
		v.VMs[2].Responding = false
	}),
	Entry("a group that came back whole is told, too", func(v *forming.View) {
		v.VMs = v.VMs[:4]
		v.Groups[1].NotWhole = true
	}, "mark g2"),
)

var _ = Describe("Loads", func() {
	// A rack returns, and two services lack replicas. The one without any replica loads first: its callers
	// get no service at all, while those of the other only wait a little longer.
	It("start with the service that has no replica left", func() {
		many, none := service("chat", 1, 50), service("desk", 1, 3)
		many.DowntimeWeight = 50
		v := forming.View{Domain: "d1", Services: []forming.Service{many, none}, VMs: vms(4), LoadAllowed: true}
		addServingGroup(&v, "g1", many, 0)
		addServingGroup(&v, "g2", many, 1)
		addServingGroup(&v, "g3", none, 2)
		v.Groups[1].State, v.Groups[2].State = forming.Forming, forming.Forming
		Expect(formatSteps(forming.Decide(v).Steps)).To(ContainElement("load g3"))
		v.LoadAllowed = false
		plan := forming.Decide(v)
		Expect(formatSteps(plan.Steps)).NotTo(ContainElement(HavePrefix("load")))
		Expect(plan.BlockedReasons).To(HaveKey("desk"))
	})

	It("keep the pace of the weight store, shared with the other domains that wait", func() {
		s := service("chat", 4, 50)
		s.LoadsPerMinute = 16
		p := forming.Pacer{}
		Expect(p.Allowed(0)).To(BeTrue())
		p.Started(0, s, 2)
		Expect(p.Allowed(30*time.Second - 1)).To(BeFalse())
		Expect(p.Allowed(30 * time.Second)).To(BeTrue())
	})
})

// A throttled accelerator slows its whole group, since each step waits for it. Callers of that replica miss
// their deadlines although every probe succeeds.
var _ = DescribeTable("stragglers", func(change func(v *forming.View), want ...string) {
	s := service("chat", 2, 3)
	v := forming.View{Domain: "d1", Services: []forming.Service{s}, VMs: vms(7), LoadAllowed: true}
	for i, id := range []string{"g1", "g2", "g3"} {
		addServingGroup(&v, id, s, 2*i)
		v.Groups[i].TokenGap = 30 * time.Millisecond
		v.VMs[2*i].StepTime, v.VMs[2*i+1].StepTime = 10*time.Millisecond, 10*time.Millisecond
	}
	v.Groups[1].TokenGap = 70 * time.Millisecond
	v.VMs[3].StepTime = 25 * time.Millisecond
	change(&v)
	tracker := forming.NewTracker()
	for now := time.Duration(0); now <= forming.SlowGroupMinDuration; now += time.Second {
		tracker.Observe(now, &v)
	}
	Expect(formatSteps(forming.Decide(v).Steps)).To(Equal(append([]string{}, want...)))
},
	Entry("the slowest member is set aside", func(*forming.View) {}, "drain g2 aside v4"),
	Entry("slow, but not by far", func(v *forming.View) { v.Groups[1].TokenGap = 55 * time.Millisecond }),
	Entry("no VM free: a slow replica is better than none", func(v *forming.View) { v.VMs = v.VMs[:6] }),
	Entry("another replica is missing already", func(v *forming.View) { v.Services[0].Replicas = 4 }),
	Entry("no member stands out", func(v *forming.View) { v.VMs[2].StepTime = 20 * time.Millisecond }),
	Entry("too few groups to tell", func(v *forming.View) { v.Groups[2].TokenGap = 0 }),
)

var _ = Describe("Tracker", func() {
	// The VM of the controller is paused for a minute, and the first probes after the pause fail. The
	// controller must not take this for a minute of silence and replace every VM.
	It("counts only what it saw", func() {
		t := forming.NewTracker()
		v := forming.View{VMs: vms(1)}
		t.Observe(0, &v)
		v.VMs[0].Responding = false
		t.Observe(time.Minute, &v)
		Expect(v.VMs[0].SilentFor).To(Equal(forming.MaxObservedGap))
		t.Observe(time.Minute+time.Second, &v)
		Expect(v.VMs[0].SilentFor).To(Equal(forming.MaxObservedGap + time.Second))
	})

	It("remembers restarts for a while", func() {
		t := forming.NewTracker()
		v := forming.View{VMs: vms(1)}
		t.Observe(0, &v)
		v.VMs[0].BootID = "again"
		t.Observe(time.Second, &v)
		Expect(v.VMs[0].Restarts).To(Equal(1))
		t.Observe(2*time.Second+forming.RestartWindow, &v)
		Expect(v.VMs[0].Restarts).To(BeZero())
	})
})

var _ = It("accounts for what is down and what is stranded", func() {
	s := service("chat", 2, 2)
	v := forming.View{Domain: "d1", Services: []forming.Service{s}, VMs: vms(5)}
	addServingGroup(&v, "g1", s, 0)
	addServingGroup(&v, "g2", s, 2)
	v.VMs[0].Responding = false
	plan := forming.Decide(v)
	Expect(plan.DownGroups).To(Equal(map[string]int{"chat": 1}))
	Expect(plan.StrandedAccelerators).To(Equal(16))
})
