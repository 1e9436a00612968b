// Load pattern of this file: a few prefixes take most of the load. Each needs many groups. The bound on a
// group's load sees that only in reports a second old: until the next one, all fronts send such a prefix
// to the same group, then all to the next. In the model of 330 fronts before 630 replicas, with four
// prefixes that take 80 in 100, the bound alone loses 64 in 100 requests, and with this file none. An
// operator would notice refusals at a few homes that change each second, while the service as a whole has
// room.
//
// Which prefixes are popular needs no report: a front sees a sample of all requests. It counts the most
// frequent prefixes in a few slots (the Space-Saving sketch) and spreads a prefix over as many groups as
// its share of the requests calls for, several times over, of which two random ones are compared.
//
// Thresholds: popularSlots is a few times the number of prefixes that can each take more than a group's
// part in one front's sample. popularHalfLife spans some hundreds of requests of one front (36 a second at
// the size to come). A share counts only as far as it is two standard deviations above nothing, so that
// two chance requests do not spread a prefix. HotSpread is 10: at 1, first tokens at 95 in 100 were two to
// eight times as long in the model, since chance puts several of a prefix's places on one group; at 100,
// copies of less popular prefixes cost 2 in 100 hits, and nothing was gained.

package balance

import (
	"math"
	"time"
)

const (
	popularSlots    = 32
	popularHalfLife = 10 * time.Second
	popularSigmas   = 2
)

// popularity counts the most frequent prefixes of the requests of a front.
type popularity struct {
	prefixes [popularSlots]uint64
	counts   [popularSlots]float64
	// inherited is the part of counts that a slot took over from the prefix before.
	inherited [popularSlots]float64
	// since is the total when the prefix took its slot: a prefix that is popular since a second ago is
	// measured over that second.
	since    [popularSlots]float64
	total    float64
	halvedAt time.Duration
}

// share counts a request and returns which share of the requests its prefix has at least; 0 if too few
// came to tell.
func (p *popularity) share(now time.Duration, prefix uint64) float64 {
	if now-p.halvedAt >= popularHalfLife {
		p.halve(now)
	}
	p.total++
	least := 0
	for i := range p.prefixes {
		if p.prefixes[i] == prefix {
			p.counts[i]++
			sure := p.counts[i] - p.inherited[i]
			return max(0, sure-popularSigmas*math.Sqrt(sure)) / (p.total - p.since[i])
		}
		if p.counts[i] < p.counts[least] {
			least = i
		}
	}
	p.prefixes[least] = prefix
	p.inherited[least] = p.counts[least]
	p.counts[least]++
	p.since[least] = p.total - 1
	return 0
}

func (p *popularity) halve(now time.Duration) {
	p.halvedAt = now
	p.total /= 2
	for i := range p.counts {
		p.counts[i] /= 2
		p.inherited[i] /= 2
		p.since[i] /= 2
	}
}
