package retry

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Retries")
}

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func pulse(base, high float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return base
	}
}

var (
	healthy      = newScenario("steady at 0.7", 10*sec, 40*sec, constant(0.7))
	shortTimeout = newScenario("steady at 0.7, tries time out after 0.5 s", 10*sec, 40*sec, constant(0.7))
	burst        = newScenario("burst from 0.2 to 2.0 for 5 s", 10*sec, 20*sec, pulse(0.2, 2, 10*sec, 15*sec))
	saturated    = newScenario("saturation at 1.5 for 20 s", 10*sec, 30*sec, pulse(0.7, 1.5, 10*sec, 30*sec))
	recovery     = newScenario("the 30 s after the saturation", 30*sec, 60*sec, saturated.load)
	broken       = newScenario("1 of 20 fails every request", 10*sec, 40*sec, constant(0.7))
	died         = newScenario("5 of 20 die, detected after 2 s", 10*sec, 20*sec, constant(0.6))

	blind    = strategy{"three unconditional retries", blindRetries}
	none     = strategy{"no retries", noRetries}
	budget   = strategy{"budget", budgeted(nil)}
	variants = []strategy{
		{"budget with a share of 0.5", budgeted(func(c *Config) { c.Share = 0.5 })},
		{"budget without a burst", budgeted(func(c *Config) { c.Burst = 1 })},
		{"budget without backoff", budgeted(func(c *Config) { c.Backoff = 0 })},
	}
)

func init() {
	shortTimeout.tryTimeout = sec / 2
	broken.events = func(_ time.Duration, s []*server) { s[3].broken = true }
	died.events = killServers
}

func newScenario(name string, from, to time.Duration, load func(time.Duration) float64) scenario {
	return scenario{name: name, load: load, from: from, to: to, tryTimeout: sec}
}

func killServers(at time.Duration, servers []*server) {
	for _, s := range servers[:5] {
		if at >= 10*sec && !s.dead {
			s.dead = true
			s.generation++
			s.diedAt = at
			s.busy = 0
			s.queue = nil
		}
	}
}

func BenchmarkFigures(b *testing.B) {
	for _, s := range []scenario{healthy, shortTimeout, burst, saturated, recovery, broken, died} {
		for _, c := range append([]strategy{none, blind, budget}, variants...) {
			b.Run(s.name+"/"+c.name, func(b *testing.B) {
				for range b.N {
					b.Logf("| %s | %s | %s |", s.name, c.name, simulate(s, c))
				}
			})
		}
	}
}

var _ = Describe("Retries on a budget", func() {
	DescribeTable("bound lost requests and tries per request",
		func(s *scenario, lost, tries float64) {
			r := simulate(*s, budget)
			GinkgoWriter.Println(s.name, r)
			Expect(r.lossRatio()).To(BeNumerically("<=", lost))
			Expect(r.triesPerRequest()).To(BeNumerically("<=", tries))
			Expect(r.triesPerRequest()).To(BeNumerically("<=", simulate(*s, blind).triesPerRequest()+0.01))
		},
		Entry("steady", &healthy, 0.002, 1.04),
		Entry("burst", &burst, 0.57, 1.13),
		Entry("saturation", &saturated, 0.52, 1.13),
		Entry("recovery", &recovery, 0.02, 1.05),
		Entry("one server fails every request", &broken, 0.002, 1.10),
		Entry("a quarter dies", &died, 0.02, 1.08),
	)

	// Tries time out a little too early. Each still costs an engine its full time, and unconditional retries turn a
	// healthy service into one that answers nobody.
	It("do not take a healthy service down", func() {
		r := simulate(shortTimeout, budget)
		Expect(r.lossRatio()).To(BeNumerically("<=", 0.12))
		Expect(r.lossRatio()).To(BeNumerically("<=", simulate(shortTimeout, none).lossRatio()))
		Expect(simulate(shortTimeout, blind).lossRatio()).To(BeNumerically(">=", 0.9))
	})

	// A quarter of the servers dies with requests in progress. Without retries, callers see the failure of each of
	// these requests and of each request sent there until the failure is detected.
	It("cover the requests of servers that die", func() {
		Expect(simulate(died, budget).lossRatio()).To(BeNumerically("<=", simulate(died, none).lossRatio()/4))
		Expect(simulate(broken, budget).lossRatio()).To(BeNumerically("<=", simulate(broken, none).lossRatio()/10))
	})

	failed := Try{Result: NotRun, Number: 1, TimeLeft: 10 * sec}
	DescribeTable("are made only where allowed",
		func(change func(*Try), reason Reason) {
			try := failed
			change(&try)
			d := NewBudget(DefaultConfig(), 0).Decide(0, try, 0.5)
			Expect(d.Reason).To(Equal(reason), d.Reason.String())
			Expect(d.Wait > 0).To(Equal(reason == Again))
		},
		Entry("did not run", func(t *Try) {}, Again),
		Entry("may have run, idempotent", func(t *Try) { t.Result, t.Idempotent = MayHaveRun, true }, Again),
		Entry("may have run, not idempotent", func(t *Try) { t.Result = MayHaveRun }, NotRepeatable),
		Entry("a final answer", func(t *Try) { t.Result, t.Idempotent = Final, true }, ResultFinal),
		Entry("the answer has begun", func(t *Try) { t.AnswerBegun, t.Idempotent = true, true }, AnswerBegun),
		Entry("third try", func(t *Try) { t.Number = 3 }, TriesSpent),
		Entry("no time left", func(t *Try) { t.TimeLeft = 0 }, DeadlineNear),
		Entry("no time for a first token", func(t *Try) { t.MinTime = 10 * sec }, DeadlineNear),
	)

	It("back off exponentially with full jitter", func() {
		b := NewBudget(DefaultConfig(), 0)
		Expect(b.backoff(1, 0.5)).To(Equal(25 * time.Millisecond))
		Expect(b.backoff(3, 1)).To(Equal(200 * time.Millisecond))
		Expect(b.backoff(30, 1)).To(Equal(time.Second))
		Expect(b.backoff(2, 0)).To(BeZero())
	})

	It("never exceed the budget, and are refused when it is spent", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := NewBudget(DefaultConfig(), 0)
			now, first, retries := time.Duration(0), 0.0, 0.0
			for range rapid.IntRange(0, 300).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond
				if rapid.Bool().Draw(t, "first") {
					b.FirstTry(now)
					first++
					continue
				}
				had := b.Available(now)
				again := b.Decide(now, failed, 0.5).Reason == Again
				if again != (had >= 1) {
					t.Fatalf("again is %v with %v left", again, had)
				}
				if again {
					retries++
				}
			}
			if most := 20 + 0.1*first + 0.5*now.Seconds(); retries > most+1e-6 {
				t.Fatalf("%v retries, %v at most", retries, most)
			}
		})
	})

	DescribeTable("reject a configuration out of range", func(change func(*Config)) {
		c := DefaultConfig()
		Expect(c.Check()).To(Succeed())
		change(&c)
		Expect(errors.Is(c.Check(), ErrRange)).To(BeTrue())
	},
		Entry("share", func(c *Config) { c.Share = 2 }),
		Entry("no tries", func(c *Config) { c.MaxTries = 0 }),
		Entry("maximum backoff below backoff", func(c *Config) { c.MaxBackoff = 0 }),
	)
})

func BenchmarkDecide(b *testing.B) {
	budget := NewBudget(DefaultConfig(), 0)
	b.ReportAllocs()
	for i := range b.N {
		budget.FirstTry(time.Duration(i))
		budget.Decide(time.Duration(i), Try{Result: NotRun, Number: 1, TimeLeft: sec}, 0.5)
	}
}
