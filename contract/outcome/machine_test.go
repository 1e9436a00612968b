package outcome

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
)

// input is an event passed to the machine, with the action that it must lead to.
type input struct {
	want  ActionKind
	apply func(m *Machine) Action
}

var (
	fp           = "f"
	overloaded   = contract.NewRetryLater(contract.CodeOverloaded, "", 3*time.Second)
	callerKey    = Request{ID: "r", AtMostOnce: true, KeyFromCaller: true, AttemptNumber: 2, Fingerprint: fp}
	generatedKey = Request{ID: "r", AtMostOnce: true, AttemptNumber: 1, Fingerprint: fp}
	repeatable   = Request{ID: "r", AttemptNumber: 1, Fingerprint: fp}
	resumable    = Request{ID: "r", AttemptNumber: 1, Fingerprint: fp, Resumable: true}
	sealedAt     = func(n int) contract.AttemptRecord {
		return contract.AttemptRecord{State: contract.AttemptSealed, Number: n}
	}
	claimed      = contract.AttemptRecord{State: contract.AttemptClaimed, Number: 1, Fingerprint: fp, RequestID: "other"}
	ownClaim     = contract.AttemptRecord{State: contract.AttemptClaimed, Number: 2, Fingerprint: fp, RequestID: "r", Nonce: "n"}
	ownRelease   = contract.AttemptRecord{State: contract.AttemptSealed, Number: 1, Fingerprint: fp, RequestID: "r"}
	higherClaim  = contract.AttemptRecord{State: contract.AttemptClaimed, Number: 5, Fingerprint: fp, RequestID: "other"}
	answer       = contract.StoredAnswer{Status: 201}
	done         = contract.AttemptRecord{State: contract.AttemptDone, Answer: &answer}
	doneTooLarge = contract.AttemptRecord{State: contract.AttemptDone, Answer: &contract.StoredAnswer{TooLarge: true}}
	found        = func(a contract.AttemptRecord) attempt.Result {
		return attempt.Result{Verdict: attempt.Found, Record: a}
	}
	confirmed = attempt.Result{Verdict: attempt.Confirmed}
	verdict   = func(v attempt.Verdict) attempt.Result { return attempt.Result{Verdict: v} }
	start     = func(want ActionKind) input { return input{want, (*Machine).Start} }
	homeLost  = func(want ActionKind) input {
		return input{want, func(m *Machine) Action { return m.HandleHomeLost(false) }}
	}
	notSent = func(want ActionKind) input {
		return input{want, func(m *Machine) Action { return m.HandleHomeLost(true) }}
	}
	deadline   = func(want ActionKind) input { return input{want, (*Machine).HandleDeadline} }
	callerLeft = func(dispatched bool) input {
		return input{Finish, func(m *Machine) Action { return m.HandleCallerLeft(dispatched) }}
	}
	seal = func(want ActionKind, r attempt.Result) input {
		return input{want, func(m *Machine) Action { return m.HandleSeal(r) }}
	}
	find = func(want ActionKind, r attempt.Result) input {
		return input{want, func(m *Machine) Action { return m.HandleFind(r) }}
	}
	holderAnswers = func(working bool) input {
		answer := HolderSilent
		if working {
			answer = HolderWorking
		}
		return input{Finish, func(m *Machine) Action { return m.HandleHolderAnswer(answer) }}
	}
	gaveUp = func(want ActionKind) input {
		return input{want, func(m *Machine) Action { return m.HandleHolderAnswer(HolderGaveUp) }}
	}
	noGroup = func(want ActionKind) input {
		return input{want, func(m *Machine) Action { return m.HandleNoDispatch(overloaded) }}
	}
	reject = func(want ActionKind) input {
		return input{want, func(m *Machine) Action { return m.Reject(overloaded) }}
	}
	delivered = input{Wait, func(m *Machine) Action { m.MarkDelivered(); return Action{Kind: Wait} }}
)

// frame passes the next frame of the dispatch to the machine.
func frame(want ActionKind, f contract.Frame) input {
	return input{want, func(m *Machine) Action {
		f.RequestID = "r"
		f.Seq = m.checker.nextFrame
		f.EventSeq += m.checker.nextEvent
		return m.HandleFrame(f)
	}}
}

func bareFrame(k contract.FrameKind) input { return frame(Wait, contract.Frame{Kind: k}) }

func event(final bool) input {
	return frame(Deliver, contract.Frame{Kind: contract.FrameEvent, Final: final})
}

func refused(want ActionKind, code contract.Code, claim *contract.AttemptRecord) input {
	return frame(want, contract.Frame{Kind: contract.FrameRefused, Problem: contract.NewRetryLater(code, "", time.Second), Record: claim})
}

func broken(want ActionKind) input { return frame(want, contract.Frame{Kind: contract.FrameBroken}) }

func recordExists(want ActionKind, a contract.AttemptRecord) input {
	return frame(want, contract.Frame{Kind: contract.FrameRecordExists, Record: &a})
}

func end(want ActionKind) input { return frame(want, contract.Frame{Kind: contract.FrameEnd}) }

var (
	queued         = bareFrame(contract.FrameQueued)
	claim          = bareFrame(contract.FrameClaimed)
	sent           = bareFrame(contract.FrameSent)
	lookup         = find(Dispatch, verdict(attempt.NoRecord))
	repeatableSent = []input{start(Dispatch), queued, sent}
	callerKeySent  = []input{start(Find), lookup, queued, claim, sent}
)

func concat(first []input, rest ...input) []input {
	return append(append([]input(nil), first...), rest...)
}

// Each entry is one course of a request, with the outcome reported to its caller. After not-run a caller sends the
// request again; after unknown it first asks with the same key.
var _ = DescribeTable("the outcome reported to the caller",
	func(r Request, inputs []input, outcome contract.Outcome, code contract.Code, attempts int) {
		m := New(r)
		var action Action
		for i, in := range inputs {
			action = in.apply(m)
			Expect(action.Kind).To(Equal(in.want), "input %d", i)
		}
		Expect(action.Kind).To(Equal(Finish))
		Expect(action.Outcome).To(Equal(outcome))
		Expect(action.SealedThrough).To(Equal(attempts))
		if code == "" {
			Expect(action.Problem).To(BeNil())
			return
		}
		Expect(action.Problem.Code).To(Equal(code))
		Expect(action.Problem.Outcome).To(Equal(outcome))
		if outcome == contract.OutcomeUnknown || outcome == contract.OutcomeInProgress || code == contract.CodeOverloaded {
			Expect(action.Problem.RetryAfter).To(BeNumerically(">=", time.Second))
		}
	},
	Entry("answered", repeatable, concat(repeatableSent, event(false), event(true), end(Finish)), contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("home lost after the final event", repeatable, concat(repeatableSent, event(true), homeLost(Finish)), contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("refused everywhere", repeatable, []input{start(Dispatch), refused(Dispatch, contract.CodeOverloaded, nil), noGroup(Finish)}, contract.OutcomeNotRun, contract.CodeOverloaded, 0),
	Entry("refused finally", repeatable, []input{start(Dispatch), refused(Finish, contract.CodeQuarantined, nil)}, contract.OutcomeNotRun, contract.CodeQuarantined, 0),
	Entry("no home reached", repeatable, []input{start(Dispatch), notSent(Dispatch), noGroup(Finish)}, contract.OutcomeNotRun, contract.CodeHomeLost, 0),
	Entry("repeatable, home lost, tried again, answered", repeatable, []input{start(Dispatch), homeLost(Dispatch), sent, event(true), end(Finish)}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("repeatable, home lost, no other", repeatable, []input{start(Dispatch), homeLost(Dispatch), noGroup(Finish)}, contract.OutcomeUnknown, contract.CodeHomeLost, 0),
	Entry("repeatable, interrupted after a delivered part", repeatable, concat(repeatableSent, event(false), delivered, broken(Finish)), contract.OutcomeUnknown, contract.CodeInternal, 0),
	Entry("resumed after a delivered part", resumable, concat(repeatableSent, event(false), delivered, broken(Dispatch), sent, event(true), end(Finish)), contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("end without the final event", repeatable, concat(repeatableSent, event(false), delivered, end(Finish)), contract.OutcomeUnknown, contract.CodeAnswerTruncated, 0),
	Entry("deadline in the queue", repeatable, []input{start(Dispatch), queued, deadline(Finish)}, contract.OutcomeUnknown, contract.CodeDeadline, 0),

	Entry("caller left while queued", repeatable, []input{start(Dispatch), queued, callerLeft(true)}, contract.OutcomeUnknown, contract.CodeCallerLeft, 0),
	Entry("caller left before a dispatch", repeatable, []input{start(Dispatch), callerLeft(false)}, contract.OutcomeNotRun, contract.CodeCallerLeft, 0),
	Entry("caller left after a dispatch that was interrupted", repeatable, []input{start(Dispatch), homeLost(Dispatch), callerLeft(false)}, contract.OutcomeUnknown, contract.CodeCallerLeft, 0),
	Entry("caller left after the final event", repeatable, concat(repeatableSent, event(true), callerLeft(true)), contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("generated key, caller left before a dispatch", generatedKey, []input{start(Dispatch), callerLeft(false)}, contract.OutcomeNotRun, contract.CodeCallerLeft, 0),
	Entry("generated key, caller left after its claim", generatedKey, []input{start(Dispatch), queued, claim, callerLeft(true)}, contract.OutcomeUnknown, contract.CodeCallerLeft, 0),
	Entry("caller's key, caller left before a dispatch: no seal", callerKey, []input{start(Find), lookup, callerLeft(false)}, contract.OutcomeUnknown, contract.CodeCallerLeft, 0),
	Entry("generated key, refused before it was sent: no platform call", generatedKey, []input{start(Dispatch), refused(Finish, contract.CodePlatformUnavailable, nil)}, contract.OutcomeNotRun, contract.CodePlatformUnavailable, 0),
	Entry("generated key, home lost, sealed", generatedKey, []input{start(Dispatch), homeLost(Dispatch), noGroup(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeHomeLost, 1),
	Entry("generated key, home lost, platform unavailable", generatedKey, []input{start(Dispatch), homeLost(Dispatch), noGroup(Seal), seal(Finish, verdict(attempt.NotWritten))}, contract.OutcomeUnknown, contract.CodePlatformUnavailable, 0),
	Entry("generated key, home lost after its claim, finished meanwhile", generatedKey, []input{start(Dispatch), queued, claim, homeLost(Find), find(Finish, found(done))}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("generated key, home lost after its claim, holder working", generatedKey, []input{start(Dispatch), queued, claim, homeLost(Find), find(AskHolder, found(claimed)), holderAnswers(true)}, contract.OutcomeInProgress, contract.CodeInProgress, 0),
	Entry("generated key, home lost after its claim, holder unreachable", generatedKey, []input{start(Dispatch), queued, claim, homeLost(Find), find(AskHolder, found(claimed)), holderAnswers(false).wants(Find), find(Finish, found(claimed))}, contract.OutcomeUnknown, contract.CodeHomeLost, 0),

	Entry("caller's key, refused, sealed", callerKey, []input{start(Find), lookup, refused(Dispatch, contract.CodeOverloaded, nil), noGroup(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeOverloaded, 2),
	Entry("caller's key, refused, platform unavailable", callerKey, []input{start(Find), lookup, refused(Dispatch, contract.CodeOverloaded, nil), noGroup(Seal), seal(Finish, verdict(attempt.NotWritten))}, contract.OutcomeUnknown, contract.CodePlatformUnavailable, 0),
	Entry("caller's key, refused, seal indeterminate", callerKey, []input{start(Find), lookup, refused(Dispatch, contract.CodeOverloaded, nil), noGroup(Seal), seal(Finish, verdict(attempt.Indeterminate))}, contract.OutcomeUnknown, contract.CodePlatformUnavailable, 0),
	Entry("caller's key, refused before any dispatch", callerKey, []input{reject(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeOverloaded, 2),
	Entry("caller's key, refused, but a copy ran", callerKey, []input{reject(Seal), seal(Finish, found(done))}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("caller's key, answered before", callerKey, []input{start(Find), find(Finish, found(done))}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("caller's key, answered before, too large to store", callerKey, []input{start(Find), find(Finish, found(doneTooLarge))}, contract.OutcomeAnswered, contract.CodeAnswerNotStored, 0),
	Entry("caller's key, holder working", callerKey, []input{start(Find), find(AskHolder, found(claimed)), holderAnswers(true)}, contract.OutcomeInProgress, contract.CodeInProgress, 0),
	Entry("caller's key, claimed by an unreachable holder", callerKey, []input{start(Find), find(AskHolder, found(claimed)), holderAnswers(false).wants(Find), find(Finish, found(claimed))}, contract.OutcomeUnknown, contract.CodeUnknownOutcome, 0),
	Entry("caller's key, finished while its holder was asked", callerKey, []input{start(Find), find(AskHolder, found(claimed)), holderAnswers(false).wants(Find), find(Finish, found(done))}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("caller's key, this attempt sealed", callerKey, []input{start(Find), find(Finish, found(sealedAt(2)))}, contract.OutcomeNotRun, contract.CodeAttemptGivenUp, 2),
	Entry("caller's key, a higher attempt sealed", callerKey, []input{start(Find), find(Finish, found(sealedAt(7)))}, contract.OutcomeNotRun, contract.CodeAttemptGivenUp, 7),
	Entry("caller's key, a lower attempt sealed", callerKey, concat(callerKeySent, event(true), end(Finish)), contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("caller's key of another request", callerKey, []input{start(Find), find(Finish, verdict(attempt.KeyReused))}, contract.OutcomeNotRun, contract.CodeKeyReused, 0),
	Entry("caller's key of another request, found by the home", callerKey, []input{start(Find), lookup, recordExists(Finish, contract.AttemptRecord{Fingerprint: "g"})}, contract.OutcomeNotRun, contract.CodeKeyReused, 0),
	Entry("caller's key, lookup failed, claimed by a copy meanwhile", callerKey, []input{start(Find), find(Dispatch, verdict(attempt.NotWritten)), recordExists(AskHolder, claimed), holderAnswers(false).wants(Find), find(Finish, found(claimed))}, contract.OutcomeUnknown, contract.CodeUnknownOutcome, 0),
	Entry("caller's key, answer interrupted", callerKey, concat(callerKeySent, broken(Find), find(AskHolder, found(claimed)), holderAnswers(false).wants(Find), find(Finish, found(claimed))), contract.OutcomeUnknown, contract.CodeInternal, 0),
	Entry("caller's key, claim of an earlier copy given up, continues in its place", callerKey, []input{start(Find), find(AskHolder, found(claimed)), gaveUp(Dispatch), queued, claim, sent, event(true), end(Finish)}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("caller's key, claim of an earlier copy released while its holder was asked, continues", callerKey, []input{start(Find), find(AskHolder, found(claimed)), holderAnswers(false).wants(Find), find(Dispatch, found(sealedAt(1))), queued, claim, sent, event(true), end(Finish)}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("caller's key, own claim given up after contact was lost, no other group", callerKey, []input{start(Find), lookup, queued, claim, homeLost(Find), find(AskHolder, found(ownClaim)), gaveUp(Dispatch), noGroup(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeHomeLost, 2),
	Entry("caller's key, own claim given up after contact was lost, no time left", callerKey, []input{start(Find), lookup, queued, claim, deadline(Find), find(AskHolder, found(ownClaim)), gaveUp(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeDeadline, 2),
	Entry("caller's key, own claim given up after contact was lost, and released", callerKey, []input{start(Find), lookup, queued, claim, homeLost(Find), find(Dispatch, found(ownRelease)), noGroup(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeHomeLost, 2),
	Entry("caller's key, home lost after the send, a claim of another copy given up", callerKey, concat(callerKeySent, homeLost(Find), find(AskHolder, found(claimed)), gaveUp(Find), find(Finish, found(claimed))), contract.OutcomeUnknown, contract.CodeHomeLost, 0),
	Entry("caller's key, claim not seen and given up: no dispatch after the last group", callerKey, []input{start(Find), lookup, homeLost(Dispatch), noGroup(Seal), seal(AskHolder, found(ownClaim)), gaveUp(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeHomeLost, 2),
	Entry("caller's key, refused before any dispatch, a claim of another copy given up", callerKey, []input{reject(Seal), seal(AskHolder, found(claimed)), gaveUp(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeOverloaded, 2),
	Entry("generated key, claim of a higher attempt given up", generatedKey, []input{{Dispatch, (*Machine).Start}, recordExists(AskHolder, higherClaim), gaveUp(Find), find(Finish, found(higherClaim))}, contract.OutcomeUnknown, contract.CodeUnknownOutcome, 0),
	Entry("caller's key, deadline after the send", callerKey, concat(callerKeySent, deadline(Find), find(AskHolder, found(claimed)), holderAnswers(true)), contract.OutcomeInProgress, contract.CodeInProgress, 0),
)

func (in input) wants(want ActionKind) input {
	in.want = want
	return in
}

var _ = Describe("Machine", func() {
	// A home claims, finds that a member of its group is missing, and gives up. Without the notice the next home
	// would find a claim that will never be used, and the request would end as unknown.
	It("passes on abandoned claims", func() {
		m := New(generatedKey)
		m.Start()
		abandoned := claimed
		abandoned.Nonce = "n1"
		action := refused(Dispatch, contract.CodeNoGroup, &abandoned).apply(m)
		Expect(action.AbandonedClaims).To(ConsistOf("n1"))
		Expect(noGroup(Finish).apply(m).Outcome).To(Equal(contract.OutcomeNotRun))
	})

	It("resumes after the last event received, or restarts", func() {
		for _, r := range []Request{repeatable, resumable} {
			m := New(r)
			for _, in := range concat(repeatableSent, event(false), event(false)) {
				in.apply(m)
			}
			action := broken(Dispatch).apply(m)
			Expect(action.Restart).To(Equal(!r.Resumable))
			Expect(action.ResumeFrom == 2).To(Equal(r.Resumable))
		}
	})
})

// Frames arrive late, twice, mixed with another request's, or one is lost. Without the check the caller would receive
// parts of another answer, or an answer with a gap.
var _ = DescribeTable("checking frames",
	func(plain bool, frames []contract.Frame, want ...FrameCheck) {
		a := NewAnswerChecker("r", plain)
		for i, f := range frames {
			if f.RequestID == "" {
				f.RequestID = "r"
			}
			Expect(a.Check(f)).To(Equal(want[i]), "frame %d", i)
		}
	},
	Entry("complete", false, []contract.Frame{eventFrame(0, 0, false), eventFrame(1, 1, true), frameOf(contract.FrameEnd, 2)}, InOrder, InOrder, InOrder),
	Entry("of another request", false, []contract.Frame{{Kind: contract.FrameEvent, RequestID: "other"}, eventFrame(0, 0, false)}, Stray, InOrder),
	Entry("duplicated", false, []contract.Frame{eventFrame(0, 0, false), eventFrame(0, 0, false), eventFrame(1, 0, false), eventFrame(2, 1, false)}, InOrder, Stray, Stray, InOrder),
	Entry("a frame lost", false, []contract.Frame{eventFrame(0, 0, false), eventFrame(2, 2, false)}, InOrder, Gap),
	Entry("an event lost", false, []contract.Frame{eventFrame(0, 0, false), eventFrame(1, 2, false)}, InOrder, Gap),
	Entry("an event after the final one", false, []contract.Frame{eventFrame(0, 0, true), eventFrame(1, 1, false)}, InOrder, Gap),
	Entry("ended too early", false, []contract.Frame{eventFrame(0, 0, false), frameOf(contract.FrameEnd, 1)}, InOrder, Gap),
	Entry("plain, complete", true, []contract.Frame{frameOf(contract.FrameHead, 0), chunkFrame(1, "ab"), {Kind: contract.FrameEnd, Seq: 2, AnswerBytes: 2}}, InOrder, InOrder, InOrder),
	Entry("plain, too short", true, []contract.Frame{frameOf(contract.FrameHead, 0), chunkFrame(1, "ab"), {Kind: contract.FrameEnd, Seq: 2, AnswerBytes: 3}}, InOrder, InOrder, Gap),
	Entry("plain, two heads", true, []contract.Frame{frameOf(contract.FrameHead, 0), frameOf(contract.FrameHead, 1)}, InOrder, Gap),
	Entry("plain, no head", true, []contract.Frame{chunkFrame(0, "ab")}, Gap),
)

func eventFrame(seq, event uint64, final bool) contract.Frame {
	return contract.Frame{Kind: contract.FrameEvent, Seq: seq, EventSeq: event, Final: final}
}

func frameOf(kind contract.FrameKind, seq uint64) contract.Frame {
	return contract.Frame{Kind: kind, Seq: seq}
}

func chunkFrame(seq uint64, data string) contract.Frame {
	return contract.Frame{Kind: contract.FrameChunk, Seq: seq, Data: []byte(data)}
}
