package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// group simulates a group whose token gap is base + each × requests in progress.
type group struct {
	*limit.Limit
	base, each time.Duration
	now        time.Duration
}

func (g *group) gap(running int) time.Duration { return g.base + time.Duration(running)*g.each }

// run observes 20 gaps a second for the given number of seconds, with running requests in progress, or with as many
// as the limit allows if running is 0.
func (g *group) run(seconds, running int) {
	for range seconds * 20 {
		g.now += 50 * time.Millisecond
		at := running
		if at == 0 {
			at = g.Current()
		}
		g.Observe(g.now, limit.Sample{Running: at, Gap: g.gap(at), GapCount: at})
	}
}

func newGroup(base, each time.Duration) *group {
	return &group{Limit: limit.New(limit.Config{Min: 2}), base: base, each: each}
}

var _ = Describe("Limit", func() {
	const ms = time.Millisecond

	It("starts slowly and finds the number at which the gap meets its objective", func() {
		g := newGroup(20*ms, ms/5)
		Expect(g.Current()).To(Equal(16))
		g.run(2, 0)
		Expect(g.Current()).To(BeNumerically("<", 60))
		g.run(20, 0)
		Expect(g.Current()).To(BeNumerically("~", 295, 10))
	})

	It("does not grow while it is not fully used", func() {
		g := newGroup(20*ms, ms/5)
		g.run(10, 8)
		Expect(g.Current()).To(Equal(16))
	})

	It("is lowered once, not repeatedly, while requests in progress end slowly", func() {
		g := newGroup(20*ms, ms/5)
		g.run(20, 0)
		g.each = ms / 2 // the objective is met at 118
		g.run(10, 295)
		Expect(g.Current()).To(BeNumerically("~", 147, 10))
		g.run(10, 0)
		Expect(g.Current()).To(BeNumerically("~", 118, 10))
	})

	It("is not lowered again when the same measurement repeats ten times", func() {
		g := newGroup(20*ms, ms/5)
		g.run(20, 0)
		g.run(1, 310)
		lowered := g.Current()
		g.run(10, 310)
		Expect(g.Current()).To(Equal(lowered))
	})

	It("returns at once to the current concurrency when that meets the objective again", func() {
		g := newGroup(20*ms, ms/5)
		g.run(20, 0)
		g.each = 2 * ms
		g.run(5, 200)
		Expect(g.Current()).To(BeNumerically("<", 120))
		g.each = ms / 5
		g.run(2, 180)
		Expect(g.Current()).To(BeNumerically(">=", 180))
	})

	// A group whose VM is throttled misses the objective even with a single request. If the limit dropped to its
	// minimum, the group would be idle, and callers would be rejected without making any answer faster.
	It("keeps using a group that can't meet the objective", func() {
		g := newGroup(20*ms, ms/5)
		g.run(20, 0)
		g.base = 100 * ms
		g.run(60, 0)
		Expect(g.Current()).To(BeNumerically(">", 20))
		g.base = 20 * ms
		g.run(20, 0)
		Expect(g.Current()).To(BeNumerically("~", 295, 10))
	})

	It("limits requests without a first token by the time to the first token", func() {
		l := limit.New(limit.Config{})
		first := l.Starting()
		observe := func(took time.Duration, starting int) {
			for range 60 {
				l.Observe(0, limit.Sample{Running: 50, FirstToken: took, Starting: starting})
				l.Observe(2*time.Second, limit.Sample{Running: 50, FirstToken: took, Starting: starting})
			}
		}
		observe(900*ms, first)
		Expect(l.Starting()).To(BeNumerically("<", first))
		lowered := l.Starting()
		observe(100*ms, lowered)
		Expect(l.Starting()).To(BeNumerically(">", lowered))
	})

	It("does not revert a decrease because the group got slower meanwhile", func() {
		g := newGroup(20*ms, ms/5)
		g.run(20, 0)
		g.run(2, 320)
		g.each = 2 * ms
		g.run(5, 200)
		Expect(g.Current()).To(BeNumerically("<", 120))
	})

	// lateFirstTokens observes first tokens that take 3 s, along with gaps.
	lateFirstTokens := func(g *group, seconds int) {
		for range 20 * seconds {
			g.now += 50 * ms
			g.Observe(g.now, limit.Sample{Running: g.Current(), FirstToken: 3 * time.Second, Starting: g.Starting()})
			g.Observe(g.now, limit.Sample{Running: g.Current(), Gap: g.gap(g.Current()), GapCount: g.Current()})
		}
	}

	// The engine's cache is full: it admits no more requests into the batch, so the gap is good while first tokens
	// take seconds. Callers see nothing for seconds, then a fluent answer.
	It("backs off when first tokens stay late although Starting is at its minimum", func() {
		g := newGroup(20*ms, ms/5)
		g.run(20, 0)
		g.each = ms / 10
		lateFirstTokens(g, 10)
		Expect(g.Starting()).To(Equal(4))
		before := g.Current()
		lateFirstTokens(g, 10)
		Expect(g.Current()).To(BeNumerically("<", before*2/3))
	})

	It("does not back off for late first tokens on a group that is slow as a whole", func() {
		g := newGroup(20*ms, ms/5)
		g.run(20, 0)
		g.base = 100 * ms
		g.run(60, 0)
		before := g.Current()
		lateFirstTokens(g, 20)
		Expect(g.Current()).To(BeNumerically("~", before, 2))
	})

	It("compares whole answers of a plain service with the objective", func() {
		l := limit.New(limit.Config{NonStreaming: true, FirstToken: 200 * ms})
		Expect(l.Starting()).To(BeZero())
		now := time.Duration(0)
		for range 2000 {
			now += 20 * ms
			l.Observe(now, limit.Sample{Running: l.Current(), FirstToken: time.Duration(l.Current()) * 4 * ms})
		}
		Expect(l.Current()).To(BeNumerically("~", 50, 3))
	})

	It("stays within its bounds", func() {
		l := limit.New(limit.Config{Min: 8, Max: 20})
		now := time.Duration(0)
		for _, gap := range []time.Duration{ms, 10 * time.Second} {
			for range 2000 {
				now += 20 * ms
				l.Observe(now, limit.Sample{Running: l.Current(), Gap: gap})
				Expect(l.Current()).To(And(BeNumerically(">=", 8), BeNumerically("<=", 20)))
			}
		}
	})

	DescribeTable("rejects a value out of range", func(config limit.Config, field string) {
		Expect(config.Check()).To(MatchError(HavePrefix(field + " is ")))
	},
		Entry("gap", limit.Config{TokenGap: time.Microsecond}, "TokenGap"),
		Entry("first token", limit.Config{FirstToken: time.Hour}, "FirstToken"),
		Entry("minimum above maximum", limit.Config{Min: 20, Max: 10}, "Min"),
		Entry("start above maximum", limit.Config{Start: 20, Max: 10}, "Start"),
	)

	It("accepts the defaults", func() { Expect(limit.Config{}.Check()).To(Succeed()) })
})

// observer returns a function that observes one gap and one first token.
func observer() func() {
	l := limit.New(limit.Config{})
	now := time.Duration(0)
	return func() {
		now += time.Millisecond
		l.Observe(now, limit.Sample{Running: l.Current(), Gap: 60 * time.Millisecond, GapCount: 1})
		l.Observe(now, limit.Sample{Running: l.Current(), FirstToken: 300 * time.Millisecond, Starting: 3})
	}
}

// TestObserveAllocatesNothing checks that Observe, which is on the hot path, does not allocate.
func TestObserveAllocatesNothing(t *testing.T) {
	if allocated := testing.AllocsPerRun(10_000, observer()); allocated > 0 {
		t.Errorf("%.2f allocations for two samples", allocated)
	}
}

// BenchmarkObserve measures two samples, a gap and a first token.
func BenchmarkObserve(b *testing.B) {
	observe := observer()
	b.ReportAllocs()
	for b.Loop() {
		observe()
	}
}
