package member

import (
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// State says what an entry is held to be.
type State uint8

// The states, in the order in which one replaces another at the same counter.
const (
	Alive State = iota + 1
	Suspect
	Dead
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "none"
	}
}

// Status is what entries tell each other about the liveness of one of them.
type Status struct {
	Name string `cbor:"1,keyasint"`
	// Incarnation is the random mark of a process; Generation is the platform's version of the object
	// that announced it, which tells an older process from a newer one of the same name.
	Incarnation string `cbor:"2,keyasint"`
	Generation  uint64 `cbor:"3,keyasint"`
	// Counter grows only by the entry itself: it refutes a suspicion by one more than the suspicion's.
	Counter uint64 `cbor:"4,keyasint"`
	State   State  `cbor:"5,keyasint"`
	// Leaving is set by the entry itself and stays set for the life of the process.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Overloaded is set and unset by the entry itself.
	Overloaded bool `cbor:"7,keyasint,omitempty"`
}

// supersedes reports whether a replaces b, both of one name. It is a strict order within a process, and
// between processes it is decided by the platform's version: two entries that have seen the same
// statuses, in whatever order, hold the same one.
func supersedes(a, b Status) bool {
	if a.Incarnation != b.Incarnation {
		return a.Generation > b.Generation
	}
	if a.Counter != b.Counter {
		return a.Counter > b.Counter
	}
	return a.State > b.State
}

// profile is a status together with all that a stranger needs to reach the entry.
type profile struct {
	Status        Status `cbor:"1,keyasint"`
	PublicAddress string `cbor:"2,keyasint"`
	PeerAddress   string `cbor:"3,keyasint"`
	AdminAddress  string `cbor:"4,keyasint"`
	Place         string `cbor:"5,keyasint"`
	FailureDomain string `cbor:"6,keyasint"`
	Fingerprint   string `cbor:"7,keyasint"`
}

func profileOf(status Status, e platform.Entry) *profile {
	return &profile{
		Status:        status,
		PublicAddress: e.PublicAddress,
		PeerAddress:   e.PeerAddress,
		AdminAddress:  e.AdminAddress,
		Place:         e.Place,
		FailureDomain: e.FailureDomain,
		Fingerprint:   e.Fingerprint,
	}
}

func (p *profile) entry() platform.Entry {
	return platform.Entry{
		Name:          p.Status.Name,
		PublicAddress: p.PublicAddress,
		PeerAddress:   p.PeerAddress,
		AdminAddress:  p.AdminAddress,
		Place:         p.Place,
		FailureDomain: p.FailureDomain,
		Incarnation:   p.Status.Incarnation,
		Fingerprint:   p.Fingerprint,
	}
}

// Peer is an entry as Live and Peers return it.
type Peer struct {
	platform.Entry
	State State
	// Self marks the entry that answers.
	Self bool
	// Unreachable says that this entry's own pings fail although others reach the peer: a one-way or
	// partial cut.
	Unreachable bool
	// Overloaded says that the entry asks to be left out of what callers are told.
	Overloaded bool
}
