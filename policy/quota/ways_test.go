package quota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/quota"
)

// way decides which requests to one limited server are sent.
type way interface {
	// send reports whether a request that arrives at an entry is sent at once.
	send(now time.Duration, entry int) bool
	// leaderLost replaces the leader.
	leaderLost(now time.Duration)
}

// perEntry gives each entry a bucket of its own, with a share of the limit.
type perEntry struct {
	buckets []*bucket
}

// bucket is a token bucket that begins full.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *bucket) take(now time.Duration) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func newPerEntry(entries int, rate float64) *perEntry {
	p := &perEntry{}
	for range entries {
		p.buckets = append(p.buckets, &bucket{rate: rate, burst: 1, level: 1})
	}
	return p
}

func (p *perEntry) send(now time.Duration, entry int) bool { return p.buckets[entry].take(now) }
func (p *perEntry) leaderLost(time.Duration)               {}

// fullAtStart is a leader whose bucket holds what the limit allows in a window, and is full at first.
type fullAtStart struct {
	perSecond float64
	bucket    *bucket
}

func (f *fullAtStart) leaderLost(now time.Duration) {
	f.bucket = &bucket{rate: f.perSecond, burst: f.perSecond*window.Seconds()/2 + 5, level: f.perSecond*window.Seconds()/2 + 5, at: now}
}
func (f *fullAtStart) send(now time.Duration, _ int) bool { return f.bucket.take(now) }

// metered is a leader that goes by a Meter. For the time without a leader nothing is sent.
type metered struct {
	perSecond float64
	meter     *quota.Meter
	from      time.Duration
}

// vacancy is how long there is no leader after one was lost.
const vacancy = 1700 * time.Millisecond

func (m *metered) leaderLost(now time.Duration) {
	if now > 0 {
		m.from = now + vacancy
	}
	m.meter = quota.NewMeter(m.from, m.perSecond)
}

func (m *metered) send(now time.Duration, _ int) bool {
	if now < m.from || !m.meter.Available(now, false) {
		return false
	}
	m.meter.Take(now)
	return true
}

// play offers requests at random to random entries for 40 s, loses the leader every lossInterval (0: never), and returns the most requests in a
// window and what was sent, as a share of the limit. active is the number of entries that get requests.
func play(w way, active int, perSecond, offered float64, lossInterval time.Duration) (worst int, share float64) {
	random := rand.New(rand.NewPCG(7, 0))
	var sent []time.Duration
	const length = 40 * time.Second
	w.leaderLost(0)
	nextLoss := lossInterval
	for now := time.Duration(0); now < length; now += time.Duration(random.ExpFloat64() / offered * float64(time.Second)) {
		if lossInterval > 0 && now >= nextLoss {
			w.leaderLost(now)
			nextLoss += lossInterval
		}
		if w.send(now, random.IntN(active)) {
			sent = append(sent, now)
		}
	}
	return most(sent), float64(len(sent)) / (perSecond * length.Seconds())
}

var _ = Describe("Ways to keep to a limit of all entries together", func() {
	// Guards against splitting the limit, using it in full at each entry, and buckets that each new leader fills.
	It("compares them", func() {
		for _, entries := range []int{5, 21, 330} {
			for _, perSecond := range []float64{0.4, 2, 20} {
				offered := 10 * perSecond
				for _, interval := range []time.Duration{0, 4 * time.Second} {
					for name, w := range map[string]way{
						"even split":    newPerEntry(entries, perSecond/float64(entries)),
						"whole each":    newPerEntry(entries, perSecond),
						"full at start": &fullAtStart{perSecond: perSecond},
						"metered":       &metered{perSecond: perSecond},
					} {
						worst, share := play(w, max(1, entries/3), perSecond, offered, interval)
						GinkgoWriter.Printf("%3d entries, %4.1f a second, leader lost each %v, %-13s: %3d of %5.1f, %.2f of the limit\n",
							entries, perSecond, interval, name, worst, allowed(perSecond), share)
						if name == "metered" {
							Expect(worst).To(BeNumerically("<=", allowed(perSecond)), fmt.Sprint(entries, perSecond))
							if interval == 0 {
								Expect(share).To(BeNumerically(">=", 0.85))
							}
						}
					}
				}
			}
		}
	})
})
