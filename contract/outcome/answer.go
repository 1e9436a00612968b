package outcome

import "github.com/skylarkpond/skylarkpond/contract"

// Taken says what a frame is to the answer under way.
type Taken uint8

// What a frame can be.
const (
	// Next: it is the next part.
	Next Taken = iota + 1
	// Stray: it is another request's, or came before. It is dropped.
	Stray
	// Gap: something before it is missing, or the end came too early.
	Gap
)

// Answer checks that the frames of a request are its own, in order, without gap, and whole at the end.
//
// What goes wrong without it: frames of another request, or of an earlier dispatch of this one, arrive
// late on a link and are handed on as this caller's answer; or a part is lost and the rest looks whole.
type Answer struct {
	requestID string
	plain     bool
	// frame is the next frame number of the dispatch under way, event the next event of the answer.
	frame uint64
	event uint64
	final bool
	head  bool
	bytes int64
}

// NewAnswer returns the check of one request's answer.
func NewAnswer(requestID string, plain bool) *Answer {
	return &Answer{requestID: requestID, plain: plain}
}

// Started says that a part of the answer was taken.
func (a *Answer) Started() bool { return a.event > 0 || a.head }

// Complete says that a completion's final event was taken: nothing of the answer is missing, whatever
// becomes of the dispatch.
func (a *Answer) Complete() bool { return a.final }

// NextDispatch begins the frames of another dispatch and returns the first event to ask for.
func (a *Answer) NextDispatch(restart bool) uint64 {
	a.frame = 0
	if restart {
		a.event = 0
		a.final = false
		a.head = false
		a.bytes = 0
	}
	return a.event
}

// Take checks one frame.
func (a *Answer) Take(f contract.Frame) Taken {
	if f.RequestID != a.requestID || f.Seq < a.frame {
		return Stray
	}
	if f.Seq > a.frame {
		return Gap
	}
	a.frame++
	switch f.Kind {
	case contract.FrameEvent:
		return a.takeEvent(f)
	case contract.FrameHead:
		if !a.plain || a.head {
			return Gap
		}
		a.head = true
	case contract.FrameChunk:
		if !a.head {
			return Gap
		}
		a.bytes += int64(len(f.Data))
	case contract.FrameEnd:
		if !a.whole(f) {
			return Gap
		}
	}
	return Next
}

func (a *Answer) takeEvent(f contract.Frame) Taken {
	if a.plain || f.EventSeq > a.event || a.final {
		return Gap
	}
	if f.EventSeq < a.event {
		return Stray
	}
	a.event++
	a.final = f.Final
	return Next
}

func (a *Answer) whole(f contract.Frame) bool {
	if a.plain {
		return a.head && a.bytes == f.AnswerBytes
	}
	return a.final
}
