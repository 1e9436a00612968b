package fairqueue_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
)

// fifoQueue returns the baseline: a first-in, first-out queue with the same bounds on wait and length.
func fifoQueue() playback.Queue {
	return &playback.FIFO{MaxItems: 2048, MaxWait: 2 * time.Second, Retry: time.Second}
}

func fairQueue() playback.Queue { return playback.NewFairQueue(fairqueue.Config{}) }

type playResult struct {
	*playback.Run
	playback.Summary
}

func play(s playback.Scenario, queue playback.Queue) playResult {
	run := s.Play(queue, playback.FixedLimit(s.SteadyLimit()))
	return playResult{Run: run, Summary: run.Summary()}
}

func printTable(title string, table *playback.Table) {
	fmt.Fprintf(GinkgoWriter, "\n### %s\n\n%s", title, table)
}

// These tests compare the fair queue with a first-in, first-out queue on simulated load above the capacity
// of one group. First in, first out, each request waits behind all earlier ones regardless of team, and
// many callers give up after having waited.
var _ = Describe("figures", Ordered, func() {
	scenarios := []playback.Scenario{
		playback.Steady(), playback.Burst(), playback.FewTeams(), playback.SlowServer(),
		playback.LongAmongShort(0.9), playback.LongAmongShort(1.3), playback.Saturation(),
	}
	fifo := make(map[string]playResult)
	fair := make(map[string]playResult)

	BeforeAll(func() {
		table := playback.NewTable(append([]string{"load", "queue"}, playback.SummaryColumns...)...)
		for _, s := range scenarios {
			fifo[s.Name], fair[s.Name] = play(s, fifoQueue()), play(s, fairQueue())
			table.AddRow(append([]string{s.Name, "FIFO"}, fifo[s.Name].Cells(fifo[s.Name].Summary)...)...)
			table.AddRow(append([]string{s.Name, "fair"}, fair[s.Name].Cells(fair[s.Name].Summary)...)...)
		}
		printTable("Fair queue and first in first out, the same fixed limit", table)
	})

	It("refuses nothing at seven tenths of the capacity", func() {
		Expect(fair[playback.Steady().Name].Refused).To(BeZero())
	})

	It("does as much useful work as first in first out, within a tenth", func() {
		for _, s := range scenarios {
			Expect(fair[s.Name].Goodput(fair[s.Name].Summary)).To(
				BeNumerically(">", 0.9*fifo[s.Name].Goodput(fifo[s.Name].Summary)), s.Name)
		}
	})

	It("refuses at once nearly all that it refuses in saturation, and lets the rest wait less", func() {
		for _, s := range []playback.Scenario{playback.Saturation(), playback.FewTeams()} {
			f := fair[s.Name]
			Expect(float64(f.RefusedImmediately)).To(BeNumerically(">", 0.95*float64(f.Refused)), s.Name)
			Expect(f.Wait.P50).To(BeNumerically("<", fifo[s.Name].Wait.P50/5), s.Name)
			Expect(f.Wait.P95).To(BeNumerically("<", fifo[s.Name].Wait.P95*2/3), s.Name)
		}
	})

	It("gives each team its fair share when two teams send most", func() {
		name := playback.FewTeams().Name
		table := playback.NewTable("teams", "queue", "answered, worst", "of its fair share, worst", "wait 95, worst, s")
		heavyFIFO, lightFIFO := worstByGroup(table, "FIFO", fifo[name])
		heavy, light := worstByGroup(table, "fair", fair[name])
		printTable("Two of ten teams send 80%, 1.5x the capacity", table)
		Expect(lightFIFO.share).To(BeNumerically("<", 0.65))
		Expect(heavyFIFO.share).To(BeNumerically(">", 1))
		Expect(light.share).To(BeNumerically(">", 0.9))
		Expect(light.answered).To(BeNumerically(">", 0.95))
		Expect(light.wait).To(BeNumerically("<", 600*time.Millisecond))
		Expect(heavy.share).To(BeNumerically(">", 0.9))
	})

	It("is back to normal soon after saturation", func() {
		name := playback.Saturation().Name
		after := fair[name].Between(4*time.Minute+5*time.Second, 6*time.Minute)
		Expect(float64(after.Refused)).To(BeNumerically("<", 0.005*float64(after.Offered)))
		Expect(after.Wait.P95).To(BeNumerically("<", 50*time.Millisecond))
	})

	It("is back to normal soon after the server is fast again", func() {
		name := playback.SlowServer().Name
		after := fair[name].Between(2*time.Minute+30*time.Second, 4*time.Minute)
		Expect(float64(after.Refused)).To(BeNumerically("<", 0.01*float64(after.Offered)))
	})

	It("keeps a part of the slots for short requests", func() {
		table := playback.NewTable("load", "queue", "short refused", "short wait 95, s", "long refused", "long wait 95, s", "useful work")
		row := func(s playback.Scenario, name string, queue playback.Queue) (shortRefused float64) {
			p := play(s, queue)
			cells := []string{s.Name, name}
			for _, long := range []bool{false, true} {
				refused, wait := byLength(p.Requests, s, long)
				cells = append(cells, playback.Percent(refused, 1), playback.Seconds(wait))
				if !long {
					shortRefused = refused
				}
			}
			table.AddRow(append(cells, playback.Ratio(p.Goodput(p.Summary)))...)
			return shortRefused
		}
		var refused []float64
		for _, load := range []float64{0.9, 1.3} {
			s := playback.LongAmongShort(load)
			refused = append(refused, row(s, "FIFO", fifoQueue()))
			for _, reserve := range []float64{0.01, 0.25, 0.4, 0.5, 0.6, 0.7} {
				queue := playback.NewFairQueue(fairqueue.Config{ShortReserve: reserve})
				refused = append(refused, row(s, fmt.Sprintf("reserve %.2f", reserve), queue))
			}
		}
		printTable("Long among short", table)
		Expect(refused[11]).To(BeNumerically("<", 0.04), "with half reserved")
		Expect(refused[8]).To(BeNumerically(">", 0.15), "without a reserve")
	})

	It("lets priority go first without taking the share of the others", func() {
		table := playback.NewTable("head start a level", "team", "answered", "of its fair share", "wait 50 / 95, s")
		for _, headStart := range []float64{1, 64, 256} {
			s := playback.Saturation()
			s.Traffic.Teams[0].Priority = 9
			p := play(s, playback.NewFairQueue(fairqueue.Config{HeadStart: headStart}))
			fair := playback.FairShares(p.OfferedWorkByTeam, p.Work)
			first, others := s.Traffic.Teams[0], s.Traffic.Teams[1:]
			row := func(who string, team *playback.Team) {
				table.AddRow(fmt.Sprint(headStart), who, playback.Percent(p.AnsweredRatioByTeam[team], 1),
					playback.Ratio(p.WorkByTeam[team]/fair[team]), p.WaitByTeam[team].Format())
			}
			worst := slices.MinFunc(others, func(a, b *playback.Team) int {
				return cmp.Compare(p.WorkByTeam[a]/fair[a], p.WorkByTeam[b]/fair[b])
			})
			row("priority 9", first)
			row("priority 0, the worst of 9", worst)
			Expect(p.WorkByTeam[worst]/fair[worst]).To(BeNumerically(">", 0.85), "priority 0")
			if headStart == 64 {
				Expect(p.WorkByTeam[first]/fair[first]).To(BeNumerically("<", 1.2), "priority 9")
			}
		}
		printTable("Priority, 1.5x the capacity, ten equal teams", table)
	})

	It("spreads those who were refused, so that they don't return together", func() {
		table := playback.NewTable("queue", "answered in the end", "tries a request", "most arrivals in a second, from 8 s after the burst's start", "seconds with refusals after the burst")
		var peak []int
		for _, run := range []struct {
			name  string
			queue playback.Queue
		}{{"FIFO, Retry-After 1 s", fifoQueue()}, {"fair", fairQueue()}} {
			s := playback.Burst()
			s.Tries = 10
			counter := &arrivalCounter{Queue: run.queue, attempts: make(map[int]int), refused: make(map[int]int)}
			p := play(s, counter)
			most, refusing := counter.after(68)
			peak = append(peak, most)
			table.AddRow(run.name, playback.Percent(float64(p.Answered), float64(p.Offered)), playback.Ratio(p.MeanTries),
				fmt.Sprint(most), fmt.Sprint(refusing))
		}
		printTable("Burst of 10x for 5 s, callers obey Retry-After and try up to ten times", table)
		Expect(peak[1]).To(BeNumerically("<", peak[0]/2))
	})
})

// worstOutcome holds the worst figures of any team in a set of teams.
type worstOutcome struct {
	answered, share float64
	wait            time.Duration
}

// worstByGroup adds a row for the first two teams, which send most, and one for the others, and returns
// both.
func worstByGroup(table *playback.Table, queue string, p playResult) (heavy, light worstOutcome) {
	fair := playback.FairShares(p.OfferedWorkByTeam, p.Work)
	heavy, light = worstOutcome{answered: 1, share: 9}, worstOutcome{answered: 1, share: 9}
	for i, team := range p.Scenario.Traffic.Teams {
		g := &light
		if i < 2 {
			g = &heavy
		}
		g.answered = min(g.answered, p.AnsweredRatioByTeam[team])
		g.share = min(g.share, p.WorkByTeam[team]/fair[team])
		g.wait = max(g.wait, p.WaitByTeam[team].P95)
	}
	for _, row := range []struct {
		name string
		worstOutcome
	}{{"2 that send 40% each", heavy}, {"8 that send 2.5% each", light}} {
		table.AddRow(row.name, queue, playback.Percent(row.answered, 1), playback.Ratio(row.share), playback.Seconds(row.wait))
	}
	return heavy, light
}

// byLength returns the fraction of the short or the long requests that was refused, and the 95th
// percentile of the wait of the others.
func byLength(requests []*playback.Request, s playback.Scenario, long bool) (refused float64, wait time.Duration) {
	var waits []time.Duration
	count := 0.0
	for _, r := range requests {
		if (r.Estimate > 1024) != long || r.FirstArrived < s.From || r.FirstArrived >= s.Until {
			continue
		}
		count++
		if r.Outcome == playback.Refused {
			refused++
			continue
		}
		waits = append(waits, r.Started-r.Arrived)
	}
	slices.Sort(waits)
	return refused / count, waits[len(waits)*95/100]
}

// arrivalCounter counts the attempts and the refusals in each second.
type arrivalCounter struct {
	playback.Queue
	attempts, refused map[int]int
}

func (a *arrivalCounter) Offer(now time.Duration, r *playback.Request) (playback.Decision, time.Duration) {
	a.attempts[int(now.Seconds())]++
	decision, retryAfter := a.Queue.Offer(now, r)
	if decision == playback.Refuse {
		a.refused[int(now.Seconds())]++
	}
	return decision, retryAfter
}

func (a *arrivalCounter) Expire(now time.Duration) []*playback.Request {
	expired := a.Queue.Expire(now)
	a.refused[int(now.Seconds())] += len(expired)
	return expired
}

// after returns the largest number of attempts in one second, and the number of seconds with a refusal,
// from the given second on.
func (a *arrivalCounter) after(from int) (most, refusing int) {
	for second, count := range a.attempts {
		if second < from {
			continue
		}
		most = max(most, count)
		if a.refused[second] > 0 {
			refusing++
		}
	}
	return most, refusing
}
