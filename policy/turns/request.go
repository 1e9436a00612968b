package turns

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/capacity"
	"github.com/skylarkpond/skylarkpond/policy/standing"
)

// Group is one replica that serves requests.
type Group struct {
	// Head identifies the group by its head.
	Head  string
	Model string
	// Plain is set for a server of a plain service that takes any number of requests a second. Turns are granted at it only while a server of the service
	// rejects more than the others.
	Plain bool
	// Standing is that of the head. A group whose head is blocked is granted no turns, a cold one few.
	Standing standing.Standing
	// Engine describes the performance of the group. Its times are 0 where unknown; Slots is always set.
	Engine capacity.Engine
}

// Request is a request for a turn.
type Request struct {
	// Key is unique among the requests that wait or run.
	Key   string
	Model string
	// Client is the entry that sends the request.
	Client string
	// FirstTokenBudget is the time left until the first token is due; 0 if waiting longer makes no difference.
	FirstTokenBudget time.Duration
	// MaxWait is the longest time that the request may wait for its turn.
	MaxWait time.Duration
	// Optional is set if the request is served otherwise unless it is granted a turn at once. It then never waits, and does not count as demand.
	Optional bool
	// Priority is 0 for the most urgent requests.
	Priority int
	// Fingerprint is the same for all attempts of one request; 0 if there is none.
	Fingerprint uint64
	// Retry is set if the request was sent before, or if its caller was rejected, which the scheduler detects by the
	// fingerprint. The answer of a retry is late in any case, so it yields to requests of the same priority that can
	// still be answered in time. Otherwise every request would be rejected once and then answered late.
	Retry bool
	// TriedHeads are the heads of the groups that the request was already sent to.
	TriedHeads []string
	// Size is the number of tokens that the request needs.
	Size capacity.RequestSize
}

// Reason says why a request is rejected.
type Reason uint8

// The reasons.
const (
	// Granted means that the request is not rejected.
	Granted Reason = iota
	// NoGroup means that no group of the model is available.
	NoGroup
	// TooLate means that the turn would come too late.
	TooLate
	// TriedAll means that the request was already sent to every available group.
	TriedAll
	// Paused means that all groups that could serve the request have rejected others, and want none until the turn would come too late.
	Paused
)

// Decision is the result for one request: a turn at Head, or a rejection.
type Decision struct {
	Key    string
	Head   string
	Reason Reason
	// RetryAfter is, for a rejected request, when a slot is expected to be free.
	RetryAfter time.Duration
	// Running, Waiting and Slots are the state of the model that a rejection was based on: requests in progress,
	// requests queued, and slots.
	Running, Waiting, Slots int
	// Metered is set for a turn at a head that takes a limited number of requests a second.
	Metered bool
	// Watched is set for a turn at a head that has rejected requests, or whose limit is not verified: the scheduler is to be told if it accepts
	// this one.
	Watched bool
	// Limits describes the limits of the heads that a rejected request could have been sent to, and Pauses those that want no request.
	Limits Limits
	Pauses Pauses
}

// Pauses describes the heads that could serve a request and want none for a time.
type Pauses struct {
	// Heads is their number. First is the one that wants none for the shortest time, Left.
	Heads int
	First string
	Left  time.Duration
}

// Limits describes the available heads of a model that take a limited number of requests a second.
type Limits struct {
	// Heads is their number, and PerSecond what they take together.
	Heads     int
	PerSecond float64
	// Lowest is the one that takes least.
	Lowest string
}
