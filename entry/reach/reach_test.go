package reach_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/reach"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

func TestReach(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reach")
}

// cluster simulates several entries in virtual time. The connection of each to the platform can be cut.
type cluster struct {
	now     time.Time
	names   []string
	entries map[string]*reach.Tracker
	cutOff  map[string]bool
	// probes counts the probes that the entries send.
	probes int
}

func newCluster(names ...string) *cluster {
	w := &cluster{now: time.Unix(1_700_000_000, 0), names: names, entries: map[string]*reach.Tracker{}, cutOff: map[string]bool{}}
	for _, name := range names {
		w.entries[name] = reach.New(name, func() time.Time { return w.now },
			func(c reach.Announcement) {
				for other, r := range w.entries {
					if other != c.Entry {
						r.HandleAnnouncement(c)
					}
				}
			},
			func(context.Context) error {
				w.probes++
				return w.call(name)
			})
	}
	return w
}

func (w *cluster) call(name string) error {
	if w.cutOff[name] {
		return platform.ErrUnavailable
	}
	return nil
}

// run advances the clock by d. The busy entries call the platform every second, as controllers do.
func (w *cluster) run(d time.Duration, busy ...string) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Second) {
		for _, name := range busy {
			w.entries[name].RecordResult(w.call(name))
		}
		for _, name := range w.names {
			w.entries[name].Tick(context.Background())
		}
	}
}

func (w *cluster) usable(name string) []string { return w.entries[name].Usable(w.names) }

var _ = Describe("Reach", func() {
	var w *cluster
	BeforeEach(func() {
		w = newCluster("a", "b", "c")
		w.run(20*time.Second, "a", "b")
	})

	It("sends no probes while all calls succeed", func() {
		Expect(w.probes).To(BeZero())
		Expect(w.usable("c")).To(Equal(w.names))
	})

	// Only the controller of a fabric domain is cut off from the platform; its peers can still reach it.
	It("excludes the only entry that is cut off, and includes it again afterwards", func() {
		w.cutOff["a"] = true
		w.run(15*time.Second, "a", "b")
		for _, name := range w.names {
			Expect(w.usable(name)).To(Equal([]string{"b", "c"}), name)
		}
		w.cutOff["a"] = false
		w.run(3*time.Second, "b")
		for _, name := range w.names {
			Expect(w.usable(name)).To(Equal(w.names), name)
		}
	})

	// After a platform outage each entry should resume what it owned, and none should take over from another.
	It("excludes nobody during or after a platform outage", func() {
		for _, name := range w.names {
			w.cutOff[name] = true
		}
		w.run(30*time.Second, "a", "b")
		for _, name := range w.names {
			Expect(w.usable(name)).NotTo(HaveLen(1), name)
		}
		w.cutOff = map[string]bool{}
		for range 15 {
			w.run(time.Second, "b")
			Expect(w.usable("b")).To(Equal(w.names))
			Expect(w.usable("c")).To(ContainElements("a", "b"))
		}
		Expect(w.usable("a")).To(Equal(w.names))
	})

	It("counts a rejection by the platform as a response, and ignores the local rate limit", func() {
		for range 20 {
			w.entries["a"].RecordResult(platform.ErrConflict)
			w.entries["b"].RecordResult(platform.ErrThrottled)
			w.run(time.Second)
		}
		Expect(w.usable("a")).To(Equal(w.names))
		Expect(w.usable("b")).To(Equal(w.names))
	})
})
