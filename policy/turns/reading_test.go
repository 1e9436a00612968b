package turns_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/capacity"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// prefillQueue models a group that prefills prompts one after the other; a long prompt delays all behind it.
type prefillQueue struct {
	idleAt time.Duration
	// slowdown is the factor by which the group takes longer.
	slowdown float64
}

// groupCount is the number of groups in simulatePrefill.
const groupCount = 5

// sameEngines returns the engines of equal groups.
func sameEngines(engine capacity.Engine) []capacity.Engine {
	return slices.Repeat([]capacity.Engine{engine}, groupCount)
}

// simulatePrefill sends prompts of many lengths to groups whose engines have the given times, and returns the share
// of first tokens that are in time. perSecond arrive on average, and the first
// group takes longer by the given factor.
func simulatePrefill(engines []capacity.Engine, perSecond, slowdown float64) float64 {
	const (
		inTime = 300 * time.Millisecond
		pass   = 90 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(5, 11))
	s := turns.New(turns.DefaultConfig())
	list := groups(groupCount, 48)
	for i := range list {
		list[i].Engine = engines[i]
	}
	s.SetGroups(0, list, r.Float64)
	queues := make(map[string]*prefillQueue)
	for i, g := range list {
		queues[g.Head] = &prefillQueue{slowdown: 1}
		if i == 0 {
			queues[g.Head].slowdown = slowdown
		}
	}
	running := map[string]time.Duration{}
	good, requests := 0, 0
	for now := time.Duration(0); now < 60*time.Second; now += time.Millisecond {
		for key, ends := range running {
			if now >= ends {
				delete(running, key)
				s.Done(now, key, completed, r.Float64)
			}
		}
		if r.Float64() >= perSecond*time.Millisecond.Seconds() {
			continue
		}
		requests++
		prompt := min(6000, 900*math.Exp(r.NormFloat64()))
		key := fmt.Sprint(requests)
		decisions := s.Submit(now, turns.Request{Key: key, Model: "m", MaxWait: time.Second, Size: capacity.RequestSize{PromptTokens: prompt, OutputTokens: 100}}, r.Float64)
		if len(decisions) != 1 || decisions[0].Reason != turns.Granted {
			continue
		}
		g := queues[decisions[0].Head]
		g.idleAt = max(now, g.idleAt) + time.Duration(g.slowdown*prompt/30_000*float64(time.Second)) // half of the engine's time goes to decoding
		if g.idleAt+time.Duration(g.slowdown*float64(pass))-now <= inTime {
			good++
		}
		running[key] = g.idleAt + time.Duration(g.slowdown*float64(1200*time.Millisecond))
	}
	return float64(good) / float64(requests)
}

var _ = Describe("Prompts of many lengths", func() {
	// Prompts of 200 to 6,000 tokens arrive at nearly the rate that the groups can prefill. The group with the fewest
	// requests is often one that has a very long prompt to prefill, and requests sent there wait behind it although
	// another group has none.
	It("go to the group that will finish its prefill soonest", func() {
		known := capacity.Engine{Slots: 48, StepTime: 6450 * time.Microsecond, StepTimePerSequence: 97 * time.Microsecond, StepsPerPass: 5, PrefillTokensPerSecond: 30_000, TimeFactor: 1}
		fewest, soonest := simulatePrefill(sameEngines(capacity.Engine{Slots: 48}), 80, 1), simulatePrefill(sameEngines(known), 80, 1)
		GinkgoWriter.Printf("in time: fewest requests %.3f, earliest prefill %.3f\n", fewest, soonest)
		Expect(1 - soonest).To(BeNumerically("<", 0.7*(1-fewest)))
	})
})

var _ = Describe("A group with a slow member", func() {
	// One of five groups works at a fifth of its speed. As long as it counts like the others, it gets one request in five, and answers all of them
	// late.
	It("gets only the requests that it answers as soon as the others", func() {
		normal := capacity.Engine{Slots: 48, StepTime: 6450 * time.Microsecond, StepTimePerSequence: 97 * time.Microsecond, StepsPerPass: 5, PrefillTokensPerSecond: 30_000, TimeFactor: 1}
		known := sameEngines(normal)
		known[0] = normal.SlowedBy(5)
		unknown, informed := simulatePrefill(sameEngines(normal), 50, 5), simulatePrefill(known, 50, 5)
		GinkgoWriter.Printf("in time: %.3f, slowdown known %.3f\n", unknown, informed)
		Expect(1 - informed).To(BeNumerically("<", 0.7*(1-unknown)))
	})
})
