// Package contract holds the types shared by Skylarkpond's parts and by its callers: outcomes, problems, the messages
// between front and home, and the record of a request that must run at most once.
//
// An entry is one proxy process that callers connect to. The front of a request is the entry that its caller is
// connected to; it decides what the caller is told. The home of a group is the entry that queues the group's requests
// and sends them to its backend servers; no other entry sends requests to the group. For a given request an entry can
// be both. A group is a set of VMs that together run one replica of a service.
//
// A completion is a request to a language model. A plain service answers ordinary HTTP requests instead. A caller that
// repeats a request gives it an idempotency key, and an attempt number that it raises when it means to try again.
package contract

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome tells the caller what became of its request. It is sent in the header HeaderOutcome.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered means that the request ran and that this is its answer, or the stored fact that it ran. The answer is complete if its
	// framing says so: one with neither a length nor chunks may have been cut off.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun guarantees that the request did not run and can no longer run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeInProgress means that an earlier copy with the same key is still running.
	OutcomeInProgress Outcome = "in-progress"
	// OutcomeUnknown means that the request may have run or may still run. A request under an idempotency key will
	// not run a second time under that key.
	OutcomeUnknown Outcome = "unknown"
)

// Headers between callers and fronts.
const (
	HeaderOutcome        = "Skylarkpond-Outcome"
	HeaderAttempt        = "Skylarkpond-Attempt"
	HeaderRequestID      = "Skylarkpond-Request"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout"
	HeaderRetryAfter     = "Retry-After"
)

// Code is a stable identifier of the reason for a problem. Callers may branch on it.
type Code string

// The codes.
const (
	CodeBadRequest          Code = "bad-request"
	CodeBadHeader           Code = "bad-header"
	CodeBodyTooLarge        Code = "body-too-large"
	CodeUnauthorized        Code = "unauthorized"
	CodeForbidden           Code = "forbidden"
	CodeUnknownModel        Code = "unknown-model"
	CodeUnknownService      Code = "unknown-service"
	CodeUnknownPath         Code = "unknown-path"
	CodeMethodNotAllowed    Code = "method-not-allowed"
	CodeKeyReused           Code = "key-reused"
	CodeOverloaded          Code = "overloaded"
	CodeDeadline            Code = "deadline-too-near"
	CodeNoGroup             Code = "no-group-serving"
	CodeNotHome             Code = "not-home"
	CodeLeaving             Code = "entry-leaving"
	CodeBackendRefused      Code = "backend-refused"
	CodeBackendBroke        Code = "backend-broke"
	CodeHomeLost            Code = "home-lost"
	CodePlatformUnavailable Code = "platform-unavailable"
	CodeInProgress          Code = "in-progress"
	CodeUnknownOutcome      Code = "outcome-unknown"
	CodeQuarantined         Code = "quarantined"
	CodeSuspectWaits        Code = "suspect-waits"
	CodeAnswerNotStored     Code = "answer-not-stored"
	CodeAnswerTruncated     Code = "answer-truncated"
	CodeCallerLeft          Code = "caller-left"
	CodeAttemptGivenUp      Code = "attempt-given-up"
	CodeConflict            Code = "conflict"
	CodeInternal            Code = "internal"
)

// Problem is the JSON body of every answer that is not the backend server's own. It is also the error type of the
// request path.
type Problem struct {
	Code    Code    `json:"code" cbor:"1,keyasint"`
	Status  int     `json:"status" cbor:"2,keyasint"`
	Outcome Outcome `json:"outcome" cbor:"3,keyasint"`
	Message string  `json:"message" cbor:"4,keyasint"`
	// Hint tells the caller what it can do.
	Hint string `json:"next,omitempty" cbor:"5,keyasint,omitempty"`
	// RetryAfter is how long the caller should wait before it retries; 0 if waiting alone does not help.
	RetryAfter time.Duration `json:"-" cbor:"6,keyasint,omitempty"`
	RequestID  string        `json:"request_id,omitempty" cbor:"7,keyasint,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s, %d): %s", p.Code, p.Outcome, p.Status, p.Message)
}

// NewRejection returns a problem for a request that did not run and that the caller has to correct before it retries.
func NewRejection(status int, code Code, message, next string) *Problem {
	return &Problem{Code: code, Status: status, Outcome: OutcomeNotRun, Message: message, Hint: next}
}

// NewRetryLater returns a problem for a request that did not run and may be sent again after wait.
func NewRetryLater(code Code, message string, wait time.Duration) *Problem {
	return &Problem{
		Code: code, Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Message: message,
		Hint: "send the request again after Retry-After", RetryAfter: wait,
	}
}
