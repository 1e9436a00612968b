// Package turn decides which backend server a request may be sent to, and when.
//
// An entry is one proxy process that callers connect to. A turn is the permission to send one request to one group. The
// leader, the entry that holds the lease, grants turns to all entries, so that their requests do not overload a group
// together. Remote asks the leader for turns. Local grants them from what this entry knows, if the leader can't be
// reached.
//
// A group is a set of VMs that together run one replica of a model. Its requests are sent to its head, the member that
// takes the requests.
package turn

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
)

// Request describes a request that asks for a turn.
type Request struct {
	Service string
	// Model is empty for plain services, which have no models.
	Model string
	// Team is the team whose key the request carries; empty on routes without keys.
	Team string
	// TimeLeft is the time until the caller's deadline; 0 if unknown.
	TimeLeft time.Duration
	// Priority is 0 for the most urgent requests; larger values are less urgent. PriorityRetry precedes all of them.
	Priority int
	// FirstTokenBudget is how long from now the first token may take; 0 if there is no such objective.
	FirstTokenBudget time.Duration
	// MaxWait is the maximum time that the request may wait for its turn.
	MaxWait time.Duration
	// Optional is set if the request is served otherwise unless it gets a turn at once.
	Optional bool
	// Retry reports whether the request was sent to a server before. Requests that a caller repeats after a refusal are
	// recognized by the leader from their Fingerprint, which is the same for all attempts of one request; 0 if there is
	// none.
	Retry       bool
	Fingerprint uint64
	// Tried lists the servers that the request was sent to before.
	Tried []backend.ID
	// PromptTokens is the length of the prompt and OutputTokens the expected length of the answer, in tokens; 0 if
	// unknown.
	PromptTokens, OutputTokens int
}

// PriorityRetry is the priority of requests that were sent before: streams to be resumed, and requests whose server
// failed or stalled.
const PriorityRetry = -1

// Reason tells why a turn was refused.
type Reason string

// Reasons for refusals.
const (
	// NoServer: no server of the service, or no open group of the model, is known.
	NoServer Reason = "no-server"
	// Full: the known servers or groups can't take the request within its objective.
	Full Reason = "full"
	// TriedAll: the request was tried on every server or group that could take it.
	TriedAll Reason = "tried-all"
	// Paused: the servers that could take the request want none for longer than it may wait.
	Paused Reason = "paused"
)

// Refusal tells why there is no turn, and when the request may be tried again.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// Detail describes the state that the decision was based on, for the log.
	Detail string
}

// Result describes how a turn ended. The zero value is a complete answer.
type Result struct {
	// Unreachable: no connection to the server could be established.
	Unreachable bool
	// Rejected: the server reported that it did not run the request.
	Rejected bool
	// Unsent: the request was not sent to the server.
	Unsent bool
	// Failed: the answer was truncated or invalid, or the server returned an error.
	Failed bool
	// Stalled: the server sent nothing for longer than a healthy server does.
	Stalled bool
	// TimeToFirstToken is the time from sending the request to the first part of a streamed answer; 0 if there was
	// none.
	TimeToFirstToken time.Duration
}

// Basis identifies the list of servers from which a turn was granted.
type Basis struct {
	// FromLeader reports whether the leader granted the turn, from its own list. Otherwise this entry did.
	FromLeader bool
	Revision   uint64
	// Age is how long before the turn the list was last known to be current.
	Age time.Duration
}

// Turn is the right to send one request to one server.
type Turn struct {
	Server *backend.Server
	// Peer is set if Server is another entry, which passes the request on to a server.
	Peer  bool
	Basis Basis
	// Expires is the time after which the turn must not be used, but given back; zero if there is none. The server then takes a limited number
	// of requests, and one that arrives late may meet others.
	Expires time.Time
	// ReportLoad records the load that the server reported in its answer.
	ReportLoad func(running, waiting, slots int)
	// ReportStall reports, during the turn, that the server has sent nothing for longer than usual.
	ReportStall func()
	// Accepted records that the server has accepted the request.
	Accepted func()
	// Done ends the turn. It must be called exactly once.
	Done func(Result)
}

// Expired reports whether the turn must be given back.
func (t *Turn) Expired() bool { return !t.Expires.IsZero() && time.Now().After(t.Expires) }

// Limits tells which servers take a limited number of requests a second from all entries together, or none. It is safe for concurrent use.
type Limits interface {
	// Blocked reports whether a server may be sent nothing.
	Blocked(server *backend.Server) bool
	// Limited reports whether a server may be sent requests by turns of the leader alone.
	Limited(server *backend.Server) bool
	// Informed reports whether this entry has learned what other entries knew when it started.
	Informed() bool
}

// Pauses tells which servers have asked this entry for a pause. It is safe for concurrent use.
type Pauses interface {
	// Remaining returns what is left of the pause of a server; 0 if it has none.
	Remaining(server *backend.Server) time.Duration
	// Permit reports whether a request that was granted may still be sent to a server.
	Permit(server *backend.Server) bool
	// Allows reports whether a server may be sent a request now, and whether that is a probe, a single request after a pause.
	Allows(server *backend.Server) (allowed, probe bool)
	// BeginProbe records that a probe is sent, and returns a key that EndProbe takes once it has ended.
	BeginProbe(server *backend.Server) string
	EndProbe(server *backend.Server, key string)
	// Accepted records that a server has accepted a request.
	Accepted(server *backend.Server)
}

// Source grants turns. Implementations are safe for concurrent use.
type Source interface {
	Acquire(ctx context.Context, request Request) (*Turn, *Refusal)
}
