// Package vm describes backend VMs, the groups they form, and the placement of groups on the VMs of a
// fabric domain.
//
// A VM is in one fabric domain, and a fabric domain has one Placement object. The object lists each VM
// in at most one group (Placement.Check), and it changes only by conditional writes. Together these
// guarantee that no VM is in two groups, even with concurrent writers.
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

// GroupID identifies a group. It is never reused: a new group gets a new id.
type GroupID string

// VM is one backend VM, as the platform lists it. The list may be out of date.
type VM struct {
	Name Name `json:"name"`
	// Address is the engine's HTTP address, IP:port.
	Address  string          `json:"address"`
	Position domain.Position `json:"position"`
	// Accelerators counts the accelerators of the VM.
	Accelerators int `json:"accelerators"`
	// Service, if set, dedicates the VM to that service (plain services run on such VMs).
	Service string `json:"service,omitempty"`
	// Leaving says that the platform will soon remove the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// List is the value of a platform object of kind "vms": the VMs of one fabric domain.
type List struct {
	VMs []VM `json:"vms"`
}

// GroupState is a state in the life cycle of a group.
type GroupState string

// The states of a group, in the order in which it passes through them. A dissolved group is no longer listed.
const (
	// Forming: the members are chosen and reserved; no order has been sent.
	Forming GroupState = "forming"
	// Loading: orders to load may have been sent.
	Loading GroupState = "loading"
	// Serving: the home may dispatch requests, as long as every member is present.
	Serving GroupState = "serving"
	// Draining: the group takes no new requests; once those in progress have finished, its VMs are freed.
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
	// ModelVersion is the version of the model that the group was formed to load.
	ModelVersion string     `json:"model_version"`
	State        GroupState `json:"state"`
	Members      []Member   `json:"members"`
	// Epoch is the placement epoch of the last orders to this group. Engines report it back, and dispatched
	// requests carry it.
	Epoch uint64 `json:"epoch"`
	// Fence is the fencing number of the group's current orders. It grows with every write of the
	// placement that causes an order.
	Fence uint64 `json:"fence"`
	// Reason says why the group is in its state, for the operator.
	Reason string `json:"reason,omitempty"`
	// Since is the wall clock time of entering the state, in Unix milliseconds; for display only.
	Since int64 `json:"since_ms,omitempty"`
	// NotWhole says that the controller has found a member absent for a long time, so that the controllers of
	// other fabric domains may form a replacement. Homes ignore it: they use their own probes.
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
	// Epoch is incremented each time another controller takes over.
	Epoch uint64 `json:"epoch"`
	// Controller is the entry that wrote last, and Incarnation identifies the run of that entry's process.
	Controller  string `json:"controller"`
	Incarnation string `json:"incarnation"`
	// Nonce is unique to this write. With it a writer that received no answer, or a conflict, can tell whether
	// its own write took effect or another writer's.
	Nonce string `json:"nonce"`
	// Fence is the highest fencing number issued in the fabric domain.
	Fence    uint64          `json:"fence"`
	Position domain.Position `json:"position"`
	// LiveVMs and LiveAccelerators count the resources that the controller could use, so that the controllers
	// of other fabric domains know the capacity of this one.
	LiveVMs          int `json:"live_vms"`
	LiveAccelerators int `json:"live_accelerators"`
	// LiveByService is LiveVMs by the service that the VMs are dedicated to ("": none).
	LiveByService map[string]int `json:"live_by_service,omitempty"`
	Groups        []Group        `json:"groups"`
	// Aside lists VMs that were set aside because they are slow. No group is formed with them.
	Aside []SetAsideVM `json:"aside,omitempty"`
}

// SetAsideVM is a VM that is set aside until its boot id changes or Until has passed.
type SetAsideVM struct {
	VM     Name   `json:"vm"`
	BootID BootID `json:"boot_id"`
	Reason string `json:"reason,omitempty"`
	// Until is a wall clock time in Unix milliseconds. A wrong clock has no worse effect than a slow replica.
	Until int64 `json:"until_ms"`
}

// The violated invariants that Placement.Check reports.
var (
	ErrVMInTwoGroups    = eris.New("placement lists a VM in two groups")
	ErrDuplicateGroupID = eris.New("placement lists a group id twice")
	ErrEmptyGroup       = eris.New("placement lists a group without members")
	ErrFenceAboveDomain = eris.New("a group's fencing number is above the domain's")
)

// Check returns the first violated invariant, or nil. A placement that fails the check is never written.
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

// Clone returns a deep copy, so that a change whose write is not confirmed leaves the original unmodified.
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
