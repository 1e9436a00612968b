// Package vm describes backend VMs, the groups they form, and the placement of groups on the VMs of a
// fabric domain.
//
// A VM is in one fabric domain, and a fabric domain has one Placement object. The object lists each VM
// in at most one group (Placement.Check), and it changes only by conditional writes. That makes "no VM
// in two groups" true by construction, whoever writes.
package vm

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/domain"
)

// Name names a VM.
type Name string

// BootID changes each time the engine on a VM starts. A member that comes back under its old address
// with another boot id holds none of the state it was ordered to have.
type BootID string

// GroupID names a group. It is never reused: a new group gets a new id.
type GroupID string

// VM is one backend VM, as the platform lists it. The list lags.
type VM struct {
	Name Name `json:"name"`
	// Address is the engine's HTTP address, IP:port.
	Address  string          `json:"address"`
	Position domain.Position `json:"position"`
	// Accelerators counts the accelerators of the VM.
	Accelerators int `json:"accelerators"`
	// Service, if set, dedicates the VM to that service (plain services run on such VMs).
	Service string `json:"service,omitempty"`
	// Leaving says that the platform will take the VM away soon.
	Leaving bool `json:"leaving,omitempty"`
}

// List is the value of a platform object of kind "vms": the VMs of one fabric domain.
type List struct {
	VMs []VM `json:"vms"`
}

// GroupState is a state in the life of a group.
type GroupState string

// The life of a group: forming, loading, serving, draining; a dissolved group is no longer listed.
const (
	// Forming: the members are chosen and reserved; no order has been sent.
	Forming GroupState = "forming"
	// Loading: orders to load may have been sent.
	Loading GroupState = "loading"
	// Serving: the home may dispatch, as long as every member is present.
	Serving GroupState = "serving"
	// Draining: no new work; requests in progress finish; then the VMs are freed.
	Draining GroupState = "draining"
)

// Member is one VM of a group.
type Member struct {
	VM      Name   `json:"vm" cbor:"1,keyasint"`
	Address string `json:"address" cbor:"2,keyasint"`
	// BootID is the boot that was ordered into the group; empty while forming.
	BootID       BootID `json:"boot_id,omitempty" cbor:"3,keyasint,omitempty"`
	Accelerators int    `json:"accelerators" cbor:"4,keyasint"`
}

// Group is a replica: VMs of one fabric domain that serve a model together. Members[0] is the head,
// which takes the requests.
type Group struct {
	ID      GroupID `json:"id"`
	Service string  `json:"service"`
	Model   string  `json:"model"`
	// ModelVersion is the version the group was formed to load.
	ModelVersion string     `json:"model_version"`
	State        GroupState `json:"state"`
	Members      []Member   `json:"members"`
	// Epoch is the placement epoch at which this group was last ordered. Engines report it back, and
	// dispatches carry it.
	Epoch uint64 `json:"epoch"`
	// Fence is the fencing number of the group's current orders. It grows with every write of the
	// placement that causes an order.
	Fence uint64 `json:"fence"`
	// Reason says why the group is in its state, for the operator.
	Reason string `json:"reason,omitempty"`
	// Since is the wall clock time of entering the state, in Unix milliseconds; for display only.
	Since int64 `json:"since_ms,omitempty"`
	// NotWhole says that the controller found a member missing for long, so that the controllers of other
	// fabric domains may fill in. Homes don't read it: they look for themselves.
	NotWhole bool `json:"not_whole,omitempty"`
}

// Head is the member that takes the requests.
func (g *Group) Head() Member { return g.Members[0] }

// Accelerators is the sum over the members.
func (g *Group) Accelerators() int {
	sum := 0
	for _, m := range g.Members {
		sum += m.Accelerators
	}
	return sum
}

// Placement is the value of a platform object of kind "placement": all groups of a fabric domain.
type Placement struct {
	// Epoch grows by one each time another controller takes over.
	Epoch uint64 `json:"epoch"`
	// Controller is the entry that wrote last, and Incarnation the life of it that did.
	Controller  string `json:"controller"`
	Incarnation string `json:"incarnation"`
	// Nonce is the writer's own mark for this write: it tells a lost answer from a lost race.
	Nonce string `json:"nonce"`
	// Fence is the highest fencing number given out in the domain.
	Fence    uint64          `json:"fence"`
	Position domain.Position `json:"position"`
	// LiveVMs and LiveAccelerators count what the controller could use, so that the controllers of other
	// fabric domains can tell how much each can take.
	LiveVMs          int `json:"live_vms"`
	LiveAccelerators int `json:"live_accelerators"`
	// LiveByService splits LiveVMs by the service that a VM is dedicated to ("": none).
	LiveByService map[string]int `json:"live_by_service,omitempty"`
	Groups        []Group        `json:"groups"`
	// Aside lists VMs that were set aside as stragglers. No group is formed with them.
	Aside []SetAsideVM `json:"aside,omitempty"`
}

// SetAsideVM is a VM that is set aside until it has another boot id, or until the time is over.
type SetAsideVM struct {
	VM     Name   `json:"vm"`
	BootID BootID `json:"boot_id"`
	Reason string `json:"reason,omitempty"`
	// Until is a wall clock time in Unix milliseconds. A wrong clock costs a slow replica, no more.
	Until int64 `json:"until_ms"`
}

// ErrVMInTwoGroups and the errors below name broken invariants of a placement.
var (
	ErrVMInTwoGroups    = eris.New("placement lists a VM in two groups")
	ErrDuplicateGroupID = eris.New("placement lists a group id twice")
	ErrEmptyGroup       = eris.New("placement lists a group without members")
	ErrFenceAboveDomain = eris.New("a group's fencing number is above the domain's")
)

// Check returns the first broken invariant, or nil. A placement that fails it is never written.
func (p *Placement) Check() error {
	groups := make(map[GroupID]bool, len(p.Groups))
	taken := make(map[Name]GroupID)
	for _, g := range p.Groups {
		if groups[g.ID] {
			return eris.Wrapf(ErrDuplicateGroupID, "group %s", g.ID)
		}
		groups[g.ID] = true
		if len(g.Members) == 0 {
			return eris.Wrapf(ErrEmptyGroup, "group %s", g.ID)
		}
		if g.Fence > p.Fence {
			return eris.Wrapf(ErrFenceAboveDomain, "group %s", g.ID)
		}
		for _, m := range g.Members {
			if other, ok := taken[m.VM]; ok {
				return eris.Wrapf(ErrVMInTwoGroups, "VM %s in %s and %s", m.VM, other, g.ID)
			}
			taken[m.VM] = g.ID
		}
	}
	return nil
}

// Group returns the group with the given id, or nil. The pointer is into p.
func (p *Placement) Group(id GroupID) *Group {
	i := slices.IndexFunc(p.Groups, func(g Group) bool { return g.ID == id })
	if i < 0 {
		return nil
	}
	return &p.Groups[i]
}

// Clone returns a deep copy, so that a change which is not confirmed leaves the original as it was.
func (p *Placement) Clone() *Placement {
	copied := *p
	copied.Groups = slices.Clone(p.Groups)
	for i := range copied.Groups {
		copied.Groups[i].Members = slices.Clone(copied.Groups[i].Members)
	}
	copied.LiveByService = maps.Clone(copied.LiveByService)
	copied.Aside = slices.Clone(copied.Aside)
	return &copied
}
