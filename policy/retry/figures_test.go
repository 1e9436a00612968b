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

func during(base, high float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return base
	}
}

var (
	healthy   = named("steady at 0.7", 10*sec, 40*sec, constant(0.7))
	impatient = named("the same, tries given up after 0.5 s", 10*sec, 40*sec, constant(0.7))
	burst     = named("burst from 0.2 to 2.0 for 5 s", 10*sec, 20*sec, during(0.2, 2, 10*sec, 15*sec))
	saturated = named("saturation at 1.5 for 20 s", 10*sec, 30*sec, during(0.7, 1.5, 10*sec, 30*sec))
	wayBack   = named("the 30 s after it", 30*sec, 60*sec, saturated.load)
	broken    = named("1 of 20 breaks each request", 10*sec, 40*sec, constant(0.7))
	died      = named("5 of 20 die, noticed after 2 s", 10*sec, 20*sec, constant(0.6))

	unbound = contender{"three blind retries", blind}
	single  = contender{"no retries", none}
	ours    = contender{"budget", budgeted(nil)}
	rivals  = []contender{
		{"budget of half", budgeted(func(c *Config) { c.Share = 0.5 })},
		{"budget without a burst", budgeted(func(c *Config) { c.Burst = 1 })},
		{"budget without a wait", budgeted(func(c *Config) { c.Backoff = 0 })},
	}
)

func init() {
	impatient.tryTimeout = sec / 2
	broken.events = func(_ time.Duration, s []*server) { s[3].broken = true }
	died.events = die
}

func named(name string, from, to time.Duration, load func(time.Duration) float64) scenario {
	return scenario{name: name, load: load, from: from, to: to, tryTimeout: sec}
}

func die(at time.Duration, servers []*server) {
	for _, s := range servers[:5] {
		if at >= 10*sec && !s.dead {
			s.dead = true
			s.life++
			s.diedAt = at
			s.busy = 0
			s.queue = nil
		}
	}
}

func BenchmarkFigures(b *testing.B) {
	for _, s := range []scenario{healthy, impatient, burst, saturated, wayBack, broken, died} {
		for _, c := range append([]contender{single, unbound, ours}, rivals...) {
			b.Run(s.name+"/"+c.name, func(b *testing.B) {
				for range b.N {
					b.Logf("| %s | %s | %s |", s.name, c.name, play(s, c))
				}
			})
		}
	}
}

var _ = Describe("Retries on a budget", func() {
	DescribeTable("hold their bounds, beside no retries and blind ones",
		func(s *scenario, lost, tries float64) {
			r := play(*s, ours)
			GinkgoWriter.Println(s.name, r)
			Expect(r.lost()).To(BeNumerically("<=", lost))
			Expect(r.perRequest()).To(BeNumerically("<=", tries))
			Expect(r.perRequest()).To(BeNumerically("<=", play(*s, unbound).perRequest()+0.01))
		},
		Entry("steady", &healthy, 0.002, 1.04),
		Entry("burst", &burst, 0.57, 1.13),
		Entry("saturation", &saturated, 0.52, 1.13),
		Entry("the way back", &wayBack, 0.02, 1.05),
		Entry("one server breaks what it gets", &broken, 0.002, 1.10),
		Entry("a quarter dies", &died, 0.02, 1.08),
	)

	// Tries are given up a little too early. Each costs an engine its time all the same, and blind retries
	// turn a healthy service into one that answers nobody.
	It("do not take a healthy service down", func() {
		r := play(impatient, ours)
		Expect(r.lost()).To(BeNumerically("<=", 0.12))
		Expect(r.lost()).To(BeNumerically("<=", play(impatient, single).lost()))
		Expect(play(impatient, unbound).lost()).To(BeNumerically(">=", 0.9))
	})

	// A quarter of the servers dies with what they had in progress. Without retries, callers see each of
	// those requests, and each sent there until it is noticed, fail.
	It("cover what died", func() {
		Expect(play(died, ours).lost()).To(BeNumerically("<=", play(died, single).lost()/4))
		Expect(play(broken, ours).lost()).To(BeNumerically("<=", play(broken, single).lost()/10))
	})

	failed := Try{Result: NotRun, Number: 1, TimeLeft: 10 * sec}
	DescribeTable("are made only where they may be",
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
		Entry("the caller has a part", func(t *Try) { t.AnswerBegun, t.Idempotent = true, true }, AnswerBegun),
		Entry("third try", func(t *Try) { t.Number = 3 }, TriesSpent),
		Entry("no time left", func(t *Try) { t.TimeLeft = 0 }, DeadlineNear),
		Entry("no time for a first token", func(t *Try) { t.MinTime = 10 * sec }, DeadlineNear),
	)

	It("wait longer with each try, at random", func() {
		b := NewBudget(DefaultConfig(), 0)
		Expect(b.backoff(1, 0.5)).To(Equal(25 * time.Millisecond))
		Expect(b.backoff(3, 1)).To(Equal(200 * time.Millisecond))
		Expect(b.backoff(30, 1)).To(Equal(time.Second))
		Expect(b.backoff(2, 0)).To(BeZero())
	})

	It("never exceed the budget, and a spent budget says so", func() {
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

	DescribeTable("refuse a configuration out of range", func(change func(*Config)) {
		c := DefaultConfig()
		Expect(c.Check()).To(Succeed())
		change(&c)
		Expect(errors.Is(c.Check(), ErrRange)).To(BeTrue())
	},
		Entry("share", func(c *Config) { c.Share = 2 }),
		Entry("no try at all", func(c *Config) { c.MaxTries = 0 }),
		Entry("longest wait below the first", func(c *Config) { c.MaxBackoff = 0 }),
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
