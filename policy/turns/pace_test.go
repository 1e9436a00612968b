package turns_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/capacity"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// Guards against a surge of prompts that groups prefill for a second while most slots are free: all entries have just started, and 300 callers return
// within 0.1 s beside 35 new requests.
var _ = Describe("Returning callers that find most slots free", func() {
	It("get turns at the rate that new requests leave over", func() {
		config := turns.DefaultConfig()
		config.ReserveForNew = true
		former := newReturnScheduler(config)
		for i := range 2000 { // 20 s in which callers have deadlines of 6 s
			now := time.Duration(i) * 10 * time.Millisecond
			former.Submit(now, sized(fmt.Sprint("former-", i), fmt.Sprint(i%24), 6*time.Second), fixed)
			former.Done(now, fmt.Sprint("former-", i), turns.End{Complete: true}, fixed)
		}
		s := newReturnScheduler(config)
		stored, known := former.StoreCallers(20 * time.Second)
		Expect(known).To(BeTrue())
		Expect(s.RestoreCallers(stored)).To(Succeed())
		granted := map[string]int{}
		for i := range 335 {
			kind, timeLeft := "returning", 4*time.Second
			if i%10 == 0 {
				kind, timeLeft = "new", 6*time.Second
			}
			for _, d := range s.Submit(time.Duration(i)*300*time.Microsecond, sized(fmt.Sprint(kind, i), fmt.Sprint(i%24), timeLeft), fixed) {
				if d.Reason == turns.Granted {
					granted[strings.TrimRight(d.Key, "0123456789")]++
				}
			}
		}
		Expect(granted["new"]).To(Equal(34))
		Expect(granted["returning"]).To(And(BeNumerically(">", 2), BeNumerically("<", 60)))
	})
})

func fixed() float64 { return 0.5 }

func newReturnScheduler(config turns.Config) *turns.Scheduler {
	s := turns.New(config)
	list := groups(19, 34)
	for i := range list {
		list[i].Engine = capacity.Engine{
			Slots: 34, StepTime: 6 * time.Millisecond, StepTimePerSequence: 240 * time.Microsecond, StepsPerPass: 5, PrefillTokensPerSecond: 46_000, TimeFactor: 0.6,
		}
	}
	s.SetGroups(0, list, fixed)
	return s
}

// sized returns a request as clerks send them, 700 tokens in and 130 out.
func sized(key, team string, timeLeft time.Duration) turns.Request {
	return turns.Request{
		Key: key, Model: "m", Client: "e", Team: team, TimeLeft: timeLeft, FirstTokenBudget: 200 * time.Millisecond, MaxWait: 200 * time.Millisecond,
		Size: capacity.RequestSize{PromptTokens: 700, OutputTokens: 130},
	}
}
