package quarantine

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quarantine")
}

var (
	none          = strategy{name: "none", off: true}
	crashCounting = strategy{name: "count to two", countCrashes: true}
	noTrials      = strategy{name: "without trials", noTrials: true}
	noCap         = strategy{name: "no cap on suspects", noCap: true}
	thisPackage   = strategy{name: "this package"}
	oneCaller     = scenario{name: "one poison, one caller", groups: 50, copies: 1, crashProbability: 1, poisonRequests: 1, popular: 0.05}
	fiveCallers   = scenario{name: "one poison, five callers at once", groups: 50, copies: 5, crashProbability: 1, poisonRequests: 1, popular: 0.05}
	sometimes     = scenario{name: "a poison that crashes half the time", groups: 50, copies: 1, crashProbability: 0.5, poisonRequests: 1, popular: 0.05}
	threePoisons  = scenario{name: "three poisons at once", groups: 50, copies: 1, crashProbability: 1, poisonRequests: 3, popular: 0.05}
	outage        = scenario{name: "17 groups crash at once, no poison", groups: 50, outage: 17, popular: 0.05}
	busyOutage    = scenario{name: "the same, four times as busy", groups: 50, outage: 17, busy: true, popular: 0.05}
	outagePoison  = scenario{name: "17 groups crash at once, and a poison", groups: 50, copies: 1, crashProbability: 1, poisonRequests: 1, outage: 17, popular: 0.05}
	small         = scenario{name: "three groups, one poison", groups: 3, copies: 1, crashProbability: 1, poisonRequests: 1, popular: 0.05}
)

func BenchmarkFigures(b *testing.B) {
	for _, s := range []scenario{oneCaller, fiveCallers, sometimes, threePoisons, outage, busyOutage, outagePoison, small} {
		for _, r := range []strategy{none, crashCounting, noTrials, noCap, thisPackage} {
			b.Run(s.name+"/"+r.name, func(b *testing.B) {
				for range b.N {
					b.Logf("| %s | %s | %s |", s.name, r.name, play(s, r))
				}
			})
		}
	}
}

var _ = Describe("A request that crashes backend servers", func() {
	// A client sends the same request again whenever it fails. Each attempt takes a group out of service
	// for a minute, and after some tens of seconds nothing is served.
	DescribeTable("takes down few groups, and few ordinary requests are refused",
		func(s *scenario, maxCrashed int, maxRefused, maxWaited float64) {
			r, unprotected := play(*s, thisPackage), play(*s, none)
			GinkgoWriter.Println(s.name, r)
			Expect(r.crashes).To(BeNumerically("<=", maxCrashed))
			Expect(r.crashes).To(BeNumerically("<=", unprotected.crashes))
			Expect(float64(r.refused)).To(BeNumerically("<=", maxRefused*float64(r.ordinary)))
			Expect(float64(r.waited)).To(BeNumerically("<=", maxWaited*float64(r.ordinary)))
			Expect(r.failed).To(BeZero())
			Expect(r.held).NotTo(ContainElement(popularFingerprint))
			Expect(r.held).To(HaveLen(s.poisonRequests))
		},
		Entry("one caller", &oneCaller, 2, 0.0, 0.001),
		Entry("five callers at once", &fiveCallers, 5, 0.001, 0.001),
		Entry("only half the time", &sometimes, 6, 0.0005, 0.001),
		Entry("three at once", &threePoisons, 6, 0.001, 0.001),
		Entry("no poison request, a failure domain fails", &outage, 17, 0.001, 0.01),
		Entry("both", &outagePoison, 20, 0.001, 0.01),
		Entry("in a small service", &small, 2, 0.001, 0.03),
	)
})

func BenchmarkVerdict(b *testing.B) {
	r := New(DefaultConfig())
	var running []string
	for i := range 200 {
		running = append(running, fmt.Sprint("request-", i))
	}
	r.RecordCrash(epoch, "crash", "group", running)
	for _, fingerprint := range []string{"unknown", "request-3"} {
		b.Run(fingerprint, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				r.Verdict(epoch, fingerprint, "other")
			}
		})
	}
}
