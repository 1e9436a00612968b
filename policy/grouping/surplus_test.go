package grouping_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/grouping"
)

// shiftingFleet is nine fabric domains of 19 VMs, each with a group of 8 and two of 4, whose hosts hold the weights of either model.
func shiftingFleet() []grouping.Domain {
	var domains []grouping.Domain
	for i := range 9 {
		d := grouping.Domain{Name: fmt.Sprint("d", i), Total: 19, Groups: map[string]int{"large": 1, "small": 2}}
		group := func(name, model, other string, size int) {
			g := grouping.ServingGroup{Head: d.Name + name, Model: model}
			for n := range size {
				g.VMs = append(g.VMs, grouping.VM{ID: fmt.Sprint(d.Name, name, n), Staged: other, Loaded: model})
			}
			d.Serving = append(d.Serving, g)
		}
		group("a", "large", "small", 8)
		group("b", "small", "large", 4)
		group("c", "small", "large", 4)
		for n := range 3 {
			d.Free = append(d.Free, grouping.VM{ID: fmt.Sprint(d.Name, "f", n), Staged: "large"})
		}
		domains = append(domains, d)
	}
	return domains
}

// settle carries out conversions until none is planned, and returns the number of groups by model and of drained groups.
func settle(share bool, large, small float64) (counts map[string]int, drained int) {
	domains := shiftingFleet()
	in := grouping.Input{ShareSurplus: share, LoadsAtOnce: 21, Models: []grouping.Model{
		{Name: "large", Size: 8, Share: 0.5, LoadTime: 16 * time.Second, DemandGroups: large},
		{Name: "small", Size: 4, Share: 0.5, LoadTime: 12 * time.Second, DemandGroups: small},
	}}
	for range 50 {
		in.Domains = domains
		plan := grouping.Decide(in)
		if len(plan.Drain) == 0 {
			break
		}
		for _, drain := range plan.Drain {
			drained++
			i := slices.IndexFunc(domains, func(d grouping.Domain) bool { return d.Name == drain.Domain })
			d := &domains[i]
			g := slices.IndexFunc(d.Serving, func(g grouping.ServingGroup) bool { return g.Head == drain.Head })
			vms := d.Serving[g].VMs
			d.Serving = slices.Delete(d.Serving, g, g+1)
			d.Groups[drain.Model]--
			size := map[string]int{"large": 8, "small": 4}[drain.Recipient]
			for ; len(vms) >= size; vms = vms[size:] {
				formed := grouping.ServingGroup{Head: vms[0].ID, Model: drain.Recipient}
				for _, vm := range vms[:size] {
					formed.VMs = append(formed.VMs, grouping.VM{ID: vm.ID, Staged: drain.Model, Loaded: drain.Recipient})
				}
				d.Serving = append(d.Serving, formed)
				d.Groups[drain.Recipient]++
			}
		}
	}
	counts = make(map[string]int)
	for _, d := range domains {
		for model, n := range d.Groups {
			counts[model] += n
		}
	}
	return counts, drained
}

var _ = Describe("VMs that the demand leaves over", func() {
	// The small model's demand fills 14 groups and jumps to 21 for seconds; the large one's fills 3.7 of its 9. Loads take longer than the jump.
	It("are shared before a jump of one model's demand, so that it meets room", func() {
		kept, _ := settle(false, 3.7, 14)
		Expect(kept).To(Equal(map[string]int{"large": 9, "small": 18}))
		shared, _ := settle(true, 3.7, 14)
		Expect(shared["small"]).To(BeNumerically(">=", 20))
		Expect(shared["large"]).To(BeNumerically(">=", 6))
	})

	It("are not moved back and forth", func() {
		_, drained := settle(true, 3.7, 14)
		Expect(drained).To(BeNumerically("<=", 4))
		_, drained = settle(true, 5, 10)
		Expect(drained).To(BeZero())
	})

	It("change nothing while there is no surplus", func() {
		kept, drainedKept := settle(false, 9, 18)
		shared, drainedShared := settle(true, 9, 18)
		Expect(shared).To(Equal(kept))
		Expect(drainedShared).To(Equal(drainedKept))
	})
})
