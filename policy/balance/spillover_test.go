package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// noBound is a load that no group reaches: nothing is ever passed over.
const noBound = 1e9

// strictWhenFull does not spill over while the service is saturated.
type strictWhenFull struct{ ours }

func (s strictWhenFull) choose(now time.Duration, prefix uint64, r *rand.Rand) int {
	s.table.refresh(now)
	s.table.config.MinLoadBound = DefaultConfig().MinLoadBound
	if s.table.mean() >= 1 {
		s.table.config.MinLoadBound = noBound
	}
	return s.ours.choose(now, prefix, r)
}

// Strict priority, as message queues have it: the first consumer that matches takes everything, also when
// it is at its capacity; consumers with the same subscription are merged.
var strictness = []contender{
	balanced("strict: the first group only", func(t *Table) { t.config.MinLoadBound, t.config.SpreadFactor = noBound, 1e-9 }),
	balanced("strict, a popular prefix's groups merged", func(t *Table) { t.config.MinLoadBound = noBound }),
	{"strict while saturated, else spill-over", func(s scenario, front int) chooser {
		return strictWhenFull{chosen.build(s, front).(ours)}
	}},
	strictNear,
	chosen,
}

// BenchmarkSpillOver prints the table of docs/measurements/spill-over.md.
func BenchmarkSpillOver(b *testing.B) {
	for _, s := range []scenario{steady, burst, hot, skewed, freshHot, oneSlow, saturated, wayBack, plainCalls} {
		for _, c := range strictness {
			b.Run(s.name+"/"+c.name, func(b *testing.B) {
				for range b.N {
					b.Logf("| %s | %s | %s |", s.name, c.name, run(s, c))
				}
			})
		}
	}
}

var _ = Describe("Spill-over", func() {
	// One prefix is everyone's this minute. With strict priority its callers wait in one queue, beside
	// groups that idle.
	It("serves what strict priority leaves waiting", func() {
		for _, s := range []scenario{hot, skewed, freshHot} {
			Expect(run(s, strictness[0]).lost()).To(BeNumerically(">=", 0.3), s.name)
			Expect(run(s, chosen).lost()).To(BeNumerically("<=", 0.001), s.name)
		}
	})
})
