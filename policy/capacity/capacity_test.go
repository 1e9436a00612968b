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
	RunSpecs(t, "What a group serves")
}

var _ = Describe("Rate", func() {
	engine := capacity.Engine{
		Slots: 48, KVCacheTokens: 2_470_000, StepTime: 6450 * time.Microsecond, StepTimePerSequence: 97 * time.Microsecond, PrefillTokensPerSecond: 56_100, TimeFactor: 1,
	}
	long := capacity.RequestSize{PromptTokens: 1700, OutputTokens: 100}
	short := capacity.RequestSize{PromptTokens: 700, OutputTokens: 150}

	// seconds plays a group that is never without work, and returns what its time is spent on, step by step.
	simulate := func(e capacity.Engine, work capacity.RequestSize) float64 {
		seconds := 0.0
		const requests = 1000
		written := 0.0
		for written < requests*work.OutputTokens {
			seconds += e.TimeFactor * (e.StepTime.Seconds() + float64(e.Slots)*e.StepTimePerSequence.Seconds())
			written += float64(e.Slots)
		}
		seconds += e.TimeFactor * requests * work.PromptTokens / e.PrefillTokensPerSecond
		return requests / seconds
	}

	DescribeTable("is what a full group serves that is played step by step",
		func(work capacity.RequestSize, pace float64) {
			e := engine
			e.TimeFactor = pace
			Expect(e.Rate(work)).To(BeNumerically("~", simulate(e, work), 0.01*simulate(e, work)))
		},
		Entry("long prompts", long, 1.0),
		Entry("short prompts", short, 1.0),
		Entry("a faster model", short, 0.6),
	)

	It("is lower where the memory holds fewer requests than there are places", func() {
		small := engine
		small.KVCacheTokens = 18_000
		Expect(small.Rate(long)).To(BeNumerically("<", 0.8*engine.Rate(long)))
	})

	It("is 0 where the engine's times or the work are not known", func() {
		Expect(capacity.Engine{Slots: 48}.Rate(long)).To(BeZero())
		Expect(engine.Rate(capacity.RequestSize{})).To(BeZero())
	})
})
