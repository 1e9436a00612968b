package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/internal/fleet"
	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// bestFixedLimit is the best fixed limit of one group. An operator could find it only by measurement.
const bestFixedLimit = 313

func adaptive(float64) playback.Limiter { return limit.New(limit.Config{}) }

// localAdaptive starts with a low limit, because many fronts start sending to each group at once.
func localAdaptive(float64) playback.Limiter { return limit.New(limit.Config{Min: 1, Start: 2}) }

func fixed(share float64) playback.Limiter {
	return playback.FixedLimit(max(1, int(bestFixedLimit*share+0.5)))
}

// load is a load pattern. rate is a multiple of the capacity of the fleet, as a function of the time since
// the start of the measured period.
type load struct {
	name           string
	rate           func(at time.Duration) float64
	maxRate        float64
	skewed         bool
	callersPerTeam int
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func burst(at time.Duration) float64 {
	if at >= 2*time.Second && at < 7*time.Second {
		return 7
	}
	return 0.7
}

var (
	fewTeams = load{name: "2 of 10 teams send 80%, 0.9x", rate: constant(0.9), maxRate: 0.9, skewed: true, callersPerTeam: 16}
	loads    = []load{
		{name: "burst 10x for 5 s", rate: burst, maxRate: 7, callersPerTeam: 16},
		fewTeams,
		{name: "the same, 1.5x", rate: constant(1.5), maxRate: 1.5, skewed: true, callersPerTeam: 16},
		{name: "the same, 0.9x, 16 times the callers", rate: constant(0.9), maxRate: 0.9, skewed: true, callersPerTeam: 256},
	}
)

// config returns the configuration of a fleet under the load. The run warms up for the duration warm and is
// then measured for the same duration.
func (l load) config(fronts, groups int, warm time.Duration) fleet.Config {
	engine := playback.DefaultEngine()
	perSecond, _ := engine.Capacity(playback.SteadyGap, playback.MeanPrompt, playback.MeanOutput)
	capacity := perSecond * float64(groups)
	c := fleet.Config{
		Fronts: fronts, Groups: groups, Engine: engine,
		Traffic: playback.Traffic{
			Teams: playback.Teams(10), MaxRate: capacity * l.maxRate,
			Rate:   func(at time.Duration) float64 { return capacity * l.rate(at-warm) },
			Prompt: playback.MeanPrompt, Output: playback.MeanOutput,
			EstimateError: 0.4, Patience: 10 * time.Second, PatiencePerToken: 2 * playback.SteadyGap, Seed: 1,
		},
		CallersPerTeam: l.callersPerTeam, AddressTTL: 30 * time.Second,
		HopLatency: 1500 * time.Microsecond, LoadReportInterval: time.Second,
		ArrivalPeriod: 2 * warm, MeasureFrom: warm, MeasureUntil: 2 * warm,
	}
	if l.skewed {
		c.Traffic.Teams[0].TrafficWeight, c.Traffic.Teams[1].TrafficWeight = 16, 16
	}
	return c
}

// strategy is a way to limit the requests in progress on the groups.
type strategy struct {
	name  string
	build fleet.DispatcherFactory
}

var (
	homesAdaptive = strategy{"homes, adaptive", fleet.Homes(adaptive)}
	homesFixed    = strategy{"homes, fixed 313", fleet.Homes(fixed)}
	localFixed    = strategy{"local, 313 divided among fronts", fleet.LocalLimits(fixed, 0)}
	localOwn      = strategy{"local, adaptive", fleet.LocalLimits(localAdaptive, 0)}
	localSubset   = strategy{"local, adaptive, 40 groups a front", fleet.LocalLimits(localAdaptive, 40)}
)

func answeredShare(r fleet.Result) float64 { return float64(r.Answered) / float64(r.Offered) }

// With local limits, a front that carries a large part of the callers has too small a limit and refuses
// requests while groups are idle. Together, the local limits are too large where each front may send one
// request to each group.
var _ = Describe("homes beside local limits", func() {
	DescribeTable("answers what few callers send, where local limits refuse", func(fronts, groups int, warm time.Duration, alternative strategy, most float64) {
		home := fewTeams.config(fronts, groups, warm).Simulate(homesAdaptive.build)
		Expect(answeredShare(home)).To(BeNumerically(">", 0.99))
		Expect(home.FirstToken.P95).To(BeNumerically("<", 640*time.Millisecond))
		Expect(home.MaxRunning).To(BeNumerically("<", bestFixedLimit))
		Expect(answeredShare(fewTeams.config(fronts, groups, warm).Simulate(alternative.build))).To(BeNumerically("<", most))
	},
		Entry("13 fronts, 53 groups", 13, 53, 40*time.Second, localFixed, 0.97),
		Entry("21 fronts, 53 groups", 21, 53, 40*time.Second, localFixed, 0.97),
		Entry("330 fronts, 630 groups", 330, 630, 12*time.Second, localSubset, 0.85),
	)

	It("answers no more than local adaptive limits do at today's size, and no less", func() {
		home := fewTeams.config(21, 53, 40*time.Second).Simulate(homesAdaptive.build)
		local := fewTeams.config(21, 53, 40*time.Second).Simulate(localOwn.build)
		Expect(answeredShare(home)).To(BeNumerically("~", answeredShare(local), 0.01))
	})
})

// BenchmarkHomesOrLocalLimits prints the table of docs/measurements/homes-or-local-limits.md. It takes some
// minutes.
func BenchmarkHomesOrLocalLimits(b *testing.B) {
	for range b.N {
		table := playback.NewTable("fronts / groups", "load", "limits", "answered", "refused", "too late", "useful work of capacity",
			"worst team of its fair share", "wait 50 / 95, s", "first token 50 / 95, s", "gap 95, ms", "most on one group")
		for _, size := range [][2]int{{13, 53}, {21, 53}, {330, 630}} {
			strategies := []strategy{homesAdaptive, homesFixed, localFixed, localOwn}
			if size[0] == 330 {
				strategies = append(strategies, localSubset)
			}
			for _, l := range loads {
				for _, s := range strategies {
					r := l.config(size[0], size[1], 40*time.Second).Simulate(s.build)
					offered := float64(r.Offered)
					table.AddRow(fmt.Sprintf("%d / %d", size[0], size[1]), l.name, s.name,
						playback.Percent(float64(r.Answered), offered), playback.Percent(float64(r.Refused), offered),
						playback.Percent(float64(r.Late), offered), playback.Ratio(r.UsefulShare), playback.Ratio(r.WorstShare()),
						r.Wait.Format(), r.FirstToken.Format(), fmt.Sprint(r.TokenGapP95.Milliseconds()), fmt.Sprint(r.MaxRunning))
				}
			}
		}
		fmt.Println(table)
	}
}
