package balance

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/shift"
)

// joining makes the first engines serve from 15 s on only, with nothing cached.
func joining(count int, warmup time.Duration) func(time.Duration, []*engine) {
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

func joins(name string, count int, change func(*scenario)) scenario {
	return named(name, func(s *scenario) {
		s.load = constant(0.7)
		s.events = joining(count, 0)
		s.count(15*sec, 25*sec)
		if change != nil {
			change(s)
		}
	})
}

var (
	joined = joins("1 of 50 is new, at 0.7", 1, nil)
	joins5 = joins("5 of 50 are new, at 0.8", 5, func(s *scenario) { s.load = constant(0.8) })
	plain9 = joins("1 of 9 is new, no prefixes, at 0.7", 1, func(s *scenario) { s.prefix, s.replicas = noPrefix, 9 })
	plain3 = joins("1 of 3 is new, no prefixes, at 0.5", 1, func(s *scenario) {
		s.prefix, s.replicas, s.load = noPrefix, 3, constant(0.5)
	})
	warm1 = joins("1 of 50 is new, at 0.7, 5 s at 0.3 of its speed", 1, func(s *scenario) { s.events = joining(1, 5*sec) })
	warm5 = joins("5 of 50 are new, at 0.8, 5 s at 0.3 of its speed", 5, func(s *scenario) {
		s.load, s.events = constant(0.8), joining(5, 5*sec)
	})
	warm9 = joins("1 of 9 is new, no prefixes, at 0.7, 5 s at 0.3 of its speed", 1, func(s *scenario) {
		s.prefix, s.replicas, s.events = noPrefix, 9, joining(1, 5*sec)
	})
	allNew = joins("all 50 are new, at 0.7", 50, nil)
)

func ramped(name string, ramp shift.Ramp) contender {
	return balanced(name, func(t *Table) { t.config.SlowStart = ramp })
}

var ramps = []contender{
	ramped("no ramp", shift.Ramp{Floor: 1}),
	ramped("5 s from 0.1", shift.Ramp{Floor: 0.1, Window: 5 * sec}),
	ramped("20 s from 0.1", shift.Ramp{Floor: 0.1, Window: 20 * sec}),
	ramped("10 s from 0.1 (default)", shift.DefaultRamp()),
	ramped("60 s from 0.1", shift.Ramp{Floor: 0.1, Window: 60 * sec}),
	ramped("20 s from 0.5", shift.Ramp{Floor: 0.5, Window: 20 * sec}),
	baseline("least loaded", leastLoaded),
}

// BenchmarkSlowStart prints the first table of docs/measurements/shifting.md.
func BenchmarkSlowStart(b *testing.B) {
	for _, s := range []scenario{joined, joins5, plain9, plain3, warm1, warm5, warm9, allNew} {
		for _, c := range ramps {
			b.Run(s.name+"/"+c.name, func(b *testing.B) {
				for range b.N {
					r := run(s, c)
					b.Logf("| %s | %s | %s | %d | %d |", s.name, c.name, r, quantile(r.onFirst, 0.95).Milliseconds(), r.byEngine[0])
				}
			})
		}
	}
}

var _ = Describe("A new group", func() {
	// Five replicas of 50 were replaced, and their engines are slow for their first batches. Callers whose
	// prefixes moved there wait seconds for a first token.
	It("is given its part bit by bit", func() {
		with, without := run(warm5, chosen), run(warm5, ramps[0])
		GinkgoWriter.Println(with, without)
		Expect(with.at(0.99)).To(BeNumerically("<=", without.at(0.99)*6/10))
		Expect(quantile(with.onFirst, 0.95)).To(BeNumerically("<=", quantile(without.onFirst, 0.95)*6/10))
		Expect(with.useful()).To(BeNumerically(">=", without.useful()-0.01))
		Expect(run(joined, chosen).at(0.95)).To(BeNumerically("<=", 110*ms))
		Expect(run(joins5, chosen).at(0.95)).To(BeNumerically("<=", 700*ms))
	})

	It("is given its whole part where all are new", func() {
		Expect(run(allNew, chosen).String()).To(Equal(run(allNew, ramps[0]).String()))
	})
})
