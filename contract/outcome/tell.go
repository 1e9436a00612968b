package outcome

import (
	"net/http"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
)

// giveUp reports the outcome, or takes the action that is needed to determine it.
func (m *Machine) giveUp() Action {
	if !m.request.AtMostOnce {
		if m.mayHaveRun || m.mayStillRun {
			return m.finishUnknown(m.problem)
		}
		return m.finishNotRun(m.problem, 0)
	}
	if m.mayHaveRun {
		m.phase = phaseFinding
		return Action{Kind: Find}
	}
	if m.request.KeyFromCaller || m.mayStillRun {
		m.phase = phaseSealing
		return Action{Kind: Seal, AbandonedClaims: m.abandonedClaims}
	}
	return m.finishNotRun(m.problem, 0)
}

// existingRecord decides the outcome by an existing record that this request cannot replace.
func (m *Machine) existingRecord(r attempt.Result) Action {
	if r.Verdict == attempt.KeyReused {
		return m.finishNotRun(problemKeyReused(), 0)
	}
	switch r.Record.State {
	case contract.AttemptDone:
		return m.answerFromRecord(r.Record.Answer)
	case contract.AttemptSealed:
		if r.Record.RequestID == m.request.ID {
			m.mayHaveRun = false // a seal replaces this request's claim only after its holder gave the claim up
		}
		if !m.mayHaveRun {
			return m.existingSeal(r.Record)
		}
	case contract.AttemptClaimed:
		m.unknownReason = m.problem
		if !m.mayHaveRun {
			m.unknownReason = problemAnswerLost()
		}
		if m.holderAsked {
			return m.finishUnknown(m.unknownReason)
		}
		m.claim = r.Record
		m.phase = phaseAskingHolder
		return Action{Kind: AskHolder, Claim: r.Record}
	}
	return m.finishUnknown(problemAnswerLost())
}

// existingSeal handles an existing seal when nothing of this request ran.
func (m *Machine) existingSeal(seal contract.AttemptRecord) Action {
	if seal.Number >= m.request.AttemptNumber {
		return m.finishNotRun(m.reasonForNotRun(), seal.Number)
	}
	return m.retryOrGiveUp()
}

func (m *Machine) answerFromRecord(answer *contract.StoredAnswer) Action {
	switch {
	case m.delivered:
		// The caller has received the beginning of a stream, which the stored answer cannot be appended to.
		return m.finishUnknown(problemTruncated())
	case answer == nil || answer.TooLarge:
		return m.finish(Action{Outcome: contract.OutcomeAnswered, Problem: problemTooLarge()})
	}
	return m.finish(Action{Outcome: contract.OutcomeAnswered, StoredAnswer: answer})
}

// reasonForNotRun prefers the machine's own reason, because the seal that was found may be this front's own.
func (m *Machine) reasonForNotRun() *contract.Problem {
	if m.problem != nil {
		return m.problem
	}
	return problemSealed()
}

func (m *Machine) finishNotRun(p *contract.Problem, sealedThrough int) Action {
	problem := *orInternal(p)
	problem.Outcome = contract.OutcomeNotRun
	return m.finish(Action{Outcome: contract.OutcomeNotRun, Problem: &problem, SealedThrough: sealedThrough})
}

func (m *Machine) finishUnknown(p *contract.Problem) Action {
	problem := *orInternal(p)
	problem.Outcome = contract.OutcomeUnknown
	if problem.Status < http.StatusInternalServerError {
		problem.Status = http.StatusBadGateway
	}
	problem.RetryAfter = max(problem.RetryAfter, RetryAfterShort)
	if m.request.AtMostOnce || problem.Hint == "" {
		problem.Hint = hintForUnknown(m.request)
	}
	return m.finish(Action{Outcome: contract.OutcomeUnknown, Problem: &problem})
}

func (m *Machine) finish(a Action) Action {
	m.phase = phaseFinished
	a.Kind = Finish
	return a
}
