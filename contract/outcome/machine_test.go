package outcome

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
)

// Inputs of the table below, each with the action that it must lead to.
type input struct {
	want ActionKind
	give func(m *Machine) Action
}

var (
	fp         = "f"
	overloaded = contract.NewRetryLater(contract.CodeOverloaded, "", 3*time.Second)
	keyed      = Request{ID: "r", AtMostOnce: true, KeyFromCaller: true, AttemptNumber: 2, Fingerprint: fp}
	made       = Request{ID: "r", AtMostOnce: true, AttemptNumber: 1, Fingerprint: fp}
	free       = Request{ID: "r", AttemptNumber: 1, Fingerprint: fp}
	resumable  = Request{ID: "r", AttemptNumber: 1, Fingerprint: fp, Resumable: true}
	sealedAt   = func(n int) contract.AttemptRecord {
		return contract.AttemptRecord{State: contract.AttemptSealed, Number: n}
	}
	claimed     = contract.AttemptRecord{State: contract.AttemptClaimed, Number: 1, Fingerprint: fp, RequestID: "other"}
	ownClaim    = contract.AttemptRecord{State: contract.AttemptClaimed, Number: 2, Fingerprint: fp, RequestID: "r", Nonce: "n"}
	ownRelease  = contract.AttemptRecord{State: contract.AttemptSealed, Number: 1, Fingerprint: fp, RequestID: "r"}
	higherClaim = contract.AttemptRecord{State: contract.AttemptClaimed, Number: 5, Fingerprint: fp, RequestID: "other"}
	answer      = contract.StoredAnswer{Status: 201}
	done        = contract.AttemptRecord{State: contract.AttemptDone, Answer: &answer}
	doneTooBig  = contract.AttemptRecord{State: contract.AttemptDone, Answer: &contract.StoredAnswer{TooLarge: true}}
	found       = func(a contract.AttemptRecord) attempt.Result {
		return attempt.Result{Verdict: attempt.Found, Record: a}
	}
	confirmed = attempt.Result{Verdict: attempt.Confirmed}
	verdict   = func(v attempt.Verdict) attempt.Result { return attempt.Result{Verdict: v} }
	start     = func(want ActionKind) input { return input{want, (*Machine).Start} }
	lost      = func(want ActionKind) input {
		return input{want, func(m *Machine) Action { return m.HandleHomeLost(false) }}
	}
	notSent = func(want ActionKind) input {
		return input{want, func(m *Machine) Action { return m.HandleHomeLost(true) }}
	}
	deadline = func(want ActionKind) input { return input{want, (*Machine).HandleDeadline} }
	seal     = func(want ActionKind, r attempt.Result) input {
		return input{want, func(m *Machine) Action { return m.HandleSeal(r) }}
	}
	find = func(want ActionKind, r attempt.Result) input {
		return input{want, func(m *Machine) Action { return m.HandleFind(r) }}
	}
	holder = func(working bool) input {
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
	beforeStart = func(want ActionKind) input {
		return input{want, func(m *Machine) Action { return m.Reject(overloaded) }}
	}
	delivered = input{Wait, func(m *Machine) Action { m.MarkDelivered(); return Action{Kind: Wait} }}
)

// frame gives the next frame of the dispatch.
func frame(want ActionKind, f contract.Frame) input {
	return input{want, func(m *Machine) Action {
		f.RequestID = "r"
		f.Seq = m.checker.nextFrame
		f.EventSeq += m.checker.nextEvent
		return m.HandleFrame(f)
	}}
}

func kind(k contract.FrameKind) input { return frame(Wait, contract.Frame{Kind: k}) }

func event(final bool) input {
	return frame(Deliver, contract.Frame{Kind: contract.FrameEvent, Final: final})
}

func refused(want ActionKind, code contract.Code, claim *contract.AttemptRecord) input {
	return frame(want, contract.Frame{Kind: contract.FrameRefused, Problem: contract.NewRetryLater(code, "", time.Second), Record: claim})
}

func broken(want ActionKind) input { return frame(want, contract.Frame{Kind: contract.FrameBroken}) }

func homeFound(want ActionKind, a contract.AttemptRecord) input {
	return frame(want, contract.Frame{Kind: contract.FrameRecordExists, Record: &a})
}

func end(want ActionKind) input { return frame(want, contract.Frame{Kind: contract.FrameEnd}) }

var (
	queued  = kind(contract.FrameQueued)
	claim   = kind(contract.FrameClaimed)
	sent    = kind(contract.FrameSent)
	lookup  = find(Dispatch, verdict(attempt.NoRecord))
	begun   = []input{start(Dispatch), queued, sent}
	keyedAt = []input{start(Find), lookup, queued, claim, sent}
)

func after(first []input, rest ...input) []input {
	return append(append([]input(nil), first...), rest...)
}

// Each row is one way in which a request can go, and what its caller is told at the end. Where a row says
// not-run, a clerk will book again; where it says unknown, the clerk will ask by the same key first.
var _ = DescribeTable("what a caller is told",
	func(r Request, inputs []input, told contract.Outcome, code contract.Code, attempts int) {
		m := New(r)
		var action Action
		for i, in := range inputs {
			action = in.give(m)
			Expect(action.Kind).To(Equal(in.want), "input %d", i)
		}
		Expect(action.Kind).To(Equal(Finish))
		Expect(action.Outcome).To(Equal(told))
		Expect(action.SealedThrough).To(Equal(attempts))
		if code == "" {
			Expect(action.Problem).To(BeNil())
			return
		}
		Expect(action.Problem.Code).To(Equal(code))
		Expect(action.Problem.Outcome).To(Equal(told))
		if told == contract.OutcomeUnknown || told == contract.OutcomeInProgress || code == contract.CodeOverloaded {
			Expect(action.Problem.RetryAfter).To(BeNumerically(">=", time.Second))
		}
	},
	Entry("answered", free, after(begun, event(false), event(true), end(Finish)), contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("cut behind the final event", free, after(begun, event(true), lost(Finish)), contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("refused everywhere", free, []input{start(Dispatch), refused(Dispatch, contract.CodeOverloaded, nil), noGroup(Finish)}, contract.OutcomeNotRun, contract.CodeOverloaded, 0),
	Entry("refused for good", free, []input{start(Dispatch), refused(Finish, contract.CodeQuarantined, nil)}, contract.OutcomeNotRun, contract.CodeQuarantined, 0),
	Entry("no home reached", free, []input{start(Dispatch), notSent(Dispatch), noGroup(Finish)}, contract.OutcomeNotRun, contract.CodeHomeLost, 0),
	Entry("repeatable, home lost, tried again, answered", free, []input{start(Dispatch), lost(Dispatch), sent, event(true), end(Finish)}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("repeatable, home lost, no other", free, []input{start(Dispatch), lost(Dispatch), noGroup(Finish)}, contract.OutcomeUnknown, contract.CodeHomeLost, 0),
	Entry("repeatable, broken behind a delivered part", free, after(begun, event(false), delivered, broken(Finish)), contract.OutcomeUnknown, contract.CodeInternal, 0),
	Entry("resumed behind a delivered part", resumable, after(begun, event(false), delivered, broken(Dispatch), sent, event(true), end(Finish)), contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("end without the final event", free, after(begun, event(false), delivered, end(Finish)), contract.OutcomeUnknown, contract.CodeAnswerTruncated, 0),
	Entry("deadline in the queue", free, []input{start(Dispatch), queued, deadline(Finish)}, contract.OutcomeUnknown, contract.CodeDeadline, 0),

	Entry("made key, refused unsent: no platform call", made, []input{start(Dispatch), refused(Finish, contract.CodePlatformUnavailable, nil)}, contract.OutcomeNotRun, contract.CodePlatformUnavailable, 0),
	Entry("made key, home lost, sealed", made, []input{start(Dispatch), lost(Dispatch), noGroup(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeHomeLost, 1),
	Entry("made key, home lost, platform out", made, []input{start(Dispatch), lost(Dispatch), noGroup(Seal), seal(Finish, verdict(attempt.NotWritten))}, contract.OutcomeUnknown, contract.CodePlatformUnavailable, 0),
	Entry("made key, home lost behind its claim, done meanwhile", made, []input{start(Dispatch), queued, claim, lost(Find), find(Finish, found(done))}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("made key, home lost behind its claim, at work", made, []input{start(Dispatch), queued, claim, lost(Find), find(AskHolder, found(claimed)), holder(true)}, contract.OutcomeInProgress, contract.CodeInProgress, 0),
	Entry("made key, home lost behind its claim, dead", made, []input{start(Dispatch), queued, claim, lost(Find), find(AskHolder, found(claimed)), holder(false).wants(Find), find(Finish, found(claimed))}, contract.OutcomeUnknown, contract.CodeHomeLost, 0),

	Entry("chosen key, refused, sealed", keyed, []input{start(Find), lookup, refused(Dispatch, contract.CodeOverloaded, nil), noGroup(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeOverloaded, 2),
	Entry("chosen key, refused, platform out", keyed, []input{start(Find), lookup, refused(Dispatch, contract.CodeOverloaded, nil), noGroup(Seal), seal(Finish, verdict(attempt.NotWritten))}, contract.OutcomeUnknown, contract.CodePlatformUnavailable, 0),
	Entry("chosen key, refused, seal unsure", keyed, []input{start(Find), lookup, refused(Dispatch, contract.CodeOverloaded, nil), noGroup(Seal), seal(Finish, verdict(attempt.Indeterminate))}, contract.OutcomeUnknown, contract.CodePlatformUnavailable, 0),
	Entry("chosen key, refused before any dispatch", keyed, []input{beforeStart(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeOverloaded, 2),
	Entry("chosen key, refused, but a copy ran", keyed, []input{beforeStart(Seal), seal(Finish, found(done))}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("chosen key, answered before", keyed, []input{start(Find), find(Finish, found(done))}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("chosen key, answered before, too large to keep", keyed, []input{start(Find), find(Finish, found(doneTooBig))}, contract.OutcomeAnswered, contract.CodeAnswerNotStored, 0),
	Entry("chosen key, at work elsewhere", keyed, []input{start(Find), find(AskHolder, found(claimed)), holder(true)}, contract.OutcomeInProgress, contract.CodeInProgress, 0),
	Entry("chosen key, claimed by the dead", keyed, []input{start(Find), find(AskHolder, found(claimed)), holder(false).wants(Find), find(Finish, found(claimed))}, contract.OutcomeUnknown, contract.CodeUnknownOutcome, 0),
	Entry("chosen key, done while its holder was asked", keyed, []input{start(Find), find(AskHolder, found(claimed)), holder(false).wants(Find), find(Finish, found(done))}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("chosen key, this attempt sealed", keyed, []input{start(Find), find(Finish, found(sealedAt(2)))}, contract.OutcomeNotRun, contract.CodeAttemptGivenUp, 2),
	Entry("chosen key, a higher attempt sealed", keyed, []input{start(Find), find(Finish, found(sealedAt(7)))}, contract.OutcomeNotRun, contract.CodeAttemptGivenUp, 7),
	Entry("chosen key, a lower attempt sealed", keyed, after(keyedAt, event(true), end(Finish)), contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("chosen key of another request", keyed, []input{start(Find), find(Finish, verdict(attempt.KeyReused))}, contract.OutcomeNotRun, contract.CodeKeyReused, 0),
	Entry("chosen key of another request, found by the home", keyed, []input{start(Find), lookup, homeFound(Finish, contract.AttemptRecord{Fingerprint: "g"})}, contract.OutcomeNotRun, contract.CodeKeyReused, 0),
	Entry("chosen key, looked up in an outage, claimed by a copy meanwhile", keyed, []input{start(Find), find(Dispatch, verdict(attempt.NotWritten)), homeFound(AskHolder, claimed), holder(false).wants(Find), find(Finish, found(claimed))}, contract.OutcomeUnknown, contract.CodeUnknownOutcome, 0),
	Entry("chosen key, backend server broke", keyed, after(keyedAt, broken(Find), find(AskHolder, found(claimed)), holder(false).wants(Find), find(Finish, found(claimed))), contract.OutcomeUnknown, contract.CodeInternal, 0),
	Entry("chosen key, claim of an earlier copy given up, goes on in its place", keyed, []input{start(Find), find(AskHolder, found(claimed)), gaveUp(Dispatch), queued, claim, sent, event(true), end(Finish)}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("chosen key, claim of an earlier copy released while its holder was asked, goes on", keyed, []input{start(Find), find(AskHolder, found(claimed)), holder(false).wants(Find), find(Dispatch, found(sealedAt(1))), queued, claim, sent, event(true), end(Finish)}, contract.OutcomeAnswered, contract.Code(""), 0),
	Entry("chosen key, own claim given up unheard, no other group", keyed, []input{start(Find), lookup, queued, claim, lost(Find), find(AskHolder, found(ownClaim)), gaveUp(Dispatch), noGroup(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeHomeLost, 2),
	Entry("chosen key, own claim given up unheard, no time left", keyed, []input{start(Find), lookup, queued, claim, deadline(Find), find(AskHolder, found(ownClaim)), gaveUp(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeDeadline, 2),
	Entry("chosen key, own claim given up unheard and released", keyed, []input{start(Find), lookup, queued, claim, lost(Find), find(Dispatch, found(ownRelease)), noGroup(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeHomeLost, 2),
	Entry("chosen key, lost at work, a claim of another copy given up", keyed, after(keyedAt, lost(Find), find(AskHolder, found(claimed)), gaveUp(Find), find(Finish, found(claimed))), contract.OutcomeUnknown, contract.CodeHomeLost, 0),
	Entry("chosen key, claim unheard, given up: no dispatch after the last group", keyed, []input{start(Find), lookup, lost(Dispatch), noGroup(Seal), seal(AskHolder, found(ownClaim)), gaveUp(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeHomeLost, 2),
	Entry("chosen key, refused before any dispatch, a claim of another copy given up", keyed, []input{beforeStart(Seal), seal(AskHolder, found(claimed)), gaveUp(Seal), seal(Finish, confirmed)}, contract.OutcomeNotRun, contract.CodeOverloaded, 2),
	Entry("chosen key, claim of a higher attempt given up", made, []input{{Dispatch, (*Machine).Start}, homeFound(AskHolder, higherClaim), gaveUp(Find), find(Finish, found(higherClaim))}, contract.OutcomeUnknown, contract.CodeUnknownOutcome, 0),
	Entry("chosen key, deadline at work", keyed, after(keyedAt, deadline(Find), find(AskHolder, found(claimed)), holder(true)), contract.OutcomeInProgress, contract.CodeInProgress, 0),
)

func (in input) wants(want ActionKind) input {
	in.want = want
	return in
}

var _ = Describe("Machine", func() {
	// A home claims, finds its group not whole, and gives up. Had the next home not been told, it would
	// meet a claim that nobody will ever use, and the booking would end as unknown.
	It("hands renounced claims on", func() {
		m := New(made)
		m.Start()
		mine := claimed
		mine.Nonce = "n1"
		action := refused(Dispatch, contract.CodeNoGroup, &mine).give(m)
		Expect(action.AbandonedClaims).To(ConsistOf("n1"))
		Expect(noGroup(Finish).give(m).Outcome).To(Equal(contract.OutcomeNotRun))
	})

	It("asks to resume behind what it has, or to begin anew", func() {
		for _, r := range []Request{free, resumable} {
			m := New(r)
			for _, in := range after(begun, event(false), event(false)) {
				in.give(m)
			}
			action := broken(Dispatch).give(m)
			Expect(action.Restart).To(Equal(!r.Resumable))
			Expect(action.ResumeFrom == 2).To(Equal(r.Resumable))
		}
	})
})

// Frames arrive late, twice, crossed with another request's, or one is lost. A caller that was handed them as
// they come would read another's answer, or an answer with a hole.
var _ = DescribeTable("the check of frames",
	func(plain bool, frames []contract.Frame, want ...FrameCheck) {
		a := NewAnswerChecker("r", plain)
		for i, f := range frames {
			if f.RequestID == "" {
				f.RequestID = "r"
			}
			Expect(a.Check(f)).To(Equal(want[i]), "frame %d", i)
		}
	},
	Entry("whole", false, []contract.Frame{ev(0, 0, false), ev(1, 1, true), fr(contract.FrameEnd, 2)}, InOrder, InOrder, InOrder),
	Entry("another's", false, []contract.Frame{{Kind: contract.FrameEvent, RequestID: "other"}, ev(0, 0, false)}, Stray, InOrder),
	Entry("doubled", false, []contract.Frame{ev(0, 0, false), ev(0, 0, false), ev(1, 0, false), ev(2, 1, false)}, InOrder, Stray, Stray, InOrder),
	Entry("a frame lost", false, []contract.Frame{ev(0, 0, false), ev(2, 2, false)}, InOrder, Gap),
	Entry("an event lost", false, []contract.Frame{ev(0, 0, false), ev(1, 2, false)}, InOrder, Gap),
	Entry("an event behind the final one", false, []contract.Frame{ev(0, 0, true), ev(1, 1, false)}, InOrder, Gap),
	Entry("end too early", false, []contract.Frame{ev(0, 0, false), fr(contract.FrameEnd, 1)}, InOrder, Gap),
	Entry("plain, whole", true, []contract.Frame{fr(contract.FrameHead, 0), ch(1, "ab"), {Kind: contract.FrameEnd, Seq: 2, AnswerBytes: 2}}, InOrder, InOrder, InOrder),
	Entry("plain, too short", true, []contract.Frame{fr(contract.FrameHead, 0), ch(1, "ab"), {Kind: contract.FrameEnd, Seq: 2, AnswerBytes: 3}}, InOrder, InOrder, Gap),
	Entry("plain, two heads", true, []contract.Frame{fr(contract.FrameHead, 0), fr(contract.FrameHead, 1)}, InOrder, Gap),
	Entry("plain, no head", true, []contract.Frame{ch(0, "ab")}, Gap),
)

func ev(seq, event uint64, final bool) contract.Frame {
	return contract.Frame{Kind: contract.FrameEvent, Seq: seq, EventSeq: event, Final: final}
}

func fr(kind contract.FrameKind, seq uint64) contract.Frame {
	return contract.Frame{Kind: kind, Seq: seq}
}

func ch(seq uint64, data string) contract.Frame {
	return contract.Frame{Kind: contract.FrameChunk, Seq: seq, Data: []byte(data)}
}
