// Package outcome decides what a caller is told of its request: a state machine of one request at its
// front, without network or clock. What comes from outside (frames of the home, its loss, results of the
// attempt record, the deadline) goes in by methods; each returns the Action that is to be done next.
//
// What it keeps, whatever goes wrong around it:
//
//   - A request that may not be repeated is told not-run only after a confirmed seal, or without one if no
//     other copy of its key can exist and each home that took it said that it gave it up unsent.
//   - It is told answered only with the whole answer, from its home or from the record.
//   - Everything else is unknown, or in-progress while the holder of the claim says that it is at work.
package outcome

import (
	"github.com/skylarkpond/skylarkpond/contract"
)

// Do says what is to be done.
type Do uint8

// What can be asked for.
const (
	// Wait: go on with the dispatch that is under way.
	Wait Do = iota + 1
	// Dispatch: send the request to a group that did not have it yet, and report by Lost or Frame, or by
	// NoDispatch if there is none, or neither budget nor time. An earlier dispatch is closed first.
	Dispatch
	// Deliver: the frame just given belongs to the answer; hand it on.
	Deliver
	// Seal: write the seal, report by Sealed.
	Seal
	// Find: read the record, report by Found.
	Find
	// AskHolder: ask the home in Attempt what became of this claim, report by Holder.
	AskHolder
	// Tell: the outcome is final. A dispatch under way is closed.
	Tell
)

// HolderAnswer is what the holder of a claim says of it.
type HolderAnswer uint8

// The answers.
const (
	// HolderSilent: it can't be reached, or knows no more of the claim.
	HolderSilent HolderAnswer = iota
	// HolderWorking: it is still at work.
	HolderWorking
	// HolderGaveUp: it gave the claim up. Nothing was or will be sent under it.
	HolderGaveUp
)

// String names the answer in logs.
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
	Do Do
	// ResumeFrom is the first event wanted of a Dispatch; Restart says that what was gathered of an
	// answer is void.
	ResumeFrom uint64
	Restart    bool
	// Renounced goes with a Dispatch or a Seal: claims that may be replaced.
	Renounced []string
	// Attempt is the record whose holder is to be asked.
	Attempt contract.AttemptRecord
	// Outcome is what is told. Answered comes with Stored, or with neither Stored nor Problem when the
	// answer was delivered whole, or with a Problem when it was too large to be kept.
	Outcome contract.Outcome
	Problem *contract.Problem
	Stored  *contract.StoredAnswer
	// Attempts is the highest attempt number that is given up for good; 0: none. A caller that means to
	// try again under its key names a higher one.
	Attempts int
}
