package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
)

// Config describes a fleet and its callers.
type Config struct {
	Fronts, Groups int
	Engine         playback.EngineConfig
	Traffic        playback.Traffic
	// CallersPerTeam is how many callers a team has. A caller keeps to one front for AddressTTL.
	CallersPerTeam int
	AddressTTL     time.Duration
	// HopLatency is one way between two processes, LoadReportAge how old the load is that fronts know of groups.
	HopLatency, LoadReportAge time.Duration
	// ArrivalPeriod is how long requests arrive; MeasureFrom and MeasureUntil bound those that are measured.
	ArrivalPeriod, MeasureFrom, MeasureUntil time.Duration
}

// LimiterFactory makes the limit of a group, or of a front for a group, that takes the given part of a group.
type LimiterFactory func(part float64) playback.Limiter

// dispatcher is one of the ways to send requests to groups.
type dispatcher interface {
	// arrive takes a request in at its front.
	arrive(r *playback.Request)
	// load returns what is at work and queued for a group.
	load(group int) int
	// wayBack is how long an answer takes from the engine's head to the front.
	wayBack() time.Duration
}

// DispatcherFactory makes one of the ways to send requests.
type DispatcherFactory func(*Fleet) dispatcher

// Fleet is a fleet at work.
type Fleet struct {
	cfg     Config
	loop    *playback.Loop
	random  *rand.Rand
	engines []*playback.Engine
	// known is the load of each group that fronts know.
	known []int
	gaps  playback.Histogram
	// mostAtWork is the largest number of requests that any engine held.
	mostAtWork int
}

// Result is what callers got.
type Result struct {
	playback.Figures
	// UsefulShare is the work of the answered requests as a share of the capacity of all groups.
	UsefulShare float64
	// TokenGapP95 is the gap between tokens at 95 in 100, MostAtWork the most requests that any engine held.
	TokenGapP95 time.Duration
	MaxRunning  int
}

// runOut is how long a run goes on after the last arrival, for the outcomes.
const runOut = time.Minute

// Simulate plays the load against homes, or local limits.
func (c Config) Simulate(build DispatcherFactory) Result {
	f := &Fleet{
		cfg: c, loop: &playback.Loop{}, random: rand.New(rand.NewPCG(c.Traffic.Seed, 7)), known: make([]int, c.Groups),
	}
	for range c.Groups {
		f.engines = append(f.engines, playback.NewEngine(f.loop, c.Engine))
	}
	d := build(f)
	f.loop.Every(c.LoadReportAge, func() {
		for g := range f.known {
			f.known[g] = d.load(g)
		}
	})
	requests := c.Traffic.Requests(c.ArrivalPeriod)
	for _, r := range requests {
		r.Front = f.frontOf(r)
		r.FirstArrived = r.Arrived
		f.loop.At(r.Arrived, func() { d.arrive(r) })
	}
	f.loop.Run(c.ArrivalPeriod + runOut)
	return f.result(requests, d.wayBack())
}

// observe measures an engine, beside whoever else hears of its steps.
func (f *Fleet) observe(engine *playback.Engine) {
	inner := engine.OnStep
	engine.OnStep = func(gap time.Duration, decoding int) {
		if f.loop.Now() >= f.cfg.MeasureFrom && f.loop.Now() < f.cfg.MeasureUntil {
			f.gaps.Add(gap, decoding)
			f.mostAtWork = max(f.mostAtWork, engine.Running())
		}
		if inner != nil {
			inner(gap, decoding)
		}
	}
}

// frontOf returns the front that the caller of a request keeps to at the time.
func (f *Fleet) frontOf(r *playback.Request) int {
	caller := f.random.IntN(f.cfg.CallersPerTeam)
	name := uint64(caller)
	for _, char := range r.Team.Name {
		name = name*131 + uint64(char)
	}
	// Callers asked at different times, so that they also move to another front at different times.
	offset := time.Duration(name*0x9e3779b97f4a7c15>>40) * f.cfg.AddressTTL >> 24
	period := uint64((r.Arrived + offset) / f.cfg.AddressTTL)
	return rand.New(rand.NewPCG(name, period)).IntN(f.cfg.Fronts)
}

// pick returns the less loaded of two random groups among the given number.
func (f *Fleet) pick(groups int, load func(i int) int) int {
	a, b := f.random.IntN(groups), f.random.IntN(groups)
	if load(b) < load(a) {
		return b
	}
	return a
}

func (f *Fleet) result(requests []*playback.Request, wayBack time.Duration) Result {
	figures := playback.Summarize(requests, f.cfg.MeasureFrom, f.cfg.MeasureUntil)
	figures.First.P50 += wayBack
	figures.First.P95 += wayBack
	perSecond, _ := f.cfg.Engine.Capacity(playback.SteadyGap, f.cfg.Traffic.Prompt, f.cfg.Traffic.MeanOutput())
	capacity := perSecond * f.cfg.Traffic.MeanWork() * float64(f.cfg.Groups)
	return Result{
		Figures:     figures,
		UsefulShare: figures.Work / (f.cfg.MeasureUntil - f.cfg.MeasureFrom).Seconds() / capacity,
		TokenGapP95: f.gaps.Quantile(0.95),
		MaxRunning:  f.mostAtWork,
	}
}
