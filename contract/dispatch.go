package contract

import (
	"net/http"
	"time"

	"github.com/skylarkpond/skylarkpond/vm"
)

// Dispatch is the message by which a front sends one attempt at one request to the home of a group.
type Dispatch struct {
	RequestID string     `cbor:"1,keyasint"`
	Team      string     `cbor:"2,keyasint"`
	Service   string     `cbor:"3,keyasint"`
	Group     vm.GroupID `cbor:"4,keyasint"`
	// Front is the name of the entry that holds the caller's connection.
	Front string `cbor:"5,keyasint"`
	// SettingsVersion is the version of the settings under which the front accepted the request.
	SettingsVersion uint64 `cbor:"6,keyasint"`
	// Timeout is what remains of the caller's deadline when the front sends the dispatch. It is a duration because
	// the clocks of VMs differ.
	Timeout  time.Duration `cbor:"7,keyasint"`
	Priority int           `cbor:"8,keyasint"`
	// EstimatedTokens is the estimated work: the prompt and an upper bound on the answer.
	EstimatedTokens int `cbor:"9,keyasint"`
	// PromptTokens is the part of EstimatedTokens that is the prompt.
	PromptTokens int `cbor:"21,keyasint,omitempty"`
	// PrefixHash is the hash of the prompt's prefix, used for prefix affinity.
	PrefixHash uint64 `cbor:"10,keyasint"`
	// AtMostOnce requests are claimed under IdempotencyKey and AttemptNumber before they are sent.
	AtMostOnce     bool   `cbor:"11,keyasint"`
	IdempotencyKey string `cbor:"12,keyasint"`
	// KeyFromCaller is set if the caller chose IdempotencyKey, so that another copy of the request may exist.
	KeyFromCaller bool `cbor:"13,keyasint"`
	AttemptNumber int  `cbor:"14,keyasint"`
	// Fingerprint identifies the content of the request. It is used for quarantine and to detect a reused key.
	Fingerprint string `cbor:"15,keyasint"`
	// Parts identifies the messages of a completion. Requests with different content share messages.
	Parts []string `cbor:"23,keyasint,omitempty"`
	// ResumeFrom is the number of the first event wanted. It is above 0 only for engines that can resume.
	ResumeFrom uint64 `cbor:"16,keyasint"`
	// Plain is set for a call to a plain service and nil for a completion.
	Plain *PlainCall `cbor:"17,keyasint"`
	Body  []byte     `cbor:"18,keyasint"`
	// CrashID identifies the backend server crash that interrupted an earlier try of this request, if any.
	CrashID string `cbor:"22,keyasint,omitempty"`
	// HLCTime is the sender's hybrid logical clock, for the time line.
	HLCTime int64 `cbor:"19,keyasint"`
	// AbandonedClaims lists the nonces of claims on IdempotencyKey that their holders abandoned: they reported to
	// this front, by FrameRefused or when asked, that nothing was or will be sent under the claim. Such a claim may
	// be replaced by another claim or by a seal.
	AbandonedClaims []string `cbor:"20,keyasint,omitempty"`
}

// PlainCall is the part of a Dispatch that only plain services need, which answer ordinary HTTP requests.
type PlainCall struct {
	Method string      `cbor:"1,keyasint"`
	Path   string      `cbor:"2,keyasint"`
	Header http.Header `cbor:"3,keyasint"`
}

// FrameKind is the kind of a Frame.
type FrameKind uint8

// The frames of a dispatch, in the order in which they can arrive: Queued? Claimed? Sent (Head? Chunk*) or (Event*)
// End. Refused takes the place of Sent and what follows it, or comes after Sent if the backend server did not run the
// request. Broken can come after Sent. RecordExists takes the place of Claimed and ends the dispatch.
const (
	// FrameQueued means that the home has queued the request.
	FrameQueued FrameKind = iota + 1
	// FrameRefused means that the home has given the request up and will never send it again. Either the home did not
	// send it, or the backend server was certainly not reached or reported that it does not run it. Problem holds the
	// reason. If the home made a claim, or tried to and cannot tell whether it did, Record holds that claim, which
	// this frame abandons.
	FrameRefused
	// FrameClaimed means that the attempt record was created. The request may be sent from now on.
	FrameClaimed
	// FrameSent means that the home is about to send. From here on the request counts as run.
	FrameSent
	// FrameHead carries the status and header of a plain service's answer.
	FrameHead
	// FrameChunk carries a part of the body of a plain service's answer.
	FrameChunk
	// FrameEvent carries one event of a completion.
	FrameEvent
	// FrameEnd means that the answer is complete.
	FrameEnd
	// FrameBroken means that the request was sent and its answer ended early. Problem holds the reason.
	FrameBroken
	// FrameRecordExists means that the key already has a record, which is in Record. This dispatch sent nothing.
	FrameRecordExists
)

// Frame is one message from a home to a front. The response to a Dispatch is a CBOR sequence of frames.
type Frame struct {
	Kind FrameKind `cbor:"1,keyasint"`
	// RequestID and Seq let the front detect frames that are lost, duplicated or of another request. Seq counts the
	// frames of a dispatch from 0.
	RequestID string `cbor:"2,keyasint"`
	Seq       uint64 `cbor:"3,keyasint"`
	// Fields of FrameEvent.
	EventSeq     uint64 `cbor:"4,keyasint,omitempty"`
	Text         string `cbor:"5,keyasint,omitempty"`
	Tokens       int    `cbor:"6,keyasint,omitempty"`
	Final        bool   `cbor:"7,keyasint,omitempty"`
	FinishReason string `cbor:"8,keyasint,omitempty"`
	// Fields of FrameHead and FrameChunk.
	Status int         `cbor:"9,keyasint,omitempty"`
	Header http.Header `cbor:"10,keyasint,omitempty"`
	Data   []byte      `cbor:"11,keyasint,omitempty"`
	// AnswerBytes is the length of the whole answer body, set in FrameEnd of a plain call.
	AnswerBytes int64          `cbor:"12,keyasint,omitempty"`
	Problem     *Problem       `cbor:"13,keyasint,omitempty"`
	Record      *AttemptRecord `cbor:"14,keyasint,omitempty"`
	// RecordVersion is the platform version of the claim (FrameClaimed) or of Record (FrameRecordExists).
	RecordVersion uint64 `cbor:"15,keyasint,omitempty"`
	HLCTime       int64  `cbor:"16,keyasint,omitempty"`
	// Load is the load of the group as seen by its home, sent with the first and the last frame of a dispatch. As it
	// needs no message of its own, its cost grows with the traffic and not with the number of fronts times groups.
	Load *GroupLoad `cbor:"17,keyasint,omitempty"`
	// CrashID is set in FrameBroken if a backend server crashed, and identifies the crash. From then on the request
	// is suspected of having caused it.
	CrashID string `cbor:"18,keyasint,omitempty"`
	// Home is set in FrameRefused with CodeNotHome: the entry that the refusing entry takes for the group's home, or
	// "" if it knows none.
	Home string `cbor:"19,keyasint,omitempty"`
	// EndsWithConnection is set in FrameHead if the answer has neither a length nor chunks, so that it may have been cut off. It must be
	// passed on in the same way.
	EndsWithConnection bool `cbor:"20,keyasint,omitempty"`
}

// GroupLoad is the load of one group as seen by its home.
type GroupLoad struct {
	InFlight int `cbor:"1,keyasint"`
	Queued   int `cbor:"2,keyasint"`
	Limit    int `cbor:"3,keyasint"`
	// FirstToken is the time to the first token and TokenGap the time between tokens, both as moving averages; 0 if
	// nothing was measured yet.
	FirstToken time.Duration `cbor:"4,keyasint,omitempty"`
	TokenGap   time.Duration `cbor:"5,keyasint,omitempty"`
}
