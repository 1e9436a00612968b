package controller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkpond/skylarkpond/entry/controller"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/forming"
	"github.com/skylarkpond/skylarkpond/vm"
)

// The platform accepts several hundred writes per second in total. A regression here shows first as throttled claims
// of non-repeatable requests.
var _ = Describe("Platform calls", func() {
	// calls returns the number of writes and of placement reads until the domain is stable after a change.
	calls := func(w *world, c *controller.Controller, change func()) (writes, reads int) {
		before := len(w.history)
		w.gets[platform.KindPlacement] = 0
		change()
		rounds(w, c, 30)
		return len(w.history) - before, w.gets[platform.KindPlacement]
	}

	It("are few for each change, and one read of the list a round without any", func() {
		w := newWorld(3)
		c := w.entry("a")
		writes, reads := calls(w, c, func() {})
		Expect(writes).To(Equal(4), "take over, form, load, serve")
		Expect(reads).To(Equal(1))

		w.gets[platform.KindVMs] = 0
		writes, reads = calls(w, c, func() {})
		Expect([]int{writes, reads}).To(Equal([]int{0, 0}))
		Expect(w.gets[platform.KindVMs]).To(Equal(30))

		writes, reads = calls(w, c, func() { w.engine("v1").silent = true })
		Expect(writes).To(Equal(3), "dissolve and form, load, serve")
		Expect(reads).To(Equal(1))

		writes, reads = calls(w, c, func() {
			w.changeVMs(func(v *vm.VM) { v.Leaving = v.Name == "v2" })
		})
		Expect(writes).To(Equal(1+2), "the list itself; drain, dissolve")
		Expect(reads).To(Equal(2))
	})
})

var _ = Describe("Measures", func() {
	It("count the time of a missing replica and of idle accelerators", func() {
		w := newWorld(3)
		c := w.entry("a")
		rounds(w, c, 4)
		counter := func(name string) time.Duration {
			return time.Duration(metrics.GetOrRegisterCounter(name, w.metrics).Count()) * time.Millisecond
		}
		down, stranded := counter(controller.MetricGroupDowntime+"chat"), counter(controller.MetricStrandedTime)
		rounds(w, c, 10)
		Expect(counter(controller.MetricGroupDowntime + "chat")).To(Equal(down))
		Expect(counter(controller.MetricStrandedTime) - stranded).To(Equal(10 * 8 * controller.RoundInterval))

		w.engine("v1").silent = true
		down = counter(controller.MetricGroupDowntime + "chat")
		rounds(w, c, int(forming.SilenceGrace/controller.RoundInterval)-1)
		Expect(counter(controller.MetricGroupDowntime+"chat") - down).To(Equal(forming.SilenceGrace - controller.RoundInterval))
		Expect(c.Status()[0].Down).To(Equal(map[string]int{"chat": 1}))
	})

	// An entry loses a domain while a replica is missing there. If the gauge of the missing replica stayed at 1, an alert
	// on it would page an operator about a replica that serves again.
	It("remove their gauges when the entry loses the domain", func() {
		w := newWorld(2)
		d := w.deps("a")
		c := controller.New(d)
		rounds(w, c, 1)
		gauges := func() (names []string) {
			d.Metrics.Each(func(name string, metric any) {
				if _, ok := metric.(metrics.Gauge); ok {
					names = append(names, name)
				}
			})
			return names
		}
		Expect(gauges()).To(ConsistOf(controller.MetricGroupsDown+"chat."+fabric, controller.MetricStrandedAccelerators+fabric))
		d.Membership.(*owners).live = nil
		rounds(w, c, 1)
		Expect(gauges()).To(BeEmpty())
	})

	// The platform returns an empty VM list. A controller that trusted it would drain every replica.
	It("ignores an empty list while members respond", func() {
		w := newWorld(2)
		c := w.entry("a")
		rounds(w, c, 3)
		w.mustSet(platform.KindVMs, vm.List{})
		rounds(w, c, int(forming.UnlistedGrace/controller.RoundInterval)+5)
		Expect(groups(w)).To(Equal([]string{"serving: v1 v2"}))
		Expect(c.Status()[0].Problem).To(ContainSubstring("lists no VMs"))
	})
})
