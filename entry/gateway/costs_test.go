package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/policy/cost"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

var _ = Describe("Costs", func() {
	table := route.NewTable(1, nil, []route.Service{{Name: "model", Engine: &route.Engine{StepsPerPass: 5}}, {Name: "desk"}}, nil, route.Limits{})
	stream := relay.Report{
		Route: "chat", Team: "a", Service: "model", Model: "m1", Outcome: relay.Served, Status: 200, Framing: framing.Chunked, StatedTokens: 100, Events: 23,
	}
	plain := relay.Report{Route: "book", Service: "desk", Outcome: relay.Served, Status: 200, Framing: framing.Length, ServerTime: 30 * time.Millisecond}

	It("are tokens of streams and seconds of plain servers", func() {
		streamed, _ := sampleOf(stream, table)
		Expect(streamed).To(Equal(cost.Sample{
			Kind: cost.Kind{Service: "model", Model: "m1", Route: "chat"}, Team: "a", Stated: 100, Actual: 115, Complete: true,
		}))
		answered, ok := sampleOf(plain, table)
		Expect(ok).To(BeTrue())
		Expect(answered).To(Equal(cost.Sample{Kind: cost.Kind{Service: "desk", Route: "book"}, Actual: 0.03, Complete: true}))
	})

	DescribeTable("are not learned from answers that may be truncated, or are another entry's",
		func(change func(*relay.Report)) {
			report := stream
			change(&report)
			_, ok := sampleOf(report, table)
			Expect(ok).To(BeFalse())
		},
		Entry("cut", func(r *relay.Report) { r.Outcome = relay.Cut }),
		Entry("ended with its connection", func(r *relay.Report) { r.Framing = framing.Closed }),
		Entry("resumed: only the rest was counted", func(r *relay.Report) { r.Resumed = true }),
		Entry("failed", func(r *relay.Report) { r.Status = 500 }),
		Entry("passed on", func(r *relay.Report) { r.Via = "e-2" }),
		Entry("from another entry", func(r *relay.Report) { r.Forwarded = true }),
		Entry("empty", func(r *relay.Report) { r.Events = 0 }),
	)

	It("are measured by kind", func() {
		registry := metrics.NewRegistry()
		c := newCosts(registry, time.Now())
		for range 20 {
			c.learn(stream, table)
		}
		Expect(registry.Get("cost.error_percent.model.m1.chat")).NotTo(BeNil())
		Expect(metrics.GetOrRegisterGauge("cost.error_percent.model.m1.chat", registry).Value()).To(BeNumerically("<", 20))
	})

	It("are stated for the prompts of models alone, and only if they are learned", func() {
		on, off := &shared{registry: metrics.NewRegistry()}, &shared{registry: metrics.NewRegistry()}
		on.costs = newCosts(on.registry, time.Now())
		for _, s := range []*shared{on, off} {
			s.measurePrefill(turns.Demand{Model: "llm/m1", PrefillRatio: 2.5})
			s.measurePrefill(turns.Demand{Model: "desk/", PrefillRatio: 1})
		}
		Expect(metrics.GetOrRegisterGauge("cost.prefill_percent.llm.m1", on.registry).Value()).To(BeEquivalentTo(250))
		Expect(on.registry.GetAll()).To(HaveLen(1))
		Expect(off.registry.GetAll()).To(BeEmpty())
	})
})
