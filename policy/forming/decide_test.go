package forming_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/forming"
)

func service(name string, size, replicas int) forming.Service {
	return forming.Service{
		Name: name, Version: "m:1", GroupSize: size, Replicas: replicas,
		DowntimeWeight: 10, StrandedWeight: 0, DrainTimeout: time.Minute,
	}
}

// vms returns responding, free VMs named v1, v2 and so on.
func vms(count int) []forming.VM {
	list := make([]forming.VM, 0, count)
	for i := range count {
		name := fmt.Sprintf("v%d", i+1)
		list = append(list, forming.VM{Name: name, Accelerators: 8, Listed: true, Responding: true, BootID: "b-" + name})
	}
	return list
}

// addServingGroup puts the VMs from..from+size-1 of the view into a serving group.
func addServingGroup(v *forming.View, id string, s forming.Service, from int) {
	g := forming.Group{ID: id, Service: s.Name, Version: s.Version, State: forming.Serving, Epoch: 1, HomeReported: true}
	for i := from; i < from+s.GroupSize; i++ {
		vm := &v.VMs[i]
		vm.Group, vm.Epoch, vm.Ready = id, 1, true
		g.Members = append(g.Members, forming.Member{VM: vm.Name, BootID: vm.BootID})
	}
	v.Groups = append(v.Groups, g)
}

// formatSteps formats steps as "kind group members" for comparison.
func formatSteps(steps []forming.Step) []string {
	lines := make([]string, 0, len(steps))
	for _, s := range steps {
		line := string(s.Kind)
		if s.Group != "" {
			line += " " + s.Group
		}
		for _, m := range s.Members {
			line += " " + m
		}
		if s.VM != "" {
			line += " aside " + s.VM
		}
		lines = append(lines, line)
	}
	return lines
}

var _ = Describe("Tracker", func() {
	It("counts for how long a home is blind to a group in which nothing is wrong", func() {
		s := service("chat", 2, 1)
		observe := func(t *forming.Tracker, now time.Duration, change func(v *forming.View)) time.Duration {
			v := forming.View{Services: []forming.Service{s}, VMs: vms(2)}
			addServingGroup(&v, "g1", s, 0)
			change(&v)
			t.Observe(now, &v)
			return v.Groups[0].HomeCutOffFor
		}
		cut := func(v *forming.View) { v.Groups[0].HomeNotWhole = true }
		t := forming.NewTracker()
		for second, c := range []struct {
			change func(v *forming.View)
			blind  time.Duration
		}{
			{cut, 0},
			{cut, 1},
			{func(v *forming.View) {}, 0},
			{cut, 1},
			{cut, 2},
			{func(v *forming.View) { cut(v); v.VMs[1].Ready = false }, 0},
			{func(v *forming.View) { cut(v); v.VMs[0].Responding = false }, 0},
		} {
			Expect(observe(t, time.Duration(second)*time.Second, c.change)).To(Equal(c.blind*time.Second), "at %d", second)
		}
	})
})

var _ = Describe("Decide", func() {
	// Each case starts from one serving group g1 of v1 and v2, with v3 free, and changes one thing.
	DescribeTable("one fault at a serving group",
		func(change func(v *forming.View), want ...string) {
			s := service("chat", 2, 1)
			v := forming.View{Domain: "d1", Services: []forming.Service{s}, VMs: vms(3), LoadAllowed: true}
			addServingGroup(&v, "g1", s, 0)
			change(&v)
			Expect(formatSteps(forming.Decide(v).Steps)).To(Equal(append([]string{}, want...)))
		},
		Entry("nothing", func(*forming.View) {}),
		Entry("a pause is waited out", func(v *forming.View) {
			v.VMs[1].Responding, v.VMs[1].SilentFor = false, forming.SilenceGrace-1
		}),
		Entry("a dead member is replaced", func(v *forming.View) {
			v.VMs[1].Responding, v.VMs[1].SilentFor = false, forming.SilenceGrace
		}, "dissolve g1", "form v1 v3"),
		Entry("silent for the controller only", func(v *forming.View) {
			v.VMs[1].Responding, v.VMs[1].SilentFor = false, forming.SilenceGrace
			v.Groups[0].HomeWhole = true
		}),
		Entry("dead, and no VM free: its return is waited for", func(v *forming.View) {
			v.VMs[1].Responding, v.VMs[1].SilentFor = false, forming.SilenceGrace
			v.VMs[2].Leaving = true
		}, "mark g1"),
		Entry("dead, and the other member leaves: nothing is left to wait for", func(v *forming.View) {
			v.VMs[1].Responding, v.VMs[1].SilentFor = false, forming.SilenceGrace
			v.VMs[0].Leaving, v.VMs[2].Leaving = true, true
		}, "dissolve g1"),
		Entry("silent for the controller only, and listed as leaving", func(v *forming.View) {
			v.VMs[1].Responding, v.VMs[1].SilentFor, v.VMs[1].Leaving = false, forming.SilenceGrace, true
			v.Groups[0].HomeWhole = true
		}, "drain g1"),
		Entry("restarted under the same address: ordered again at once", func(v *forming.View) {
			v.VMs[1].BootID, v.VMs[1].Group, v.VMs[1].Ready = "b2", "", false
		}, "dissolve g1", "form v1 v2"),
		Entry("obeyed an order of an older controller", func(v *forming.View) { v.VMs[1].Group = "g0" },
			"dissolve g1", "form v1 v2"),
		Entry("its home can't reach it for a while", func(v *forming.View) {
			v.Groups[0].HomeNotWhole, v.Groups[0].HomeCutOffFor = true, forming.HomeCutOffGrace-1
		}),
		Entry("its home can't reach it for long, though nothing is wrong with it", func(v *forming.View) {
			v.Groups[0].HomeNotWhole, v.Groups[0].HomeCutOffFor = true, forming.HomeCutOffGrace
		}, "drain g1"),
		Entry("a leaving member drains its group", func(v *forming.View) { v.VMs[1].Leaving = true }, "drain g1"),
		Entry("the list lags: a member not listed for a moment", func(v *forming.View) {
			v.VMs[1].Listed, v.VMs[1].UnlistedFor = false, forming.UnlistedGrace-1
		}),
		Entry("service removed", func(v *forming.View) { v.Services = nil }, "drain g1"),
		Entry("new version, no room beside the only replica", func(v *forming.View) { v.Services[0].Version = "m:2" }),
		Entry("new version with room", func(v *forming.View) {
			v.Services[0].Version = "m:2"
			v.VMs = append(v.VMs, forming.VM{Name: "v4", Listed: true, Responding: true})
		}, "form v3 v4"),
	)

	DescribeTable("the life of a group",
		func(change func(v *forming.View), want ...string) {
			s := service("chat", 2, 1)
			v := forming.View{Domain: "d1", Services: []forming.Service{s}, VMs: vms(2), LoadAllowed: true}
			addServingGroup(&v, "g1", s, 0)
			change(&v)
			Expect(formatSteps(forming.Decide(v).Steps)).To(Equal(append([]string{}, want...)))
		},
		Entry("none yet", func(v *forming.View) { v.Groups = nil }, "form v1 v2"),
		Entry("formed", func(v *forming.View) { v.Groups[0].State = forming.Forming }, "load g1"),
		Entry("formed, but the pace says wait", func(v *forming.View) {
			v.Groups[0].State = forming.Forming
			v.LoadAllowed = false
		}),
		Entry("loading", func(v *forming.View) {
			v.Groups[0].State = forming.Loading
			v.VMs[0].Ready = false
		}),
		Entry("loaded", func(v *forming.View) { v.Groups[0].State = forming.Loading }, "serve g1"),
		Entry("drains, requests in progress", func(v *forming.View) {
			v.Groups[0].State = forming.Draining
			v.Groups[0].InProgress = 1
		}),
		Entry("drains, home silent", func(v *forming.View) {
			v.Groups[0].State = forming.Draining
			v.Groups[0].HomeReported = false
		}),
		Entry("drains, head still busy for an earlier home", func(v *forming.View) {
			v.Groups[0].State = forming.Draining
			v.VMs[0].Running = 1
		}),
		Entry("drains, head gone, so that it can't say what it runs", func(v *forming.View) {
			v.Groups[0].State, v.Groups[0].HomeReported = forming.Draining, false
			v.VMs[0].Responding, v.VMs[0].Listed, v.VMs[0].SilentFor = false, false, forming.SilenceGrace
		}, "release g1"),
		Entry("drains, a member restarted: nothing is left to drain", func(v *forming.View) {
			v.Groups[0].State, v.Groups[0].InProgress = forming.Draining, 1
			v.VMs[1].BootID, v.VMs[1].Group, v.VMs[1].Ready = "b2", "", false
		}, "release g1"),
		Entry("drains, a member silent: it may go on", func(v *forming.View) {
			v.Groups[0].State, v.Groups[0].InProgress = forming.Draining, 1
			v.VMs[1].Responding, v.VMs[1].SilentFor = false, forming.SilenceGrace
		}),
		Entry("drained", func(v *forming.View) { v.Groups[0].State = forming.Draining }, "release g1"),
		Entry("drains, one member leaves and the other is silent: requests may yet finish", func(v *forming.View) {
			v.Groups[0].State, v.Groups[0].InProgress = forming.Draining, 1
			v.VMs[0].Leaving = true
			v.VMs[1].Responding, v.VMs[1].SilentFor = false, forming.CorrelatedSilenceGrace
		}),
		Entry("drain timeout", func(v *forming.View) {
			v.Groups[0].State, v.Groups[0].InProgress, v.Groups[0].InState = forming.Draining, 1, time.Minute
		}, "release g1"),
		Entry("released", func(v *forming.View) {
			v.Groups[0].State = forming.Draining
			v.VMs[0].Group, v.VMs[1].Group = "", ""
		}, "dissolve g1", "form v1 v2"),
	)
})
