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
	RunSpecs(t, "policy/shift")
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

type checker interface{ Check() error }

var _ = DescribeTable("A configuration out of range is refused", func(c checker) {
	Expect(errors.Is(c.Check(), ErrRange)).To(BeTrue())
},
	Entry("floor", Ramp{Window: sec}),
	Entry("window", Ramp{Floor: 1, Window: time.Hour}),
	Entry("hold", HoldConfig{Hold: time.Hour}),
	Entry("longest hold", HoldConfig{Hold: sec}),
	Entry("forget", HoldConfig{Hold: sec, MaxHold: sec}),
)

var _ = Describe("FlapDamper", func() {
	var damper *FlapDamper
	BeforeEach(func() {
		Expect(DefaultHoldConfig().Check()).To(Succeed())
		Expect(DefaultRamp().Check()).To(Succeed())
		damper = NewFlapDamper(DefaultHoldConfig(), "a")
		damper.Observe(0, []string{"a", "b", "c", "d", "e"}, nil)
	})

	It("holds back itself at its start, and new entries", func() {
		Expect(damper.Eligible(0)).To(Equal([]string{"b", "c", "d", "e"}))
		next, found := damper.NextChange(0)
		Expect(found).To(BeTrue())
		Expect(next).To(Equal(DefaultHold))
		Expect(damper.Eligible(next)).To(Equal([]string{"a", "b", "c", "d", "e"}))
		damper.Observe(10*sec, []string{"a", "b", "c", "d", "e", "f"}, nil)
		Expect(damper.Eligible(14 * sec)).NotTo(ContainElement("f"))
		Expect(damper.Eligible(15 * sec)).To(ContainElement("f"))
	})

	It("excludes an entry that leaves at once, holds it back longer each time, and forgets its absences", func() {
		now := 10 * sec
		for _, hold := range []time.Duration{5, 20, 80, 120, 120} {
			damper.Observe(now, []string{"a", "c", "d", "e"}, nil)
			Expect(damper.Eligible(now)).NotTo(ContainElement("b"))
			now += sec
			damper.Observe(now, []string{"a", "b", "c", "d", "e"}, nil)
			Expect(damper.Eligible(now + hold*sec - 1)).NotTo(ContainElement("b"))
			Expect(damper.Eligible(now + hold*sec)).To(ContainElement("b"))
			now += sec
		}
		now += DefaultForgetAfter
		damper.Observe(now, []string{"a", "b", "c", "d", "e"}, nil)
		damper.RecordAbsence(now, "b")
		Expect(damper.Eligible(now)).NotTo(ContainElement("b"))
		Expect(damper.Eligible(now + DefaultHold)).To(ContainElement("b"))
	})

	// The VM of self was cut off, so all others seem to return at once. If they were held back, self would
	// consider itself the home of every group.
	It("accepts all live entries while fewer than half are eligible", func() {
		damper.Observe(10*sec, []string{"a"}, nil)
		Expect(damper.Eligible(10 * sec)).To(Equal([]string{"a"}))
		damper.Observe(13*sec, []string{"a", "b", "c", "d", "e"}, nil)
		Expect(damper.Eligible(13 * sec)).To(Equal([]string{"b", "c", "d", "e"}))
	})

	// An entry starts and learns of the others one by one, milliseconds apart. It holds back those that it sees second
	// although they are homes of groups, and sends requests to entries that refuse them.
	It("does not hold back an entry that it sees first while it is joining itself", func() {
		d := NewFlapDamper(DefaultHoldConfig(), "d")
		d.Observe(0, []string{"a", "b", "d"}, []string{"d"})
		d.Observe(100*time.Millisecond, []string{"a", "b", "c", "d"}, []string{"d"})
		Expect(d.Eligible(200 * time.Millisecond)).To(Equal([]string{"a", "b", "c"}))
		Expect(d.Eligible(4 * sec)).To(Equal([]string{"a", "b", "c"}))
		Expect(d.Joining(DefaultHold - 1)).To(BeTrue())
		Expect(d.Joining(DefaultHold)).To(BeFalse())
		Expect(d.Eligible(DefaultHold)).To(Equal([]string{"a", "b", "c", "d"}))
	})

	It("holds back an entry for as long as that announces that it is joining", func() {
		live := []string{"a", "b", "c", "d", "e", "f"}
		damper.Observe(10*sec, live, []string{"f"})
		Expect(damper.Eligible(time.Minute)).NotTo(ContainElement("f"))
		damper.Observe(time.Minute, live, nil)
		Expect(damper.Eligible(time.Minute)).To(ContainElement("f"))
	})

	It("holds back an entry that returns, whatever that announces", func() {
		damper.Observe(10*sec, []string{"a", "b", "c", "d"}, nil)
		damper.Observe(11*sec, []string{"a", "b", "c", "d", "e"}, []string{"e"})
		damper.Observe(12*sec, []string{"a", "b", "c", "d", "e"}, nil)
		Expect(damper.Eligible(16*sec - 1)).NotTo(ContainElement("e"))
		Expect(damper.Eligible(16 * sec)).To(ContainElement("e"))
	})

	It("accepts all live entries while most are joining", func() {
		d := NewFlapDamper(DefaultHoldConfig(), "a")
		d.Observe(0, []string{"a", "b", "c"}, []string{"a", "b", "c"})
		Expect(d.Eligible(sec)).To(Equal([]string{"a", "b", "c"}))
		d.Observe(2*sec, []string{"a", "b", "c"}, []string{"a", "c"})
		Expect(d.Eligible(2 * sec)).To(Equal([]string{"a", "b", "c"}))
		d.Observe(3*sec, []string{"a", "b", "c"}, []string{"a"})
		Expect(d.Eligible(3 * sec)).To(Equal([]string{"b", "c"}))
	})

	// Entries start at about the same time, and each sees the others start at its own moment. They compute different
	// homes again and again until the last hold time is over, and refuse each other's requests.
	It("gives the same result on all entries once they have the same news", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { checkAgreement(t, drawStarts(t)) })
	})

	It("returns only live entries, at least one if any is live, and drops old state", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := NewFlapDamper(DefaultHoldConfig(), "a")
			now := time.Duration(0)
			for range rapid.IntRange(1, 50).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * sec
				name := rapid.StringMatching("[a-h]")
				live := rapid.SliceOfNDistinct(name, 0, 8, rapid.ID[string]).Draw(t, "live")
				h.Observe(now, live, nil)
				eligible := h.Eligible(now)
				if len(live) > 0 && len(eligible) == 0 {
					t.Fatal("no eligible entry")
				}
				for _, name := range eligible {
					if !slices.Contains(live, name) {
						t.Fatalf("%s is eligible and not live", name)
					}
				}
			}
			h.Observe(now+DefaultForgetAfter, nil, nil)
			h.Observe(now+2*DefaultForgetAfter, nil, nil)
			if len(h.entries) > 0 {
				t.Fatalf("%d entries kept", len(h.entries))
			}
		})
	})
})

// The simulation models entries that notice each other's outages with a delay of their own, and groups whose home each
// entry computes by rendezvous hashing. A group is not served for a second after its home moved. A front whose view of
// the home differs from that of the entry that it sends to is refused.
const (
	entryCount    = 13
	groupCount    = 50
	tick          = 100 * time.Millisecond
	takeoverTime  = sec
	simulatedTime = 300 * sec
)

// outageKind says what the entry itself and the others notice of an outage.
type outageKind uint8

const (
	paused    outageKind = iota // keeps its state, and learns that it was declared dead
	restarted                   // loses its state
	cutOff                      // each side sees the other one leave
)

type outage struct {
	entry    int
	from, to time.Duration
	kind     outageKind
}

type churn struct {
	name    string
	outages []outage
}

func flapping(name string, every, gone time.Duration) churn {
	c := churn{name: name}
	for at := 20 * sec; at < simulatedTime-every; at += every {
		c.outages = append(c.outages, outage{entry: 3, from: at, to: at + gone})
	}
	return c
}

func rollingRestart() churn {
	c := churn{name: "every entry restarts once, 10 s each, every 20 s"}
	for e := range entryCount {
		at := 20*sec + time.Duration(e)*20*sec
		c.outages = append(c.outages, outage{entry: e, from: at, to: at + 10*sec, kind: restarted})
	}
	return c
}

// churnResult counts the moves of homes; down is the share of the group-time without service, disagreement the share
// in which an entry computes another home than most.
type churnResult struct {
	moves              int
	down, disagreement float64 // shares of the group-time
}

func (s churnResult) String() string {
	return fmt.Sprintf("%5d | %6.3f | %6.3f", s.moves, 100*s.down, 100*s.disagreement)
}

// weights are the weights of rendezvous hashing of groups over entries.
var weights = func() (w [groupCount][entryCount]uint64) {
	r := rand.New(rand.NewPCG(7, 7))
	for g := range w {
		for e := range w[g] {
			w[g][e] = r.Uint64()
		}
	}
	return w
}()

func entryName(e int) string { return string(rune('a' + e)) }

// computeHomes returns the home of each group, computed from the named entries.
func computeHomes(names []string) (homes [groupCount]int) {
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

// simulate plays the outages of a churn pattern, with or without hold times.
func simulate(c churn, hold bool) churnResult {
	random := rand.New(rand.NewPCG(1, 1))
	config := DefaultHoldConfig()
	if !hold {
		config = HoldConfig{}
	}
	views := make([]*FlapDamper, entryCount)
	detectionDelay := make([]time.Duration, entryCount)
	for e := range views {
		detectionDelay[e] = 300*time.Millisecond + time.Duration(random.IntN(1200))*time.Millisecond
		views[e] = NewFlapDamper(config, entryName(e))
		views[e].Observe(-time.Minute, liveSeenBy(c, e, -time.Minute), nil)
	}
	var result churnResult
	var homes [groupCount]int
	var movedAt [groupCount]time.Duration
	var homeOf [entryCount][groupCount]int
	var last [entryCount][]string
	total := 0.0
	for now := time.Duration(0); now < simulatedTime; now += tick {
		var up [entryCount]bool
		for e := range views {
			endOutages(c, views, e, now, config)
			up[e] = !isDown(c, e, now)
			views[e].Observe(now, liveSeenBy(c, e, now-detectionDelay[e]), nil)
			if eligible := views[e].Eligible(now); !slices.Equal(eligible, last[e]) {
				last[e], homeOf[e] = eligible, computeHomes(eligible)
			}
		}
		for g := range groupCount {
			// The home that counts is the one that most entries compute.
			home := majority(&homeOf, &up, g)
			if home != homes[g] && now > 0 {
				result.moves++
				movedAt[g] = now
			}
			homes[g] = home
			total++
			if movedAt[g] > 0 && now-movedAt[g] < takeoverTime {
				result.down++
			}
			for e := range homeOf {
				if up[e] && homeOf[e][g] != home {
					result.disagreement += 1.0 / entryCount
				}
			}
		}
	}
	result.down /= total
	result.disagreement /= total
	return result
}

func isDown(c churn, e int, at time.Duration) bool {
	return slices.ContainsFunc(c.outages, func(o outage) bool {
		return o.entry == e && o.kind != cutOff && at >= o.from && at < o.to
	})
}

// endOutages applies the end of an entry's own outage to its view: a restarted entry starts empty, a paused one records
// its absence.
func endOutages(c churn, views []*FlapDamper, e int, now time.Duration, config HoldConfig) {
	for _, o := range c.outages {
		switch {
		case o.entry != e || o.to != now:
		case o.kind == restarted:
			views[e] = NewFlapDamper(config, entryName(e))
		case o.kind == paused:
			views[e].RecordAbsence(now, entryName(e))
		}
	}
}

func majority(homeOf *[entryCount][groupCount]int, up *[entryCount]bool, group int) int {
	var votes [entryCount]int
	best := 0
	for e := range homeOf {
		if !up[e] {
			continue
		}
		home := homeOf[e][group]
		votes[home]++
		if votes[home] > votes[best] {
			best = home
		}
	}
	return best
}

func liveSeenBy(c churn, observer int, at time.Duration) []string {
	var live []string
	for e := range entryCount {
		gone := slices.ContainsFunc(c.outages, func(o outage) bool {
			during := at >= o.from && at < o.to
			return during && e != observer && (o.entry == e || o.kind == cutOff && o.entry == observer)
		})
		if !gone {
			live = append(live, entryName(e))
		}
	}
	return live
}

var churnPatterns = []churn{
	flapping("one entry gone 2 s of each 10 s", 10*sec, 2*sec),
	flapping("one entry gone 2 s of each 60 s", 60*sec, 2*sec),
	{name: "one entry restarts once", outages: []outage{{entry: 3, from: 50 * sec, to: 60 * sec, kind: restarted}}},
	rollingRestart(),
	{name: "one entry cut off for 5 s", outages: []outage{{entry: 3, from: 50 * sec, to: 55 * sec, kind: cutOff}}},
}

var _ = Describe("Homes when entries come and go", func() {
	// An entry pauses for two seconds again and again. Without hold times, the groups that it is the home of are
	// down for a second twice per pause, and callers of these groups are refused.
	It("move only a few times for an entry that flaps", func() {
		with, without := simulate(churnPatterns[0], true), simulate(churnPatterns[0], false)
		Expect(with.moves).To(BeNumerically("<=", without.moves/10))
		Expect(with.down).To(BeNumerically("<=", without.down/10))
		Expect(simulate(churnPatterns[1], true).moves).To(BeNumerically("<=", simulate(churnPatterns[1], false).moves*3/4))
	})

	It("move no more than without a hold when entries restart or are cut off", func() {
		for _, c := range churnPatterns[1:] {
			with, without := simulate(c, true), simulate(c, false)
			Expect(with.moves).To(BeNumerically("<=", without.moves), c.name)
			Expect(with.disagreement).To(BeNumerically("<=", without.disagreement*1.5+0.0005), c.name)
		}
	})
})

// BenchmarkHomes prints the second table of docs/measurements/shifting.md.
func BenchmarkHomes(b *testing.B) {
	for _, c := range churnPatterns {
		for _, hold := range []bool{false, true} {
			b.Run(fmt.Sprint(c.name, "/", hold), func(b *testing.B) {
				for range b.N {
					b.Logf("| %s | %v | %v |", c.name, hold, simulate(c, hold))
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
				h.Observe(time.Duration(i)*sec, live, nil)
				h.Eligible(time.Duration(i) * sec)
			}
		})
	}
}
