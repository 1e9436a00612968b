package prober

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/entry/fleet"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

func TestProber(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Prober")
}

var group = vm.Group{
	ID: "g", State: vm.Serving, Epoch: 3,
	Members: []vm.Member{{VM: "a", Address: "a", BootID: "boot-a"}, {VM: "b", Address: "b", BootID: "boot-b"}},
}

// fakeCluster is a table of groups whose backend servers all answer.
type fakeCluster struct {
	engine.Client
	homed   []vm.Group
	reports []fleet.Report
}

func (w *fakeCluster) GroupsHomedAt(string) []vm.Group                     { return w.homed }
func (w *fakeCluster) Group(vm.GroupID) (vm.Group, platform.Version, bool) { return group, 1, true }
func (w *fakeCluster) ApplyReport(fleet.Report)                            {}
func (w *fakeCluster) Probe(_ context.Context, at string) (engine.State, error) {
	return engine.State{VM: vm.Name(at), BootID: vm.BootID("boot-" + at), Group: "g", Epoch: 3, Ready: true}, nil
}

func (w *fakeCluster) prober(paused *bool) (*Prober, *vm.Presence) {
	presence := vm.NewPresence()
	return New(Deps{
		Self: "self", Groups: w, Client: w, Presence: presence, Recorder: timeline.NewRecorder("self", nil, time.Now),
		LoadOf:    func(vm.GroupID) contract.GroupLoad { return contract.GroupLoad{} },
		Broadcast: func(r fleet.Report) { w.reports = append(w.reports, r) },
		Paused:    func() bool { return *paused }, RefreshInterval: func() time.Duration { return time.Hour },
	}), presence
}

var _ = Describe("A home", func() {
	// A group's home moves when an entry joins or leaves. Until the new home has probed the members it knows
	// nothing of them; it then rejected the callers of a service with one group, and told fronts that the group
	// was not whole.
	It("that has just become responsible for a group probes its members before it rejects requests or reports the group as not whole", func() {
		paused := false
		w := &fakeCluster{homed: []vm.Group{group}}
		p, presence := w.prober(&paused)
		p.probeAll()
		Expect(w.reports).To(BeEmpty())
		p.ProbeIfUnknown(group, vm.ReasonNoAnswer)
		whole, gap := presence.Whole(&group, time.Now())
		Expect(whole).To(BeTrue(), gap.String())
		Expect(w.reports[len(w.reports)-1].Statuses).To(HaveExactElements(HaveField("Whole", true)))
	})

	// The process was suspended for seconds. When it goes on, all answers that it holds are too old; it rejected the callers of
	// its groups and told fronts that they were not whole, until the members had answered again.
	It("that was suspended probes the members before it rejects requests or reports the group as not whole", func() {
		paused := false
		w := &fakeCluster{homed: []vm.Group{group}}
		p, presence := w.prober(&paused)
		p.probeAll()
		p.ProbeIfUnknown(group, vm.ReasonNoAnswer)
		reports := len(w.reports)
		time.Sleep(vm.FreshnessBound)
		_, gap := presence.Whole(&group, time.Now())
		Expect(gap.Reason).To(Equal(vm.ReasonStaleAnswer))
		p.probeAll()
		Expect(w.reports).To(HaveLen(reports))
		p.ProbeIfUnknown(group, gap.Reason)
		whole, gap := presence.Whole(&group, time.Now())
		Expect(whole).To(BeTrue(), gap.String())
	})

	It("that goes on probing does not wait for a member whose answer is too old", func() {
		paused := false
		w := &fakeCluster{homed: []vm.Group{group}}
		p, presence := w.prober(&paused)
		presence.Record(group.ID, "a", vm.ProbeAnswer{Sent: time.Now().Add(-vm.FreshnessBound), BootID: "boot-a", Group: "g", Epoch: 3, Ready: true})
		p.probeAll()
		p.ProbeIfUnknown(group, vm.ReasonStaleAnswer)
		_, gap := presence.Whole(&group, time.Now())
		Expect(gap.Reason).To(Equal(vm.ReasonStaleAnswer))
	})

	// Entries learn of the change some seconds apart. A front that has not learned of it yet sends to the old
	// home.
	It("that has handed over a group serves it for the handover period, unless it was suspended, and then forgets it", func() {
		paused := false
		w := &fakeCluster{homed: []vm.Group{group}}
		p, _ := w.prober(&paused)
		now := time.Now()
		p.updateTenures(w.homed, now)
		Expect(p.updateTenures(nil, now.Add(handoverPeriod-time.Millisecond))).To(ConsistOf(group.ID))
		Expect(p.RecentlyHomed(group.ID)).To(BeTrue())
		paused = true
		Expect(p.RecentlyHomed(group.ID)).To(BeFalse())
		paused = false
		Expect(p.updateTenures(nil, now.Add(handoverPeriod))).To(BeEmpty())
		Expect(p.RecentlyHomed(group.ID)).To(BeFalse())
	})
})
