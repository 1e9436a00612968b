// Package leader links every entry with the one that is in charge: one stream each, over QUIC, on which both sides send
// CBOR items. Requests for turns, their answers and news of all kinds share it, so that the cost grows with requests and changes, and
// not with (entries x groups).
//
// The follower knows the leader by the fingerprint in the lease; the leader knows a follower by the lease's token. Whoever can
// read the platform's objects is trusted, nobody else.
package leader

import (
	"encoding/json"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// protocol names this protocol in the handshake.
const protocol = "skylarkpond-leader/1"

const (
	// idleTimeout is how long a link lives without a packet. A leader that was killed says nothing, and nobody is
	// in charge until its followers notice.
	idleTimeout = 1200 * time.Millisecond
	// keepAlive makes a quiet side speak several times within idleTimeout, so that two lost packets don't end the link.
	keepAlive = 350 * time.Millisecond
	// dialTimeout bounds a handshake, which takes some 15 ms.
	dialTimeout = 700 * time.Millisecond
	// queueSize is how many messages wait for a slow link. One that finds it full ends the link: its follower then decides
	// for itself, and no turn is given that nobody hears of.
	queueSize = 4096
)

func config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout, MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlive,
		InitialStreamReceiveWindow: 64 << 10, MaxStreamReceiveWindow: 1 << 20,
		InitialConnectionReceiveWindow: 64 << 10, MaxConnectionReceiveWindow: 1 << 20,
		MaxIncomingStreams: 1, MaxIncomingUniStreams: -1,
	}
}

// Up is what a follower sends. One of its fields is set.
type Up struct {
	Hello       *Hello       `cbor:"1,keyasint,omitempty"`
	TurnRequest *TurnRequest `cbor:"2,keyasint,omitempty"`
	Done        *Done        `cbor:"3,keyasint,omitempty"`
	// StalledHead names a head whose streams have stopped.
	StalledHead backend.ID `cbor:"4,keyasint,omitempty"`
	Config      *Config    `cbor:"5,keyasint,omitempty"`
	// ProbeResult answers a question whether a server can be reached.
	ProbeResult *ProbeResult `cbor:"6,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that the follower works by.
	ConfigVersion uint64 `cbor:"7,keyasint,omitempty"`
	// HeldTurns are all those that the follower holds. It is sent before anything else that concerns turns.
	HeldTurns *HeldTurns `cbor:"10,keyasint,omitempty"`
	// Crash tells of a request that lost its server, Cleared of one that finished although it is held back.
	Crash   *Crash   `cbor:"8,keyasint,omitempty"`
	Cleared *Cleared `cbor:"9,keyasint,omitempty"`
}

// Hello is the first message of a follower.
type Hello struct {
	Entry string `cbor:"1,keyasint"`
	Token string `cbor:"2,keyasint"`
	// ConfigVersion is the version of its configuration.
	ConfigVersion uint64 `cbor:"4,keyasint,omitempty"`
	// Revisions say up to where the follower knows each kind.
	Revisions map[platform.Kind]platform.Version `cbor:"6,keyasint,omitempty"`
	// Crashes are those that the follower told of before.
	Crashes []Crash `cbor:"7,keyasint,omitempty"`
}

// Crash is the end of a server's process in the middle of a request.
type Crash struct {
	Service     string     `cbor:"1,keyasint"`
	Fingerprint string     `cbor:"2,keyasint"`
	Server      backend.ID `cbor:"3,keyasint"`
	// Born tells one life of the server from another.
	Born int64 `cbor:"4,keyasint,omitempty"`
}

// Cleared is a request that a server answered in full.
type Cleared struct {
	Service     string `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
}

// Quarantine are all requests of a service that no entry may send to a server.
type Quarantine struct {
	Service      string   `cbor:"1,keyasint"`
	Fingerprints []string `cbor:"2,keyasint,omitempty"`
}

// HeldTurns are those that a follower holds, given by this leader or an earlier one.
type HeldTurns struct {
	Running []RunningTurn `cbor:"1,keyasint,omitempty"`
}

// RunningTurn is one turn.
type RunningTurn struct {
	Key  uint64     `cbor:"1,keyasint"`
	Head backend.ID `cbor:"2,keyasint"`
}

// TurnRequest is a request that wants a turn.
type TurnRequest struct {
	Key     uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	// MaxWaitMs is how long it may wait at most.
	MaxWaitMs int64        `cbor:"4,keyasint"`
	Priority  int          `cbor:"5,keyasint,omitempty"`
	Tried     []backend.ID `cbor:"6,keyasint,omitempty"`
	// Retry says that the request was sent before.
	Retry bool `cbor:"7,keyasint,omitempty"`
	// PromptTokens and Answer are the tokens of its prompt, and those that its answer is expected to have; 0 if that is not known.
	PromptTokens int `cbor:"8,keyasint,omitempty"`
	OutputTokens int `cbor:"9,keyasint,omitempty"`
	// FirstTokenBudgetMs is when the first part of its answer is to be there, from now on; 0 where nothing is lost by waiting longer.
	FirstTokenBudgetMs int64 `cbor:"10,keyasint,omitempty"`
	// Fingerprint is alike for all tries of one request; 0 if there is none.
	Fingerprint uint64 `cbor:"11,keyasint,omitempty"`
}

// Done ends a turn, or takes back a request that waits.
type Done struct {
	Key uint64 `cbor:"1,keyasint"`
	// Complete says that the answer was given to its end.
	Complete bool `cbor:"2,keyasint,omitempty"`
	// FirstTokenMs is what passed from the turn to the first part of the answer; 0 if none came.
	FirstTokenMs int64 `cbor:"3,keyasint,omitempty"`
}

// Config is the configuration as the operator wrote it.
type Config struct {
	Spec json.RawMessage `cbor:"1,keyasint"`
}

// ProbeResult says whether a server answered the follower.
type ProbeResult struct {
	Server   backend.ID `cbor:"1,keyasint"`
	Answered bool       `cbor:"2,keyasint,omitempty"`
	// Group is what it answered to be in.
	Group backend.GroupKey `cbor:"3,keyasint,omitempty"`
	// Serving says that it takes requests there.
	Serving bool `cbor:"4,keyasint,omitempty"`
}

// Down is what the leader sends. One of its fields is set.
type Down struct {
	Grant   *Grant   `cbor:"1,keyasint,omitempty"`
	Refusal *Refusal `cbor:"2,keyasint,omitempty"`
	Config  *Config  `cbor:"3,keyasint,omitempty"`
	// Renewal is the version of the lease, after each renewal.
	Renewal *Renewal `cbor:"4,keyasint,omitempty"`
	// Probe asks the follower whether it can reach a server.
	Probe *Probe `cbor:"5,keyasint,omitempty"`
	// ChangeSet are changes of a kind of objects.
	ChangeSet  *ChangeSet  `cbor:"6,keyasint,omitempty"`
	Quarantine *Quarantine `cbor:"8,keyasint,omitempty"`
	// Queued is the key of a request that waits for its turn; 0 for none.
	Queued uint64 `cbor:"9,keyasint,omitempty"`
	// Compressed is one of the above, compressed.
	Compressed []byte `cbor:"7,keyasint,omitempty"`
}

// Grant is a turn.
type Grant struct {
	Key  uint64     `cbor:"1,keyasint"`
	Head backend.ID `cbor:"2,keyasint"`
	// Revision is that of the leader's list of servers, and AgeMs how long ago that list was last known to be current, in milliseconds.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	AgeMs    int64  `cbor:"4,keyasint,omitempty"`
}

// Refusal turns a request away.
type Refusal struct {
	Key          uint64 `cbor:"1,keyasint"`
	Reason       string `cbor:"2,keyasint"`
	RetryAfterMs int64  `cbor:"3,keyasint"`
	Detail       string `cbor:"4,keyasint"`
}

// Renewal tells that the leader holds the lease, and which entries it hears from.
type Renewal struct {
	Version uint64 `cbor:"1,keyasint"`
	// Live are all entries that it hears from, for a follower that was not told yet; Joined and Left are those that changed since.
	// With hundreds of entries, all names at each change would be most of what the leader sends.
	Live   []string `cbor:"2,keyasint,omitempty"`
	Joined []string `cbor:"4,keyasint,omitempty"`
	Left   []string `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is that of the leader's configuration.
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"`
	// Settled says that the leader has been in charge for so long that an entry which it does not hear from is down.
	Settled bool `cbor:"6,keyasint,omitempty"`
	// Ages say how long ago the leader knew what it passes on to be current.
	Ages []Age `cbor:"7,keyasint,omitempty"`
}

// Age is how long ago, in milliseconds, a kind was known to be current.
type Age struct {
	Kind platform.Kind `cbor:"1,keyasint"`
	Ms   int64         `cbor:"2,keyasint,omitempty"`
}

// Probe is a question about a server.
type Probe struct {
	Server  backend.ID `cbor:"1,keyasint"`
	Address string     `cbor:"2,keyasint"`
}
