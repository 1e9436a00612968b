package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	sec = time.Second
	ms  = time.Millisecond
)

func constantLoad(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// burstLoad is a load of high from start to end, and of base otherwise.
func burstLoad(base, high float64, start, end time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= start && at < end {
			return high
		}
		return base
	}
}

// hotPrefixes draws one of count prefixes. From the given time on, share of the requests draw one of the first
// hot prefixes.
func hotPrefixes(count, hot int, share float64, from time.Duration) func(time.Duration, *rand.Rand) uint64 {
	return func(at time.Duration, r *rand.Rand) uint64 {
		if at >= from && r.Float64() < share {
			return mix(uint64(1 + r.IntN(hot)))
		}
		return mix(uint64(1 + hot + r.IntN(count-hot)))
	}
}

// zipfPrefixes draws prefix k with a weight of k to the power of -s.
func zipfPrefixes(s float64, count int) func(time.Duration, *rand.Rand) uint64 {
	sums := make([]float64, count)
	sum := 0.0
	for k := range sums {
		sum += math.Pow(float64(k+1), -s)
		sums[k] = sum
	}
	return func(_ time.Duration, r *rand.Rand) uint64 {
		k, _ := slices.BinarySearch(sums, r.Float64()*sum)
		return mix(uint64(k + 1))
	}
}

func noPrefix(time.Duration, *rand.Rand) uint64 { return 0 }

// slowEngines slows the first count engines to a fifth of their speed from 5 s on. fixed also keeps the limits of
// their homes at the maximum.
func slowEngines(count int, fixed bool) func(time.Duration, []*engine) {
	return func(at time.Duration, engines []*engine) {
		for _, e := range engines[:count] {
			if at >= 5*sec {
				e.speed = 0.2
			}
			if at >= 5*sec && fixed {
				e.limit = maxLimit
			}
		}
	}
}

// newScenario returns the default scenario with changes.
func newScenario(name string, change func(*scenario)) scenario {
	s := scenario{
		name: name, load: constantLoad(0.6), prefix: hotPrefixes(600, 1, 0, 0), length: 40 * sec, from: 10 * sec, to: 40 * sec,
		replicas: 50, fronts: 13, interval: sec,
	}
	if change != nil {
		change(&s)
	}
	return s
}

func (s *scenario) measureBetween(from, to time.Duration) { s.from, s.to, s.length = from, to, to }

var (
	steady = newScenario("steady at 0.6 of capacity", nil)
	burst  = newScenario("burst from 0.2 to 2.0 for 5 s", func(s *scenario) {
		s.load = burstLoad(0.2, 2, 15*sec, 20*sec)
		s.measureBetween(15*sec, 25*sec)
	})
	hot          = newScenario("4 prefixes take 80 in 100", func(s *scenario) { s.prefix = hotPrefixes(600, 4, 0.8, 0) })
	skewed       = newScenario("prefixes by Zipf 1.1, at 0.75", func(s *scenario) { s.prefix, s.load = zipfPrefixes(1.1, 2000), constantLoad(0.75) })
	newHotPrefix = newScenario("a new prefix takes 50 in 100", func(s *scenario) {
		s.prefix = hotPrefixes(600, 1, 0.5, 15*sec)
		s.measureBetween(15*sec, 25*sec)
	})
	oneSlow      = newScenario("1 of 50 at a fifth, limit adapts", func(s *scenario) { s.events = slowEngines(1, false) })
	oneSlowFixed = newScenario("1 of 50 at a fifth, limit fixed", func(s *scenario) { s.events = slowEngines(1, true) })
	wrongReports = newScenario("20 of 50 wrongly measured 10x", func(s *scenario) {
		s.report = func(i int, c *Candidate) {
			if i < 20 {
				c.TokenGap *= 10
			}
		}
	})
	saturated = newScenario("saturation at 1.5 for 20 s", func(s *scenario) {
		s.load = burstLoad(0.6, 1.5, 15*sec, 35*sec)
		s.measureBetween(15*sec, 35*sec)
	})
	recovery = newScenario("the 15 s after it", func(s *scenario) {
		s.load = burstLoad(0.6, 1.5, 15*sec, 35*sec)
		s.measureBetween(35*sec, 50*sec)
	})
	hot200Replicas = newScenario("the 4 prefixes, 200 replicas, 100 fronts", func(s *scenario) {
		s.prefix = hotPrefixes(2400, 4, 0.8, 0)
		s.replicas, s.fronts = 200, 100
		s.measureBetween(8*sec, 16*sec)
	})
	hot630Replicas = newScenario("the 4 prefixes, 630 replicas, 330 fronts", func(s *scenario) {
		s.prefix = hotPrefixes(7560, 4, 0.8, 0)
		s.replicas, s.fronts = 630, 330
		s.measureBetween(10*sec, 30*sec)
	})
	unevenEntry = newScenario("no prefixes, 9 replicas, 2/3 enter in 1 of 3 domains", func(s *scenario) {
		s.prefix = noPrefix
		s.replicas, s.fronts = 9, 15
		s.uneven = true
	})
)
