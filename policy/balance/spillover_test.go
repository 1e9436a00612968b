package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// noBound is a load that no group reaches, so that no group is passed over.
const noBound = 1e9

// strictWhenSaturated does not spill over while the service is saturated.
type strictWhenSaturated struct{ tableChooser }

func (s strictWhenSaturated) choose(now time.Duration, prefix uint64, r *rand.Rand) int {
	s.table.refresh(now)
	s.table.config.MinLoadBound = DefaultConfig().MinLoadBound
	if s.table.meanLoad() >= 1 {
		s.table.config.MinLoadBound = noBound
	}
	return s.tableChooser.choose(now, prefix, r)
}

// priorityVariants compares spill-over with strict priority as in message queues: the first matching consumer gets
// everything, even at its capacity; consumers with the same subscription are merged.
var priorityVariants = []variant{
	tableVariant("strict: the first group only", func(t *Table) { t.config.MinLoadBound, t.config.SpreadFactor = noBound, 1e-9 }),
	tableVariant("strict, a popular prefix's groups merged", func(t *Table) { t.config.MinLoadBound = noBound }),
	{"strict while saturated, else spill-over", func(s scenario, front int) chooser {
		return strictWhenSaturated{defaultVariant.build(s, front).(tableChooser)}
	}},
	nearOnlyVariant,
	defaultVariant,
}

// BenchmarkSpillOver prints the table of docs/measurements/spill-over.md.
func BenchmarkSpillOver(b *testing.B) {
	for _, s := range []scenario{steady, burst, hot, skewed, newHotPrefix, oneSlow, saturated, recovery, unevenEntry} {
		for _, c := range priorityVariants {
			b.Run(s.name+"/"+c.name, func(b *testing.B) {
				for range b.N {
					b.Logf("| %s | %s | %s |", s.name, c.name, runVariant(s, c))
				}
			})
		}
	}
}

var _ = Describe("Spill-over", func() {
	// One prefix takes most of the load for a while. With strict priority its requests wait in one queue while
	// other groups are idle.
	It("serves requests that strict priority would lose", func() {
		for _, s := range []scenario{hot, skewed, newHotPrefix} {
			Expect(runVariant(s, priorityVariants[0]).lost()).To(BeNumerically(">=", 0.3), s.name)
			Expect(runVariant(s, defaultVariant).lost()).To(BeNumerically("<=", 0.001), s.name)
		}
	})
})
