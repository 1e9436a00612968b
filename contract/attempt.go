package contract

import (
	"net/http"
)

// AttemptState is the state of the record of a request that must run at most once. Package attempt reads and writes
// these records.
type AttemptState string

// The states. Records are created as claimed or sealed; done replaces claimed.
const (
	// AttemptClaimed means that a home holds the right to send attempt Number once.
	AttemptClaimed AttemptState = "claimed"
	// AttemptSealed means that the attempts up to Number did not run and can no longer run.
	AttemptSealed AttemptState = "sealed"
	// AttemptDone means that the request ran. Answer is its answer, or states that the answer was too large to store.
	AttemptDone AttemptState = "done"
)

// AttemptRecord is the value of a platform object of kind "attempt", named team/key. The object is created
// conditionally, which decides between "a home sends the request" and "the request never runs": at most one of the
// two can be confirmed.
type AttemptRecord struct {
	State AttemptState `json:"state" cbor:"1,keyasint"`
	// Number is the caller's attempt number. A seal covers all attempts up to it.
	Number int `json:"number" cbor:"2,keyasint"`
	// Fingerprint is the fingerprint of the request; a key that is reused for another request is rejected by it.
	Fingerprint string `json:"fingerprint" cbor:"3,keyasint"`
	RequestID   string `json:"request_id" cbor:"4,keyasint"`
	// Home is the entry that made the claim, and Incarnation identifies the run of that entry's process.
	Home        string `json:"home,omitempty" cbor:"5,keyasint,omitempty"`
	Incarnation string `json:"incarnation,omitempty" cbor:"6,keyasint,omitempty"`
	// Nonce is unique to this write, so that the writer can recognize its own record.
	Nonce  string        `json:"nonce" cbor:"7,keyasint"`
	Answer *StoredAnswer `json:"answer,omitempty" cbor:"8,keyasint,omitempty"`
	// ExpiresAt is when the record may be purged, in Unix seconds by the wall clock of the entry that wrote it.
	ExpiresAt int64 `json:"expires_at" cbor:"9,keyasint"`
}

// StoredAnswer is an answer, complete unless EndsWithConnection is set, stored to be returned for requests that repeat the key.
type StoredAnswer struct {
	Status int         `json:"status" cbor:"1,keyasint"`
	Header http.Header `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte      `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// TooLarge is set if the answer exceeded MaxStoredAnswer: the record then shows that the request ran, without the
	// body.
	TooLarge bool `json:"too_large,omitempty" cbor:"4,keyasint,omitempty"`
	// EndsWithConnection is set if the answer had neither a length nor chunks, so that it may have been cut off. It must be passed on in the
	// same way.
	EndsWithConnection bool `json:"ends_with_connection,omitempty" cbor:"5,keyasint,omitempty"`
}

// MaxStoredAnswer is the largest answer body stored in an attempt record, in bytes. Typical answers of such requests,
// for example booking confirmations, have a few hundred bytes. The platform accepts values of up to 1 MB but should
// hold few of that size.
const MaxStoredAnswer = 64 << 10
