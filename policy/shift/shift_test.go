package shift

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const sec = time.Second

func TestShift(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Shifting")
}

var _ = Describe("A ramp", func() {
	It("grows from its floor to 1 within its window", func() {
		r := Ramp{Floor: 0.2, Window: 10 * sec}
		Expect(r.Share(-sec)).To(Equal(0.2))
		Expect(r.Share(5 * sec)).To(BeNumerically("~", 0.6, 1e-9))
		Expect(r.Share(10 * sec)).To(Equal(1.0))
		Expect(Ramp{Floor: 0.2}.Share(0)).To(Equal(1.0))
	})
})

type checked interface{ Check() error }

var _ = DescribeTable("A configuration out of range is refused", func(c checked) {
	Expect(errors.Is(c.Check(), ErrRange)).To(BeTrue())
},
	Entry("floor", Ramp{Window: sec}),
	Entry("window", Ramp{Floor: 1, Window: time.Hour}),
	Entry("hold", HoldConfig{Hold: time.Hour}),
	Entry("longest hold", HoldConfig{Hold: sec}),
	Entry("forget", HoldConfig{Hold: sec, MaxHold: sec}),
)

var _ = Describe("Homes", func() {
	var h *FlapDamper
	BeforeEach(func() {
		Expect(DefaultHoldConfig().Check()).To(Succeed())
		Expect(DefaultRamp().Check()).To(Succeed())
		h = NewFlapDamper(DefaultHoldConfig(), "a")
		h.Observe(0, []string{"a", "b", "c", "d", "e"})
	})

	It("are all but the own entry at its start, and a new one after a while", func() {
		Expect(h.Eligible(0)).To(Equal([]string{"b", "c", "d", "e"}))
		next, found := h.NextChange(0)
		Expect(found).To(BeTrue())
		Expect(next).To(Equal(DefaultHold))
		Expect(h.Eligible(next)).To(Equal([]string{"a", "b", "c", "d", "e"}))
		h.Observe(10*sec, []string{"a", "b", "c", "d", "e", "f"})
		Expect(h.Eligible(14 * sec)).NotTo(ContainElement("f"))
		Expect(h.Eligible(15 * sec)).To(ContainElement("f"))
	})

	It("leave out an entry that goes, at once, and longer each time, and forgive it", func() {
		now := 10 * sec
		for _, hold := range []time.Duration{5, 20, 80, 120, 120} {
			h.Observe(now, []string{"a", "c", "d", "e"})
			Expect(h.Eligible(now)).NotTo(ContainElement("b"))
			now += sec
			h.Observe(now, []string{"a", "b", "c", "d", "e"})
			Expect(h.Eligible(now + hold*sec - 1)).NotTo(ContainElement("b"))
			Expect(h.Eligible(now + hold*sec)).To(ContainElement("b"))
			now += sec
		}
		now += DefaultForgetAfter
		h.Observe(now, []string{"a", "b", "c", "d", "e"})
		h.RecordAbsence(now, "b")
		Expect(h.Eligible(now)).NotTo(ContainElement("b"))
		Expect(h.Eligible(now + DefaultHold)).To(ContainElement("b"))
	})

	// The own VM was cut off. All others seem to come back at once; were they held back, this entry would
	// call itself the home of every group.
	It("are all live ones while fewer than half are steady", func() {
		h.Observe(10*sec, []string{"a"})
		Expect(h.Eligible(10 * sec)).To(Equal([]string{"a"}))
		h.Observe(13*sec, []string{"a", "b", "c", "d", "e"})
		Expect(h.Eligible(13 * sec)).To(Equal([]string{"b", "c", "d", "e"}))
	})

	It("are live, and there is one if any entry is live, and the table is bounded", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := NewFlapDamper(DefaultHoldConfig(), "a")
			now := time.Duration(0)
			for range rapid.IntRange(1, 50).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * sec
				name := rapid.StringMatching("[a-h]")
				live := rapid.SliceOfNDistinct(name, 0, 8, rapid.ID[string]).Draw(t, "live")
				h.Observe(now, live)
				steady := h.Eligible(now)
				if len(live) > 0 && len(steady) == 0 {
					t.Fatal("no home")
				}
				for _, name := range steady {
					if !slices.Contains(live, name) {
						t.Fatalf("%s is home and not live", name)
					}
				}
			}
			h.Observe(now+DefaultForgetAfter, nil)
			h.Observe(now+2*DefaultForgetAfter, nil)
			if len(h.entries) > 0 {
				t.Fatalf("%d entries kept", len(h.entries))
			}
		})
	})
})

// The model: entries that see each other go and come a little late, each at its own moment, and groups
// whose home each entry computes by rendezvous. A group is not served for a second after its home moved,
// and where a front and the home it sends to disagree, the front is refused.
const (
	entryCount = 13
	groupCount = 50
	tick       = 100 * time.Millisecond
	takeover   = sec
	played     = 300 * sec
)

type kind uint8

const (
	paused    kind = iota // keeps what it knows, and learns that it was declared dead
	restarted             // knows nothing
	cutOff                // each side sees the other go
)

type outage struct {
	entry    int
	from, to time.Duration
	kind     kind
}

type churn struct {
	name    string
	outages []outage
}

func flapping(name string, every, gone time.Duration) churn {
	c := churn{name: name}
	for at := 20 * sec; at < played-every; at += every {
		c.outages = append(c.outages, outage{entry: 3, from: at, to: at + gone})
	}
	return c
}

func rolling() churn {
	c := churn{name: "each restarts once, 10 s each, every 20 s"}
	for e := range entryCount {
		at := 20*sec + time.Duration(e)*20*sec
		c.outages = append(c.outages, outage{entry: e, from: at, to: at + 10*sec, kind: restarted})
	}
	return c
}

type shifted struct {
	moves           int
	down, disagreed float64 // shares of the group-time
}

func (s shifted) String() string {
	return fmt.Sprintf("%5d | %6.3f | %6.3f", s.moves, 100*s.down, 100*s.disagreed)
}

// weights are those of the rendezvous of groups over entries.
var weights = func() (w [groupCount][entryCount]uint64) {
	r := rand.New(rand.NewPCG(7, 7))
	for g := range w {
		for e := range w[g] {
			w[g][e] = r.Uint64()
		}
	}
	return w
}()

func name(e int) string { return string(rune('a' + e)) }

// owners returns the home of each group among named entries.
func owners(names []string) (homes [groupCount]int) {
	for g := range homes {
		homes[g] = -1
		for _, n := range names {
			if e := int(n[0] - 'a'); homes[g] < 0 || weights[g][e] > weights[g][homes[g]] {
				homes[g] = e
			}
		}
	}
	return homes
}

func watch(c churn, hold bool) shifted {
	random := rand.New(rand.NewPCG(1, 1))
	config := DefaultHoldConfig()
	if !hold {
		config = HoldConfig{}
	}
	views := make([]*FlapDamper, entryCount)
	late := make([]time.Duration, entryCount)
	for e := range views {
		late[e] = 300*time.Millisecond + time.Duration(random.IntN(1200))*time.Millisecond
		views[e] = NewFlapDamper(config, name(e))
		views[e].Observe(-time.Minute, seenBy(c, e, -time.Minute))
	}
	var result shifted
	var homes [groupCount]int
	var movedAt [groupCount]time.Duration
	var of [entryCount][groupCount]int
	var last [entryCount][]string
	total := 0.0
	for now := time.Duration(0); now < played; now += tick {
		var up [entryCount]bool
		for e := range views {
			comeBack(c, views, e, now, config)
			up[e] = !isGone(c, e, now)
			views[e].Observe(now, seenBy(c, e, now-late[e]))
			if steady := views[e].Eligible(now); !slices.Equal(steady, last[e]) {
				last[e], of[e] = steady, owners(steady)
			}
		}
		for g := range groupCount {
			// The home that counts is what most entries say.
			home := majority(&of, &up, g)
			if home != homes[g] && now > 0 {
				result.moves++
				movedAt[g] = now
			}
			homes[g] = home
			total++
			if movedAt[g] > 0 && now-movedAt[g] < takeover {
				result.down++
			}
			for e := range of {
				if up[e] && of[e][g] != home {
					result.disagreed += 1.0 / entryCount
				}
			}
		}
	}
	result.down /= total
	result.disagreed /= total
	return result
}

func isGone(c churn, e int, at time.Duration) bool {
	return slices.ContainsFunc(c.outages, func(o outage) bool {
		return o.entry == e && o.kind != cutOff && at >= o.from && at < o.to
	})
}

// comeBack is what an entry makes of the end of its own outage.
func comeBack(c churn, views []*FlapDamper, e int, now time.Duration, config HoldConfig) {
	for _, o := range c.outages {
		switch {
		case o.entry != e || o.to != now:
		case o.kind == restarted:
			views[e] = NewFlapDamper(config, name(e))
		case o.kind == paused:
			views[e].RecordAbsence(now, name(e))
		}
	}
}

func majority(of *[entryCount][groupCount]int, up *[entryCount]bool, group int) int {
	var votes [entryCount]int
	best := 0
	for e := range of {
		if !up[e] {
			continue
		}
		home := of[e][group]
		votes[home]++
		if votes[home] > votes[best] {
			best = home
		}
	}
	return best
}

func seenBy(c churn, observer int, at time.Duration) []string {
	var live []string
	for e := range entryCount {
		gone := slices.ContainsFunc(c.outages, func(o outage) bool {
			during := at >= o.from && at < o.to
			return during && e != observer && (o.entry == e || o.kind == cutOff && o.entry == observer)
		})
		if !gone {
			live = append(live, name(e))
		}
	}
	return live
}

var churns = []churn{
	flapping("one entry gone 2 s of each 10 s", 10*sec, 2*sec),
	flapping("one entry gone 2 s of each 60 s", 60*sec, 2*sec),
	{name: "one entry restarts once", outages: []outage{{entry: 3, from: 50 * sec, to: 60 * sec, kind: restarted}}},
	rolling(),
	{name: "one entry cut off for 5 s", outages: []outage{{entry: 3, from: 50 * sec, to: 55 * sec, kind: cutOff}}},
}

var _ = Describe("Homes when entries come and go", func() {
	// An entry pauses for two seconds again and again. The groups that it is home to go down for a second,
	// twice each time, and callers of just these groups are refused.
	It("move a few times for an entry that flaps, not each time", func() {
		with, without := watch(churns[0], true), watch(churns[0], false)
		Expect(with.moves).To(BeNumerically("<=", without.moves/10))
		Expect(with.down).To(BeNumerically("<=", without.down/10))
		Expect(watch(churns[1], true).moves).To(BeNumerically("<=", watch(churns[1], false).moves*3/4))
	})

	It("move no more than without a hold when entries restart or are cut off", func() {
		for _, c := range churns[1:] {
			with, without := watch(c, true), watch(c, false)
			Expect(with.moves).To(BeNumerically("<=", without.moves), c.name)
			Expect(with.disagreed).To(BeNumerically("<=", without.disagreed*1.5+0.0005), c.name)
		}
	})
})

// BenchmarkHomes prints the second table of docs/measurements/shifting.md.
func BenchmarkHomes(b *testing.B) {
	for _, c := range churns {
		for _, hold := range []bool{false, true} {
			b.Run(fmt.Sprint(c.name, "/", hold), func(b *testing.B) {
				for range b.N {
					b.Logf("| %s | %v | %v |", c.name, hold, watch(c, hold))
				}
			})
		}
	}
}

func BenchmarkSteady(b *testing.B) {
	for _, count := range []int{21, 330} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var live []string
			for e := range count {
				live = append(live, fmt.Sprint("entry-", e))
			}
			h := NewFlapDamper(DefaultHoldConfig(), live[0])
			b.ReportAllocs()
			for i := range b.N {
				h.Observe(time.Duration(i)*sec, live)
				h.Eligible(time.Duration(i) * sec)
			}
		})
	}
}
