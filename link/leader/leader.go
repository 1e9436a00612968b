// Package leader implements the protocol between the leader and its followers. An entry is one proxy process that
// callers connect to; the leader is the entry that holds the lease and coordinates all entries, and the other entries
// are its followers. Each follower has one QUIC stream to the leader, on which both sides send CBOR items. Requests
// for turns (a turn is the permission to send one request to one group), the replies to them, and all broadcasts
// share the stream, so that the cost grows with the number of requests and changes, and not with (entries x groups).
//
// The follower authenticates the leader by the certificate fingerprint in the lease; the leader authenticates a
// follower by the token in the lease. Whoever can read the platform's objects is trusted, and nobody else.
package leader

import (
	"encoding/json"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// protocol is the ALPN protocol name.
const protocol = "skylarkpond-leader/2"

const (
	// idleTimeout is how long a link lives without receiving a packet. A leader that was killed sends nothing, and
	// there is no leader until its followers notice.
	idleTimeout = 1200 * time.Millisecond
	// keepAlive makes an idle side send several packets within idleTimeout, so that the loss of two does not end the
	// link.
	keepAlive = 350 * time.Millisecond
	// dialTimeout limits a handshake, which takes about 15 ms.
	dialTimeout = 700 * time.Millisecond
	// queueSize is how many messages may be queued for a slow link. A link whose queue is full is closed: its follower
	// then decides for itself, and no turn is granted that the follower does not learn of.
	queueSize = 4096
	// maxQueuedBytes bounds the size of the messages that are queued for a link. A configuration may have a megabyte, and a new follower is
	// sent it twice, beside all servers.
	maxQueuedBytes = 8 << 20
	// maxBatchBytes bounds the messages that are joined before they are written. A longer message is written by itself.
	maxBatchBytes = 16 << 10
)

func config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout, MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlive,
		InitialStreamReceiveWindow: 64 << 10, MaxStreamReceiveWindow: 1 << 20,
		InitialConnectionReceiveWindow: 64 << 10, MaxConnectionReceiveWindow: 1 << 20,
		MaxIncomingStreams: 1, MaxIncomingUniStreams: -1,
	}
}

// Up is a message from a follower to the leader. Exactly one field is set.
type Up struct {
	Hello       *Hello       `cbor:"1,keyasint,omitempty"`
	TurnRequest *TurnRequest `cbor:"2,keyasint,omitempty"`
	Done        *Done        `cbor:"3,keyasint,omitempty"`
	// StalledHead is the head of a group that has stopped sending on its streams.
	StalledHead backend.ID `cbor:"4,keyasint,omitempty"`
	Config      *Config    `cbor:"5,keyasint,omitempty"`
	// ProbeResult is the reply to a Probe.
	ProbeResult *ProbeResult `cbor:"6,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that the follower uses.
	ConfigVersion uint64 `cbor:"7,keyasint,omitempty"`
	// HeldTurns reports all turns that the follower holds. It is sent before any other message about turns.
	HeldTurns *HeldTurns `cbor:"10,keyasint,omitempty"`
	// Crash reports requests whose server crashed, and Finished a suspected trait whose request finished.
	Crash    *Crash    `cbor:"13,keyasint,omitempty"`
	Finished *Finished `cbor:"14,keyasint,omitempty"`
	// RequestSeen reports that the follower has received a caller's request since it started.
	RequestSeen bool `cbor:"11,keyasint,omitempty"`
	// Isolation reports whether the follower has lost its connections to the servers of a service.
	Isolation *Isolation `cbor:"12,keyasint,omitempty"`
	// LimitReport reports what a server stated in an answer about the requests that it takes.
	LimitReport *LimitReport `cbor:"15,keyasint,omitempty"`
	// Pause reports that a server has asked the follower for a pause.
	Pause *Pause `cbor:"16,keyasint,omitempty"`
	// Accepted is the key of a turn whose grant is marked as watched, and whose head has accepted the request; 0 for none.
	Accepted uint64 `cbor:"17,keyasint,omitempty"`
	// Leaving lists servers that have said that they are leaving.
	Leaving []Leaving `cbor:"18,keyasint,omitempty"`
	// Cold lists servers that have said in an answer that they are cold.
	Cold []Cold `cbor:"20,keyasint,omitempty"`
}

// Cold is a server that has said in an answer that it is cold.
type Cold struct {
	Server backend.ID `cbor:"1,keyasint"`
	// Process is the start of the server's process, in Unix milliseconds; 0 if unknown.
	Process int64 `cbor:"2,keyasint,omitempty"`
	// Ms is how much longer it is cold, in milliseconds.
	Ms int64 `cbor:"3,keyasint"`
}

// Leaving is a server that has said in an answer that it is leaving.
type Leaving struct {
	Server backend.ID `cbor:"1,keyasint"`
	// Process is the start of the server's process, in Unix milliseconds; 0 if unknown.
	Process int64 `cbor:"2,keyasint,omitempty"`
}

// Pause is a time in which a server wants no requests of one follower.
type Pause struct {
	Server backend.ID `cbor:"1,keyasint"`
	// Process is the start of the server's process that asked for it, in Unix milliseconds; 0 if unknown.
	Process int64 `cbor:"2,keyasint,omitempty"`
	// Ms is what is left of it, in milliseconds.
	Ms int64 `cbor:"3,keyasint"`
}

// Isolation reports whether an entry has lost its connections to all servers of any service.
type Isolation struct {
	Isolated bool `cbor:"1,keyasint,omitempty"`
}

// Hello is the first message of a follower.
type Hello struct {
	Entry string `cbor:"1,keyasint"`
	Token string `cbor:"2,keyasint"`
	// ConfigVersion is the version of the follower's configuration.
	ConfigVersion uint64 `cbor:"4,keyasint,omitempty"`
	// Revisions holds the revision up to which the follower knows each kind of objects.
	Revisions map[platform.Kind]platform.Version `cbor:"6,keyasint,omitempty"`
	// Crashes are the crashes that the follower has reported lately, to an earlier leader, and Holds what that leader held back.
	Crashes []Crash `cbor:"9,keyasint,omitempty"`
	Holds   []Holds `cbor:"10,keyasint,omitempty"`
	// Limits are the limits of servers that the follower knows of.
	Limits []ServerLimit `cbor:"11,keyasint,omitempty"`
	// Pauses are those that servers have asked the follower for.
	Pauses []Pause `cbor:"12,keyasint,omitempty"`
	// Cold are the servers that are cold as the follower has heard.
	Cold []Cold `cbor:"20,keyasint,omitempty"`
	// RoutableOnly reports that the follower is to be sent only the routable servers.
	RoutableOnly bool `cbor:"8,keyasint,omitempty"`
}

// Crash reports that a server's process ended while it ran requests.
type Crash struct {
	Service string     `cbor:"1,keyasint"`
	Server  backend.ID `cbor:"2,keyasint"`
	// Born distinguishes successive processes of the server. It is the start of the process, or 0 if unknown.
	Born int64 `cbor:"3,keyasint,omitempty"`
	// AgeMs is how long ago the crash was noticed; 0 unless it is reported again.
	AgeMs int64 `cbor:"4,keyasint,omitempty"`
	// Traits are what the requests had in common with others: their content, and the parts of their prompts.
	Traits []Trait `cbor:"5,keyasint"`
}

// Trait describes a trait of requests that ran on a server when it crashed.
type Trait struct {
	Name string `cbor:"1,keyasint"`
	// FinishedAgoMs is how long before the crash was noticed a request with the trait finished, negative if after it, and Finished whether any did in
	// the follower's memory.
	Finished      bool  `cbor:"2,keyasint,omitempty"`
	FinishedAgoMs int64 `cbor:"3,keyasint,omitempty"`
	// Progressed is set if the server had sent more than the beginning of an answer.
	Progressed bool `cbor:"4,keyasint,omitempty"`
}

// Finished reports that a server has answered a request with a suspected trait completely.
type Finished struct {
	Service string `cbor:"1,keyasint"`
	Trait   string `cbor:"2,keyasint"`
	// AgoMs is how long ago that was.
	AgoMs int64 `cbor:"3,keyasint,omitempty"`
}

// Holds lists which requests of a service no entry may send to a server, and which traits are suspected.
type Holds struct {
	Service string `cbor:"1,keyasint"`
	Rules   []Rule `cbor:"2,keyasint,omitempty"`
	// Suspects are the traits about which the leader wants to know whether requests with them finish.
	Suspects []string `cbor:"3,keyasint,omitempty"`
}

// Rule holds requests back that have all of some traits.
type Rule struct {
	Traits []string `cbor:"1,keyasint"`
	// Crashes is the number of crashes that stand against the traits, and AgeMs how long ago the last one was.
	Crashes int   `cbor:"2,keyasint"`
	AgeMs   int64 `cbor:"3,keyasint,omitempty"`
}

// Trial permits a follower to send one request that a rule holds back.
type Trial struct {
	Service string   `cbor:"1,keyasint"`
	Traits  []string `cbor:"2,keyasint"`
}

// ServerLimit is the limit of the requests that a server takes from all entries together.
type ServerLimit struct {
	Server backend.ID `cbor:"1,keyasint"`
	// Process is the start of the server's process that stated the limit, in Unix milliseconds; 0 if unknown.
	Process int64 `cbor:"2,keyasint,omitempty"`
	// PerSecond is in requests a second.
	PerSecond float64 `cbor:"3,keyasint"`
	// Version identifies the limit among all that the leader has known.
	Version uint64 `cbor:"4,keyasint,omitempty"`
	// Source is the entry that got the answer, and AgeMs how long ago it reported it.
	Source string `cbor:"5,keyasint,omitempty"`
	AgeMs  int64  `cbor:"6,keyasint,omitempty"`
}

// LimitReport reports what the answer of a server stated.
type LimitReport struct {
	Server  backend.ID `cbor:"1,keyasint"`
	Process int64      `cbor:"2,keyasint,omitempty"`
	// PerSecond is the limit in requests a second; nil if the answer stated none.
	PerSecond *float64 `cbor:"3,keyasint"`
	// Basis is the version of the limit that the follower knew when it sent the request; 0 for none.
	Basis uint64 `cbor:"4,keyasint,omitempty"`
}

// LimitChanges lists the servers with a new limit, and those that have none any more. If it is complete, all other servers have none.
type LimitChanges struct {
	Complete bool          `cbor:"1,keyasint,omitempty"`
	Limits   []ServerLimit `cbor:"2,keyasint,omitempty"`
	Lifted   []backend.ID  `cbor:"3,keyasint,omitempty"`
}

// HeldTurns lists the turns that a follower holds, granted by this leader or an earlier one.
type HeldTurns struct {
	Running []RunningTurn `cbor:"1,keyasint,omitempty"`
}

// RunningTurn is one turn in use.
type RunningTurn struct {
	Key  uint64     `cbor:"1,keyasint"`
	Head backend.ID `cbor:"2,keyasint"`
}

// TurnRequest asks for a turn, the right to send a request to a group.
type TurnRequest struct {
	Key     uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	// MaxWaitMs is the maximum time that the request may wait for its turn.
	MaxWaitMs int64        `cbor:"4,keyasint"`
	Priority  int          `cbor:"5,keyasint,omitempty"`
	Tried     []backend.ID `cbor:"6,keyasint,omitempty"`
	// Retry reports whether the request was sent to a server before.
	Retry bool `cbor:"7,keyasint,omitempty"`
	// PromptTokens is the length of the prompt and OutputTokens the expected length of the answer, in tokens; 0 if
	// unknown.
	PromptTokens int `cbor:"8,keyasint,omitempty"`
	OutputTokens int `cbor:"9,keyasint,omitempty"`
	// FirstTokenBudgetMs is how long from now the first token may take; 0 if there is no such objective.
	FirstTokenBudgetMs int64 `cbor:"10,keyasint,omitempty"`
	// Fingerprint is the same for all attempts of one request; 0 if there is none.
	Fingerprint uint64 `cbor:"11,keyasint,omitempty"`
	// Optional reports that the request is served otherwise unless it is granted a turn at once.
	Optional bool `cbor:"12,keyasint,omitempty"`
	// Team is that of the caller; empty if unknown.
	Team string `cbor:"13,keyasint,omitempty"`
	// DeadlineMs is what is left of the caller's deadline; 0 if unknown.
	DeadlineMs int64 `cbor:"14,keyasint,omitempty"`
}

// Done ends a turn, or cancels a request that waits for one.
type Done struct {
	Key uint64 `cbor:"1,keyasint"`
	// Complete reports whether the answer was complete.
	Complete bool `cbor:"2,keyasint,omitempty"`
	// FirstTokenMs is the time from the turn to the first part of the answer; 0 if there was none.
	FirstTokenMs int64 `cbor:"3,keyasint,omitempty"`
	// Unsent reports that the request was not sent to the head.
	Unsent bool `cbor:"4,keyasint,omitempty"`
	// Unreachable reports that it was not sent because no connection to the head could be established.
	Unreachable bool `cbor:"22,keyasint,omitempty"`
	// Failed reports that the head gave no answer, an incomplete one, or an error.
	Failed bool `cbor:"24,keyasint,omitempty"`
}

// Config is the configuration as the operator wrote it.
type Config struct {
	Spec json.RawMessage `cbor:"1,keyasint"`
}

// ProbeResult reports whether a server answered the follower.
type ProbeResult struct {
	Server   backend.ID `cbor:"1,keyasint"`
	Answered bool       `cbor:"2,keyasint,omitempty"`
	// Group is the group that the server reports to be a member of.
	Group backend.GroupKey `cbor:"3,keyasint,omitempty"`
	// Serving reports whether it accepts requests in this group.
	Serving bool `cbor:"4,keyasint,omitempty"`
	// Number is that of the probe; 0 if the follower does not tell.
	Number uint64 `cbor:"5,keyasint,omitempty"`
}

// Down is a message from the leader to a follower. Exactly one field is set.
type Down struct {
	Grant   *Grant   `cbor:"1,keyasint,omitempty"`
	Refusal *Refusal `cbor:"2,keyasint,omitempty"`
	Config  *Config  `cbor:"3,keyasint,omitempty"`
	// Renewal is sent after each renewal of the lease.
	Renewal *Renewal `cbor:"4,keyasint,omitempty"`
	// Probe asks the follower whether it can reach a server.
	Probe *Probe `cbor:"5,keyasint,omitempty"`
	// ChangeSet holds changes of one kind of objects.
	ChangeSet *ChangeSet `cbor:"6,keyasint,omitempty"`
	// Holds is sent when the requests that are held back or the suspects of a service change.
	Holds *Holds `cbor:"11,keyasint,omitempty"`
	Trial *Trial `cbor:"12,keyasint,omitempty"`
	// Queued is the key of a request that waits for its turn; 0 for none.
	Queued uint64 `cbor:"9,keyasint,omitempty"`
	// Compressed is another message in compressed form.
	Compressed []byte `cbor:"7,keyasint,omitempty"`
	// IsolationChanges is sent when entries become isolated or reach the servers again.
	IsolationChanges *IsolationChanges `cbor:"10,keyasint,omitempty"`
	// LimitChanges is sent when limits of servers change.
	LimitChanges *LimitChanges `cbor:"13,keyasint,omitempty"`
	// Leaving lists servers that have said that they are leaving.
	Leaving []Leaving `cbor:"14,keyasint,omitempty"`
	// Cold lists servers that have said that they are cold.
	Cold []Cold `cbor:"20,keyasint,omitempty"`
}

// IsolationChanges lists the entries that have become isolated and those that reach the servers again. A new follower is sent all isolated ones.
type IsolationChanges struct {
	Isolated []string `cbor:"1,keyasint,omitempty"`
	Reaching []string `cbor:"2,keyasint,omitempty"`
}

// Grant grants a turn.
type Grant struct {
	Key  uint64     `cbor:"1,keyasint"`
	Head backend.ID `cbor:"2,keyasint"`
	// Revision is the revision of the leader's list of servers, and AgeMs how long ago that list was last known to be
	// current, in milliseconds.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	AgeMs    int64  `cbor:"4,keyasint,omitempty"`
	// Metered reports that the head takes a limited number of requests a second, so that the turn must be used soon.
	Metered bool `cbor:"5,keyasint,omitempty"`
	// Watched reports that the head has rejected requests, and that the leader is to be told if it accepts this one.
	Watched bool `cbor:"6,keyasint,omitempty"`
}

// Refusal refuses a turn.
type Refusal struct {
	Key          uint64 `cbor:"1,keyasint"`
	Reason       string `cbor:"2,keyasint"`
	RetryAfterMs int64  `cbor:"3,keyasint"`
	Detail       string `cbor:"4,keyasint"`
}

// Renewal reports that the leader holds the lease, and which entries are linked to it.
type Renewal struct {
	Version uint64 `cbor:"1,keyasint"`
	// Live lists all linked entries, for a follower that was not sent them before. Joined and Left list the changes
	// since the previous renewal. With hundreds of entries, sending all names at each change would be most of the
	// leader's traffic.
	Live   []string `cbor:"2,keyasint,omitempty"`
	Joined []string `cbor:"4,keyasint,omitempty"`
	Left   []string `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is the version of the leader's configuration.
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"`
	// Settled reports whether the leader has been leading for so long that an entry which is not linked to it is down.
	Settled bool `cbor:"6,keyasint,omitempty"`
	// Ages holds the ages of the leader's copies of the objects that it broadcasts.
	Ages []Age `cbor:"7,keyasint,omitempty"`
}

// Age is how long ago, in milliseconds, the copy of a kind of objects was known to be current.
type Age struct {
	Kind platform.Kind `cbor:"1,keyasint"`
	Ms   int64         `cbor:"2,keyasint,omitempty"`
}

// Probe identifies the server to be probed.
type Probe struct {
	Server  backend.ID `cbor:"1,keyasint"`
	Address string     `cbor:"2,keyasint"`
	// Number identifies the probe among those of the leader.
	Number uint64 `cbor:"3,keyasint,omitempty"`
}
