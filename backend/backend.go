// Package backend describes backend servers as they register themselves: their addresses, whether they are leaving,
// and the group of VMs that each belongs to.
package backend

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/skylarkpond/skylarkpond/domain"
)

// ID identifies a backend server. A server that restarts may keep its id; its StartedAtMillis then differs.
type ID string

// GroupState is the state of a group, as one member reports it.
type GroupState string

// The states of a member's group.
const (
	// GroupNone: the VM is in no group.
	GroupNone GroupState = ""
	// GroupJoining: the member is loading its part of the model.
	GroupJoining GroupState = "joining"
	// GroupReady: the member has loaded its part.
	GroupReady GroupState = "ready"
	// GroupOpen: the head accepts requests. Only heads report it.
	GroupOpen GroupState = "open"
	// GroupClosing: the head finishes its requests and accepts no new ones.
	GroupClosing GroupState = "closing"
	// GroupBroken: the head has detected that a member is missing.
	GroupBroken GroupState = "broken"
)

// Serving reports whether a head in this state may be running requests.
func (s GroupState) Serving() bool { return s == GroupOpen || s == GroupClosing }

// GroupKey identifies one formation of a group. Neither part is ever reused with other members.
type GroupKey struct {
	Name  string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// String returns the key as it is written in logs.
func (k GroupKey) String() string { return k.Name + "@" + strconv.FormatUint(k.Epoch, 10) }

// Membership is the membership of a VM in a group, as the VM reports it.
type Membership struct {
	GroupKey
	// Rank is 0 for the head.
	Rank  int        `cbor:"3,keyasint,omitempty"`
	State GroupState `cbor:"4,keyasint"`
}

// Server is one registered backend server. Entries exchange it in this encoding.
type Server struct {
	ID            ID                   `cbor:"1,keyasint"`
	Service       string               `cbor:"2,keyasint"`
	Address       string               `cbor:"3,keyasint"`
	FailureDomain domain.FailureDomain `cbor:"4,keyasint"`
	// Fabric is the fabric domain. A group whose VMs are in different fabric domains is slow.
	Fabric domain.FabricDomain `cbor:"5,keyasint,omitempty"`
	Slots  int                 `cbor:"6,keyasint"`
	// Leaving says that the server accepts no new work.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// StartedAtMillis is when the server last started, in Unix milliseconds; 0 if the platform does not report it.
	StartedAtMillis int64 `cbor:"8,keyasint,omitempty"`
	// Staged lists the models whose weights are stored on the host.
	Staged []string `cbor:"9,keyasint,omitempty"`
	// Model is the model that the VM has loaded.
	Model string     `cbor:"10,keyasint,omitempty"`
	Group Membership `cbor:"11,keyasint,omitzero"`
	// Revision is the platform's revision of this registration.
	Revision uint64 `cbor:"12,keyasint"`
	// ColdFor is how much longer the server takes few requests, as of the registration; ColdUnknown if that can't be read.
	ColdFor time.Duration `cbor:"13,keyasint,omitempty"`
}

// ColdUnknown is a ColdFor that can't be read: the server may be cold for as long as its service's servers are after their start.
const ColdUnknown time.Duration = -1

// HasStaged reports whether the weights of a model are stored on the VM's host.
func (s *Server) HasStaged(model string) bool { return slices.Contains(s.Staged, model) }

// Routable reports whether callers' requests may be sent to the server: it belongs to a plain service, or is the head of a group that
// serves.
func (s *Server) Routable() bool { return s.Fabric == "" || s.Group.State.Serving() }

// Listing is a consistent snapshot of the registered servers. It is immutable.
type Listing struct {
	Revision uint64
	// RoutableOnly reports that the listing holds only the routable servers, and of each group only its head.
	RoutableOnly bool
	Servers      map[ID]*Server
	ByService    map[string][]*Server
}

// NewListing indexes servers by service. The servers of each service are sorted by id.
func NewListing(revision uint64, servers map[ID]*Server) *Listing {
	l := &Listing{Revision: revision, Servers: servers, ByService: make(map[string][]*Server)}
	for _, server := range servers {
		l.ByService[server.Service] = append(l.ByService[server.Service], server)
	}
	for _, list := range l.ByService {
		slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return l
}
