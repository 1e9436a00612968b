package turns_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/turns"
)

var _ = Describe("Heads with a limit", func() {
	var s *turns.Scheduler
	BeforeEach(func() {
		s = turns.New(turns.DefaultConfig())
		s.SetGroups(0, groups(3, 8), constantRandom)
	})
	// offer submits requests at a rate for some time, each of which takes 100 ms, and returns the decisions.
	offer := func(from, length time.Duration, perSecond float64, change func(*turns.Request)) (decisions []turns.Decision) {
		ends := make(map[time.Duration][]string)
		arrivals := 0.0
		note := func(now time.Duration, made []turns.Decision) {
			for _, d := range made {
				decisions = append(decisions, d)
				if d.Reason == turns.Granted {
					ends[now+100*time.Millisecond] = append(ends[now+100*time.Millisecond], d.Key)
				}
			}
		}
		for now := from; now < from+length; now += tickTime {
			for _, key := range ends[now] {
				note(now, s.Done(now, key, completed, rand.Float64))
			}
			for arrivals += perSecond * tickTime.Seconds(); arrivals >= 1; arrivals-- {
				request := newRequest(fmt.Sprint(now, "-", arrivals))
				change(&request)
				note(now, s.Submit(now, request, rand.Float64))
			}
			note(now, s.Tick(now, rand.Float64))
		}
		return decisions
	}
	granted := func(decisions []turns.Decision) map[string]int {
		counts := make(map[string]int)
		for _, d := range decisions {
			if d.Reason == turns.Granted {
				counts[d.Head]++
			}
		}
		return counts
	}
	unchanged := func(*turns.Request) {}

	It("get their share, and the others take the rest", func() {
		s.SetLimit(0, "head0", 2, constantRandom)
		counts := granted(offer(0, 10*time.Second, 30, unchanged))
		Expect(counts["head0"]).To(And(BeNumerically(">=", 12), BeNumerically("<=", 22)))
		Expect(counts["head1"] + counts["head2"]).To(BeNumerically(">=", 275))
	})

	It("get all that they take when all are limited, and the most urgent requests get it", func() {
		for i := range 3 {
			s.SetLimit(0, fmt.Sprint("head", i), 2, constantRandom)
		}
		n, urgent, urgentGranted := 0, make(map[string]bool), 0
		decisions := offer(0, 20*time.Second, 30, func(r *turns.Request) {
			n++
			if r.Priority = 2; n%10 == 0 {
				r.Priority = 1
				urgent[r.Key] = true
			}
		})
		total := 0
		for _, count := range granted(decisions) {
			total += count
		}
		Expect(total).To(And(BeNumerically(">=", 105), BeNumerically("<=", 130)))
		for _, d := range decisions {
			if d.Reason == turns.Granted && urgent[d.Key] {
				urgentGranted++
			}
		}
		Expect(float64(urgentGranted) / float64(len(urgent))).To(BeNumerically(">=", 0.8))
	})

	// Callers that are told the same time return together, and most are rejected again.
	It("have rejected callers return at different times, no more in a second than may be sent", func() {
		for i := range 3 {
			s.SetLimit(0, fmt.Sprint("head", i), 2, constantRandom)
		}
		perSecond := make(map[int]int)
		for i := range 24 {
			made := s.Submit(time.Second, newRequest(fmt.Sprint(i)), constantRandom)
			for _, d := range made {
				if d.Reason != turns.Granted {
					perSecond[int(d.RetryAfter.Seconds())]++
					Expect(d.Limits).To(Equal(turns.Limits{Heads: 3, PerSecond: 6, Lowest: "head0"}))
				}
			}
		}
		Expect(len(perSecond)).To(BeNumerically(">=", 3))
		for _, count := range perSecond {
			Expect(count).To(BeNumerically("<=", 7))
		}
	})

	It("are free again once the limit is gone, and keep their places while it changes", func() {
		s.SetLimit(0, "head0", 0, constantRandom)
		s.SetLimit(time.Second, "head0", 20, constantRandom)
		s.ClearLimit(2*time.Second, "head0", constantRandom)
		Expect(granted(offer(2*time.Second, 10*time.Second, 30, unchanged))["head0"]).To(BeNumerically(">=", 80))
	})

	It("are granted fewer turns while another scheduler may grant as well", func() {
		s.SetLimit(0, "head0", 10, constantRandom)
		s.SetConfirmed(0, false)
		Expect(granted(offer(0, 10*time.Second, 60, unchanged))["head0"]).To(BeNumerically("<=", 50))
	})

	It("are granted a turn in place of one that was not used", func() {
		s.SetGroups(0, groups(1, 8), constantRandom)
		s.SetLimit(0, "head0", 1, constantRandom)
		at := 1500 * time.Millisecond
		first := s.Submit(at, newRequest("first"), constantRandom)
		Expect(first).To(HaveLen(1))
		Expect(first[0].Metered).To(BeTrue())
		s.Done(at, "first", turns.End{Unsent: true}, constantRandom)
		Expect(s.Submit(at, newRequest("second"), constantRandom)[0].Reason).To(Equal(turns.Granted))
	})

	// A model whose heads take few requests for long lacks groups, although these stand and have free slots.
	It("count as missing groups once they have had their limits for long", func() {
		s.SetLimit(0, "head0", 2, constantRandom)
		s.SetLimit(5*time.Second, "head1", 0, constantRandom)
		Expect(s.LimitedGroups(9*time.Second, "m", 8)).To(BeZero())
		Expect(s.LimitedGroups(11*time.Second, "m", 8)).To(BeNumerically("~", 0.75, 1e-9))
		Expect(s.LimitedGroups(16*time.Second, "m", 8)).To(BeNumerically("~", 1.71875, 1e-9))
		Expect(s.LimitedGroups(16*time.Second, "m", 1)).To(BeNumerically("~", 0.75, 1e-9))
		Expect(s.LimitedGroups(16*time.Second, "other", 8)).To(BeZero())
	})
})
