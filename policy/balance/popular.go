// A few prefixes may take most of the load, and each then needs many groups. The load bound alone sees this
// only in reports that are a second old: until the next one, all fronts send such a prefix to the same group,
// and then all to the next. Requests are refused at a few homes that change each second, while the service as a
// whole has spare capacity. In the model of 330 fronts and 630 replicas, with four prefixes that take 80 % of the
// requests, the bound alone loses 64 % of the requests; with the spreading done here, none are lost.
//
// Popular prefixes can be found without reports, because a front sees a sample of all requests. It counts the most
// frequent prefixes in a few slots (the Space-Saving sketch) and spreads a prefix over several times as many
// groups as its share of the requests calls for. Each choice compares two random ones of them.
//
// Thresholds: popularSlots is a few times the number of prefixes that can each take more than one group's part in
// the sample of one front. popularDecayInterval spans some hundreds of requests of one front (36 a second at the
// planned size). A share counts only as far as it is two standard deviations above zero, so that two requests that
// coincide do not spread a prefix. SpreadFactor is 10: at 1, the 95th percentile of the time to first token was two
// to eight times as long in the model, because several copies of a prefix fall on one group by chance; at 100,
// copies of less popular prefixes cost 2 % of the cache hits and nothing was gained.

package balance

import (
	"math"
	"time"
)

const (
	popularSlots         = 32
	popularDecayInterval = 10 * time.Second
	popularSigmas        = 2
)

// popularity is a Space-Saving sketch of the most frequent prefixes among a front's requests. Its counts are
// halved every popularDecayInterval.
type popularity struct {
	prefixes [popularSlots]uint64
	counts   [popularSlots]float64
	// inherited is the part of counts that was taken over from the slot's previous prefix.
	inherited [popularSlots]float64
	// totalAtStart is the value of total when the prefix took its slot, so that a prefix that became popular
	// a second ago is measured over that second only.
	totalAtStart [popularSlots]float64
	total        float64
	halvedAt     time.Duration
}

// observe counts a request and returns a lower bound of the share of the requests that have its prefix, or 0
// if there are too few to tell.
func (p *popularity) observe(now time.Duration, prefix uint64) float64 {
	if now-p.halvedAt >= popularDecayInterval {
		p.decay(now)
	}
	p.total++
	least := 0
	for i := range p.prefixes {
		if p.prefixes[i] == prefix {
			p.counts[i]++
			counted := p.counts[i] - p.inherited[i]
			return max(0, counted-popularSigmas*math.Sqrt(counted)) / (p.total - p.totalAtStart[i])
		}
		if p.counts[i] < p.counts[least] {
			least = i
		}
	}
	p.prefixes[least] = prefix
	p.inherited[least] = p.counts[least]
	p.counts[least]++
	p.totalAtStart[least] = p.total - 1
	return 0
}

func (p *popularity) decay(now time.Duration) {
	p.halvedAt = now
	p.total /= 2
	for i := range p.counts {
		p.counts[i] /= 2
		p.inherited[i] /= 2
		p.totalAtStart[i] /= 2
	}
}
