package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Limits on what one entry sends, without the overhead of the transport. The budget of an entry for
// control traffic is 10 KB a second, both directions and all overhead included.
const (
	quietMessages, quietBytes = 8, 600
	busyMessages, busyBytes   = 9, 2_500
)

var _ = Describe("the cost of membership", func() {
	// Guards against messages that grow with the number of entries: at 330 entries, liveness traffic
	// alone would then use up the network.
	It("keeps the messages and bytes of each entry within limits that do not grow with the number of entries", func() {
		for _, n := range []int{4, 16, 64, 330} {
			quiet, busy := convergedSim(1, n).measureTraffic(4*time.Second, 8*time.Second)
			fmt.Fprintf(GinkgoWriter, "n=%d quiet %v; busy %v\n", n, quiet, busy)
			Expect(quiet.messages).To(BeNumerically("<", quietMessages))
			Expect(quiet.bytes).To(BeNumerically("<", quietBytes))
			Expect(busy.messages).To(BeNumerically("<", busyMessages))
			Expect(busy.bytes).To(BeNumerically("<", busyBytes))
		}
	})

	It("carries a rumour to 330 entries within seconds", func() {
		s := convergedSim(2, 330)
		s.run(time.Second)
		s.nodes[7].Broadcast(Rumour{Topic: "test", Name: "news", Version: 1})
		took := s.runUntil(6*time.Second, s.rumoursConverged)
		fmt.Fprintf(GinkgoWriter, "rumour at 330 entries after %v\n", took)
		Expect(took).To(BeNumerically("<", 6*time.Second))
	})

	// Transient rumours that are rebroadcast all the time arrive faster than messages can carry them. A
	// settings change queued behind them would take effect late, and at different times on different
	// entries.
	It("delivers a persistent rumour despite a flood of transient ones", func() {
		s := convergedSim(3, 64)
		for second := range 14 {
			for i := range 40 {
				s.nodes[i].Broadcast(Rumour{
					Topic: "load", Name: fmt.Sprint(i), Version: uint64(second + 1), Body: make([]byte, 80), TTL: time.Minute,
				})
			}
			if second == 6 {
				s.nodes[7].Broadcast(Rumour{Topic: "test", Name: "news", Version: 1, Body: make([]byte, 80)})
			}
			s.run(time.Second)
		}
		Expect(s.rumoursConverged()).To(BeTrue())
	})
})

// BenchmarkMembership measures in virtual time what one entry sends, starting with all entries cold.
func BenchmarkMembership(b *testing.B) {
	RegisterTestingT(b)
	for _, n := range []int{4, 8, 16, 32, 64, 330} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for b.Loop() {
				s := newSim(1, n)
				joined := s.runUntil(time.Minute, func() bool { return s.viewsAgree(allNodes) })
				s.run(20 * time.Second)
				quiet, busy := s.measureTraffic(30*time.Second, 30*time.Second)
				b.ReportMetric(joined.Seconds(), "join-s")
				b.ReportMetric(quiet.messages, "quiet-msg/s")
				b.ReportMetric(quiet.bytes, "quiet-B/s")
				b.ReportMetric(busy.messages, "busy-msg/s")
				b.ReportMetric(busy.bytes, "busy-B/s")
			}
		})
	}
}

// convergedSim returns a simulation in which all entries already hold each other alive.
func convergedSim(seed uint64, n int) *sim {
	s := newSim(seed, n)
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if a != b {
				a.applyStatus(s.now, "", b.self, false)
			}
		}
		a.queue = newQueue()
		a.markFresh(s.now.Add(-warmupTime))
	}
	return s
}

type rate struct{ messages, bytes float64 }

func (r rate) String() string {
	return fmt.Sprintf("%.1f messages/s, %.0f bytes/s", r.messages, r.bytes)
}

// measureTraffic measures what one entry sends per second, averaged over all entries: first while
// nothing changes, then with one entry killed and a new rumour each second, which is more than a busy
// day brings.
func (s *sim) measureTraffic(quietFor, busyFor time.Duration) (quiet, busy rate) {
	quiet = s.rate(quietFor, func() {})
	last := len(s.nodes) - 1
	s.kill(s.nodes[last])
	version := uint64(0)
	busy = s.rate(busyFor, func() {
		version++
		s.nodes[int(version)%last].Broadcast(Rumour{
			Topic: "test", Name: fmt.Sprint(version % 50), Version: version, Body: make([]byte, 100),
		})
	})
	return quiet, busy
}

func (s *sim) rate(d time.Duration, eachSecond func()) rate {
	messages, bytes := s.messages, s.bytes
	for range int(d / time.Second) {
		eachSecond()
		s.run(time.Second)
	}
	per := float64(len(s.nodes)) * d.Seconds()
	return rate{float64(s.messages-messages) / per, float64(s.bytes-bytes) / per}
}

// BenchmarkRumourRate measures how fast rumours of 110 bytes spread as the number broadcast per second
// grows. It reports the median and the 95th percentile of the staleness of an entry's copy: the time
// since the oldest version that the entry lacks was broadcast, or zero if it lacks none. Each name is
// broadcast again every 20 s.
func BenchmarkRumourRate(b *testing.B) {
	RegisterTestingT(b)
	for _, n := range []int{21, 330} {
		for _, perSecond := range []int{1, 3, 10, 30} {
			b.Run(fmt.Sprintf("entries=%d/per-second=%d", n, perSecond), func(b *testing.B) {
				for b.Loop() {
					s := convergedSim(1, n)
					delays := s.broadcastSteadily(perSecond, 30*time.Second, 20*time.Second)
					slices.Sort(delays)
					b.ReportMetric(delays[len(delays)/2].Seconds(), "delay-50-s")
					b.ReportMetric(delays[len(delays)*95/100].Seconds(), "delay-95-s")
					b.ReportMetric(float64(s.bytes)/float64(n)/50, "B/s")
				}
			})
		}
	}
}

// broadcastSteadily broadcasts rumours at a constant rate. At sample times after the warm-up it records,
// for each pair of entry and name, how long ago the oldest version that the entry lacks was broadcast,
// or zero if it lacks none.
func (s *sim) broadcastSteadily(perSecond int, warmup, measured time.Duration) []time.Duration {
	const period = 20
	broadcastAt := make(map[string][]time.Time) // by name: when version i+1 was broadcast
	var delays []time.Duration
	start := s.now
	for step := 0; s.now.Sub(start) < warmup+measured; step++ {
		name := fmt.Sprint("group-", step%(period*perSecond))
		broadcastAt[name] = append(broadcastAt[name], s.now)
		s.nodes[step%(period*perSecond)%len(s.nodes)].Broadcast(Rumour{
			Topic: "test", Name: name, Version: uint64(len(broadcastAt[name])), Body: make([]byte, 80), TTL: time.Minute,
		})
		s.run(time.Second / time.Duration(perSecond))
		if s.now.Sub(start) < warmup || step%(5*perSecond) != 0 {
			continue
		}
		for _, n := range s.nodes {
			for name, times := range broadcastAt {
				known := n.rumours[rumourKey{"test", name}].rumour.Version
				delay := time.Duration(0)
				if int(known) < len(times) {
					delay = s.now.Sub(times[known])
				}
				delays = append(delays, delay)
			}
		}
	}
	return delays
}
