package member

import (
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// State is the liveness of an entry as another entry sees it.
type State uint8

// At equal counters, a later state in this list replaces an earlier one.
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

// Status is the liveness of one entry, as gossiped between entries.
type Status struct {
	Name string `cbor:"1,keyasint"`
	// Incarnation is a random identifier of the process. Generation is the platform's version of the
	// object that announced it, which orders processes of the same name.
	Incarnation string `cbor:"2,keyasint"`
	Generation  uint64 `cbor:"3,keyasint"`
	// Counter is increased only by the entry itself. To refute a suspicion, the entry sets it to one
	// more than the suspicion's.
	Counter uint64 `cbor:"4,keyasint"`
	State   State  `cbor:"5,keyasint"`
	// Leaving is set by the entry itself and stays set for the life of the process.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Overloaded is set and cleared by the entry itself.
	Overloaded bool `cbor:"7,keyasint,omitempty"`
	// Joining is set and cleared by the entry itself.
	Joining bool `cbor:"8,keyasint,omitempty"`
}

// supersedes reports whether a replaces b, where both have the same name. Statuses of one process are
// strictly ordered by counter and state; processes are ordered by the platform's version. Entries that
// have seen the same statuses, in whatever order, thus hold the same one.
func supersedes(a, b Status) bool {
	if a.Incarnation != b.Incarnation {
		return a.Generation > b.Generation
	}
	if a.Counter != b.Counter {
		return a.Counter > b.Counter
	}
	return a.State > b.State
}

// profile is a status together with everything needed to reach the entry.
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

// Peer is an entry as returned by Live and Peers.
type Peer struct {
	platform.Entry
	State State
	// Self marks the local entry.
	Self bool
	// Unreachable is set when pings from this entry fail although other entries reach the peer: a
	// one-way or partial cut.
	Unreachable bool
	// Overloaded is set when the entry asks that callers not be sent to it.
	Overloaded bool
	// Joining is set while the entry asks not to be made the home of groups.
	Joining bool
}
