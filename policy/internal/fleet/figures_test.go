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

// bestLimit is the best fixed limit of one group, which an operator could only know by measuring.
const bestLimit = 313

func adaptive(float64) playback.Limiter { return limit.New(limit.Config{}) }

// localAdaptive starts low, because many fronts start at once on each group.
func localAdaptive(float64) playback.Limiter { return limit.New(limit.Config{Min: 1, Start: 2}) }

func fixed(part float64) playback.Limiter {
	return playback.FixedLimit(max(1, int(bestLimit*part+0.5)))
}

// load is a pattern of load on a fleet. The rate is a multiple of the capacity at a time since the start of
// the measured part.
type load struct {
	name    string
	rate    func(at time.Duration) float64
	highest float64
	heavy   bool
	callers int
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
	fewTeams = load{name: "2 of 10 teams send 80%, 0.9x", rate: constant(0.9), highest: 0.9, heavy: true, callers: 16}
	loads    = []load{
		{name: "burst 10x for 5 s", rate: burst, highest: 7, callers: 16},
		fewTeams,
		{name: "the same, 1.5x", rate: constant(1.5), highest: 1.5, heavy: true, callers: 16},
		{name: "the same, 0.9x, 16 times the callers", rate: constant(0.9), highest: 0.9, heavy: true, callers: 256},
	}
)

// on returns the load on a fleet, measured from the time warm on for as long again.
func (l load) on(fronts, groups int, warm time.Duration) fleet.Config {
	engine := playback.DefaultEngine()
	perSecond, _ := engine.Capacity(playback.SteadyGap, playback.MeanPrompt, playback.MeanOutput)
	all := perSecond * float64(groups)
	c := fleet.Config{
		Fronts: fronts, Groups: groups, Engine: engine,
		Traffic: playback.Traffic{
			Teams: playback.Teams(10), MaxRate: all * l.highest,
			Rate:   func(at time.Duration) float64 { return all * l.rate(at-warm) },
			Prompt: playback.MeanPrompt, Output: playback.MeanOutput,
			EstimateError: 0.4, Patience: 10 * time.Second, PatiencePerToken: 2 * playback.SteadyGap, Seed: 1,
		},
		CallersPerTeam: l.callers, AddressTTL: 30 * time.Second,
		HopLatency: 1500 * time.Microsecond, LoadReportAge: time.Second,
		ArrivalPeriod: 2 * warm, MeasureFrom: warm, MeasureUntil: 2 * warm,
	}
	if l.heavy {
		c.Traffic.Teams[0].Load, c.Traffic.Teams[1].Load = 16, 16
	}
	return c
}

// way is one way to hold the limits.
type way struct {
	name  string
	build fleet.DispatcherFactory
}

var (
	homesAdaptive = way{"homes, adaptive", fleet.Homes(adaptive)}
	homesFixed    = way{"homes, fixed 313", fleet.Homes(fixed)}
	localFixed    = way{"local, 313 divided among fronts", fleet.LocalLimits(fixed, 0)}
	localOwn      = way{"local, adaptive", fleet.LocalLimits(localAdaptive, 0)}
	localSubset   = way{"local, adaptive, 40 groups a front", fleet.LocalLimits(localAdaptive, 40)}
)

func answered(r fleet.Result) float64 { return float64(r.Answered) / float64(r.Offered) }

// Fronts with limits of their own are too tight where a few of them carry most callers, and together too
// loose where each may send one request to each group. Callers of a busy front are refused while groups
// idle.
var _ = Describe("homes beside local limits", func() {
	DescribeTable("answers what few callers send, where local limits refuse", func(fronts, groups int, warm time.Duration, rival way, most float64) {
		home := fewTeams.on(fronts, groups, warm).Simulate(homesAdaptive.build)
		Expect(answered(home)).To(BeNumerically(">", 0.99))
		Expect(home.First.P95).To(BeNumerically("<", 640*time.Millisecond))
		Expect(home.MaxRunning).To(BeNumerically("<", bestLimit))
		Expect(answered(fewTeams.on(fronts, groups, warm).Simulate(rival.build))).To(BeNumerically("<", most))
	},
		Entry("13 fronts, 53 groups", 13, 53, 40*time.Second, localFixed, 0.97),
		Entry("21 fronts, 53 groups", 21, 53, 40*time.Second, localFixed, 0.97),
		Entry("330 fronts, 630 groups", 330, 630, 12*time.Second, localSubset, 0.85),
	)

	It("answers no more than local adaptive limits do at today's size, and no less", func() {
		home := fewTeams.on(21, 53, 40*time.Second).Simulate(homesAdaptive.build)
		local := fewTeams.on(21, 53, 40*time.Second).Simulate(localOwn.build)
		Expect(answered(home)).To(BeNumerically("~", answered(local), 0.01))
	})
})

// BenchmarkHomesOrLocalLimits prints the table of docs/measurements/homes-or-local-limits.md. It takes some
// minutes.
func BenchmarkHomesOrLocalLimits(b *testing.B) {
	for range b.N {
		table := playback.NewTable("fronts / groups", "load", "limits", "answered", "refused", "too late", "useful work of capacity",
			"worst team of its fair share", "wait 50 / 95, s", "first token 50 / 95, s", "gap 95, ms", "most on one group")
		for _, size := range [][2]int{{13, 53}, {21, 53}, {330, 630}} {
			ways := []way{homesAdaptive, homesFixed, localFixed, localOwn}
			if size[0] == 330 {
				ways = append(ways, localSubset)
			}
			for _, l := range loads {
				for _, w := range ways {
					r := l.on(size[0], size[1], 40*time.Second).Simulate(w.build)
					offered := float64(r.Offered)
					table.Row(fmt.Sprintf("%d / %d", size[0], size[1]), l.name, w.name,
						playback.Percent(float64(r.Answered), offered), playback.Percent(float64(r.Refused), offered),
						playback.Percent(float64(r.Late), offered), playback.Ratio(r.UsefulShare), playback.Ratio(r.WorstShare()),
						r.Wait.Both(), r.First.Both(), fmt.Sprint(r.TokenGapP95.Milliseconds()), fmt.Sprint(r.MaxRunning))
				}
			}
		}
		fmt.Println(table)
	}
}
