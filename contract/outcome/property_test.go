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

// The schedules that CI plays, always the same ones. -rapid.checks and -rapid.seed play others.
const (
	schedules    = "4000"
	scheduleSeed = "1"
	scheduleLen  = 150
)

func TestOutcome(t *testing.T) {
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": schedules, "rapid.seed": scheduleSeed, "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "outcome")
}

// arrive lets a caller send a request, or one of its keys again, through some front. A caller raises its
// attempt number whenever it likes, and copies with lower numbers arrive late.
func (w *world) arrive(highest map[string]int) {
	r := Request{ID: w.newID("r"), Attempt: 1, Fingerprint: "f", Unrepeatable: w.pick(5, "kind") > 0}
	t := &teller{key: w.newID("made")}
	r.Resumable = !r.Unrepeatable && w.pick(2, "resumable") == 0
	if r.Unrepeatable && w.pick(4, "key") > 0 {
		r.KeyChosen = true
		t.key = fmt.Sprintf("key%d", w.pick(2, "key"))
		if w.pick(8, "reuse") == 0 {
			r.Fingerprint = "g"
		}
		if highest[t.key] == 0 || w.pick(3, "raise") == 0 {
			highest[t.key]++
		}
		r.Attempt = 1 + w.pick(highest[t.key], "attempt")
	}
	t.request = r
	w.front(t)
}

func (w *world) check() {
	count := make(map[string]int)
	for _, run := range w.runs {
		count[run.key]++
	}
	for _, t := range w.tellers {
		q := t.request
		if q.Unrepeatable && count[t.key] > 1 {
			w.t.Fatalf("key %s ran %d times: %v", t.key, count[t.key], w.runs)
		}
		ran := slices.ContainsFunc(w.runs, func(run runLog) bool {
			if !q.Unrepeatable {
				return run.requestID == q.ID
			}
			return run.key == t.key && run.fingerprint == q.Fingerprint && run.attempt <= q.Attempt
		})
		switch t.outcome {
		case contract.OutcomeNotRun:
			if ran {
				w.t.Fatalf("request %s (key %s, attempt %d) was told not-run (%s) and ran: %v", q.ID, t.key, q.Attempt, t.code, w.runs)
			}
		case contract.OutcomeAnswered:
			whole := func(run runLog) bool { return run.key == t.key && slices.Equal(run.answer, t.events) }
			if !slices.ContainsFunc(w.runs, whole) {
				w.t.Fatalf("request %s was told answered with %v, which no run gave: %v", q.ID, t.events, w.runs)
			}
		}
	}
}

var _ = Describe("Machine among many", func() {
	// Fronts and homes freeze, die and wake late, links cut, double and drop frames, the platform is out, loses
	// answers and lets writes land late, and callers send the same key through several fronts at once. A user
	// would notice a lot booked twice, or a booking that was told not-run and took place.
	It("runs a key once at most, keeps each not-run, and answers only in whole", func() {
		outcomes := make(map[contract.Outcome]int)
		runs, fronts := 0, 0
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			w := &world{t: t, objects: make(map[string]platform.Object), givenUp: make(map[string]bool)}
			defer w.close()
			highest := make(map[string]int)
			w.run(scheduleLen, func() { w.arrive(highest) })
			w.check()
			w.checkHistory()
			for _, a := range w.actors {
				if !a.over {
					t.Fatalf("%s never ended", a.name)
				}
			}
			runs += len(w.runs)
			for _, teller := range w.tellers {
				fronts++
				outcomes[teller.outcome]++
			}
		})
		GinkgoWriter.Printf("%d requests, %d runs, told %v\n", fronts, runs, outcomes)
		for _, o := range []contract.Outcome{contract.OutcomeAnswered, contract.OutcomeNotRun, contract.OutcomeInProgress, contract.OutcomeUnknown} {
			Expect(outcomes[o]).To(BeNumerically(">", 0), "no schedule led to %s", o)
		}
	})
})
