package contract

import (
	"net/http"
)

// AttemptState is the state of the record of a request that may not be repeated. Package attempt reads
// and writes the records.
type AttemptState string

// The states. Claimed and Sealed are created; Done replaces Claimed.
const (
	// AttemptClaimed: a home holds the right to send attempt Number, once.
	AttemptClaimed AttemptState = "claimed"
	// AttemptSealed: attempts up to Number did not run and cannot run any more.
	AttemptSealed AttemptState = "sealed"
	// AttemptDone: it ran, and Answer is its answer, or says that it was too large to keep.
	AttemptDone AttemptState = "done"
)

// AttemptRecord is the value of a platform object of kind "attempt", named team/key. The object's conditional
// creation decides between "a home sends" and "it never runs": only one of the two can be confirmed.
type AttemptRecord struct {
	State AttemptState `json:"state" cbor:"1,keyasint"`
	// Number is the caller's attempt number; a seal covers all attempts up to it.
	Number int `json:"number" cbor:"2,keyasint"`
	// Fingerprint is that of the request, to refuse a key reused for another request.
	Fingerprint string `json:"fingerprint" cbor:"3,keyasint"`
	RequestID   string `json:"request_id" cbor:"4,keyasint"`
	// Home is the entry that claimed, Incarnation the life of it that did.
	Home        string `json:"home,omitempty" cbor:"5,keyasint,omitempty"`
	Incarnation string `json:"incarnation,omitempty" cbor:"6,keyasint,omitempty"`
	// Nonce is the writer's own mark for this write.
	Nonce  string        `json:"nonce" cbor:"7,keyasint"`
	Answer *StoredAnswer `json:"answer,omitempty" cbor:"8,keyasint,omitempty"`
	// ExpiresAt is when the record may be purged, in Unix seconds by the platform-facing clock.
	ExpiresAt int64 `json:"expires_at" cbor:"9,keyasint"`
}

// StoredAnswer is a whole answer kept for a repeated key.
type StoredAnswer struct {
	Status int         `json:"status" cbor:"1,keyasint"`
	Header http.Header `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte      `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// TooLarge says that the answer was over MaxStoredAnswer: the fact is kept, the body is not.
	TooLarge bool `json:"too_large,omitempty" cbor:"4,keyasint,omitempty"`
}

// MaxStoredAnswer is the largest answer kept in an attempt record, in bytes. Bookings answer in a few
// hundred bytes; the platform holds values up to a megabyte and should hold few of them.
const MaxStoredAnswer = 64 << 10
