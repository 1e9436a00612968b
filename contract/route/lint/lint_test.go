package lint_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/contract/route/lint"
)

func TestLint(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "checks of the operators' configuration")
}

// sound returns a configuration without findings.
func sound() route.Config {
	return route.Config{
		Version: 7,
		Routes: []route.Route{
			{
				Name: "answer", Host: "a.example", PathPrefix: "/answer/", Kind: route.Streaming, Timeout: 8 * time.Second, LatencyTarget: time.Second,
				EventGapTarget: 300 * time.Millisecond, MaxAttempts: 2, Resumable: true, Targets: []route.Target{{Service: "chat", Weight: 1}},
			},
			{
				Name: "book", Host: "a.example", PathPrefix: "/book/", Kind: route.NonIdempotent, Timeout: time.Second, MaxAttempts: 2,
				Targets: []route.Target{{Service: "desk", Weight: 1}, {Service: "chat", Weight: 3}},
			},
		},
		Services: []route.Service{{Name: "desk", MaxConns: 8}, {
			Name: "chat", MaxConns: 40, ColdTime: 3 * time.Second, ColdPerSecond: 5,
			Engine: &route.Engine{
				Slots: 34, KVCacheTokens: 90000, StepTime: 6 * time.Millisecond, StepTimePerSequence: time.Millisecond, PrefillTokensPerSecond: 10000,
				MeanPromptTokens: 500, MeanAnswerTokens: 100, LoadsPerSecond: 4, LoadsAtOnce: 6,
				Models: []route.Model{{Name: "m0", Size: 8, DemandShare: 0.6}, {Name: "m1", Size: 4, DemandShare: 0.4}},
			},
		}},
		Teams:  []route.Team{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
		Limits: route.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Minute},
	}
}

var _ = Describe("Check", func() {
	It("finds nothing in a sound configuration", func() { Expect(lint.Check(sound())).To(BeEmpty()) })

	// An operator would send each of these, and learn from refused callers what is wrong.
	DescribeTable("reports", func(change func(*route.Config), want ...string) {
		config := sound()
		change(&config)
		var got []string
		for _, finding := range lint.Check(config) {
			got = append(got, string(finding.Severity)+" "+finding.Path)
			Expect(finding.Problem).NotTo(ContainSubstring("%!"))
			Expect(finding.Problem).NotTo(ContainSubstring("k1"), "keys are secret")
		}
		Expect(got).To(ConsistOf(want))
	},
		Entry("a name that stands twice", func(c *route.Config) { c.Routes[1].Name = "answer" }, "error .Routes[1]"),
		Entry("a missing name", func(c *route.Config) { c.Teams[0].Name = "" }, "error .Teams[0]"),
		Entry("a negative number", func(c *route.Config) { c.Routes[0].Priority = -1 }, "error .Routes[0].Priority"),
		Entry("a negative priority of a team", func(c *route.Config) { c.Teams[1].Priority = new(-2) }, "error .Teams[1].Priority"),
		Entry("a time in the wrong unit", func(c *route.Config) { c.Services[1].ColdTime = 3000 * time.Minute }, "error .Services[1].ColdTime"),
		Entry("no time-out", func(c *route.Config) { c.Routes[1].Timeout = 0 }, "error .Routes[1].Timeout"),
		Entry("a time-out below both targets", func(c *route.Config) { c.Routes[0].Timeout = time.Millisecond },
			"warning .Routes[0].Timeout", "warning .Routes[0].EventGapTarget"),
		Entry("a gap target without a stream", func(c *route.Config) { c.Routes[1].EventGapTarget = 1 }, "warning .Routes[1].EventGapTarget"),
		Entry("a prefix without its last slash", func(c *route.Config) { c.Routes[0].PathPrefix = "/answer" }, "error .Routes[0].PathPrefix"),
		Entry("no host", func(c *route.Config) { c.Routes[0].Host = "" }, "warning .Routes[0].Host"),
		Entry("a host with a port", func(c *route.Config) { c.Routes[0].Host = "a.example:80" }, "error .Routes[0].Host"),
		Entry("a pattern of hosts", func(c *route.Config) { c.Routes[0].Host = "*.example" }, "error .Routes[0].Host"),
		Entry("the same host, in other letters, and prefix", func(c *route.Config) { c.Routes[1].Host, c.Routes[1].PathPrefix = "A.example", "/answer/" }, "error .Routes[0]"),
		Entry("an unknown service", func(c *route.Config) { c.Routes[1].Targets[0].Service = "dsk" },
			"error .Routes[1].Targets[0].Service", "warning .Services[0]"),
		Entry("no service", func(c *route.Config) { c.Routes[0].Targets[0].Service = "" }, "error .Routes[0].Targets[0]"),
		Entry("a service twice in a split", func(c *route.Config) { c.Routes[0].Targets = append(c.Routes[0].Targets, c.Routes[0].Targets[0]) }, "warning .Routes[0].Targets[1]"),
		Entry("a weight of 0", func(c *route.Config) { c.Routes[1].Targets[0].Weight = 0 }, "warning .Routes[1].Targets[0].Weight"),
		Entry("weights that sum to 0", func(c *route.Config) { c.Routes[1].Targets[0].Weight, c.Routes[1].Targets[1].Weight = 0, 0 }, "error .Routes[1].Targets"),
		Entry("resumption without a second attempt", func(c *route.Config) { c.Routes[0].MaxAttempts = 1 }, "warning .Routes[0].MaxAttempts"),
		Entry("resumption without a stream", func(c *route.Config) { c.Routes[1].Resumable = true }, "warning .Routes[1].Resumable"),
		Entry("no teams", func(c *route.Config) { c.Teams = nil }, "warning .Routes[0].Public", "warning .Routes[1].Public"),
		Entry("a team without keys", func(c *route.Config) { c.Teams[0].Keys = nil }, "warning .Teams[0]"),
		Entry("a key of two teams", func(c *route.Config) { c.Teams[1].Keys[0] = "k1" }, "error .Teams[1].Keys[0]"),
		Entry("a key that stands twice", func(c *route.Config) { c.Teams[0].Keys[1] = "k1" }, "warning .Teams[0].Keys[1]"),
		Entry("an empty key", func(c *route.Config) { c.Teams[0].Keys[1] = "" }, "error .Teams[0].Keys[1]"),
		Entry("no limits of sizes", func(c *route.Config) { c.Limits.BodyBytes, c.Limits.HeaderBytes = 0, 0 }, "warning .Limits.BodyBytes", "warning .Limits.HeaderBytes"),
		Entry("a short idle time-out", func(c *route.Config) { c.Limits.IdleTimeout = 1 }, "warning .Limits.IdleTimeout"),
		Entry("a cold rate without a time", func(c *route.Config) { c.Services[1].ColdTime = 0 }, "warning .Services[1].ColdPerSecond"),
		Entry("a cold time without a rate", func(c *route.Config) { c.Services[1].ColdPerSecond = 0 }, "warning .Services[1].ColdTime"),
		Entry("a cold rate above a full group's", func(c *route.Config) { c.Services[1].ColdPerSecond = 40 }, "warning .Services[1].ColdPerSecond"),
		Entry("fewer connections than slots", func(c *route.Config) { c.Services[1].MaxConns = 33 }, "warning .Services[1].MaxConns"),
		Entry("an engine without figures", func(c *route.Config) { c.Services[1].Engine = &route.Engine{} }, "error .Services[1].Engine.Slots",
			"error .Services[1].Engine.LoadsPerSecond", "error .Services[1].Engine.LoadsAtOnce", "warning .Services[1].Engine.Models"),
		Entry("a model without VMs", func(c *route.Config) { c.Services[1].Engine.Models[1].Size = 0 }, "error .Services[1].Engine.Models[1].Size"),
		Entry("shares above 1", func(c *route.Config) { c.Services[1].Engine.Models[1].DemandShare = 0.5 }, "warning .Services[1].Engine.Models"),
	)
})

var _ = Describe("Compare", func() {
	DescribeTable("lists", func(change func(*route.Config), want ...string) {
		next := sound()
		next.Version++
		change(&next)
		changes, findings := lint.Compare(sound(), next)
		Expect(findings).To(BeEmpty())
		var got []string
		for _, c := range changes[1:] { // the first is the version
			got = append(got, fmt.Sprint(c.Action, " ", c.Path, " ", c.Was, ">", c.Now))
		}
		Expect(got).To(ConsistOf(want))
	},
		Entry("nothing, if only the order is another", func(c *route.Config) { c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0] }),
		Entry("fields", func(c *route.Config) { c.Routes[0].Timeout, c.Limits.BodyBytes = time.Second, 5 },
			"change .Routes[0].Timeout 8s>1s", "change .Limits.BodyBytes 1048576>5"),
		Entry("another name as a removal and an addition", func(c *route.Config) { c.Services[0].Name = "d" }, "remove .Services[0] >", "add .Services[0] >"),
		Entry("keys without showing them", func(c *route.Config) { c.Teams[0].Keys = []string{"k4", "k2"} }, "add .Teams[0].Keys[0] >", "remove .Teams[0].Keys[0] >"),
		Entry("a team with its number of keys", func(c *route.Config) { c.Teams = c.Teams[1:] }, "remove .Teams[0] 2 keys>"),
		Entry("an engine", func(c *route.Config) { c.Services[1].Engine = nil }, "remove .Services[1].Engine >"),
		Entry("a priority", func(c *route.Config) { c.Teams[0].Priority = new(0) }, "add .Teams[0].Priority >0"),
		Entry("a split", func(c *route.Config) { c.Routes[1].Targets = c.Routes[1].Targets[1:] }, `remove .Routes[1].Targets[0] "desk", weight 1>`),
	)

	It("reports a version that is not higher", func() {
		_, findings := lint.Compare(sound(), sound())
		Expect(findings).To(ConsistOf(HaveField("Severity", lint.Error)))
	})
})
