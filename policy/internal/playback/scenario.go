package playback

import (
	"fmt"
	"time"
)

// Scenario is a pattern of load on one engine.
type Scenario struct {
	Name    string
	Engine  EngineConfig
	Traffic Traffic
	// Speed, if set, is the engine's speed over time as a share of full speed.
	Speed func(at time.Duration) float64
	// Length is how long requests arrive; From and Until bound those that are measured.
	Length, From, Until time.Duration
	// Tries is how often a caller asks; it obeys Retry-After.
	Tries int
	// ObservationDelay is how late the limit hears of what was measured.
	ObservationDelay time.Duration
}

// The sizes of the model: those of one of 630 replicas at the peak of 12,000 requests and 2.8 million
// tokens a second.
const (
	MeanPrompt = 500
	MeanOutput = 233
	// SteadyGap is the gap between tokens at which a replica counts as fully used: nine tenths of the
	// objective of 79 ms, so that 95 in 100 gaps meet it.
	SteadyGap = 71 * time.Millisecond
)

// baseScenario returns a scenario in which ten equal teams use the given share of the capacity.
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

// CapacityWork returns the work a second that the engine carries at the gap SteadyGap.
func (s *Scenario) CapacityWork() float64 {
	perSecond, _ := s.Engine.Capacity(SteadyGap, s.Traffic.Prompt, s.Traffic.MeanOutput())
	return perSecond * s.Traffic.MeanWork()
}

// SteadyLimit returns how many requests are at work on the engine at the gap SteadyGap: the best fixed
// limit for a healthy engine, which an operator could only know by measuring.
func (s *Scenario) SteadyLimit() int {
	_, inFlight := s.Engine.Capacity(SteadyGap, s.Traffic.Prompt, s.Traffic.MeanOutput())
	return int(inFlight)
}

// setRate sets the rate as a multiple of the capacity; the multiple is at most highest.
func (s *Scenario) setRate(multiple func(at time.Duration) float64, maxMultiple float64) {
	perSecond, _ := s.Engine.Capacity(SteadyGap, s.Traffic.Prompt, s.Traffic.MeanOutput())
	s.Traffic.MaxRate = perSecond * maxMultiple
	s.Traffic.Rate = func(at time.Duration) float64 { return perSecond * multiple(at) }
}

// Steady is a load of seven tenths of the capacity, at which nothing should be refused.
func Steady() Scenario { return baseScenario("steady 0.7x", 0.7) }

// Burst is a steady load of seven tenths that grows to ten times as much for 5 s.
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

// FewTeams is 1.5 times the capacity, of which two of ten teams send 80%.
func FewTeams() Scenario {
	s := baseScenario("2 of 10 teams send 80%, 1.5x", 1.5)
	s.Traffic.Teams[0].TrafficWeight = 16
	s.Traffic.Teams[1].TrafficWeight = 16
	return s
}

// SlowServer is a steady load on a backend server that drops to a fifth of its speed for a minute.
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

// LongAmongShort is a load of the given multiple of the capacity in which 5% of the requests generate 40
// times as many tokens, two thirds of all.
func LongAmongShort(load float64) Scenario {
	s := baseScenario(fmt.Sprintf("5%% are 40x as long, %.1fx", load), load)
	s.Traffic.Output = 80
	s.Traffic.LongFraction, s.Traffic.LongFactor = 0.05, 40
	s.Length, s.From, s.Until = 12*time.Minute, 3*time.Minute, 9*time.Minute
	s.setRate(func(time.Duration) float64 { return load }, load)
	return s
}

// Saturation is 1.5 times the capacity for three minutes, then seven tenths of it.
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

// Run is a scenario that was played.
type Run struct {
	Scenario Scenario
	Requests []*Request
	Home     *Home
	Engine   *Engine
}

// drainTime is how long a run goes on after the last arrival.
const drainTime = 3 * time.Minute

// Play plays the scenario against a queue and a limit.
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

// Summary returns what the callers of the measured time got.
func (r *Run) Summary() Summary { return Summarize(r.Requests, r.Scenario.From, r.Scenario.Until) }

// Between returns what the callers of another part of the run got.
func (r *Run) Between(from, until time.Duration) Summary { return Summarize(r.Requests, from, until) }
