package turns_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/turns"
)

var _ = Describe("Heads that fail requests", func() {
	const heads, slots, perSecond = 12, 8, 60
	// play offers requests of a second each for some time. fails says whether a request fails, which takes 5 ms. It returns the numbers of granted turns and of
	// failures by head.
	play := func(s *turns.Scheduler, length time.Duration, fails func(now time.Duration, head string) bool) (granted, failed map[string]int) {
		granted, failed = make(map[string]int), make(map[string]int)
		random := rand.New(rand.NewPCG(7, 8))
		ends := make(map[time.Duration][]func())
		var note func(now time.Duration, decisions []turns.Decision)
		note = func(now time.Duration, decisions []turns.Decision) {
			for _, d := range decisions {
				if d.Reason != turns.Granted {
					continue
				}
				granted[d.Head]++
				if fails(now, d.Head) {
					failed[d.Head]++
					ends[now+tickTime] = append(ends[now+tickTime], func() { note(now+tickTime, s.Done(now+tickTime, d.Key, turns.End{Failed: true}, random.Float64)) })
					continue
				}
				at := now + time.Second
				ends[now+tickTime] = append(ends[now+tickTime], func() { note(now+tickTime, s.Accepted(now+tickTime, d.Key, random.Float64)) })
				ends[at] = append(ends[at], func() { note(at, s.Done(at, d.Key, completed, random.Float64)) })
			}
		}
		arrivals, number := 0.0, 0
		for now := time.Duration(0); now < length; now += tickTime {
			for _, end := range ends[now] {
				end()
			}
			for arrivals += perSecond * tickTime.Seconds(); arrivals >= 1; arrivals-- {
				number++
				request := newRequest(fmt.Sprint("r", number))
				request.Client = fmt.Sprint("e-", random.IntN(143))
				note(now, s.Submit(now, request, random.Float64))
			}
			note(now, s.Tick(now, random.Float64))
		}
		return granted, failed
	}
	newScheduler := func() *turns.Scheduler {
		s := turns.New(turns.DefaultConfig())
		s.SetGroups(0, groups(heads, slots), constantRandom)
		return s
	}
	total := func(counts map[string]int) (n int) {
		for _, count := range counts {
			n += count
		}
		return n
	}

	// Three heads reset every request and answer every probe. They have the fewest requests in progress, and took most of what came.
	It("get few turns until they accept one", func() {
		bad := func(head string) bool {
			return head == groups(heads, slots)[0].Head || head == groups(heads, slots)[1].Head
		}
		granted, failed := play(newScheduler(), 12*time.Second, func(now time.Duration, head string) bool { return bad(head) && now < 6*time.Second })
		Expect(total(failed)).To(BeNumerically("<=", 24))
		for _, g := range groups(heads, slots)[:2] {
			Expect(granted[g.Head]).To(BeNumerically(">=", 15), "it is used again once it serves")
		}
	})

	// The connections of all servers are reset at one moment. None of them fails what is sent afterwards.
	It("are none if all requests in progress fail at one moment", func() {
		s := newScheduler()
		random := rand.New(rand.NewPCG(1, 1))
		var keys []string
		for i := range heads * 4 {
			request := newRequest(fmt.Sprint("a", i))
			request.Client = fmt.Sprint("e-", i)
			s.Submit(0, request, random.Float64)
			keys = append(keys, request.Key)
		}
		for _, key := range keys {
			s.Done(time.Second, key, turns.End{Failed: true}, random.Float64)
		}
		for i := range heads * slots {
			request := newRequest(fmt.Sprint("b", i))
			request.Client = fmt.Sprint("e-", i)
			Expect(s.Submit(time.Second, request, random.Float64)).To(ContainElement(HaveField("Reason", turns.Granted)))
		}
	})

	// One client's requests fail at any head.
	It("are none if the requests of a single client fail", func() {
		s := newScheduler()
		for i := range 100 {
			now := time.Duration(i) * 10 * time.Millisecond
			request := newRequest(fmt.Sprint("a", i))
			request.Client = "e-1"
			decisions := s.Submit(now, request, constantRandom)
			Expect(decisions).To(ContainElement(HaveField("Reason", turns.Granted)))
			s.Done(now+5*time.Millisecond, request.Key, turns.End{Failed: true}, constantRandom)
		}
	})
})
