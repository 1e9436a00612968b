package leader_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

var _ = Describe("Demand", func() {
	// Both models get equally many requests, and no group serves either of them. Estimated from slots alone, the model
	// with long prompts would get as many groups as the other, and its callers would wait for the prefill of their
	// prompts.
	It("is estimated from the work of the requests, even while the model has no group", func() {
		models := []route.Model{{Name: "long", Size: 4, TimeFactor: 1}, {Name: "short", Size: 4, TimeFactor: 1}}
		table := &route.Table{Version: 1, Services: map[string]route.Service{"chat": {Name: "chat", Engine: &route.Engine{
			Slots: 8, StepTime: 6 * time.Millisecond, StepTimePerSequence: 100 * time.Microsecond, PrefillTokensPerSecond: 50_000, Models: models,
		}}}}
		l := leader.New(leader.Deps{
			AnnounceLeaving: func(link.Leaving) bool { return true }, AnnouncedLeaving: func() []link.Leaving { return nil },
			Confirmed: func() bool { return true }, KnownLimits: func() []link.ServerLimit { return nil }, ReportLimit: func(leader.LimitChange) {},
			IsLeader:     func() bool { return true },
			Listing:      func() *backend.Listing { return backend.NewListing(1, nil) },
			ListAge:      func() time.Duration { return 0 },
			Table:        func() *route.Table { return table },
			Dissolving:   func(backend.GroupKey) bool { return false },
			ReportDemand: func(turns.Demand) {},
			RoundEnded:   func() {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.Run(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		asked := uint64(0)
		Eventually(func(g Gomega) {
			for _, model := range models {
				asked++
				prompt := 400
				if model.Name == "long" {
					prompt = 4000
				}
				l.Receive("e-1", &follower{}, link.Up{TurnRequest: &link.TurnRequest{
					Key: asked, Service: "chat", Model: model.Name, PromptTokens: prompt, OutputTokens: 50, Fingerprint: asked,
				}})
			}
			long, short := l.GroupsNeeded("chat", "long"), l.GroupsNeeded("chat", "short")
			g.Expect(short).To(BeNumerically(">", 0), fmt.Sprint("asked ", asked))
			g.Expect(long).To(BeNumerically(">", 1.5*short))
		}, "20s", "20ms").Should(Succeed())
	})

	// The first requests arrive just before the end of an interval. If that interval counted like the others, the estimate would be too
	// low for ten seconds, and VMs that both models need would stay idle.
	It("is nearly right after three seconds", func() {
		models := []route.Model{{Name: "chat", Size: 4, TimeFactor: 1}}
		table := &route.Table{Version: 1, Services: map[string]route.Service{"s": {Name: "s", Engine: &route.Engine{
			Slots: 8, StepTime: 6 * time.Millisecond, StepTimePerSequence: 100 * time.Microsecond, PrefillTokensPerSecond: 50_000, Models: models,
		}}}}
		l := leader.New(leader.Deps{
			AnnounceLeaving: func(link.Leaving) bool { return true }, AnnouncedLeaving: func() []link.Leaving { return nil },
			Confirmed: func() bool { return true }, KnownLimits: func() []link.ServerLimit { return nil }, ReportLimit: func(leader.LimitChange) {},
			IsLeader: func() bool { return true }, Listing: func() *backend.Listing { return backend.NewListing(1, nil) },
			ListAge: func() time.Duration { return 0 }, Table: func() *route.Table { return table },
			Dissolving: func(backend.GroupKey) bool { return false }, ReportDemand: func(turns.Demand) {},
		})
		asked := uint64(0)
		ask := func(requests int) {
			for range requests {
				asked++
				l.Receive("e-1", &follower{}, link.Up{TurnRequest: &link.TurnRequest{
					Key: asked, Service: "s", Model: "chat", PromptTokens: 500, OutputTokens: 50, Fingerprint: asked,
				}})
			}
			l.MeasureDemand()
		}
		l.RefreshGroups()
		ask(10)
		Expect(l.GroupsNeeded("s", "chat")).To(BeZero())
		ask(100)
		ask(100)
		early := l.GroupsNeeded("s", "chat")
		for range 20 {
			ask(100)
		}
		Expect(early).To(BeNumerically("~", l.GroupsNeeded("s", "chat"), 0.1*early))
	})
})
