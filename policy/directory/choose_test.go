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

// fleet returns entries in equal failure domains of one place.
func fleet(domains, each int) []Candidate {
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

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// chooser answers one caller.
type chooser func(entries []Candidate, caller Caller, r *rand.Rand) []Candidate

func ours(entries []Candidate, caller Caller, r *rand.Rand) []Candidate {
	return Choose(DefaultConfig(), entries, caller, r)
}

// sameList is the baseline: all callers get all live entries, by name.
func sameList(entries []Candidate, _ Caller, _ *rand.Rand) []Candidate {
	return usable(entries)
}

// onlyNear is the other baseline: the caller's failure domain alone.
func onlyNear(entries []Candidate, caller Caller, r *rand.Rand) []Candidate {
	near := filter(usable(entries), func(e Candidate) bool { return e.FailureDomain == caller.FailureDomain })
	r.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near
}

// outcome is what callers get in a play.
type outcome struct {
	// peak is the highest load of an entry over the mean; near the share of callers at an entry of their
	// failure domain; lost the share without an address that answers.
	peak, near, lost float64
}

func (o outcome) String() string {
	return fmt.Sprintf("highest load %.2f of the mean, near %.2f, without an address %.3f", o.peak, o.near, o.lost)
}

// play lets callers ask again every minute, in ten rounds; after each, entries judge their load, and the
// next answers know it. Then the entries that down names fail, and the outcome is taken.
func play(choose chooser, entries []Candidate, callers []Caller, high int, down func(Candidate) bool) outcome {
	r := seeded(1)
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
				judge(entries, overloads, load(entries, answers, nobody), now)
			}
		}
	}
	return result(entries, callers, answers, down)
}

func nobody(Candidate) bool { return false }

func judge(entries []Candidate, overloads []*OverloadDetector, loads map[string]int, now time.Duration) {
	for i := range entries {
		entries[i].Overloaded = overloads[i].Observe(now, loads[entries[i].Name])
	}
}

// load counts the callers at each entry: the first of the answer that is up.
func load(entries []Candidate, answers [][]Candidate, down func(Candidate) bool) map[string]int {
	loads := make(map[string]int, len(entries))
	for _, answer := range answers {
		if i := slices.IndexFunc(answer, func(e Candidate) bool { return !down(e) }); i >= 0 {
			loads[answer[i].Name]++
		}
	}
	return loads
}

func result(entries []Candidate, callers []Caller, answers [][]Candidate, down func(Candidate) bool) outcome {
	loads := load(entries, answers, down)
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
	o.lost = 1 - float64(served)/float64(len(callers))
	for who, answer := range answers {
		if len(answer) > 0 && answer[0].FailureDomain == callers[who].FailureDomain {
			o.near += 1 / float64(len(callers))
		}
	}
	return o
}

// callersIn returns count callers, of which a share sits in the first failure domain.
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

// nearest returns the first of the answer that is as near as any candidate.
func (cfg Config) nearest(entries []Candidate, caller Caller, answer []Candidate) Candidate {
	candidates := cfg.calm(usable(entries))
	inPlace := filter(candidates, func(c Candidate) bool { return c.Place == caller.Place })
	best := 0
	rank := func(c Candidate) int {
		switch {
		case caller.Place != "" && c.Place != caller.Place:
			return 0
		case cfg.carries(inPlace, caller.FailureDomain) && c.FailureDomain == caller.FailureDomain:
			return 2
		}
		return 1
	}
	for _, c := range candidates {
		best = max(best, rank(c))
	}
	return answer[slices.IndexFunc(answer, func(c Candidate) bool { return rank(c) == best })]
}

func show(what string, o outcome) { fmt.Fprintf(GinkgoWriter, "%s: %v\n", what, o) }

var _ = Describe("which entries callers are told", func() {
	// All callers are given the same list and take its first entry: it saturates while the rest idle.
	It("spreads callers over entries, near first", func() {
		entries, callers := fleet(3, 6), callersIn(1800, 1.0/3, 3)
		got := play(ours, entries, callers, 200, nobody)
		same := play(sameList, entries, callers, 200, nobody)
		show("even callers, drawn", got)
		show("even callers, same list", same)
		Expect(same.peak).To(BeNumerically(">", 17))
		Expect(got.peak).To(BeNumerically("<", 1.5))
		Expect(got.near).To(BeNumerically(">", 0.95))
	})

	// Four of five callers sit in one of three failure domains. Near first alone sends them all to a
	// third of the entries, which time out while the others idle.
	It("turns callers elsewhere when their failure domain is overloaded", func() {
		entries, callers := fleet(3, 6), callersIn(1800, 0.8, 3)
		got := play(ours, entries, callers, 150, nobody)
		near := play(onlyNear, entries, callers, 150, nobody)
		show("four of five in one domain, drawn", got)
		show("four of five in one domain, near only", near)
		Expect(near.peak).To(BeNumerically(">", 2.2))
		Expect(got.peak).To(BeNumerically("<", 1.8))
		Expect(got.near).To(BeNumerically(">", 0.5))
	})

	// A whole failure domain goes dark while callers hold answers that they may keep for a minute.
	It("leaves no caller without an address when a failure domain is lost", func() {
		entries, callers := fleet(3, 6), callersIn(1800, 1.0/3, 3)
		dark := func(e Candidate) bool { return e.FailureDomain == "fd-0" }
		got := play(ours, entries, callers, 1000, dark)
		near := play(onlyNear, entries, callers, 1000, dark)
		show("domain dark, drawn", got)
		show("domain dark, near only", near)
		Expect(near.lost).To(BeNumerically(">", 0.3))
		Expect(got.lost).To(BeZero())
		Expect(got.peak).To(BeNumerically("<", 1.6))
	})

	// Of one failure domain a single entry is left. Near first would give it a third of all callers.
	It("does not send a whole domain's callers to the one entry that is left there", func() {
		entries, callers := fleet(3, 6), callersIn(1800, 1.0/3, 3)
		for i := 1; i < 6; i++ {
			entries[i].Dead = true
		}
		got := play(ours, entries, callers, 1000, func(e Candidate) bool { return e.Dead })
		near := play(onlyNear, entries, callers, 1000, func(e Candidate) bool { return e.Dead })
		show("one left of a domain, drawn", got)
		show("one left of a domain, near only", near)
		Expect(near.peak).To(BeNumerically(">", 4))
		Expect(got.peak).To(BeNumerically("<", 1.6))
	})

	It("never names a dead, a leaving or the same entry, and names an overloaded one only when most are", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			entries := fleet(rapid.IntRange(1, 5).Draw(t, "domains"), rapid.IntRange(0, 8).Draw(t, "each"))
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
			got := Choose(cfg, entries, caller, seeded(rapid.Uint64().Draw(t, "seed")))
			could := usable(entries)
			if (len(got) == 0) != (len(could) == 0) || len(got) > cfg.Count {
				t.Fatalf("%d of %d", len(got), len(could))
			}
			seen := map[string]bool{}
			domains := map[string]bool{}
			for _, e := range got {
				if seen[e.Name] || e.Dead || e.Leaving || (e.Overloaded && 2*calm >= len(could)) {
					t.Fatalf("%+v", e)
				}
				seen[e.Name] = true
				domains[e.FailureDomain] = true
			}
			candidates := map[string]bool{}
			for _, e := range DefaultConfig().calm(could) {
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

	It("prefers the caller's place, and keeps answers for different times", func() {
		entries := append(fleet(2, 4), Candidate{Name: "far", Place: "aotearoa", FailureDomain: "fd-0"})
		for seed := range uint64(50) {
			Expect(Choose(DefaultConfig(), entries, Caller{Place: "pampa"}, seeded(seed))[0].Place).To(Equal("pampa"))
		}
		Expect(Choose(DefaultConfig(), entries, Caller{Place: "aotearoa"}, seeded(1))[0].Name).To(Equal("far"))
		shortest, longest := time.Hour, time.Duration(0)
		r := seeded(3)
		for range 1000 {
			keep := JitterTTL(DefaultConfig(), time.Minute, r)
			shortest, longest = min(shortest, keep), max(longest, keep)
		}
		Expect(shortest).To(BeNumerically("~", 48*time.Second, time.Second))
		Expect(longest).To(And(BeNumerically("~", time.Minute, time.Second), BeNumerically("<=", time.Minute)))
	})

	It("calls an entry overloaded only when it lasts, and calm only when that lasts", func() {
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
			{6, 8, true}, // between the two bounds: the wait starts anew
			{7, 6, true},
			{21, 6, true},
			{22, 6, false},
		} {
			Expect(o.Observe(step.at*time.Second, step.inProgress)).To(Equal(step.want), "%+v", step)
		}
	})
})
