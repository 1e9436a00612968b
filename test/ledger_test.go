package test

import (
	"encoding/json"
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
)

// ledger keeps what callers of bookings were told, to be held against what ran.
type ledger struct {
	c *cluster

	mu   sync.Mutex // guards told
	told []told
}

// told is one answer to a booking.
type told struct {
	key     string
	attempt int
	answer
}

// ask books under a key, by default on the service desk, and notes the answer.
func (l *ledger) ask(e *entryProcess, key string, attempt int, service ...string) answer {
	got := caller{e}.bookOn(append(service, "desk")[0], key, attempt)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, told{key: key, attempt: attempt, answer: got})
	return got
}

// judge checks each answer against the backend servers' logs and the platform's history. It is called
// when nothing is at work any more.
func (l *ledger) judge() {
	GinkgoHelper()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.c.trail()
	for _, t := range l.told {
		l.judgeOne(e, t)
	}
}

func (l *ledger) judgeOne(e trail, t told) {
	GinkgoHelper()
	about := fmt.Sprintf("%s attempt %d: told %s %s: %s", t.key, t.attempt, t.outcome, t.code, t.body)
	starts := e.starts(t.key)
	Expect(len(starts)).To(BeNumerically("<=", 1), "ran more than once: "+about)
	for _, run := range starts {
		Expect(e.claimOf(t.key, run.RequestID)).To(BeNumerically(">", 0), "ran without a claim: "+about)
	}
	switch t.outcome {
	case contract.OutcomeAnswered:
		Expect(starts).To(HaveLen(1), "answered, but did not run: "+about)
		Expect(e.ran(t.key, standinengine.Finished)).To(BeTrue(), about)
		l.judgeBody(t, starts[0].RequestID, about)
	case contract.OutcomeNotRun:
		for _, run := range starts {
			Expect(e.claimOf(t.key, run.RequestID)).To(BeNumerically(">", t.attempt), "told not-run, but ran: "+about)
		}
	case contract.OutcomeInProgress:
		Expect(e.records[t.key]).NotTo(BeEmpty(), "in progress without a claim: "+about)
		Expect(t.retry).NotTo(BeEmpty(), about)
	case contract.OutcomeUnknown:
		Expect(t.retry).NotTo(BeEmpty(), about)
	default:
		Expect(t.err).To(HaveOccurred(), "an answer without an outcome: "+about)
	}
}

// judgeBody checks that an answer is that of the one run.
func (l *ledger) judgeBody(t told, ran, about string) {
	GinkgoHelper()
	if t.code == contract.CodeAnswerNotStored {
		return
	}
	var body standinengine.PlainAnswer
	Expect(json.Unmarshal([]byte(t.body), &body)).To(Succeed(), about)
	Expect(body.Request).To(Equal(ran), "another request's answer: "+about)
	Expect(body.Runs).To(Equal(1), about)
}

// starts returns the runs of a booking.
func (t trail) starts(key string) []standinengine.Run {
	var starts []standinengine.Run
	for _, run := range t.runs[bodyHash(booking(key))] {
		if run.Phase == standinengine.Started {
			starts = append(starts, run)
		}
	}
	return starts
}

// claimOf returns the attempt number under which a request claimed a key, 0 if it did not.
func (t trail) claimOf(key, request string) int {
	for _, record := range t.records[key] {
		if record.State == contract.AttemptClaimed && record.RequestID == request {
			return record.Number
		}
	}
	return 0
}
