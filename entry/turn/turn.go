// Package turn says which backend server a request may be sent to, and when.
package turn

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
)

// Request is one request that wants to be sent.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Priority is 0 for the most urgent, or First.
	Priority int
	// FirstTokenBudget is when the first part of its answer is to be there, from now on; 0 where nothing is lost by waiting longer.
	FirstTokenBudget time.Duration
	// MaxWait is how long the request may wait for its turn at most.
	MaxWait time.Duration
	// Retry says that the request was sent before. Callers that were turned away the entry in charge knows by their Fingerprint, which is
	// alike for all tries of one request; 0 for none.
	Retry       bool
	Fingerprint uint64
	// Tried are the servers that it was sent to.
	Tried []backend.ID
	// PromptTokens and OutputTokens are the tokens of its prompt, and those that its answer is expected to have; 0 if that is not known.
	PromptTokens, OutputTokens int
}

// PriorityRetry is the priority of requests that were sent before: streams that are to go on, and those whose server failed them or keeps silent.
const PriorityRetry = -1

// Reason says why there is no turn.
type Reason string

// The reasons.
const (
	// NoServer: no server of the service, or no open group of the model, is known.
	NoServer Reason = "no-server"
	// Full: those that are known have no room within the request's objective.
	Full Reason = "full"
	// TriedAll: the request has been tried on all that could take it.
	TriedAll Reason = "tried-all"
)

// Refusal says that the request gets no turn, and when there will be room.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// Detail is for the log: what the decision was made from.
	Detail string
}

// Result is how a turn ended.
type Result struct {
	// Unreachable: no connection could be made.
	Unreachable bool
	// Rejected: the server said that it did not run the request.
	Rejected bool
	// Failed: the answer was broken, wrong, or an error of the server.
	Failed bool
	// Stalled: the server said nothing for longer than a sound one does.
	Stalled bool
	// TimeToFirstToken is what passed from the send to the first part of a streamed answer; 0 if none came.
	TimeToFirstToken time.Duration
}

// Basis is the list of servers by which a turn was given.
type Basis struct {
	// FromLeader says that the leader gave the turn by its list; else this entry did by its own.
	FromLeader bool
	Revision   uint64
	// Age is how long before the turn the list was last known to be current.
	Age time.Duration
}

// Turn is the right to send one request to one server.
type Turn struct {
	Server *backend.Server
	Basis  Basis
	// ReportLoad tells what the server said of its load.
	ReportLoad func(running, waiting, slots int)
	// ReportStall tells that the server has said nothing for longer than usual, while the turn lasts.
	ReportStall func()
	// Done ends the turn. It is called exactly once.
	Done func(Result)
}

// Source gives turns. Implementations are safe for concurrent use.
type Source interface {
	Acquire(ctx context.Context, ask Request) (*Turn, *Refusal)
}
