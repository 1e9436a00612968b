package capacity_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/capacity"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

var _ = Describe("Rate", func() {
	engine := capacity.Engine{
		Slots: 48, KVCacheTokens: 2_470_000, StepTime: 6450 * time.Microsecond, StepTimePerSequence: 97 * time.Microsecond,
		PrefillTokensPerSecond: 56_100, TimeFactor: 1,
	}
	long := capacity.RequestSize{PromptTokens: 1700, OutputTokens: 100}
	short := capacity.RequestSize{PromptTokens: 700, OutputTokens: 150}

	// simulate runs a group that always has work, step by step, and returns how many requests per second it serves.
	simulate := func(e capacity.Engine, size capacity.RequestSize) float64 {
		seconds := 0.0
		const requests = 1000
		decoded := 0.0
		for decoded < requests*size.OutputTokens {
			seconds += e.TimeFactor * (e.StepTime.Seconds() + float64(e.Slots)*e.StepTimePerSequence.Seconds())
			decoded += float64(e.Slots)
		}
		seconds += e.TimeFactor * requests * size.PromptTokens / e.PrefillTokensPerSecond
		return requests / seconds
	}

	DescribeTable("is the rate of a full group simulated step by step",
		func(size capacity.RequestSize, timeFactor float64) {
			e := engine
			e.TimeFactor = timeFactor
			Expect(e.Rate(size)).To(BeNumerically("~", simulate(e, size), 0.01*simulate(e, size)))
		},
		Entry("long prompts", long, 1.0),
		Entry("short prompts", short, 1.0),
		Entry("a faster model", short, 0.6),
	)

	It("is lower where the KV cache holds fewer requests than there are slots", func() {
		small := engine
		small.KVCacheTokens = 18_000
		Expect(small.Rate(long)).To(BeNumerically("<", 0.8*engine.Rate(long)))
	})

	It("is 0 where the engine's times or the request size are unknown", func() {
		Expect(capacity.Engine{Slots: 48}.Rate(long)).To(BeZero())
		Expect(engine.Rate(capacity.RequestSize{})).To(BeZero())
	})
})

var _ = Describe("SlowedBy", func() {
	engine := capacity.Engine{
		Slots: 30, StepTime: 6 * time.Millisecond, StepTimePerSequence: 45 * time.Microsecond, StepsPerPass: 7, PrefillTokensPerSecond: 50_000, TimeFactor: 0.6,
	}

	It("makes all times longer and leaves fewer slots, but at least one", func() {
		slow := engine.SlowedBy(5)
		Expect(slow.Slots).To(Equal(6))
		Expect(slow.PassTime(10)).To(BeNumerically("~", 5*engine.PassTime(10), time.Microsecond))
		Expect(slow.PrefillTime(1000)).To(BeNumerically("~", 5*engine.PrefillTime(1000), time.Microsecond))
		Expect(engine.SlowedBy(100).Slots).To(Equal(1))
		Expect(engine.SlowedBy(0.5)).To(Equal(engine))
	})
})
