// Package outcome decides what a caller is told about its request. It contains a state machine for one request at its
// front, without network or clock. Events from outside (frames from the home, its loss, results of reads and writes
// of the attempt record, the deadline) are passed to its methods; each method returns the Action to be taken next.
//
// Whatever fails around it, the machine guarantees:
//
//   - A request that must run at most once is reported as not-run only after a confirmed seal, or without a seal if no
//     other copy of its key can exist and every home that accepted it has reported that it gave it up unsent.
//   - A request is reported as answered only with its complete answer, from its home or from the record.
//   - Everything else is reported as unknown, or as in-progress while the holder of the claim reports that it is working
//     on the request.
package outcome

import (
	"github.com/skylarkpond/skylarkpond/contract"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Wait means to continue with the current dispatch.
	Wait ActionKind = iota + 1
	// Dispatch means to send the request to a group that has not received it yet and to report its frames by
	// HandleFrame or its loss by HandleHomeLost, or to call HandleNoDispatch if there is no such group, no retry
	// budget or no time left. An earlier dispatch is closed first.
	Dispatch
	// Deliver means that the frame just handled belongs to the answer and is to be passed on to the caller.
	Deliver
	// Seal means to write the seal and report the result by HandleSeal.
	Seal
	// Find means to read the record and report the result by HandleFind.
	Find
	// AskHolder means to ask the home named in Claim what became of that claim and report its answer by
	// HandleHolderAnswer.
	AskHolder
	// Finish means that the outcome is final and is to be reported to the caller. The current dispatch, if any, is
	// closed.
	Finish
)

// HolderAnswer is what the holder of a claim reports about it.
type HolderAnswer uint8

// The answers.
const (
	// HolderSilent means that the holder cannot be reached or does not know the claim.
	HolderSilent HolderAnswer = iota
	// HolderWorking means that the holder is still working on the request.
	HolderWorking
	// HolderGaveUp means that the holder gave the claim up: nothing was or will be sent under it.
	HolderGaveUp
)

// String returns the text of the answer for logs.
func (a HolderAnswer) String() string {
	switch a {
	case HolderWorking:
		return "working"
	case HolderGaveUp:
		return "gave-up"
	default:
		return "silent"
	}
}

// Action is what is to be done next.
type Action struct {
	Kind ActionKind
	// ResumeFrom is the number of the first event wanted from a Dispatch. Restart is set if the parts of the answer
	// received so far are to be discarded.
	ResumeFrom uint64
	Restart    bool
	// AbandonedClaims accompanies a Dispatch or a Seal: the nonces of claims that may be replaced.
	AbandonedClaims []string
	// Claim is the claim whose holder is to be asked.
	Claim contract.AttemptRecord
	// Outcome is the outcome to report. Answered is accompanied by StoredAnswer, by neither StoredAnswer nor Problem
	// if the answer was already delivered completely, or by a Problem if the answer was too large to be stored.
	Outcome      contract.Outcome
	Problem      *contract.Problem
	StoredAnswer *contract.StoredAnswer
	// SealedThrough is the highest attempt number that can no longer run; 0 if there is none. A caller that wants to
	// retry under the same key has to use a higher number.
	SealedThrough int
}
