// Package contract holds what the parts promise each other and the caller: outcomes, problems, the
// messages between front and home, and the record of a request that may not be repeated.
package contract

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is what the caller is told of its request, in the header HeaderOutcome.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered: the request ran, and this is its whole answer (or the stored fact of it).
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun is a promise: the request did not run and can no longer run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeInProgress: an earlier copy with the same key is still at work.
	OutcomeInProgress Outcome = "in-progress"
	// OutcomeUnknown: it may have run, or may yet run. It will not be run a second time under this key.
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

// Code is a stable name for a reason; callers may branch on it.
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
	CodeAttemptGivenUp      Code = "attempt-given-up"
	CodeConflict            Code = "conflict"
	CodeInternal            Code = "internal"
)

// Problem is the JSON body of every answer that is not the backend server's own. It is also the error
// type of the request path.
type Problem struct {
	Code    Code    `json:"code" cbor:"1,keyasint"`
	Status  int     `json:"status" cbor:"2,keyasint"`
	Outcome Outcome `json:"outcome" cbor:"3,keyasint"`
	Message string  `json:"message" cbor:"4,keyasint"`
	// Hint says what the caller can do.
	Hint string `json:"next,omitempty" cbor:"5,keyasint,omitempty"`
	// RetryAfter is when to come back; 0: not by itself.
	RetryAfter time.Duration `json:"-" cbor:"6,keyasint,omitempty"`
	RequestID  string        `json:"request_id,omitempty" cbor:"7,keyasint,omitempty"`
}

// Error makes a Problem an error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s, %d): %s", p.Code, p.Outcome, p.Status, p.Message)
}

// NewRejection returns a problem of a request that did not run and that the caller should mend first.
func NewRejection(status int, code Code, message, next string) *Problem {
	return &Problem{Code: code, Status: status, Outcome: OutcomeNotRun, Message: message, Hint: next}
}

// NewRetryLater returns a problem of a request that did not run and may be sent again after wait.
func NewRetryLater(code Code, message string, wait time.Duration) *Problem {
	return &Problem{
		Code: code, Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Message: message,
		Hint: "send the request again after Retry-After", RetryAfter: wait,
	}
}
