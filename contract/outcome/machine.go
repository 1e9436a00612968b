package outcome

import (
	"net/http"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
)

// How long the caller should wait before it retries: a moment if the outcome may soon be known, longer during an
// outage.
const (
	RetryAfterShort  = time.Second
	RetryAfterOutage = 5 * time.Second
)

// Request holds what the machine needs to know of a request.
type Request struct {
	ID string
	// AtMostOnce requests run at most once per key.
	AtMostOnce bool
	// KeyFromCaller is set if the caller chose the key, so that another copy of the request may exist.
	KeyFromCaller bool
	// AttemptNumber is the caller's attempt number, starting at 1.
	AttemptNumber int
	Fingerprint   string
	// Resumable is set if the engines can resume a completion at a given event.
	Resumable bool
	// Plain is set for a call to a plain service.
	Plain bool
}

// phase is what the machine is waiting for.
type phase uint8

const (
	phaseStart phase = iota
	phaseLookup
	phaseDispatched
	phaseSealing
	phaseFinding
	phaseAskingHolder
	phaseFinished
)

// Machine is the state machine of one request at its front. It is not safe for concurrent use.
type Machine struct {
	request Request
	phase   phase
	checker *AnswerChecker

	// claimed and sent refer to the current dispatch.
	claimed bool
	sent    bool
	// mayHaveRun is set if a dispatch may have run, and mayStillRun if, to this front's knowledge, one may yet run.
	mayHaveRun  bool
	mayStillRun bool
	// delivered is set once the caller has received a part of the answer.
	delivered       bool
	abandonedClaims []string
	// claim is the claim whose holder is asked. holderAsked is set once the holder has been asked and is not working
	// on the request. unknownReason is why the outcome is unknown if the claim stays.
	claim         contract.AttemptRecord
	holderAsked   bool
	unknownReason *contract.Problem
	// problem is why the request is given up. noMoreDispatches is set if there is no further dispatch.
	problem          *contract.Problem
	noMoreDispatches bool
}

// New returns the machine of a request.
func New(r Request) *Machine {
	return &Machine{request: r, checker: NewAnswerChecker(r.ID, r.Plain)}
}

// Start returns the first action. It is called once and before any other method, unless Reject is called instead. A
// key chosen by the caller is looked up before anything is queued, so that a repeated key costs one read and is
// answered even while groups are overloaded or gone.
func (m *Machine) Start() Action {
	if m.request.AtMostOnce && m.request.KeyFromCaller {
		m.phase = phaseLookup
		return Action{Kind: Find}
	}
	return m.dispatch(false)
}

// MarkDelivered records that the caller has received the first byte of an answer.
func (m *Machine) MarkDelivered() { m.delivered = true }

// HandleFrame processes the next frame of the current dispatch.
func (m *Machine) HandleFrame(f contract.Frame) Action {
	if m.phase != phaseDispatched {
		return Action{Kind: Wait}
	}
	switch m.checker.Check(f) {
	case Stray:
		return Action{Kind: Wait}
	case Gap:
		return m.interrupted(problemFrameLost())
	}
	switch f.Kind {
	case contract.FrameQueued:
		return Action{Kind: Wait}
	case contract.FrameClaimed:
		m.claimed = true
		return Action{Kind: Wait}
	case contract.FrameSent:
		m.sent = true
		return Action{Kind: Wait}
	case contract.FrameHead, contract.FrameChunk, contract.FrameEvent:
		m.sent = true
		return Action{Kind: Deliver}
	case contract.FrameEnd:
		return m.finish(Action{Outcome: contract.OutcomeAnswered})
	case contract.FrameRefused:
		return m.refused(f)
	case contract.FrameRecordExists:
		return m.recordExists(f)
	case contract.FrameBroken:
		m.sent = true
		return m.interrupted(orInternal(f.Problem))
	}
	return m.interrupted(problemFrameLost())
}

// HandleHomeLost handles the loss of contact to the home of the current dispatch. notSent is set if the home cannot
// have received the dispatch.
func (m *Machine) HandleHomeLost(notSent bool) Action {
	if m.phase != phaseDispatched {
		return Action{Kind: Wait}
	}
	if notSent {
		m.problem = problemHomeLost()
		return m.dispatch(false)
	}
	return m.interrupted(problemHomeLost())
}

// HandleNoDispatch is called with the reason if the Dispatch that was requested is not possible.
func (m *Machine) HandleNoDispatch(p *contract.Problem) Action {
	if m.phase != phaseDispatched {
		return Action{Kind: Wait}
	}
	m.noMoreDispatches = true
	if m.problem == nil {
		m.problem = p
	}
	return m.giveUp()
}

// HandleDeadline handles the end of the caller's deadline.
func (m *Machine) HandleDeadline() Action { return m.CancelDispatch(problemDeadline()) }

// HandleCallerLeft gives the request up because its caller closed its side of the connection. The attempt is not sealed, so that a later copy with
// the same key still gets the answer. dispatched is set if a dispatch is in progress.
func (m *Machine) HandleCallerLeft(dispatched bool) Action {
	if m.checker.Complete() {
		return m.finish(Action{Outcome: contract.OutcomeAnswered})
	}
	if dispatched {
		m.markMayRun()
	}
	copyMayRun := m.request.AtMostOnce && m.request.KeyFromCaller
	if copyMayRun || m.mayHaveRun || m.mayStillRun {
		return m.finishUnknown(problemCallerLeft(http.StatusBadGateway))
	}
	return m.finishNotRun(problemCallerLeft(http.StatusServiceUnavailable), 0)
}

// CancelDispatch gives up the current dispatch without trying another.
func (m *Machine) CancelDispatch(p *contract.Problem) Action {
	if m.phase != phaseDispatched {
		return Action{Kind: Wait}
	}
	m.markMayRun()
	m.problem = p
	return m.giveUp()
}

// Reject gives the request up before its first dispatch.
func (m *Machine) Reject(p *contract.Problem) Action {
	m.noMoreDispatches = true
	m.problem = p
	return m.giveUp()
}

// RejectUnread gives up a request whose body was not read to its end, so that its fingerprint is unknown. It is not sealed: a seal with another
// fingerprint would make the key useless for its own request.
func (m *Machine) RejectUnread(p *contract.Problem) Action {
	if m.request.AtMostOnce && m.request.KeyFromCaller {
		return m.finishUnknown(p) // a copy may run
	}
	return m.finishNotRun(p, 0)
}

// HandleSeal processes the result of a Seal.
func (m *Machine) HandleSeal(r attempt.Result) Action {
	if m.phase != phaseSealing {
		return Action{Kind: Wait}
	}
	switch r.Verdict {
	case attempt.Confirmed:
		return m.finishNotRun(m.problem, m.request.AttemptNumber)
	case attempt.Found, attempt.KeyReused:
		return m.existingRecord(r)
	}
	return m.finishUnknown(problemPlatformUnavailable())
}

// HandleFind processes the result of a Find.
func (m *Machine) HandleFind(r attempt.Result) Action {
	exists := r.Verdict == attempt.Found || r.Verdict == attempt.KeyReused
	switch m.phase {
	case phaseLookup:
		lower := r.Record.State == contract.AttemptSealed && r.Record.Number < m.request.AttemptNumber
		if !exists || r.Verdict == attempt.Found && lower {
			return m.dispatch(false)
		}
	case phaseFinding:
		if !exists {
			return m.finishUnknown(m.reasonForUnknown())
		}
	default:
		return Action{Kind: Wait}
	}
	return m.existingRecord(r)
}

// HandleHolderAnswer processes the answer to AskHolder.
func (m *Machine) HandleHolderAnswer(answer HolderAnswer) Action {
	if m.phase != phaseAskingHolder {
		return Action{Kind: Wait}
	}
	if answer == HolderWorking && !m.delivered {
		return m.finish(Action{Outcome: contract.OutcomeInProgress, Problem: problemInProgress()})
	}
	if answer == HolderGaveUp && m.mayReplaceClaim(m.claim) {
		return m.replaceClaim()
	}
	if answer != HolderWorking && !m.holderAsked {
		// The request may have finished between the read of the record and the question to the holder; the record
		// then contains the answer now.
		m.holderAsked = true
		m.phase = phaseFinding
		return Action{Kind: Find}
	}
	return m.finishUnknown(m.reasonForUnknown())
}

func (m *Machine) reasonForUnknown() *contract.Problem {
	if m.unknownReason != nil {
		return m.unknownReason
	}
	return m.problem
}

// mayReplaceClaim reports whether this request may continue in place of a claim that was given up. The claim has to
// be its own, or that of another copy while nothing that this front sent may have run.
func (m *Machine) mayReplaceClaim(claim contract.AttemptRecord) bool {
	return claim.Number <= m.request.AttemptNumber && !m.delivered && (!m.mayHaveRun || claim.RequestID == m.request.ID)
}

// replaceClaim continues as after a refusal, because the holder of the existing claim has given it up.
func (m *Machine) replaceClaim() Action {
	m.abandonedClaims = append(m.abandonedClaims, m.claim.Nonce)
	m.mayHaveRun = false
	return m.retryOrGiveUp()
}

// retryOrGiveUp continues when no claim blocks the request any more and nothing of it ran.
func (m *Machine) retryOrGiveUp() Action {
	m.holderAsked = false
	m.unknownReason = nil
	if m.problem == nil || !m.noMoreDispatches && otherGroupMayAccept(m.problem.Code) {
		return m.dispatch(false)
	}
	return m.giveUp()
}

func (m *Machine) dispatch(restart bool) Action {
	m.phase = phaseDispatched
	m.claimed = false
	m.sent = false
	action := Action{Kind: Dispatch, AbandonedClaims: m.abandonedClaims, Restart: restart}
	action.ResumeFrom = m.checker.BeginDispatch(restart)
	return action
}

// refused handles a request that its home gave up and that the backend server did not run. Whether another group may
// accept it depends on the reason.
func (m *Machine) refused(f contract.Frame) Action {
	if m.checker.Started() {
		return m.interrupted(problemFrameLost())
	}
	if f.Record != nil {
		m.abandonedClaims = append(m.abandonedClaims, f.Record.Nonce)
	}
	m.problem = orInternal(f.Problem)
	if otherGroupMayAccept(m.problem.Code) {
		return m.dispatch(false)
	}
	return m.giveUp()
}

func (m *Machine) recordExists(f contract.Frame) Action {
	if f.Record == nil {
		return m.interrupted(problemFrameLost())
	}
	r := attempt.Result{Verdict: attempt.Found, Record: *f.Record}
	if f.Record.Fingerprint != m.request.Fingerprint {
		r.Verdict = attempt.KeyReused
	}
	return m.existingRecord(r)
}

// markMayRun records what the current dispatch may have done or may still do after the front stops listening to it.
func (m *Machine) markMayRun() {
	if m.sent || m.claimed {
		m.mayHaveRun = true
	} else {
		m.mayStillRun = true
	}
}

// interrupted handles the early end of the current dispatch.
func (m *Machine) interrupted(p *contract.Problem) Action {
	if m.checker.Complete() {
		return m.finish(Action{Outcome: contract.OutcomeAnswered})
	}
	m.markMayRun()
	m.problem = p
	if m.request.AtMostOnce {
		if m.mayHaveRun {
			return m.giveUp()
		}
		// The home may not have claimed the request, so another home may try. The claim decides between the two.
		return m.dispatch(false)
	}
	if m.checker.Started() && m.request.Resumable {
		return m.dispatch(false)
	}
	if m.delivered {
		return m.giveUp()
	}
	return m.dispatch(true)
}
