package balance

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/shift"
)

// startLater makes the first count engines serve only from 15 s on, with an empty cache and at 0.3 of their speed
// during warmup.
func startLater(count int, warmup time.Duration) func(time.Duration, []*engine) {
	return func(at time.Duration, engines []*engine) {
		for _, e := range engines[:count] {
			e.up = at >= 15*sec
			e.servingSince = 15 * sec
			e.speed = 1
			if at < 15*sec+warmup {
				e.speed = 0.3
			}
		}
	}
}

func joinScenario(name string, count int, change func(*scenario)) scenario {
	return newScenario(name, func(s *scenario) {
		s.load = constantLoad(0.7)
		s.events = startLater(count, 0)
		s.measureBetween(15*sec, 25*sec)
		if change != nil {
			change(s)
		}
	})
}

var (
	oneNewOf50  = joinScenario("1 of 50 is new, at 0.7", 1, nil)
	fiveNewOf50 = joinScenario("5 of 50 are new, at 0.8", 5, func(s *scenario) { s.load = constantLoad(0.8) })
	oneNewOf9   = joinScenario("1 of 9 is new, no prefixes, at 0.7", 1, func(s *scenario) { s.prefix, s.replicas = noPrefix, 9 })
	oneNewOf3   = joinScenario("1 of 3 is new, no prefixes, at 0.5", 1, func(s *scenario) {
		s.prefix, s.replicas, s.load = noPrefix, 3, constantLoad(0.5)
	})
	oneColdOf50  = joinScenario("1 of 50 is new, at 0.7, 5 s at 0.3 of its speed", 1, func(s *scenario) { s.events = startLater(1, 5*sec) })
	fiveColdOf50 = joinScenario("5 of 50 are new, at 0.8, 5 s at 0.3 of its speed", 5, func(s *scenario) {
		s.load, s.events = constantLoad(0.8), startLater(5, 5*sec)
	})
	oneColdOf9 = joinScenario("1 of 9 is new, no prefixes, at 0.7, 5 s at 0.3 of its speed", 1, func(s *scenario) {
		s.prefix, s.replicas, s.events = noPrefix, 9, startLater(1, 5*sec)
	})
	allNew = joinScenario("all 50 are new, at 0.7", 50, nil)
)

func rampVariant(name string, ramp shift.Ramp) variant {
	return tableVariant(name, func(t *Table) { t.config.SlowStart = ramp })
}

var rampVariants = []variant{
	rampVariant("no ramp", shift.Ramp{Floor: 1}),
	rampVariant("5 s from 0.1", shift.Ramp{Floor: 0.1, Window: 5 * sec}),
	rampVariant("20 s from 0.1", shift.Ramp{Floor: 0.1, Window: 20 * sec}),
	rampVariant("10 s from 0.1 (default)", shift.DefaultRamp()),
	rampVariant("60 s from 0.1", shift.Ramp{Floor: 0.1, Window: 60 * sec}),
	rampVariant("20 s from 0.5", shift.Ramp{Floor: 0.5, Window: 20 * sec}),
	baselineVariant("least loaded", leastLoaded),
}

// BenchmarkSlowStart prints the first table of docs/measurements/shifting.md.
func BenchmarkSlowStart(b *testing.B) {
	for _, s := range []scenario{oneNewOf50, fiveNewOf50, oneNewOf9, oneNewOf3, oneColdOf50, fiveColdOf50, oneColdOf9, allNew} {
		for _, c := range rampVariants {
			b.Run(s.name+"/"+c.name, func(b *testing.B) {
				for range b.N {
					r := runVariant(s, c)
					b.Logf("| %s | %s | %s | %d | %d |", s.name, c.name, r, quantile(r.firstTokensOnEngine0, 0.95).Milliseconds(), r.byEngine[0])
				}
			})
		}
	}
}

var _ = Describe("A new group", func() {
	// Five replicas of 50 were replaced, and their engines are slow for their first batches. Callers whose
	// prefixes moved there wait seconds for a first token.
	It("receives its share of the load gradually", func() {
		with, without := runVariant(fiveColdOf50, defaultVariant), runVariant(fiveColdOf50, rampVariants[0])
		GinkgoWriter.Println(with, without)
		Expect(with.ttftQuantile(0.99)).To(BeNumerically("<=", without.ttftQuantile(0.99)*6/10))
		Expect(quantile(with.firstTokensOnEngine0, 0.95)).To(BeNumerically("<=", quantile(without.firstTokensOnEngine0, 0.95)*6/10))
		Expect(with.goodput()).To(BeNumerically(">=", without.goodput()-0.01))
		Expect(runVariant(oneNewOf50, defaultVariant).ttftQuantile(0.95)).To(BeNumerically("<=", 110*ms))
		Expect(runVariant(fiveNewOf50, defaultVariant).ttftQuantile(0.95)).To(BeNumerically("<=", 700*ms))
	})

	It("receives its full share if all groups are new", func() {
		Expect(runVariant(allNew, defaultVariant).String()).To(Equal(runVariant(allNew, rampVariants[0]).String()))
	})
})
