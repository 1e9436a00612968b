package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/quota"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

// The published rule: the requests that a server may get in a window.
const window = 4 * time.Second

func allowed(perSecond float64) float64 { return 1.5*perSecond*window.Seconds() + 5 }

// most returns the most requests in any window.
func most(times []time.Duration) int {
	worst := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at < from+window {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}

// drain takes what a meter permits, in steps of 5 ms.
func drain(m *quota.Meter, from, to time.Duration) (times []time.Duration) {
	for now := from; now < to; now += 5 * time.Millisecond {
		for m.Available(now, false) {
			m.Take(now)
			times = append(times, now)
		}
	}
	return times
}

var rates = []float64{0, 0.1, 0.25, 0.4, 1, 2, 2.1, 5, 20, 100, 1000}

var _ = Describe("Meter", func() {
	It("permits one request at a time by an inherited limit until the server has answered", func() {
		m := quota.NewInheritedMeter(0, 20)
		Expect(drain(m, 0, 4*time.Second)).To(HaveLen(1))
		m.EndWithoutAnswer()
		Expect(drain(m, 4*time.Second, 5*time.Second)).To(HaveLen(1))
		m.GiveBack(5 * time.Second)
		Expect(m.Permitted(5 * time.Second)).To(Equal(1))
		m.Take(5 * time.Second)
		m.Verify()
		Expect(len(drain(m, 5*time.Second, 6*time.Second))).To(BeNumerically(">=", 19))
	})

	// The process that sent the request may be gone.
	It("permits another request by an inherited limit if the result of the last one never comes", func() {
		m := quota.NewInheritedMeter(0, 20)
		Expect(len(drain(m, 0, 21*time.Second))).To(And(BeNumerically(">=", 5), BeNumerically("<=", 6)))
	})

	It("permits what the limit allows, and no more in any window, also after a pause", func() {
		for _, rate := range rates {
			m := quota.NewMeter(0, rate)
			times := drain(m, 10*time.Second, 30*time.Second)
			Expect(most(times)).To(BeNumerically("<=", allowed(rate)), "%v", rate)
			Expect(float64(len(times))).To(BeNumerically(">=", 19.5*rate), "%v", rate)
		}
	})

	// Each new leader, each restart and each change of the limit makes a new meter or changes it. Bursts of all of them would add up.
	It("permits no more when leaders follow each other, or the limit changes again and again", func() {
		for _, rate := range rates {
			var times []time.Duration
			changing := quota.NewMeter(0, rate)
			var changed []time.Duration
			for n := range 20 {
				from := time.Duration(n) * 700 * time.Millisecond
				times = append(times, drain(quota.NewMeter(from, rate), from, from+700*time.Millisecond)...)
				changing.SetLimit(from, rate/2)
				changing.SetConfirmed(from, false)
				changing.SetLimit(from, rate)
				changing.SetConfirmed(from, true)
				changed = append(changed, drain(changing, from, from+700*time.Millisecond)...)
			}
			Expect(most(times)).To(BeNumerically("<=", allowed(rate)), "%v", rate)
			Expect(most(changed)).To(BeNumerically("<=", allowed(rate)), "%v", rate)
		}
	})

	// A leader that is cut off, or was suspended, goes on beside the next one.
	It("permits no more beside a second leader whose lease is not confirmed", func() {
		for _, rate := range rates {
			first, second := quota.NewMeter(0, rate), quota.NewMeter(12*time.Second, rate)
			times := drain(first, 0, 10*time.Second)
			first.SetConfirmed(10*time.Second, false)
			for now := 10 * time.Second; now < 30*time.Second; now += 5 * time.Millisecond {
				times = append(times, drain(first, now, now+1)...)
				if now >= 12*time.Second {
					times = append(times, drain(second, now, now+1)...)
				}
			}
			Expect(most(times)).To(BeNumerically("<=", allowed(rate)), "%v", rate)
		}
	})

	It("keeps a place for a more urgent request, and permits as many in all", func() {
		m := quota.NewMeter(0, 2)
		yielding := 0
		for now := time.Duration(0); now < 20*time.Second; now += 5 * time.Millisecond {
			if m.Available(now, true) {
				m.Take(now)
				yielding++
				Expect(m.Available(now, false)).To(BeTrue())
			}
		}
		Expect(yielding).To(BeNumerically(">=", 38))
	})

	It("permits another request in place of one that was not sent", func() {
		m := quota.NewMeter(0, 1)
		Expect(m.Available(time.Second, false)).To(BeTrue())
		m.Take(time.Second)
		Expect(m.Available(time.Second, false)).To(BeFalse())
		Expect(m.Wait(time.Second)).To(BeNumerically("~", time.Second, time.Millisecond))
		m.GiveBack(time.Second)
		Expect(m.Available(time.Second, false)).To(BeTrue())
		Expect(m.Wait(time.Second)).To(BeZero())
	})
})

var _ = Describe("Ledger", func() {
	var l *quota.Ledger
	BeforeEach(func() { l = quota.NewLedger(100) })
	perSecond := func(value float64) *float64 { return &value }
	hear := func(value *float64, basis uint64) bool {
		return l.Hear(0, "s", quota.Statement{Process: 5, PerSecond: value, Basis: basis})
	}
	version := func() uint64 {
		known, _ := l.Limit("s")
		return known.Version
	}
	limit := func() float64 {
		known, ok := l.Limit("s")
		if !ok {
			return -1
		}
		return known.PerSecond
	}

	It("applies a lower limit at once", func() {
		Expect(hear(perSecond(20), 0)).To(BeTrue())
		Expect(hear(perSecond(1), 0)).To(BeTrue())
		Expect(hear(perSecond(1), version())).To(BeFalse())
		Expect(limit()).To(Equal(1.0))
	})

	// The answer to a request that was sent before the server was in need ends after it.
	It("applies a higher limit, or none, only if the request was sent with the present one known", func() {
		hear(perSecond(2), 0)
		stale := version()
		hear(perSecond(1), 0)
		for _, basis := range []uint64{0, stale} {
			Expect(hear(nil, basis)).To(BeFalse())
			Expect(hear(perSecond(20), basis)).To(BeFalse())
		}
		Expect(hear(perSecond(20), version())).To(BeTrue())
		Expect(limit()).To(Equal(20.0))
		Expect(hear(nil, version())).To(BeTrue())
		Expect(limit()).To(Equal(-1.0))
	})

	It("keeps to the limit of the server's latest process", func() {
		hear(perSecond(2), 0)
		Expect(l.Hear(0, "s", quota.Statement{Process: 4, PerSecond: perSecond(1)})).To(BeFalse())
		Expect(l.Hear(0, "s", quota.Statement{Process: 6, PerSecond: perSecond(9)})).To(BeTrue())
		Expect(limit()).To(Equal(9.0))
		Expect(l.Hear(0, "s", quota.Statement{Process: 7})).To(BeTrue())
		Expect(limit()).To(Equal(-1.0))
	})

	It("forgets servers that have restarted, and those that are not listed for long", func() {
		hear(perSecond(2), 0)
		process, listed := int64(5), true
		sweep := func(now time.Duration) []string {
			return l.Sweep(now, func(string) (int64, bool) { return process, listed })
		}
		Expect(sweep(time.Second)).To(BeEmpty())
		listed = false
		Expect(sweep(2 * time.Second)).To(BeEmpty())
		Expect(sweep(30 * time.Second)).To(BeEmpty())
		listed = true
		Expect(sweep(31 * time.Second)).To(BeEmpty())
		listed = false
		Expect(sweep(65 * time.Second)).To(BeEmpty())
		Expect(sweep(126 * time.Second)).To(Equal([]string{"s"}))
		hear(perSecond(2), 0)
		process, listed = 6, true
		Expect(sweep(127 * time.Second)).To(Equal([]string{"s"}))
		Expect(limit()).To(Equal(-1.0))
	})
})
