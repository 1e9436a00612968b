package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// variant is a policy under comparison; build makes the chooser of one front.
type variant struct {
	name  string
	build func(s scenario, front int) chooser
}

// baselineVariant runs a policy without a Table.
func baselineVariant(name string, pick picker) variant {
	return variant{name, func(scenario, int) chooser { return &baseline{pick: pick} }}
}

// tableVariant runs a Table with a changed configuration.
func tableVariant(name string, change func(*Table)) variant {
	return variant{name, func(s scenario, front int) chooser {
		t := NewTable(DefaultConfig(), fmt.Sprint(front%3))
		t.SetFrontCount(s.fronts)
		if change != nil {
			change(t)
		}
		return tableChooser{t}
	}}
}

var (
	defaultVariant  = tableVariant("this package", nil)
	nearOnlyVariant = variant{"only its own failure domain", func(s scenario, front int) chooser {
		return nearOnlyChooser{defaultVariant.build(s, front).(tableChooser), front % 3}
	}}
	baselines = []variant{
		baselineVariant("round robin", roundRobin), baselineVariant("random", random), baselineVariant("least loaded", leastLoaded),
	}
	alternatives = []variant{
		baselineVariant("rendezvous without a bound", rendezvous),
		tableVariant("without a spread", func(t *Table) { t.config.SpreadFactor = 1e-9 }),
		tableVariant("spread 1", func(t *Table) { t.config.SpreadFactor = 1 }),
		tableVariant("spread 3", func(t *Table) { t.config.SpreadFactor = 3 }),
		tableVariant("spread 100", func(t *Table) { t.config.SpreadFactor = 100 }),
		tableVariant("slack 0.1", func(t *Table) { t.config.BoundSlack = 0.1 }),
		tableVariant("slack 1", func(t *Table) { t.config.BoundSlack = 1 }),
		tableVariant("free load 0.5", func(t *Table) { t.config.MinLoadBound = 0.5 }),
		tableVariant("reports not corrected", func(t *Table) { t.correction = 0 }),
		tableVariant("corrected by own requests", func(t *Table) { t.correction = 1 }),
		tableVariant("corrected by own times fronts", func(t *Table) { t.correction *= t.correction }),
		tableVariant("slow ones not avoided", func(t *Table) { t.config.MaxSlowShare = 0 }),
		tableVariant("all slow ones avoided", func(t *Table) { t.config.MaxSlowShare = 1 }),
		nearOnlyVariant,
	}
)

func runVariant(s scenario, c variant) *result {
	return simulate(s, func(front int) chooser { return c.build(s, front) }, 1)
}

// resultBounds are regression bounds, set close to the worst result of five seeds.
type resultBounds struct {
	p95                 time.Duration
	goodput, hits, lost float64
}

var bounds = []struct {
	scenario
	resultBounds
}{
	{steady, resultBounds{60 * ms, 0.57, 0.96, 0.001}},
	{burst, resultBounds{3600 * ms, 0.61, 0.88, 0.12}},
	{hot, resultBounds{60 * ms, 0.57, 0.95, 0.001}},
	{skewed, resultBounds{160 * ms, 0.70, 0.79, 0.001}},
	{newHotPrefix, resultBounds{70 * ms, 0.56, 0.95, 0.001}},
	{oneSlow, resultBounds{70 * ms, 0.57, 0.95, 0.001}},
	{oneSlowFixed, resultBounds{70 * ms, 0.57, 0.95, 0.001}},
	{wrongReports, resultBounds{110 * ms, 0.56, 0.90, 0.001}},
	{saturated, resultBounds{3800 * ms, 0.83, 0.92, 0.26}},
	{recovery, resultBounds{3000 * ms, 0.87, 0.86, 0.02}},
	{hot200Replicas, resultBounds{110 * ms, 0.54, 0.90, 0.001}},
	{unevenEntry, resultBounds{45 * ms, 0.55, 0, 0.001}},
}

var _ = Describe("The choice of a group", func() {
	for _, b := range bounds {
		It("holds its bounds and beats the baselines: "+b.name, func() {
			r := runVariant(b.scenario, defaultVariant)
			GinkgoWriter.Println(b.name, r)
			Expect(r.ttftQuantile(0.95)).To(BeNumerically("<=", b.p95))
			Expect(r.goodput()).To(BeNumerically(">=", b.goodput))
			Expect(r.hitShare()).To(BeNumerically(">=", b.hits))
			Expect(r.lost()).To(BeNumerically("<=", b.lost))
			for _, c := range baselines {
				base := runVariant(b.scenario, c)
				Expect(r.ttftQuantile(0.95)).To(BeNumerically("<=", base.ttftQuantile(0.95)), c.name)
				Expect(r.lost()).To(BeNumerically("<=", base.lost()), c.name)
			}
		})
	}

	// One replica of 50 falls to a fifth of its speed, while its home keeps its limit. Until the fronts avoid
	// it, requests whose prefixes belong there get their tokens at a gap far above the objective.
	It("sends a slow group only trial requests", func() {
		without := runVariant(oneSlowFixed, tableVariant("", func(t *Table) { t.config.MaxSlowShare = 0 }))
		with := runVariant(oneSlowFixed, defaultVariant)
		Expect(with.overGapShare()).To(BeNumerically("<=", without.overGapShare()/2))
		Expect(with.byEngine[0]).To(BeNumerically(">", 0))
	})

	It("stays in the failure domain while it has spare capacity, and leaves it before requests are lost", func() {
		quiet := unevenEntry
		quiet.load = constantLoad(0.3)
		Expect(runVariant(quiet, defaultVariant).remoteShare()).To(BeNumerically("<=", 0.05))
		Expect(runVariant(unevenEntry, defaultVariant).remoteShare()).To(BeNumerically("<=", 0.4))
		Expect(runVariant(unevenEntry, defaultVariant).lost()).To(BeNumerically("<=", runVariant(unevenEntry, nearOnlyVariant).lost()/10))
	})
})

// BenchmarkFigures prints the tables of docs/measurements/group-choice.md.
func BenchmarkFigures(b *testing.B) {
	scenarios := []scenario{hot630Replicas}
	for _, s := range bounds {
		scenarios = append(scenarios, s.scenario)
	}
	for _, s := range scenarios {
		for _, c := range slices.Concat(baselines, alternatives, []variant{defaultVariant}) {
			b.Run(s.name+"/"+c.name, func(b *testing.B) {
				for range b.N {
					r := runVariant(s, c)
					b.Logf("| %s | %s | %s | %4.1f |", s.name, c.name, r, 100*r.remoteShare())
				}
			})
		}
	}
}
