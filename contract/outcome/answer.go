package outcome

import "github.com/skylarkpond/skylarkpond/contract"

// FrameCheck is the result of checking a frame.
type FrameCheck uint8

// The results of a check.
const (
	// InOrder means that the frame is the next part of the answer.
	InOrder FrameCheck = iota + 1
	// Stray means that the frame belongs to another request or is a duplicate. It is dropped.
	Stray
	// Gap means that something before the frame is missing, or that the answer ended too early.
	Gap
)

// AnswerChecker checks that the frames of an answer belong to the request, arrive in order and without gaps, and form
// a complete answer at the end.
//
// Otherwise frames of another request, or of an earlier dispatch of this one, that arrive late on a link would be
// passed on as this caller's answer, or an answer that lost a part would appear complete.
type AnswerChecker struct {
	requestID string
	plain     bool
	// nextFrame is the next frame number of the current dispatch, and nextEvent the number of the answer's next
	// event.
	nextFrame uint64
	nextEvent uint64
	finalSeen bool
	headSeen  bool
	bytesSeen int64
}

// NewAnswerChecker returns a checker for the answer to one request.
func NewAnswerChecker(requestID string, plain bool) *AnswerChecker {
	return &AnswerChecker{requestID: requestID, plain: plain}
}

// Started reports whether a part of the answer was accepted.
func (a *AnswerChecker) Started() bool { return a.nextEvent > 0 || a.headSeen }

// Complete reports whether the final event of a completion was accepted. Nothing of the answer is missing then,
// whatever becomes of the dispatch.
func (a *AnswerChecker) Complete() bool { return a.finalSeen }

// BeginDispatch prepares for the frames of another dispatch and returns the number of the first event to request.
func (a *AnswerChecker) BeginDispatch(restart bool) uint64 {
	a.nextFrame = 0
	if restart {
		a.nextEvent = 0
		a.finalSeen = false
		a.headSeen = false
		a.bytesSeen = 0
	}
	return a.nextEvent
}

// Check checks one frame.
func (a *AnswerChecker) Check(f contract.Frame) FrameCheck {
	if f.RequestID != a.requestID || f.Seq < a.nextFrame {
		return Stray
	}
	if f.Seq > a.nextFrame {
		return Gap
	}
	a.nextFrame++
	switch f.Kind {
	case contract.FrameEvent:
		return a.checkEvent(f)
	case contract.FrameHead:
		if !a.plain || a.headSeen {
			return Gap
		}
		a.headSeen = true
	case contract.FrameChunk:
		if !a.headSeen {
			return Gap
		}
		a.bytesSeen += int64(len(f.Data))
	case contract.FrameEnd:
		if !a.complete(f) {
			return Gap
		}
	}
	return InOrder
}

func (a *AnswerChecker) checkEvent(f contract.Frame) FrameCheck {
	if a.plain || f.EventSeq > a.nextEvent || a.finalSeen {
		return Gap
	}
	if f.EventSeq < a.nextEvent {
		return Stray
	}
	a.nextEvent++
	a.finalSeen = f.Final
	return InOrder
}

func (a *AnswerChecker) complete(f contract.Frame) bool {
	if a.plain {
		return a.headSeen && a.bytesSeen == f.AnswerBytes
	}
	return a.finalSeen
}
