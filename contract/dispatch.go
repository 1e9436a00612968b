package contract

import (
	"net/http"
	"time"

	"github.com/skylarkpond/skylarkpond/vm"
)

// Dispatch is what a front sends to the home of a group: one attempt at one request.
type Dispatch struct {
	RequestID string     `cbor:"1,keyasint"`
	Team      string     `cbor:"2,keyasint"`
	Service   string     `cbor:"3,keyasint"`
	Group     vm.GroupID `cbor:"4,keyasint"`
	// Front names the entry that holds the caller's connection.
	Front string `cbor:"5,keyasint"`
	// SettingsVersion is the snapshot under which the front took the request in.
	SettingsVersion uint64 `cbor:"6,keyasint"`
	// Timeout is what is left of the caller's deadline when the front sends this. A duration, not a time,
	// because clocks of VMs differ.
	Timeout  time.Duration `cbor:"7,keyasint"`
	Priority int           `cbor:"8,keyasint"`
	// EstimatedTokens is the estimated work in tokens.
	EstimatedTokens int `cbor:"9,keyasint"`
	// PromptTokens is the part of Work that the prompt is; the rest is a bound on the answer.
	PromptTokens int `cbor:"21,keyasint,omitempty"`
	// PrefixHash is the hash of the prompt's prefix, for affinity.
	PrefixHash uint64 `cbor:"10,keyasint"`
	// AtMostOnce requests are claimed before they are sent, under Key and Attempt.
	AtMostOnce     bool   `cbor:"11,keyasint"`
	IdempotencyKey string `cbor:"12,keyasint"`
	// KeyFromCaller says that the caller chose Key, so that another copy may exist.
	KeyFromCaller bool `cbor:"13,keyasint"`
	AttemptNumber int  `cbor:"14,keyasint"`
	// Fingerprint identifies the request's content: for quarantine, and to tell a reused key.
	Fingerprint string `cbor:"15,keyasint"`
	// ResumeFrom is the first event wanted; above 0 only on engines that can resume.
	ResumeFrom uint64 `cbor:"16,keyasint"`
	// Plain is set for a call of a plain service, nil for a completion.
	Plain *PlainCall `cbor:"17,keyasint"`
	Body  []byte     `cbor:"18,keyasint"`
	// CrashID names the crash of a backend server that an earlier try of this request ended in.
	CrashID string `cbor:"22,keyasint,omitempty"`
	// HLCTime is the sender's hybrid logical time, for the time line.
	HLCTime int64 `cbor:"19,keyasint"`
	// AbandonedClaims lists the nonces of claims on Key whose holders told this front, by FrameRefused, that they
	// will never send. Such a claim may be replaced by another claim or by a seal.
	AbandonedClaims []string `cbor:"20,keyasint,omitempty"`
}

// PlainCall is the part of a Dispatch that only a plain service needs.
type PlainCall struct {
	Method string      `cbor:"1,keyasint"`
	Path   string      `cbor:"2,keyasint"`
	Header http.Header `cbor:"3,keyasint"`
}

// FrameKind says what a Frame reports.
type FrameKind uint8

// The frames of a dispatch, in the order in which they can come: Queued? Claimed? Sent (Head? Chunk*)
// or (Event*) End, or Refused in place of Sent, or Broken after Sent.
const (
	// FrameQueued: the home took the request into its queue.
	FrameQueued FrameKind = iota + 1
	// FrameRefused: the home gave the request up and will never send it again. It did not send it, or the
	// backend server was surely not reached, or said that it does not run it. Problem says why. If the home
	// had claimed, or tried to and can't tell, Attempt holds that claim: it is renounced hereby.
	FrameRefused
	// FrameClaimed: the attempt record was created; the request may be sent from now on.
	FrameClaimed
	// FrameSent: the home is about to send; from here on the request counts as run.
	FrameSent
	// FrameHead: status and header of a plain service's answer.
	FrameHead
	// FrameChunk: a part of a plain service's answer.
	FrameChunk
	// FrameEvent: one event of a completion.
	FrameEvent
	// FrameEnd: the answer is whole.
	FrameEnd
	// FrameBroken: it was sent, and the answer ended early. Problem says why.
	FrameBroken
	// FrameRecordExists: the key has a record already; Attempt holds it. Nothing was sent by this dispatch.
	FrameRecordExists
)

// Frame is one message from home to front. The answer to a Dispatch is a CBOR sequence of them.
type Frame struct {
	Kind FrameKind `cbor:"1,keyasint"`
	// RequestID and Seq let the front see that nothing was lost, doubled or crossed. Seq counts the frames
	// of a dispatch from 0.
	RequestID string `cbor:"2,keyasint"`
	Seq       uint64 `cbor:"3,keyasint"`
	// Event fields.
	EventSeq     uint64 `cbor:"4,keyasint,omitempty"`
	Text         string `cbor:"5,keyasint,omitempty"`
	Tokens       int    `cbor:"6,keyasint,omitempty"`
	Final        bool   `cbor:"7,keyasint,omitempty"`
	FinishReason string `cbor:"8,keyasint,omitempty"`
	// Head and chunk fields.
	Status int         `cbor:"9,keyasint,omitempty"`
	Header http.Header `cbor:"10,keyasint,omitempty"`
	Data   []byte      `cbor:"11,keyasint,omitempty"`
	// AnswerBytes is set in FrameEnd of a plain call: the length of the whole answer.
	AnswerBytes int64          `cbor:"12,keyasint,omitempty"`
	Problem     *Problem       `cbor:"13,keyasint,omitempty"`
	Record      *AttemptRecord `cbor:"14,keyasint,omitempty"`
	// RecordVersion is the platform version of the claim (FrameClaimed) or of Attempt (FrameFound).
	RecordVersion uint64 `cbor:"15,keyasint,omitempty"`
	HLCTime       int64  `cbor:"16,keyasint,omitempty"`
	// Load is the group's load at the home, sent with the first and the last frame of a dispatch. It costs
	// no message of its own, so it scales with the traffic and not with fronts times groups.
	Load *GroupLoad `cbor:"17,keyasint,omitempty"`
	// CrashID is set in FrameBroken if a backend server crashed: the request is a suspect from now on.
	CrashID string `cbor:"18,keyasint,omitempty"`
}

// GroupLoad is the load of one group as its home sees it.
type GroupLoad struct {
	InFlight int `cbor:"1,keyasint"`
	Queued   int `cbor:"2,keyasint"`
	Limit    int `cbor:"3,keyasint"`
	// FirstToken and TokenGap are moving averages; 0 if nothing was measured yet.
	FirstToken time.Duration `cbor:"4,keyasint,omitempty"`
	TokenGap   time.Duration `cbor:"5,keyasint,omitempty"`
}
