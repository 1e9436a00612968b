package playback

import (
	"fmt"
	"time"
)

// Scenario is a load pattern on one engine.
type Scenario struct {
	Name    string
	Engine  EngineConfig
	Traffic Traffic
	// Speed, if set, is the engine's speed over time as a fraction of full speed.
	Speed func(at time.Duration) float64
	// Length is how long requests arrive. From and Until delimit the measured interval.
	Length, From, Until time.Duration
	// Tries is how often a caller tries a request. It honors Retry-After.
	Tries int
	// ObservationDelay is the delay with which measurements reach the limiter.
	ObservationDelay time.Duration
}

// Sizes of the simulated replica: one of 630 at a peak of 12,000 requests and 2.8 million tokens per second.
const (
	MeanPrompt = 500
	MeanOutput = 233
	// SteadyGap is the gap between tokens at which a replica counts as fully used: nine tenths of the objective of 79 ms, so that 95 of 100
	// gaps meet the objective.
	SteadyGap = 71 * time.Millisecond
)

// baseScenario returns a scenario in which ten equal teams use the given fraction of the capacity.
func baseScenario(name string, load float64) Scenario {
	s := Scenario{
		Name:   name,
		Engine: DefaultEngine(),
		Traffic: Traffic{
			Teams: Teams(10), Prompt: MeanPrompt, Output: MeanOutput,
			EstimateError: 0.4, Patience: 10 * time.Second, PatiencePerToken: 2 * SteadyGap, Seed: 1,
		},
		Length: 3 * time.Minute, From: 30 * time.Second, Until: 150 * time.Second, Tries: 1,
	}
	s.setRate(func(time.Duration) float64 { return load }, load)
	return s
}

// CapacityWork returns the work per second that the engine sustains at the gap SteadyGap.
func (s *Scenario) CapacityWork() float64 {
	perSecond, _ := s.Engine.Capacity(SteadyGap, s.Traffic.Prompt, s.Traffic.MeanOutput())
	return perSecond * s.Traffic.MeanWork()
}

// SteadyLimit returns the number of requests in flight at the gap SteadyGap. It is the best fixed limit for a healthy engine, which an
// operator could determine only by measurement.
func (s *Scenario) SteadyLimit() int {
	_, inFlight := s.Engine.Capacity(SteadyGap, s.Traffic.Prompt, s.Traffic.MeanOutput())
	return int(inFlight)
}

// setRate sets the arrival rate over time as a multiple of the capacity, of at most maxMultiple.
func (s *Scenario) setRate(multiple func(at time.Duration) float64, maxMultiple float64) {
	perSecond, _ := s.Engine.Capacity(SteadyGap, s.Traffic.Prompt, s.Traffic.MeanOutput())
	s.Traffic.MaxRate = perSecond * maxMultiple
	s.Traffic.Rate = func(at time.Duration) float64 { return perSecond * multiple(at) }
}

// Steady is a load of 0.7 times the capacity, at which nothing should be refused.
func Steady() Scenario { return baseScenario("steady 0.7x", 0.7) }

// Burst is a load of 0.7 times the capacity that rises tenfold for 5 s.
func Burst() Scenario {
	s := baseScenario("burst 10x for 5 s", 0.7)
	from := time.Minute
	s.setRate(func(at time.Duration) float64 {
		if at >= from && at < from+5*time.Second {
			return 7
		}
		return 0.7
	}, 7)
	return s
}

// FewTeams is a load of 1.5 times the capacity, 80% of which comes from two of ten teams.
func FewTeams() Scenario {
	s := baseScenario("2 of 10 teams send 80%, 1.5x", 1.5)
	s.Traffic.Teams[0].TrafficWeight = 16
	s.Traffic.Teams[1].TrafficWeight = 16
	return s
}

// SlowServer is a steady load on a backend server that runs at a fifth of its speed for one minute.
func SlowServer() Scenario {
	s := baseScenario("a fifth of the speed for 60 s", 0.7)
	s.Length, s.Until = 4*time.Minute, 3*time.Minute
	s.Speed = func(at time.Duration) float64 {
		if at >= time.Minute && at < 2*time.Minute {
			return 0.2
		}
		return 1
	}
	return s
}

// LongAmongShort is a load of the given multiple of the capacity in which 5% of the requests generate 40 times as many tokens as the others:
// two thirds of all tokens.
func LongAmongShort(load float64) Scenario {
	s := baseScenario(fmt.Sprintf("5%% are 40x as long, %.1fx", load), load)
	s.Traffic.Output = 80
	s.Traffic.LongFraction, s.Traffic.LongFactor = 0.05, 40
	s.Length, s.From, s.Until = 12*time.Minute, 3*time.Minute, 9*time.Minute
	s.setRate(func(time.Duration) float64 { return load }, load)
	return s
}

// Saturation is a load of 1.5 times the capacity for three minutes, then 0.7 times.
func Saturation() Scenario {
	s := baseScenario("1.5x for 3 min", 0.7)
	s.Length, s.From, s.Until = 6*time.Minute, time.Minute, 4*time.Minute
	s.setRate(func(at time.Duration) float64 {
		if at >= time.Minute && at < 4*time.Minute {
			return 1.5
		}
		return 0.7
	}, 1.5)
	return s
}

// Run is a completed simulation of a scenario.
type Run struct {
	Scenario Scenario
	Requests []*Request
	Home     *Home
	Engine   *Engine
}

// drainTime is how long a run continues after the last arrival.
const drainTime = 3 * time.Minute

// Play simulates the scenario with the given queue and limiter.
func (s Scenario) Play(queue Queue, limits Limiter) *Run {
	loop := &Loop{}
	engine := NewEngine(loop, s.Engine)
	home := NewHome(loop, engine, queue, limits, s.ObservationDelay, s.Tries, s.From)
	requests := s.Traffic.Requests(s.Length)
	for _, r := range requests {
		loop.At(r.Arrived, func() { home.Arrive(r) })
	}
	if s.Speed != nil {
		loop.Every(time.Second, func() { engine.SetSpeed(s.Speed(loop.Now())) })
	}
	loop.Run(s.Length + drainTime)
	return &Run{Scenario: s, Requests: requests, Home: home, Engine: engine}
}

// Summary returns the summary of the measured interval.
func (r *Run) Summary() Summary { return Summarize(r.Requests, r.Scenario.From, r.Scenario.Until) }

// Between returns the summary of the requests that first arrived in another interval of the run.
func (r *Run) Between(from, until time.Duration) Summary { return Summarize(r.Requests, from, until) }
