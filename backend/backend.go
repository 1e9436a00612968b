// Package backend describes backend servers as they register themselves: where they listen, whether they are leaving,
// and the group of VMs that each belongs to.
package backend

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/skylarkpond/skylarkpond/domain"
)

// ID names one backend server. A server that starts again may keep its id; StartedAtMillis then differs.
type ID string

// GroupState is the state of a group, as one member reports it.
type GroupState string

// The states of a member's group.
const (
	// GroupNone: the VM is in no group.
	GroupNone GroupState = ""
	// GroupJoining: the member is loading its part of the model.
	GroupJoining GroupState = "joining"
	// GroupReady: the member has its part.
	GroupReady GroupState = "ready"
	// GroupOpen: the head takes requests. Only heads report it.
	GroupOpen GroupState = "open"
	// GroupClosing: the head finishes what it has and takes nothing new.
	GroupClosing GroupState = "closing"
	// GroupBroken: the head has found a member missing.
	GroupBroken GroupState = "broken"
)

// Serving says whether a head in this state may still be running requests.
func (s GroupState) Serving() bool { return s == GroupOpen || s == GroupClosing }

// GroupKey tells one formation of a group from every other. Neither part is ever used again with other members.
type GroupKey struct {
	Name  string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// String is for logs.
func (k GroupKey) String() string { return k.Name + "@" + strconv.FormatUint(k.Epoch, 10) }

// Membership is what a VM says of its group.
type Membership struct {
	GroupKey
	// Rank is 0 for the head.
	Rank  int        `cbor:"3,keyasint,omitempty"`
	State GroupState `cbor:"4,keyasint"`
}

// Server is one backend server as registered. Its encoding is what entries tell each other.
type Server struct {
	ID            ID                   `cbor:"1,keyasint"`
	Service       string               `cbor:"2,keyasint"`
	Address       string               `cbor:"3,keyasint"`
	FailureDomain domain.FailureDomain `cbor:"4,keyasint"`
	// Fabric is the fabric domain; groups of VMs in different ones are slow.
	Fabric domain.FabricDomain `cbor:"5,keyasint,omitempty"`
	Slots  int                 `cbor:"6,keyasint"`
	// Leaving servers take no new work.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// StartedAtMillis is the start of this life, in Unix milliseconds; 0 where the platform does not tell.
	StartedAtMillis int64 `cbor:"8,keyasint,omitempty"`
	// Staged are the models whose weights lie on the host.
	Staged []string `cbor:"9,keyasint,omitempty"`
	// Model is the one that the VM has loaded.
	Model string     `cbor:"10,keyasint,omitempty"`
	Group Membership `cbor:"11,keyasint,omitzero"`
	// Revision is the platform's revision of this registration.
	Revision uint64 `cbor:"12,keyasint"`
}

// HasStaged says whether the weights of a model lie on the VM's host.
func (s *Server) HasStaged(model string) bool { return slices.Contains(s.Staged, model) }

// Listing is a consistent view of all registered servers. It is never changed once made.
type Listing struct {
	Revision  uint64
	Servers   map[ID]*Server
	ByService map[string][]*Server
}

// NewListing indexes servers. Each service's servers are in the order of their ids.
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
