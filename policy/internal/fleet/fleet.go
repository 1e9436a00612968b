package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
)

// Config describes a fleet, its load and the measured period.
type Config struct {
	Fronts, Groups int
	Engine         playback.EngineConfig
	Traffic        playback.Traffic
	// CallersPerTeam is the number of callers of each team. A caller sends to the same front for
	// AddressTTL.
	CallersPerTeam int
	AddressTTL     time.Duration
	// HopLatency is the one-way latency between two processes. LoadReportInterval is the interval at which the
	// fronts learn the load of the groups.
	HopLatency, LoadReportInterval time.Duration
	// ArrivalPeriod is how long requests arrive. Those that arrive between MeasureFrom and MeasureUntil are
	// measured.
	ArrivalPeriod, MeasureFrom, MeasureUntil time.Duration
}

// LimiterFactory makes the limiter of a group, or that of a front for the given share of a group.
type LimiterFactory func(share float64) playback.Limiter

// dispatcher implements one of the ways to send requests to groups.
type dispatcher interface {
	// accept handles a request that arrives at its front.
	accept(r *playback.Request)
	// loadOf returns the number of requests that are running on and queued for a group.
	loadOf(group int) int
	// responseLatency returns the time that an answer takes from the head of the engine to the front.
	responseLatency() time.Duration
}

// DispatcherFactory makes the dispatcher of a fleet.
type DispatcherFactory func(*Fleet) dispatcher

// Fleet is the state of a running simulation.
type Fleet struct {
	cfg     Config
	loop    *playback.Loop
	random  *rand.Rand
	engines []*playback.Engine
	// reportedLoad is the load of each group as last reported to the fronts.
	reportedLoad []int
	tokenGaps    playback.Histogram
	// maxRunning is the largest number of requests running on any engine at a time.
	maxRunning int
}

// Result holds the results of a simulation.
type Result struct {
	playback.Summary
	// UsefulShare is the work of the answered requests as a share of the capacity of all groups.
	UsefulShare float64
	// TokenGapP95 is the 95th percentile of the time between tokens. MaxRunning is the largest number of
	// requests running on any engine at a time.
	TokenGapP95 time.Duration
	MaxRunning  int
}

// drainPeriod is how long the simulation continues after the last arrival, so that requests in progress can
// finish.
const drainPeriod = time.Minute

// Simulate runs the load against the dispatcher that build makes.
func (c Config) Simulate(build DispatcherFactory) Result {
	f := &Fleet{
		cfg: c, loop: &playback.Loop{}, random: rand.New(rand.NewPCG(c.Traffic.Seed, 7)), reportedLoad: make([]int, c.Groups),
	}
	for range c.Groups {
		f.engines = append(f.engines, playback.NewEngine(f.loop, c.Engine))
	}
	d := build(f)
	f.loop.Every(c.LoadReportInterval, func() {
		for g := range f.reportedLoad {
			f.reportedLoad[g] = d.loadOf(g)
		}
	})
	requests := c.Traffic.Requests(c.ArrivalPeriod)
	for _, r := range requests {
		r.Front = f.frontOf(r)
		r.FirstArrived = r.Arrived
		f.loop.At(r.Arrived, func() { d.accept(r) })
	}
	f.loop.Run(c.ArrivalPeriod + drainPeriod)
	return f.result(requests, d.responseLatency())
}

// observe records the steps of an engine in the measured period, in addition to a callback already
// installed.
func (f *Fleet) observe(engine *playback.Engine) {
	inner := engine.OnStep
	engine.OnStep = func(gap time.Duration, decoding int) {
		if f.loop.Now() >= f.cfg.MeasureFrom && f.loop.Now() < f.cfg.MeasureUntil {
			f.tokenGaps.Add(gap, decoding)
			f.maxRunning = max(f.maxRunning, engine.Running())
		}
		if inner != nil {
			inner(gap, decoding)
		}
	}
}

// frontOf returns the front that the caller of a request uses at the time of the request.
func (f *Fleet) frontOf(r *playback.Request) int {
	caller := f.random.IntN(f.cfg.CallersPerTeam)
	name := uint64(caller)
	for _, char := range r.Team.Name {
		name = name*131 + uint64(char)
	}
	// Callers resolve addresses at different times, so that they also change to another front at different
	// times.
	phase := time.Duration(name*0x9e3779b97f4a7c15>>40) * f.cfg.AddressTTL >> 24
	period := uint64((r.Arrived + phase) / f.cfg.AddressTTL)
	return rand.New(rand.NewPCG(name, period)).IntN(f.cfg.Fronts)
}

// pickLessLoaded returns the less loaded of two randomly chosen groups, out of the given number of groups.
func (f *Fleet) pickLessLoaded(groups int, load func(i int) int) int {
	a, b := f.random.IntN(groups), f.random.IntN(groups)
	if load(b) < load(a) {
		return b
	}
	return a
}

func (f *Fleet) result(requests []*playback.Request, responseLatency time.Duration) Result {
	figures := playback.Summarize(requests, f.cfg.MeasureFrom, f.cfg.MeasureUntil)
	figures.FirstToken.P50 += responseLatency
	figures.FirstToken.P95 += responseLatency
	perSecond, _ := f.cfg.Engine.Capacity(playback.SteadyGap, f.cfg.Traffic.Prompt, f.cfg.Traffic.MeanOutput())
	capacity := perSecond * f.cfg.Traffic.MeanWork() * float64(f.cfg.Groups)
	return Result{
		Summary:     figures,
		UsefulShare: figures.Work / (f.cfg.MeasureUntil - f.cfg.MeasureFrom).Seconds() / capacity,
		TokenGapP95: f.tokenGaps.Quantile(0.95),
		MaxRunning:  f.maxRunning,
	}
}
