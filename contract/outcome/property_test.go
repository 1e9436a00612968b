package outcome

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// The random schedules that CI runs, always the same. -rapid.checks and -rapid.seed select others.
const (
	scheduleCount = "4000"
	scheduleSeed  = "1"
	scheduleSteps = 150
)

func TestOutcome(t *testing.T) {
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": scheduleCount, "rapid.seed": scheduleSeed, "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "outcome")
}

// arrive lets a caller send a request, or repeat one of its keys, through some front. Callers raise their attempt
// number at any time, and copies with lower numbers arrive late.
func (sim *simulation) arrive(highest map[string]int) {
	r := Request{ID: sim.newID("r"), AttemptNumber: 1, Fingerprint: "f", AtMostOnce: sim.pick(5, "kind") > 0}
	conn := &connection{key: sim.newID("made")}
	r.Resumable = !r.AtMostOnce && sim.pick(2, "resumable") == 0
	if r.AtMostOnce && sim.pick(4, "key") > 0 {
		r.KeyFromCaller = true
		conn.key = fmt.Sprintf("key%d", sim.pick(2, "key"))
		if sim.pick(8, "reuse") == 0 {
			r.Fingerprint = "g"
		}
		if highest[conn.key] == 0 || sim.pick(3, "raise") == 0 {
			highest[conn.key]++
		}
		r.AttemptNumber = 1 + sim.pick(highest[conn.key], "attempt")
	}
	conn.request = r
	sim.front(conn)
}

func (sim *simulation) check() {
	count := make(map[string]int)
	for _, run := range sim.runs {
		count[run.key]++
	}
	for _, conn := range sim.connections {
		req := conn.request
		if req.AtMostOnce && count[conn.key] > 1 {
			sim.t.Fatalf("key %s ran %d times: %v", conn.key, count[conn.key], sim.runs)
		}
		ran := slices.ContainsFunc(sim.runs, func(run engineRun) bool {
			if !req.AtMostOnce {
				return run.requestID == req.ID
			}
			return run.key == conn.key && run.fingerprint == req.Fingerprint && run.attempt <= req.AttemptNumber
		})
		switch conn.outcome {
		case contract.OutcomeNotRun:
			if ran {
				sim.t.Fatalf("request %s (key %s, attempt %d) was reported as not-run (%s) but ran: %v", req.ID, conn.key, req.AttemptNumber, conn.code, sim.runs)
			}
		case contract.OutcomeAnswered:
			whole := func(run engineRun) bool { return run.key == conn.key && slices.Equal(run.answer, conn.events) }
			if !slices.ContainsFunc(sim.runs, whole) {
				sim.t.Fatalf("request %s was reported as answered with %v, which no run produced: %v", req.ID, conn.events, sim.runs)
			}
		}
	}
}

var _ = Describe("Machine in concurrent use", func() {
	// Fronts and homes freeze, die and resume late; links are cut and duplicate or drop frames; the platform is down,
	// loses responses and executes writes late; callers send the same key through several fronts at once. Guards
	// against a request that runs twice, or that runs although it was reported as not-run.
	It("runs a key at most once, upholds each not-run and reports only complete answers", func() {
		outcomes := make(map[contract.Outcome]int)
		runs, fronts := 0, 0
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			sim := &simulation{t: t, objects: make(map[string]platform.Object), givenUp: make(map[string]bool)}
			defer sim.close()
			highest := make(map[string]int)
			sim.run(scheduleSteps, func() { sim.arrive(highest) })
			sim.check()
			sim.checkHistory()
			for _, a := range sim.actors {
				if !a.finished {
					t.Fatalf("%s never finished", a.name)
				}
			}
			runs += len(sim.runs)
			for _, conn := range sim.connections {
				fronts++
				outcomes[conn.outcome]++
			}
		})
		GinkgoWriter.Printf("%d requests, %d runs, outcomes %v\n", fronts, runs, outcomes)
		for _, o := range []contract.Outcome{contract.OutcomeAnswered, contract.OutcomeNotRun, contract.OutcomeInProgress, contract.OutcomeUnknown} {
			Expect(outcomes[o]).To(BeNumerically(">", 0), "no schedule led to %s", o)
		}
	})
})
