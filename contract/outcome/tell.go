package outcome

import (
	"net/http"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
)

// giveUp says the outcome, or finds out what may be said.
func (m *Machine) giveUp() Action {
	if !m.request.Unrepeatable {
		if m.ran || m.loose {
			return m.unknown(m.problem)
		}
		return m.notRun(m.problem, 0)
	}
	if m.ran {
		m.phase = finding
		return Action{Do: Find}
	}
	if m.request.KeyChosen || m.loose {
		m.phase = sealing
		return Action{Do: Seal, Renounced: m.renounced}
	}
	return m.notRun(m.problem, 0)
}

// standing: a record stands that this request can't replace. It decides.
func (m *Machine) standing(r attempt.Result) Action {
	if r.Verdict == attempt.KeyReused {
		return m.notRun(problemReused(), 0)
	}
	switch r.Record.State {
	case contract.AttemptDone:
		return m.stored(r.Record.Answer)
	case contract.AttemptSealed:
		if r.Record.RequestID == m.request.ID {
			m.ran = false // a seal replaces the claim of this request only after its holder gave it up
		}
		if !m.ran {
			return m.sealed(r.Record)
		}
	case contract.AttemptClaimed:
		m.unsettled = m.problem
		if !m.ran {
			m.unsettled = problemClaimed()
		}
		if m.asked {
			return m.unknown(m.unsettled)
		}
		m.claim = r.Record
		m.phase = asking
		return Action{Do: AskHolder, Attempt: r.Record}
	}
	return m.unknown(problemClaimed())
}

// sealed: a seal stands, and nothing of this request ran.
func (m *Machine) sealed(seal contract.AttemptRecord) Action {
	if seal.Number >= m.request.Attempt {
		return m.notRun(m.sealedProblem(), seal.Number)
	}
	return m.goOn()
}

func (m *Machine) stored(answer *contract.StoredAnswer) Action {
	switch {
	case m.delivered:
		// The caller holds the beginning of a stream; the stored answer can't be put behind it.
		return m.unknown(problemTruncated())
	case answer == nil || answer.TooLarge:
		return m.tell(Action{Outcome: contract.OutcomeAnswered, Problem: problemTooLarge()})
	}
	return m.tell(Action{Outcome: contract.OutcomeAnswered, Stored: answer})
}

// sealedProblem keeps the own reason if there is one: the seal found may well be this front's own.
func (m *Machine) sealedProblem() *contract.Problem {
	if m.problem != nil {
		return m.problem
	}
	return problemSealed()
}

func (m *Machine) notRun(p *contract.Problem, attempts int) Action {
	told := *orInternal(p)
	told.Outcome = contract.OutcomeNotRun
	return m.tell(Action{Outcome: contract.OutcomeNotRun, Problem: &told, Attempts: attempts})
}

func (m *Machine) unknown(p *contract.Problem) Action {
	told := *orInternal(p)
	told.Outcome = contract.OutcomeUnknown
	if told.Status < http.StatusInternalServerError {
		told.Status = http.StatusBadGateway
	}
	told.RetryAfter = max(told.RetryAfter, RetrySoon)
	if m.request.Unrepeatable || told.Hint == "" {
		told.Hint = nextUnknown(m.request)
	}
	return m.tell(Action{Outcome: contract.OutcomeUnknown, Problem: &told})
}

func (m *Machine) tell(a Action) Action {
	m.phase = told
	a.Do = Tell
	return a
}
