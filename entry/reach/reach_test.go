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

// world is some entries, each with a way to the platform that can be cut, in virtual time.
type world struct {
	now     time.Time
	names   []string
	entries map[string]*reach.Tracker
	cut     map[string]bool
	// calls counts those that the entries make to find out.
	calls int
}

func newWorld(names ...string) *world {
	w := &world{now: time.Unix(1_700_000_000, 0), names: names, entries: map[string]*reach.Tracker{}, cut: map[string]bool{}}
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
				w.calls++
				return w.call(name)
			})
	}
	return w
}

func (w *world) call(name string) error {
	if w.cut[name] {
		return platform.ErrUnavailable
	}
	return nil
}

// run lets time go by. Those who are busy call the platform every second, as controllers do.
func (w *world) run(d time.Duration, busy ...string) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Second) {
		for _, name := range busy {
			w.entries[name].RecordResult(w.call(name))
		}
		for _, name := range w.names {
			w.entries[name].Tick(context.Background())
		}
	}
}

func (w *world) usable(name string) []string { return w.entries[name].Usable(w.names) }

var _ = Describe("Reach", func() {
	var w *world
	BeforeEach(func() {
		w = newWorld("a", "b", "c")
		w.run(20*time.Second, "a", "b")
	})

	It("costs no call while nothing is wrong", func() {
		Expect(w.calls).To(BeZero())
		Expect(w.usable("c")).To(Equal(w.names))
	})

	// The controller of a fabric domain is cut off from the platform, and only it. Its peers hear it as ever.
	It("leaves out an entry that alone is cut off, and takes it back", func() {
		w.cut["a"] = true
		w.run(15*time.Second, "a", "b")
		for _, name := range w.names {
			Expect(w.usable(name)).To(Equal([]string{"b", "c"}), name)
		}
		w.cut["a"] = false
		w.run(3*time.Second, "b")
		for _, name := range w.names {
			Expect(w.usable(name)).To(Equal(w.names), name)
		}
	})

	// The platform is out, and comes back. Nobody should take over from anybody: each goes on.
	It("leaves nobody out in an outage, or after it", func() {
		for _, name := range w.names {
			w.cut[name] = true
		}
		w.run(30*time.Second, "a", "b")
		for _, name := range w.names {
			Expect(w.usable(name)).NotTo(HaveLen(1), name)
		}
		w.cut = map[string]bool{}
		for range 15 {
			w.run(time.Second, "b")
			Expect(w.usable("b")).To(Equal(w.names))
			Expect(w.usable("c")).To(ContainElements("a", "b"))
		}
		Expect(w.usable("a")).To(Equal(w.names))
	})

	It("takes a refusal that is the platform's word for an answer, and the own rate limit for nothing", func() {
		for range 20 {
			w.entries["a"].RecordResult(platform.ErrConflict)
			w.entries["b"].RecordResult(platform.ErrThrottled)
			w.run(time.Second)
		}
		Expect(w.usable("a")).To(Equal(w.names))
		Expect(w.usable("b")).To(Equal(w.names))
	})
})
