package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

type contender struct {
	name  string
	build func(s scenario, front int) chooser
}

func baseline(name string, pick picker) contender {
	return contender{name, func(scenario, int) chooser { return &plain{pick: pick} }}
}

// balanced runs a Table with a changed configuration.
func balanced(name string, change func(*Table)) contender {
	return contender{name, func(s scenario, front int) chooser {
		t := NewTable(DefaultConfig(), fmt.Sprint(front%3))
		t.SetFrontCount(s.fronts)
		if change != nil {
			change(t)
		}
		return ours{t}
	}}
}

var (
	chosen     = balanced("this package", nil)
	strictNear = contender{"only its own failure domain", func(s scenario, front int) chooser {
		return nearOnly{chosen.build(s, front).(ours), front % 3}
	}}
	baselines = []contender{
		baseline("round robin", roundRobin), baseline("random", random), baseline("least loaded", leastLoaded),
	}
	rivals = []contender{
		baseline("rendezvous without a bound", rendezvous),
		balanced("without a spread", func(t *Table) { t.config.SpreadFactor = 1e-9 }),
		balanced("spread 1", func(t *Table) { t.config.SpreadFactor = 1 }),
		balanced("spread 3", func(t *Table) { t.config.SpreadFactor = 3 }),
		balanced("spread 100", func(t *Table) { t.config.SpreadFactor = 100 }),
		balanced("slack 0.1", func(t *Table) { t.config.BoundSlack = 0.1 }),
		balanced("slack 1", func(t *Table) { t.config.BoundSlack = 1 }),
		balanced("free load 0.5", func(t *Table) { t.config.MinLoadBound = 0.5 }),
		balanced("reports not corrected", func(t *Table) { t.correction = 0 }),
		balanced("corrected by own requests", func(t *Table) { t.correction = 1 }),
		balanced("corrected by own times fronts", func(t *Table) { t.correction *= t.correction }),
		balanced("slow ones not avoided", func(t *Table) { t.config.MaxSlowShare = 0 }),
		balanced("all slow ones avoided", func(t *Table) { t.config.MaxSlowShare = 1 }),
		strictNear,
	}
)

func run(s scenario, c contender) *result {
	return play(s, func(front int) chooser { return c.build(s, front) }, 1)
}

// limits are regression bounds: beside the worst of five seeds when they were set.
type limits struct {
	p95                time.Duration
	useful, hits, lost float64
}

var bounds = []struct {
	scenario
	limits
}{
	{steady, limits{60 * ms, 0.57, 0.96, 0.001}},
	{burst, limits{3600 * ms, 0.61, 0.88, 0.12}},
	{hot, limits{60 * ms, 0.57, 0.95, 0.001}},
	{skewed, limits{160 * ms, 0.70, 0.79, 0.001}},
	{freshHot, limits{70 * ms, 0.56, 0.95, 0.001}},
	{oneSlow, limits{70 * ms, 0.57, 0.95, 0.001}},
	{oneSlowFixed, limits{70 * ms, 0.57, 0.95, 0.001}},
	{wrong, limits{110 * ms, 0.56, 0.90, 0.001}},
	{saturated, limits{3800 * ms, 0.83, 0.92, 0.26}},
	{wayBack, limits{3000 * ms, 0.87, 0.86, 0.02}},
	{larger, limits{110 * ms, 0.54, 0.90, 0.001}},
	{plainCalls, limits{45 * ms, 0.55, 0, 0.001}},
}

var _ = Describe("The choice of a group", func() {
	for _, b := range bounds {
		It("holds its bounds and beats the baselines: "+b.name, func() {
			r := run(b.scenario, chosen)
			GinkgoWriter.Println(b.name, r)
			Expect(r.at(0.95)).To(BeNumerically("<=", b.p95))
			Expect(r.useful()).To(BeNumerically(">=", b.useful))
			Expect(r.hitShare()).To(BeNumerically(">=", b.hits))
			Expect(r.lost()).To(BeNumerically("<=", b.lost))
			for _, c := range baselines {
				plain := run(b.scenario, c)
				Expect(r.at(0.95)).To(BeNumerically("<=", plain.at(0.95)), c.name)
				Expect(r.lost()).To(BeNumerically("<=", plain.lost()), c.name)
			}
		})
	}

	// One replica of 50 falls to a fifth of its speed, and its home keeps its limit. Callers whose prefixes
	// belong there see tokens crawl until the fronts avoid it.
	It("gives a slow group only trials", func() {
		without := run(oneSlowFixed, balanced("", func(t *Table) { t.config.MaxSlowShare = 0 }))
		with := run(oneSlowFixed, chosen)
		Expect(with.crawledShare()).To(BeNumerically("<=", without.crawledShare()/2))
		Expect(with.byEngine[0]).To(BeNumerically(">", 0))
	})

	It("stays in the failure domain while there is room, and leaves it in time", func() {
		quiet := plainCalls
		quiet.load = constant(0.3)
		Expect(run(quiet, chosen).crossedShare()).To(BeNumerically("<=", 0.05))
		Expect(run(plainCalls, chosen).crossedShare()).To(BeNumerically("<=", 0.4))
		Expect(run(plainCalls, chosen).lost()).To(BeNumerically("<=", run(plainCalls, strictNear).lost()/10))
	})
})

// BenchmarkFigures prints the tables of docs/measurements/group-choice.md.
func BenchmarkFigures(b *testing.B) {
	scenarios := []scenario{largest}
	for _, s := range bounds {
		scenarios = append(scenarios, s.scenario)
	}
	for _, s := range scenarios {
		for _, c := range slices.Concat(baselines, rivals, []contender{chosen}) {
			b.Run(s.name+"/"+c.name, func(b *testing.B) {
				for range b.N {
					r := run(s, c)
					b.Logf("| %s | %s | %s | %4.1f |", s.name, c.name, r, 100*r.crossedShare())
				}
			})
		}
	}
}
