package limit_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
	"github.com/skylarkpond/skylarkpond/policy/limit"
)

const objective = 79 * time.Millisecond

func adaptive() playback.Limiter { return limit.New(limit.Config{}) }

type result struct {
	*playback.Run
	playback.Summary
	gap time.Duration
}

func simulate(s playback.Scenario, limits playback.Limiter) result {
	run := s.Play(playback.NewFairQueue(fairqueue.Config{}), limits)
	return result{Run: run, Summary: run.Summary(), gap: run.Home.Gaps.Quantile(0.95)}
}

// limitsBetween returns the lowest and the highest limit in a part of the run.
func (p result) limitsBetween(from, until time.Duration) (low, high int) {
	part := p.Home.Limits[int(from.Seconds()):int(until.Seconds())]
	return slices.Min(part), slices.Max(part)
}

func milliseconds(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) }

// smallCache mixes long requests among short ones, on an engine whose cache holds less than the batch needs.
func smallCache() playback.Scenario {
	s := playback.LongAmongShort(1.3)
	s.Name += ", small cache"
	s.Engine.KVTokens = 400_000
	return s
}

// A batching engine accepts more requests than it serves well: the batch grows, all answers in it slow down, and
// callers see tokens stutter and answers arrive after they gave up.
var _ = Describe("figures", Ordered, func() {
	scenarios := []playback.Scenario{
		playback.Steady(), playback.Burst(), playback.SlowServer(), playback.LongAmongShort(1.3), smallCache(), playback.Saturation(),
	}
	results := make(map[string]map[string]result)
	adaptiveName, bestFixedName := "adaptive", "fixed 313"

	BeforeAll(func() {
		table := playback.NewTable("load", "limit", "answered", "refused", "too late", "useful work of capacity",
			"wait 50 / 95, s", "first token 50 / 95, s", "gap 95, ms", "limit, lowest to highest")
		for _, s := range scenarios {
			results[s.Name] = make(map[string]result)
			for _, alternative := range []struct {
				name   string
				limits playback.Limiter
			}{
				{"fixed 100", playback.FixedLimit(100)},
				{bestFixedName, playback.FixedLimit(313)},
				{"fixed 600", playback.FixedLimit(600)},
				{"AIMD", newAIMD()},
				{"plain gradient", newGradient()},
				{"adaptive, one bound", oneBound{limit.New(limit.Config{})}},
				{adaptiveName, adaptive()},
			} {
				p := simulate(s, alternative.limits)
				results[s.Name][alternative.name] = p
				low, high := p.limitsBetween(s.From, s.Until)
				offered := float64(p.Offered)
				table.AddRow(s.Name, alternative.name, playback.Percent(float64(p.Answered), offered), playback.Percent(float64(p.Refused), offered),
					playback.Percent(float64(p.Late), offered), playback.Ratio(p.Goodput(p.Summary)), p.Wait.Format(), p.FirstToken.Format(),
					milliseconds(p.gap), fmt.Sprintf("%d to %d", low, high))
			}
		}
		fmt.Fprintf(GinkgoWriter, "\n### Concurrency limits before one engine, the same fair queue\n\n%s", table)
	})

	It("reaches the throughput of the best fixed limit within the objective, without configuration", func() {
		for _, s := range []playback.Scenario{playback.Steady(), playback.Saturation(), playback.LongAmongShort(1.3)} {
			p, fixed := results[s.Name][adaptiveName], results[s.Name][bestFixedName]
			Expect(p.Goodput(p.Summary)).To(BeNumerically(">", 0.95*fixed.Goodput(fixed.Summary)), s.Name)
			Expect(p.gap).To(BeNumerically("<", objective*103/100), s.Name)
		}
	})

	It("prevents late answers from a server at a fifth of its speed, and recovers soon", func() {
		p := results[playback.SlowServer().Name][adaptiveName]
		fixed := results[playback.SlowServer().Name][bestFixedName]
		Expect(float64(fixed.Late)).To(BeNumerically(">", 0.1*float64(fixed.Offered)))
		Expect(float64(p.Late)).To(BeNumerically("<", 0.005*float64(p.Offered)))
		Expect(p.FirstToken.P95).To(BeNumerically("<", 640*time.Millisecond))
		after := p.Between(2*time.Minute+20*time.Second, 4*time.Minute)
		Expect(float64(after.Refused)).To(BeNumerically("<", 0.01*float64(after.Offered)))
	})

	It("keeps the prompts of a burst from queueing in the engine", func() {
		name := playback.Burst().Name
		Expect(results[name][bestFixedName].FirstToken.P95).To(BeNumerically(">", 4*time.Second))
		Expect(results[name][adaptiveName].FirstToken.P95).To(BeNumerically("<", 2*time.Second))
	})

	It("backs off when the engine's cache is full, which the gap does not show", func() {
		p, fixed := results[smallCache().Name][adaptiveName], results[smallCache().Name][bestFixedName]
		Expect(fixed.FirstToken.P95).To(BeNumerically(">", 20*time.Second))
		Expect(p.FirstToken.P95).To(BeNumerically("<", 3*time.Second))
		Expect(p.Goodput(p.Summary)).To(BeNumerically(">", fixed.Goodput(fixed.Summary)))
	})

	It("stays stable when measurements are delayed", func() {
		table := playback.NewTable("measured to heard", "limit", "useful work of capacity", "too late", "gap 95, ms", "first token 95, s", "limit, lowest to highest after the first minute")
		for _, lag := range []time.Duration{0, time.Second, 3 * time.Second, 10 * time.Second} {
			for _, alternative := range []struct {
				name   string
				limits playback.Limiter
			}{{"AIMD", newAIMD()}, {"plain gradient", newGradient()}, {adaptiveName, adaptive()}} {
				s := playback.Saturation()
				s.ObservationDelay = lag
				p := simulate(s, alternative.limits)
				low, high := p.limitsBetween(2*time.Minute, s.Until)
				table.AddRow(lag.String(), alternative.name, playback.Ratio(p.Goodput(p.Summary)), playback.Percent(float64(p.Late), float64(p.Offered)),
					milliseconds(p.gap), playback.Seconds(p.FirstToken.P95), fmt.Sprintf("%d to %d", low, high))
				if alternative.name == adaptiveName && lag <= 3*time.Second {
					Expect(p.Goodput(p.Summary)).To(BeNumerically(">", 0.9), lag.String())
					Expect(p.gap).To(BeNumerically("<", objective*105/100), lag.String())
					Expect(low).To(BeNumerically(">", 270), lag.String())
					Expect(high).To(BeNumerically("<", 350), lag.String())
				}
			}
		}
		fmt.Fprintf(GinkgoWriter, "\n### 1.5x the capacity, measurements that come late\n\n%s", table)
	})
})
