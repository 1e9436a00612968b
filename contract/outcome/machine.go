package outcome

import (
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
)

// When a caller should come back: after a moment for what may soon be known, later for an outage.
const (
	RetrySoon   = time.Second
	RetryOutage = 5 * time.Second
)

// Request is what the machine has to know of a request.
type Request struct {
	ID string
	// Unrepeatable requests run at most once per key.
	Unrepeatable bool
	// KeyChosen says that the caller chose the key, so that another copy may exist.
	KeyChosen bool
	// Attempt is the caller's attempt number, from 1.
	Attempt     int
	Fingerprint string
	// Resumable says that the engines resume a completion at an offset.
	Resumable bool
	// Plain is set for a call of a plain service.
	Plain bool
}

type phase uint8

const (
	starting phase = iota
	lookingUp
	atHome
	sealing
	finding
	asking
	told
)

// Machine is the state of one request at its front. It is not safe for concurrent use.
type Machine struct {
	request Request
	phase   phase
	answer  *Answer

	// claimed and sent are of the dispatch under way.
	claimed bool
	sent    bool
	// ran: a dispatch may have run. loose: a dispatch may run yet, as far as this front knows.
	ran   bool
	loose bool
	// delivered: the caller was given a part of the answer already.
	delivered bool
	renounced []string
	// claim is the one whose holder is asked; asked: it was, and is not at work. unsettled is why the outcome is
	// unknown if the claim stays.
	claim     contract.AttemptRecord
	asked     bool
	unsettled *contract.Problem
	// problem is why the request is given up; noOther: there is no further dispatch.
	problem *contract.Problem
	noOther bool
}

// New returns the machine of a request.
func New(r Request) *Machine {
	return &Machine{request: r, answer: NewAnswer(r.ID, r.Plain)}
}

// Start is called once, first. A key that the caller chose is looked up before anything is queued: a
// repeated key is answered by one read, also while groups are overloaded or gone.
func (m *Machine) Start() Action {
	if m.request.Unrepeatable && m.request.KeyChosen {
		m.phase = lookingUp
		return Action{Do: Find}
	}
	return m.dispatch(false)
}

// Delivered is called when the first byte of an answer was given to the caller.
func (m *Machine) Delivered() { m.delivered = true }

// Frame takes the next frame of the dispatch under way.
func (m *Machine) Frame(f contract.Frame) Action {
	if m.phase != atHome {
		return Action{Do: Wait}
	}
	switch m.answer.Take(f) {
	case Stray:
		return Action{Do: Wait}
	case Gap:
		return m.broken(problemGap())
	}
	switch f.Kind {
	case contract.FrameQueued:
		return Action{Do: Wait}
	case contract.FrameClaimed:
		m.claimed = true
		return Action{Do: Wait}
	case contract.FrameSent:
		m.sent = true
		return Action{Do: Wait}
	case contract.FrameHead, contract.FrameChunk, contract.FrameEvent:
		m.sent = true
		return Action{Do: Deliver}
	case contract.FrameEnd:
		return m.tell(Action{Outcome: contract.OutcomeAnswered})
	case contract.FrameRefused:
		return m.refused(f)
	case contract.FrameRecordExists:
		return m.foundByHome(f)
	case contract.FrameBroken:
		m.sent = true
		return m.broken(orInternal(f.Problem))
	}
	return m.broken(problemGap())
}

// Lost says that the home of the dispatch under way can no longer be heard. notSent: it can't have
// taken the dispatch.
func (m *Machine) Lost(notSent bool) Action {
	if m.phase != atHome {
		return Action{Do: Wait}
	}
	if notSent {
		m.problem = problemHomeLost()
		return m.dispatch(false)
	}
	return m.broken(problemHomeLost())
}

// NoDispatch says that the Dispatch asked for can't be made, and why.
func (m *Machine) NoDispatch(p *contract.Problem) Action {
	if m.phase != atHome {
		return Action{Do: Wait}
	}
	m.noOther = true
	if m.problem == nil {
		m.problem = p
	}
	return m.giveUp()
}

// Deadline says that the caller's time is over.
func (m *Machine) Deadline() Action { return m.Abandon(problemDeadline()) }

// Abandon leaves the dispatch under way and tries no other.
func (m *Machine) Abandon(p *contract.Problem) Action {
	if m.phase != atHome {
		return Action{Do: Wait}
	}
	m.leaveHome()
	m.problem = p
	return m.giveUp()
}

// Refuse gives the request up before its first dispatch.
func (m *Machine) Refuse(p *contract.Problem) Action {
	m.noOther = true
	m.problem = p
	return m.giveUp()
}

// Sealed takes the result of a Seal.
func (m *Machine) Sealed(r attempt.Result) Action {
	if m.phase != sealing {
		return Action{Do: Wait}
	}
	switch r.Verdict {
	case attempt.Confirmed:
		return m.notRun(m.problem, m.request.Attempt)
	case attempt.Found, attempt.KeyReused:
		return m.standing(r)
	}
	return m.unknown(problemPlatform())
}

// Found takes the result of a Find.
func (m *Machine) Found(r attempt.Result) Action {
	stands := r.Verdict == attempt.Found || r.Verdict == attempt.KeyReused
	switch m.phase {
	case lookingUp:
		lower := r.Record.State == contract.AttemptSealed && r.Record.Number < m.request.Attempt
		if !stands || r.Verdict == attempt.Found && lower {
			return m.dispatch(false)
		}
	case finding:
		if !stands {
			return m.unknown(m.whyUnknown())
		}
	default:
		return Action{Do: Wait}
	}
	return m.standing(r)
}

// Holder takes the answer to AskHolder.
func (m *Machine) Holder(answer HolderAnswer) Action {
	if m.phase != asking {
		return Action{Do: Wait}
	}
	if answer == HolderWorking && !m.delivered {
		return m.tell(Action{Outcome: contract.OutcomeInProgress, Problem: problemInProgress()})
	}
	if answer == HolderGaveUp && m.mayReplace(m.claim) {
		return m.replaceClaim()
	}
	if answer != HolderWorking && !m.asked {
		// It may have ended between the look at the record and the question: then the answer is there now.
		m.asked = true
		m.phase = finding
		return Action{Do: Find}
	}
	return m.unknown(m.whyUnknown())
}

func (m *Machine) whyUnknown() *contract.Problem {
	if m.unsettled != nil {
		return m.unsettled
	}
	return m.problem
}

// mayReplace says whether this request may go on in place of a claim that was given up: it is this request's own,
// or that of another copy while nothing that this front sent may have run.
func (m *Machine) mayReplace(claim contract.AttemptRecord) bool {
	return claim.Number <= m.request.Attempt && !m.delivered && (!m.ran || claim.RequestID == m.request.ID)
}

// replaceClaim goes on after the holder of the claim that stands gave it up, as after a refusal.
func (m *Machine) replaceClaim() Action {
	m.renounced = append(m.renounced, m.claim.Nonce)
	m.ran = false
	return m.goOn()
}

// goOn: no claim stands in the way any more, and nothing of this request ran.
func (m *Machine) goOn() Action {
	m.asked = false
	m.unsettled = nil
	if m.problem == nil || !m.noOther && elsewhere(m.problem.Code) {
		return m.dispatch(false)
	}
	return m.giveUp()
}

func (m *Machine) dispatch(restart bool) Action {
	m.phase = atHome
	m.claimed = false
	m.sent = false
	action := Action{Do: Dispatch, Renounced: m.renounced, Restart: restart}
	action.ResumeFrom = m.answer.NextDispatch(restart)
	return action
}

// refused: the home gave it up and the backend server did not run it. Whether another group may take it is a question of the reason.
func (m *Machine) refused(f contract.Frame) Action {
	if m.answer.Started() {
		return m.broken(problemGap())
	}
	if f.Record != nil {
		m.renounced = append(m.renounced, f.Record.Nonce)
	}
	m.problem = orInternal(f.Problem)
	if elsewhere(m.problem.Code) {
		return m.dispatch(false)
	}
	return m.giveUp()
}

func (m *Machine) foundByHome(f contract.Frame) Action {
	if f.Record == nil {
		return m.broken(problemGap())
	}
	r := attempt.Result{Verdict: attempt.Found, Record: *f.Record}
	if f.Record.Fingerprint != m.request.Fingerprint {
		r.Verdict = attempt.KeyReused
	}
	return m.standing(r)
}

// leaveHome notes what the dispatch under way may still do once nobody listens.
func (m *Machine) leaveHome() {
	if m.sent || m.claimed {
		m.ran = true
	} else {
		m.loose = true
	}
}

// broken: the dispatch under way ended early.
func (m *Machine) broken(p *contract.Problem) Action {
	if m.answer.Complete() {
		return m.tell(Action{Outcome: contract.OutcomeAnswered})
	}
	m.leaveHome()
	m.problem = p
	if m.request.Unrepeatable {
		if m.ran {
			return m.giveUp()
		}
		// It may not have been claimed: another home may try, and the claim decides between the two.
		return m.dispatch(false)
	}
	if m.answer.Started() && m.request.Resumable {
		return m.dispatch(false)
	}
	if m.delivered {
		return m.giveUp()
	}
	return m.dispatch(true)
}
