// Package timeline records typed events as JSON lines, one file or stream per process, and merges them
// into one timeline of all processes.
//
// The clocks of VMs differ. Each event therefore carries a hybrid logical timestamp: the larger of the
// process's clock and the highest timestamp received in messages, so that an effect never sorts before
// its cause.
package timeline

// Kind is the type of an event.
type Kind string

// The kinds of events. The comments list the fields that are set besides Kind.
const (
	EntryStarted       Kind = "entry-started"       // Entry, Detail: incarnation
	EntryLeaving       Kind = "entry-leaving"       // Entry
	EntryStopped       Kind = "entry-stopped"       // Entry
	PeerSuspected      Kind = "peer-suspected"      // Peer
	PeerDead           Kind = "peer-dead"           // Peer
	PeerAlive          Kind = "peer-alive"          // Peer
	ProcessPaused      Kind = "process-paused"      // Millis
	SettingsInForce    Kind = "settings-in-force"   // Version
	SettingsAccepted   Kind = "settings-accepted"   // Version, Detail: change id
	DomainTaken        Kind = "domain-taken"        // Domain, Version
	PlacementWritten   Kind = "placement-written"   // Domain, Version
	GroupState         Kind = "group-state"         // Group, Service, Detail: state
	GroupWhole         Kind = "group-whole"         // Group, Service
	GroupNotWhole      Kind = "group-not-whole"     // Group, Service, VM, Detail: why
	DomainMeasured     Kind = "domain-measured"     // Domain, Detail: down groups by service, stranded accelerators
	OrderSent          Kind = "order-sent"          // VM, Group, Version: fence
	OrderRefused       Kind = "order-refused"       // VM, Group, Version: fence, Detail
	RequestAccepted    Kind = "request-accepted"    // Request, Team, Service
	RequestDispatched  Kind = "request-dispatched"  // Request, Group: front to home
	RequestQueued      Kind = "request-queued"      // Request, Group, Detail: load of the group at its home
	RequestRefused     Kind = "request-refused"     // Request, Group, Detail: code, and whether a claim is given up
	RequestClaimed     Kind = "request-claimed"     // Request
	ClaimUnconfirmed   Kind = "claim-unconfirmed"   // Request, Group, Detail: verdict
	HomeLost           Kind = "home-lost"           // Request, Group, Detail: how the front lost the home that it had dispatched to
	ClaimReleased      Kind = "claim-released"      // Request, Group
	ReleaseUnconfirmed Kind = "release-unconfirmed" // Request, Group, Detail: verdict
	RequestSealed      Kind = "request-sealed"      // Request
	SealUnconfirmed    Kind = "seal-unconfirmed"    // Request, Detail: verdict
	HolderAsked        Kind = "holder-asked"        // Request, Peer: holder of the claim, Detail: its answer
	RequestSent        Kind = "request-sent"        // Request, Group, VM: home to engine
	RequestOutcome     Kind = "request-outcome"     // Request, Detail: outcome and code
	BackendCrashed     Kind = "backend-crashed"     // Request, Service, Group, Detail: the crash's name
	BreakUnexplained   Kind = "break-unexplained"   // Request, Service, Group, Detail: why no crash was found
	QuarantineUnsaved  Kind = "quarantine-unsaved"  // Request, Service, Detail: why the platform did not take it
	RequestQuarantine  Kind = "request-quarantine"  // Request, Service, Detail: fingerprint
)

// Event is one entry of the timeline.
type Event struct {
	// Time is the hybrid logical timestamp in Unix nanoseconds. It is above that of every earlier event of
	// the process and of every message that the process has received.
	Time int64 `json:"time"`
	// Process names the process that recorded the event, and Seq numbers its events from 1.
	Process string `json:"process"`
	Seq     uint64 `json:"seq"`
	Kind    Kind   `json:"kind"`
	Entry   string `json:"entry,omitempty"`
	Peer    string `json:"peer,omitempty"`
	Request string `json:"request,omitempty"`
	Team    string `json:"team,omitempty"`
	Service string `json:"service,omitempty"`
	Group   string `json:"group,omitempty"`
	VM      string `json:"vm,omitempty"`
	Domain  string `json:"domain,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Millis  int64  `json:"millis,omitempty"`
	Detail  string `json:"detail,omitempty"`
}
