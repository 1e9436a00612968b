package cost_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/cost"
)

func TestCost(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cost")
}

// caller draws answers of the given mean length and spread, and statements that are right at the median and off by a lognormal factor of 0.5.
type caller struct{ random *rand.Rand }

func (c caller) draw(mean float64) (stated, actual float64) {
	const spread, offBy = 0.7, 0.5
	actual = min(290, max(5, mean*math.Exp(spread*c.random.NormFloat64()-spread*spread/2)))
	return actual * math.Exp(offBy*c.random.NormFloat64()), actual
}

var _ = Describe("The estimator", func() {
	chat := cost.Kind{Service: "s", Model: "m", Route: "chat"}
	digest := cost.Kind{Service: "s", Model: "m", Route: "digest"}
	var e *cost.Estimator
	var c caller
	BeforeEach(func() {
		e = cost.New(cost.DefaultConfig())
		c = caller{rand.New(rand.NewPCG(1, 2))}
	})
	learn := func(now time.Duration, kind cost.Kind, team string, n int, mean float64) {
		for range n {
			stated, actual := c.draw(mean)
			e.Learn(now, cost.Sample{Kind: kind, Team: team, Stated: stated, Actual: actual, Complete: true})
		}
	}
	teams := []string{"a", "b", "c", "d"}

	// Load: 100 requests a second for 60 s. Guards against estimates that are worse than what callers state.
	It("is closer than the statements of callers, and right in sum", func() {
		var stated0, expected0, sumExpected, sumActual float64
		n := 0.0
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			stated, actual := c.draw(115)
			if now > 5*time.Second {
				expected := e.Expect(now, chat, stated, 0)
				stated0 += math.Abs(stated - actual)
				expected0 += math.Abs(expected - actual)
				sumExpected += expected
				sumActual += actual
				n++
			}
			e.Learn(now, cost.Sample{Kind: chat, Team: teams[c.random.IntN(4)], Stated: stated, Actual: actual, Complete: true})
		}
		off, known := e.ErrorOf(chat)
		GinkgoWriter.Printf("mean absolute error in tokens: as stated %.1f, estimated %.1f; sum of estimates / actual %.3f; mean relative error %.2f\n",
			stated0/n, expected0/n, sumExpected/sumActual, off)
		Expect(expected0).To(BeNumerically("<", 0.85*stated0))
		Expect(sumExpected / sumActual).To(BeNumerically("~", 1, 0.05))
		Expect(known).To(BeTrue())
		Expect(off).To(BeNumerically("<", 0.6))
	})

	It("learns nothing from truncated answers, which are short when servers fail", func() {
		learn(0, chat, "a", 20, 115)
		before := e.Expect(0, chat, 100, 0)
		for range 1000 {
			e.Learn(0, cost.Sample{Kind: chat, Team: "b", Stated: 100, Actual: 5})
		}
		Expect(e.Expect(0, chat, 100, 0)).To(Equal(before))
	})

	It("learns for one kind alone, and uses the model's mean for a kind never seen", func() {
		for i := range 200 {
			learn(0, chat, teams[i%4], 1, 20)
			learn(0, digest, teams[i%4], 1, 200)
		}
		Expect(e.Expect(0, chat, 0, 77)).To(Equal(77.0), "nothing is known of requests without a statement")
		short, long := e.Expect(0, chat, 60, 0), e.Expect(0, digest, 60, 0)
		Expect(long).To(BeNumerically(">", 1.5*short))
		unseen := e.Expect(0, cost.Kind{Service: "s", Model: "m", Route: "new"}, 60, 0)
		Expect(unseen).To(And(BeNumerically(">", short), BeNumerically("<", long)))
		Expect(e.Expect(0, cost.Kind{Service: "s", Model: "other"}, 60, 0)).To(Equal(unseen), "the service's mean")
		Expect(e.Expect(0, cost.Kind{Service: "other"}, 60, 0)).To(Equal(60.0), "the statement")
	})

	// One team sends 50 times as many requests as the others together, ten times as long.
	It("bounds the weight of one team", func() {
		for i := range 60 {
			e.Learn(0, cost.Sample{Kind: chat, Team: teams[i%3], Actual: 20, Complete: true})
		}
		for range 3000 {
			e.Learn(0, cost.Sample{Kind: chat, Team: "batch", Actual: 200, Complete: true})
		}
		// By its share of 0.4 alone, the mean is 92, and by its number 196. The correction from median to mean lags behind a little.
		Expect(e.Expect(0, chat, 0, 0)).To(BeNumerically("<", 1.15*(0.6*20+0.4*200)))
	})

	It("follows a change of habit within some half-lives, and forgets a kind that is gone", func() {
		learn(0, chat, "a", 200, 20)
		for now := time.Duration(0); now < 4*time.Minute; now += 100 * time.Millisecond {
			learn(now, chat, teams[c.random.IntN(4)], 1, 200)
		}
		Expect(e.Expect(4*time.Minute, chat, 200, 0)).To(BeNumerically(">", 120))
		learn(time.Hour, digest, "a", 1, 50)
		_, known := e.ErrorOf(chat)
		Expect(known).To(BeFalse())
	})

	It("ignores values that are no costs", func() {
		for _, actual := range []float64{0, -1, math.NaN(), math.Inf(1)} {
			e.Learn(0, cost.Sample{Kind: chat, Actual: actual, Complete: true})
		}
		_, known := e.ErrorOf(chat)
		Expect(known).To(BeFalse())
		Expect(e.Expect(0, chat, 0, 0)).To(BeZero())
	})
})
