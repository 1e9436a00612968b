package deadlines_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/deadlines"
)

func TestDeadlines(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deadlines")
}

var kind = deadlines.Kind{Model: "m"}

// observe has 100 requests per second observed for some time, whose deadlines are given by team, and returns the share taken for returning callers',
// of all and of team 0.
func observe(l *deadlines.Learner, from, length time.Duration, teams int, deadline func(team int) time.Duration) (share, ofFirst float64) {
	r := rand.New(rand.NewPCG(1, 2))
	var all, returning [2]float64 // of all teams, and of team 0
	for now := from; now < from+length; now += 10 * time.Millisecond {
		team := r.IntN(teams)
		remaining := time.Duration(float64(deadline(team)) * (0.85 + 0.3*r.Float64()))
		taken := l.Observe(now, kind, fmt.Sprint(team), remaining)
		for i := range 2 - min(team, 1) {
			all[i]++
			if taken {
				returning[i]++
			}
		}
	}
	return returning[0] / all[0], returning[1] / all[1]
}

var _ = Describe("Usual deadlines", func() {
	six := func(int) time.Duration { return 6 * time.Second }
	two := func(int) time.Duration { return 2 * time.Second }
	firstTwo := func(team int) time.Duration {
		if team == 0 {
			return 2 * time.Second
		}
		return 6 * time.Second
	}

	It("are learned from deadlines that differ by 15%, of which none counts as a returning caller's", func() {
		l := deadlines.New()
		share, _ := observe(l, 0, time.Minute, 24, six)
		Expect(share).To(BeNumerically("<", 0.002))
		Expect(l.Bound(kind)).To(BeNumerically("~", 4900*time.Millisecond, 250*time.Millisecond))
	})

	// Guards against one team that makes the returning callers of all others unrecognizable, and against its own requests counting as returning.
	It("follow no single team, which has a bound of its own", func() {
		l := deadlines.New()
		for _, teams := range []int{5, 24} {
			l = deadlines.New()
			_, first := observe(l, 0, time.Minute, teams, firstTwo)
			Expect(first).To(BeNumerically("<", 0.02))
			Expect(l.Bound(kind)).To(BeNumerically(">", 4500*time.Millisecond))
		}
		restored := deadlines.New()
		Expect(deadlines.Check(l.Store())).To(Succeed())
		restored.Restore(l.Store())
		Expect(restored.Recognize(kind, "0", 1700*time.Millisecond)).To(BeFalse())
		Expect(restored.Recognize(kind, "1", 4*time.Second)).To(BeTrue())
	})

	// Guards against callers that count as returning for ever once their deadlines become shorter.
	It("become shorter when most requests stay below them for longer than a deadline", func() {
		l := deadlines.New()
		observe(l, 0, 30*time.Second, 24, six)
		early, _ := observe(l, 30*time.Second, 5*time.Second, 24, two)
		Expect(early).To(Equal(1.0))
		observe(l, 35*time.Second, 25*time.Second, 24, two)
		late, _ := observe(l, time.Minute, 5*time.Second, 24, two)
		Expect(late).To(BeNumerically("<", 0.05))
	})

	// Guards against a bound that callers lower which return after a loss of all entries and are just above it.
	It("stay as they were while callers return", func() {
		l, restored := deadlines.New(), deadlines.New()
		observe(l, 0, 30*time.Second, 24, six)
		restored.Restore(l.Store())
		observe(restored, time.Hour, 3*time.Second, 24, func(int) time.Duration { return 5500 * time.Millisecond })
		Expect(restored.Bound(kind)).To(BeNumerically("~", l.Bound(kind), time.Millisecond))
		observe(restored, time.Hour+3*time.Second, 30*time.Second, 24, six)
		Expect(restored.Bound(kind)).To(BeNumerically("~", l.Bound(kind), 300*time.Millisecond))
	})

	It("are unknown at first, and of requests without a deadline", func() {
		l := deadlines.New()
		Expect(l.Observe(0, kind, "t", time.Second)).To(BeFalse())
		Expect(l.Observe(0, kind, "t", 0)).To(BeFalse())
		Expect(l.Recognize(deadlines.Kind{Model: "other"}, "t", time.Second)).To(BeFalse())
		Expect(l.Len()).To(BeZero())
	})
})
