package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "policy/directory")
}

// Guards against callers being sent to entries that can only pass their requests on, and against leaving callers without an address when the
// servers are down for all.
var _ = DescribeTable("isolated entries", func(isolated, want int) {
	entries := newEntries(1, 4)
	for i := range isolated {
		entries[i].Isolated = true
	}
	chosen := Choose(DefaultConfig(), entries, Caller{}, newRand(1))
	Expect(chosen).To(HaveLen(want))
	for _, entry := range chosen {
		Expect(entry.Isolated).To(Equal(isolated == len(entries)))
	}
},
	Entry("none", 0, 4),
	Entry("some", 1, 3),
	Entry("all but one", 3, 1),
	Entry("all", 4, 4),
)

// newEntries returns entries of one place, with the same number in each failure domain.
func newEntries(domains, each int) []Candidate {
	var entries []Candidate
	for d := range domains {
		for i := range each {
			entries = append(entries, Candidate{
				Name: fmt.Sprintf("e%d-%02d", d, i), Place: "pampa", FailureDomain: fmt.Sprintf("fd-%d", d),
			})
		}
	}
	return entries
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// chooser answers one caller.
type chooser func(entries []Candidate, caller Caller, r *rand.Rand) []Candidate

func defaultChoice(entries []Candidate, caller Caller, r *rand.Rand) []Candidate {
	return Choose(DefaultConfig(), entries, caller, r)
}

// sameList is a baseline: all callers get all usable entries in the same order.
func sameList(entries []Candidate, _ Caller, _ *rand.Rand) []Candidate {
	return usable(entries)
}

// localOnly is a baseline: callers get only entries of their own failure domain.
func localOnly(entries []Candidate, caller Caller, r *rand.Rand) []Candidate {
	near := filter(usable(entries), func(e Candidate) bool { return e.FailureDomain == caller.FailureDomain })
	r.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near
}

// outcome is the result of a simulation.
type outcome struct {
	// peak is the highest load of an entry relative to the mean, near the share of callers whose first address
	// is in their own failure domain, unreachable the share of callers without an address that answers.
	peak, near, unreachable float64
}

func (o outcome) String() string {
	return fmt.Sprintf("highest load %.2f of the mean, near %.2f, without an address %.3f", o.peak, o.near, o.unreachable)
}

// simulate lets callers ask again every minute, for ten rounds. Once a second the entries update whether they are
// overloaded, which the next answers take into account. Then the entries that down selects fail, and the outcome is
// measured.
func simulate(choose chooser, entries []Candidate, callers []Caller, high int, down func(Candidate) bool) outcome {
	r := newRand(1)
	entries = slices.Clone(entries)
	overloads := make([]*OverloadDetector, len(entries))
	for i := range entries {
		overloads[i] = NewOverloadDetector(OverloadConfig{High: high, Low: high * 7 / 10, EnterAfter: 2 * time.Second, LeaveAfter: 15 * time.Second})
	}
	answers := make([][]Candidate, len(callers))
	now := time.Duration(0)
	for range 10 {
		for i, who := range r.Perm(len(callers)) {
			answers[who] = choose(entries, callers[who], r)
			now += time.Minute / time.Duration(len(callers))
			if i%30 == 0 { // once a second
				updateOverloaded(entries, overloads, countCallers(entries, answers, noneDown), now)
			}
		}
	}
	return measure(entries, callers, answers, down)
}

func noneDown(Candidate) bool { return false }

func updateOverloaded(entries []Candidate, overloads []*OverloadDetector, loads map[string]int, now time.Duration) {
	for i := range entries {
		entries[i].Overloaded = overloads[i].Observe(now, loads[entries[i].Name])
	}
}

// countCallers returns the number of callers at each entry. A caller uses the first entry of its answer that is up.
func countCallers(entries []Candidate, answers [][]Candidate, down func(Candidate) bool) map[string]int {
	loads := make(map[string]int, len(entries))
	for _, answer := range answers {
		if i := slices.IndexFunc(answer, func(e Candidate) bool { return !down(e) }); i >= 0 {
			loads[answer[i].Name]++
		}
	}
	return loads
}

func measure(entries []Candidate, callers []Caller, answers [][]Candidate, down func(Candidate) bool) outcome {
	loads := countCallers(entries, answers, down)
	var o outcome
	highest, up, served := 0, 0, 0
	for _, e := range entries {
		if !down(e) {
			up++
			highest = max(highest, loads[e.Name])
			served += loads[e.Name]
		}
	}
	o.peak = float64(highest) * float64(up) / float64(max(1, served))
	o.unreachable = 1 - float64(served)/float64(len(callers))
	for who, answer := range answers {
		if len(answer) > 0 && answer[0].FailureDomain == callers[who].FailureDomain {
			o.near += 1 / float64(len(callers))
		}
	}
	return o
}

// callersIn returns count callers, of which the given share is in the first failure domain.
func callersIn(count int, share float64, domains int) []Caller {
	callers := make([]Caller, count)
	for i := range callers {
		domain := 0
		if i >= int(share*float64(count)) {
			domain = 1 + i%(domains-1)
		}
		callers[i] = Caller{Place: "pampa", FailureDomain: fmt.Sprintf("fd-%d", domain)}
	}
	return callers
}

// nearest returns the first entry of the answer that is as near as any candidate.
func (cfg Config) nearest(entries []Candidate, caller Caller, answer []Candidate) Candidate {
	candidates := cfg.dropOverloaded(usable(entries))
	inPlace := filter(candidates, func(c Candidate) bool { return c.Place == caller.Place })
	best := 0
	rank := func(c Candidate) int {
		switch {
		case caller.Place != "" && c.Place != caller.Place:
			return 0
		case cfg.hasCapacity(inPlace, caller.FailureDomain) && c.FailureDomain == caller.FailureDomain:
			return 2
		}
		return 1
	}
	for _, c := range candidates {
		best = max(best, rank(c))
	}
	return answer[slices.IndexFunc(answer, func(c Candidate) bool { return rank(c) == best })]
}

func logOutcome(what string, o outcome) { fmt.Fprintf(GinkgoWriter, "%s: %v\n", what, o) }

var _ = Describe("Choose and OverloadDetector", func() {
	// Given the same list, all callers connect to its first entry, which saturates while the rest are idle.
	It("spreads callers over entries of their failure domain", func() {
		entries, callers := newEntries(3, 6), callersIn(1800, 1.0/3, 3)
		got := simulate(defaultChoice, entries, callers, 200, noneDown)
		same := simulate(sameList, entries, callers, 200, noneDown)
		logOutcome("evenly distributed callers, default", got)
		logOutcome("evenly distributed callers, same list", same)
		Expect(same.peak).To(BeNumerically(">", 17))
		Expect(got.peak).To(BeNumerically("<", 1.5))
		Expect(got.near).To(BeNumerically(">", 0.95))
	})

	// Four of five callers are in one of three failure domains. If only the nearest entries were given, a third
	// of the entries would take them all and time out while the others are idle.
	It("sends callers to other failure domains when theirs is overloaded", func() {
		entries, callers := newEntries(3, 6), callersIn(1800, 0.8, 3)
		got := simulate(defaultChoice, entries, callers, 150, noneDown)
		near := simulate(localOnly, entries, callers, 150, noneDown)
		logOutcome("four of five callers in one domain, default", got)
		logOutcome("four of five callers in one domain, local only", near)
		Expect(near.peak).To(BeNumerically(">", 2.2))
		Expect(got.peak).To(BeNumerically("<", 1.8))
		Expect(got.near).To(BeNumerically(">", 0.5))
	})

	// A whole failure domain is lost while callers hold answers that they may keep for a minute.
	It("leaves no caller without an address when a failure domain is lost", func() {
		entries, callers := newEntries(3, 6), callersIn(1800, 1.0/3, 3)
		lost := func(e Candidate) bool { return e.FailureDomain == "fd-0" }
		got := simulate(defaultChoice, entries, callers, 1000, lost)
		near := simulate(localOnly, entries, callers, 1000, lost)
		logOutcome("domain lost, default", got)
		logOutcome("domain lost, local only", near)
		Expect(near.unreachable).To(BeNumerically(">", 0.3))
		Expect(got.unreachable).To(BeZero())
		Expect(got.peak).To(BeNumerically("<", 1.6))
	})

	// A single entry is left in one failure domain. If the nearest entries always came first, it would get a
	// third of all callers.
	It("does not send a whole domain's callers to the one entry that is left there", func() {
		entries, callers := newEntries(3, 6), callersIn(1800, 1.0/3, 3)
		for i := 1; i < 6; i++ {
			entries[i].Dead = true
		}
		got := simulate(defaultChoice, entries, callers, 1000, func(e Candidate) bool { return e.Dead })
		near := simulate(localOnly, entries, callers, 1000, func(e Candidate) bool { return e.Dead })
		logOutcome("one entry left in a domain, default", got)
		logOutcome("one entry left in a domain, local only", near)
		Expect(near.peak).To(BeNumerically(">", 4))
		Expect(got.peak).To(BeNumerically("<", 1.6))
	})

	It("never returns a dead or leaving entry or duplicates, and overloaded entries only when most are overloaded", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			entries := newEntries(rapid.IntRange(1, 5).Draw(t, "domains"), rapid.IntRange(0, 8).Draw(t, "each"))
			calm := 0
			for i := range entries {
				entries[i].Dead = rapid.Bool().Draw(t, "dead")
				entries[i].Leaving = rapid.Bool().Draw(t, "leaving")
				entries[i].Overloaded = rapid.Bool().Draw(t, "overloaded")
				if !entries[i].Dead && !entries[i].Leaving && !entries[i].Overloaded {
					calm++
				}
			}
			caller := Caller{
				Place:         rapid.SampledFrom([]string{"", "pampa", "aotearoa"}).Draw(t, "place"),
				FailureDomain: rapid.SampledFrom([]string{"", "fd-0", "fd-9"}).Draw(t, "domain"),
			}
			cfg := DefaultConfig()
			cfg.Count = rapid.IntRange(1, 8).Draw(t, "count")
			got := Choose(cfg, entries, caller, newRand(rapid.Uint64().Draw(t, "seed")))
			usableEntries := usable(entries)
			if (len(got) == 0) != (len(usableEntries) == 0) || len(got) > cfg.Count {
				t.Fatalf("%d of %d", len(got), len(usableEntries))
			}
			seen := map[string]bool{}
			domains := map[string]bool{}
			for _, e := range got {
				if seen[e.Name] || e.Dead || e.Leaving || (e.Overloaded && 2*calm >= len(usableEntries)) {
					t.Fatalf("%+v", e)
				}
				seen[e.Name] = true
				domains[e.FailureDomain] = true
			}
			candidates := map[string]bool{}
			for _, e := range DefaultConfig().dropOverloaded(usableEntries) {
				candidates[e.FailureDomain] = true
			}
			if len(got) > 0 && got[0] != cfg.nearest(entries, caller, got) {
				t.Fatalf("the first is not the nearest: %+v", got)
			}
			if len(candidates) > 1 && len(domains) < 2 && cfg.Count > 1 {
				t.Fatalf("all in one failure domain of %d", len(candidates))
			}
		})
	})

	It("prefers the caller's place, and varies the time to keep an answer", func() {
		entries := append(newEntries(2, 4), Candidate{Name: "far", Place: "aotearoa", FailureDomain: "fd-0"})
		for seed := range uint64(50) {
			Expect(Choose(DefaultConfig(), entries, Caller{Place: "pampa"}, newRand(seed))[0].Place).To(Equal("pampa"))
		}
		Expect(Choose(DefaultConfig(), entries, Caller{Place: "aotearoa"}, newRand(1))[0].Name).To(Equal("far"))
		shortest, longest := time.Hour, time.Duration(0)
		r := newRand(3)
		for range 1000 {
			keep := JitterTTL(DefaultConfig(), time.Minute, r)
			shortest, longest = min(shortest, keep), max(longest, keep)
		}
		Expect(shortest).To(BeNumerically("~", 48*time.Second, time.Second))
		Expect(longest).To(And(BeNumerically("~", time.Minute, time.Second), BeNumerically("<=", time.Minute)))
	})

	It("changes the overload state only after the load has lasted", func() {
		o := NewOverloadDetector(OverloadConfig{High: 10, Low: 7, EnterAfter: 2 * time.Second, LeaveAfter: 15 * time.Second})
		for _, step := range []struct {
			at         time.Duration
			inProgress int
			want       bool
		}{
			{0, 12, false},
			{1, 9, false},
			{2, 12, false},
			{4, 12, true},
			{5, 6, true},
			{6, 8, true}, // between Low and High: the wait starts again
			{7, 6, true},
			{21, 6, true},
			{22, 6, false},
		} {
			Expect(o.Observe(step.at*time.Second, step.inProgress)).To(Equal(step.want), "%+v", step)
		}
	})
})
