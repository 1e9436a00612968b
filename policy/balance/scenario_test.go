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

func constant(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// during is a load that is high from start to end.
func during(base, high float64, start, end time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= start && at < end {
			return high
		}
		return base
	}
}

// keys draws one of count prefixes; from a time on, share of the requests draw one of the hot first ones.
func keys(count, hot int, share float64, from time.Duration) func(time.Duration, *rand.Rand) uint64 {
	return func(at time.Duration, r *rand.Rand) uint64 {
		if at >= from && r.Float64() < share {
			return mix(uint64(1 + r.IntN(hot)))
		}
		return mix(uint64(1 + hot + r.IntN(count-hot)))
	}
}

// zipf draws prefix k with a weight of k to the power of -s.
func zipf(s float64, count int) func(time.Duration, *rand.Rand) uint64 {
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

// slowed makes some engines slow from 5 s on; fixed also holds their homes' limits where they were.
func slowed(count int, fixed bool) func(time.Duration, []*engine) {
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

// named returns the default scenario with changes.
func named(name string, change func(*scenario)) scenario {
	s := scenario{
		name: name, load: constant(0.6), prefix: keys(600, 1, 0, 0), length: 40 * sec, from: 10 * sec, to: 40 * sec,
		replicas: 50, fronts: 13, interval: sec,
	}
	if change != nil {
		change(&s)
	}
	return s
}

func (s *scenario) count(from, to time.Duration) { s.from, s.to, s.length = from, to, to }

var (
	steady = named("steady at 0.6 of capacity", nil)
	burst  = named("burst from 0.2 to 2.0 for 5 s", func(s *scenario) {
		s.load = during(0.2, 2, 15*sec, 20*sec)
		s.count(15*sec, 25*sec)
	})
	hot      = named("4 prefixes take 80 in 100", func(s *scenario) { s.prefix = keys(600, 4, 0.8, 0) })
	skewed   = named("prefixes by Zipf 1.1, at 0.75", func(s *scenario) { s.prefix, s.load = zipf(1.1, 2000), constant(0.75) })
	freshHot = named("a new prefix takes 50 in 100", func(s *scenario) {
		s.prefix = keys(600, 1, 0.5, 15*sec)
		s.count(15*sec, 25*sec)
	})
	oneSlow      = named("1 of 50 at a fifth, limit adapts", func(s *scenario) { s.events = slowed(1, false) })
	oneSlowFixed = named("1 of 50 at a fifth, limit fixed", func(s *scenario) { s.events = slowed(1, true) })
	wrong        = named("20 of 50 wrongly measured 10x", func(s *scenario) {
		s.report = func(i int, c *Candidate) {
			if i < 20 {
				c.TokenGap *= 10
			}
		}
	})
	saturated = named("saturation at 1.5 for 20 s", func(s *scenario) {
		s.load = during(0.6, 1.5, 15*sec, 35*sec)
		s.count(15*sec, 35*sec)
	})
	wayBack = named("the 15 s after it", func(s *scenario) {
		s.load = during(0.6, 1.5, 15*sec, 35*sec)
		s.count(35*sec, 50*sec)
	})
	larger = named("the 4 prefixes, 200 replicas, 100 fronts", func(s *scenario) {
		s.prefix = keys(2400, 4, 0.8, 0)
		s.replicas, s.fronts = 200, 100
		s.count(8*sec, 16*sec)
	})
	largest = named("the 4 prefixes, 630 replicas, 330 fronts", func(s *scenario) {
		s.prefix = keys(7560, 4, 0.8, 0)
		s.replicas, s.fronts = 630, 330
		s.count(10*sec, 30*sec)
	})
	plainCalls = named("no prefixes, 9 replicas, 2/3 enter in 1 of 3 domains", func(s *scenario) {
		s.prefix = noPrefix
		s.replicas, s.fronts = 9, 15
		s.uneven = true
	})
)
