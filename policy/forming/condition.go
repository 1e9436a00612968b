package forming

import (
	"fmt"
	"time"
)

// This file answers the fault pattern of members that die, pause, restart under the same address or
// obey an order of an older controller. A silence alone does not tell a pause of seconds from a death;
// everything else is certain at once, since the member says it itself.

// Bounds of patience.
const (
	// SilenceGrace is how long a silent member is waited for before it is replaced. Pauses of a VM (live
	// migration, a stop-the-world collection) last up to some seconds, while replacing costs a load of a
	// minute or more: ten seconds more downtime on a death, against a whole load saved on a pause.
	SilenceGrace = 10 * time.Second
	// CorrelatedSilenceGrace is the patience when many VMs of the domain are silent at once. VMs do not die by the
	// dozen independently: it is the network or the power, the members keep their state if it is the
	// network, and loading all of them anew under the pace of loads takes far longer than this.
	CorrelatedSilenceGrace = 60 * time.Second
	// CorrelatedSilenceShare is the share of silent VMs that counts as many. Of a fleet of 2,520 VMs, 14 a day fail for
	// hours and 360 restart in minutes, so that about one in a thousand is away at a time: a third of a
	// domain at once has a common cause.
	CorrelatedSilenceShare = 1.0 / 3
	// UnlistedGrace is how long a member may be missing from the list, which lags, while it still answers.
	UnlistedGrace = 30 * time.Second
	// LoadTimeout is when a load counts as failed. The largest weights load in a few minutes at the
	// store's rate; orders that were lost are repeated long before.
	LoadTimeout = 15 * time.Minute
	// HomeCutOffGrace is how long a home may call a group not whole in which nothing is wrong, as when the way from
	// there to a member is cut, before the group is formed anew: under another id, and so most likely with
	// another home. Links are switched over within seconds, and forming anew costs a load. One at a time in
	// a domain: were homes blind for being overloaded, draining all their groups would make it worse.
	HomeCutOffGrace = 30 * time.Second
	// ReleaseTimeout is how long a member may take to confirm that it left a drained group.
	ReleaseTimeout = 5 * time.Second
	// RemovedServiceDrainTimeout bounds the drain of a group whose service is no longer in the settings.
	RemovedServiceDrainTimeout = 10 * time.Minute
)

// fault says what is wrong with a member.
type fault int

const (
	faultNone fault = iota
	// faultPaused: silent, but not for long enough to act.
	faultPaused
	// faultSilent: silent beyond the grace; it may come back with its state.
	faultSilent
	// faultGone: silent and no longer listed.
	faultGone
	// faultStateLost: it answers, and has not the state that it was ordered to have.
	faultStateLost
	// faultLeaving: announced to leave.
	faultLeaving
)

func (f fault) String() string {
	return [...]string{"present", "silent for a moment", "silent", "gone", "lost its state", "leaving"}[f]
}

// condition is the worst fault among a group's members.
type condition struct {
	worst fault
	vm    string
	// leaving says that some member leaves, whatever the worst is.
	leaving bool
}

func (c condition) reason() string { return fmt.Sprintf("%s %s", c.vm, c.worst) }

// broken says that the group can't serve and should be repaired.
func (c condition) broken() bool {
	return c.worst == faultSilent || c.memberLost()
}

// memberLost says that a member will not come back with the state that the group needs.
func (c condition) memberLost() bool { return c.worst == faultGone || c.worst == faultStateLost }

// unrecoverable says that the group will not be whole again as it is: what is silent may come back, but by then
// another member has left.
func (c condition) unrecoverable() bool { return c.memberLost() || c.worst == faultSilent && c.leaving }

func (p *planner) condition(g *Group) condition {
	worst := condition{}
	leaving := condition{}
	for _, m := range g.Members {
		if v := p.vms[m.VM]; v.departing() {
			leaving = condition{worst: faultLeaving, vm: m.VM}
		}
		f := p.memberFault(g, m)
		if severity(f) > severity(worst.worst) {
			worst = condition{worst: f, vm: m.VM}
		}
	}
	if g.HomeWhole && (worst.worst == faultPaused || worst.worst == faultSilent) {
		return leaving
	}
	worst.leaving = leaving.vm != ""
	return worst
}

// departing says that the VM will be taken away, whether or not it answers.
func (v VM) departing() bool { return v.Leaving || v.UnlistedFor >= UnlistedGrace }

// severity orders faults by how much they decide: a member that is lost for good outweighs one that leaves,
// since there is nothing left to drain.
func severity(f fault) int {
	return [...]int{faultNone: 0, faultPaused: 1, faultLeaving: 2, faultSilent: 3, faultGone: 4, faultStateLost: 5}[f]
}

func (p *planner) memberFault(g *Group, m Member) fault {
	v, ok := p.vms[m.VM]
	switch {
	case !ok:
		return faultGone
	case !v.Responding && !v.Listed && v.SilentFor >= SilenceGrace:
		return faultGone
	case !v.Responding && v.SilentFor >= p.silenceGrace:
		return faultSilent
	case !v.Responding:
		return faultPaused
	case g.State != Forming && v.BootID != m.BootID:
		return faultStateLost
	case g.State == Serving && (v.Group != g.ID || v.Epoch != g.Epoch || !v.Ready):
		return faultStateLost
	case v.departing():
		return faultLeaving
	}
	return faultNone
}

// whole says that every member has joined the group and is ready.
func (p *planner) whole(g *Group) bool { return isWhole(p.view.VMs, g) }

func isWhole(vms []VM, g *Group) bool {
	for _, m := range g.Members {
		v := findVM(vms, m.VM)
		if !v.Responding || v.BootID != m.BootID || v.Group != g.ID || v.Epoch != g.Epoch || !v.Ready {
			return false
		}
	}
	return true
}

func findVM(vms []VM, name string) VM {
	for _, v := range vms {
		if v.Name == name {
			return v
		}
	}
	return VM{}
}

// isServing says that the group does a replica's work, as far as is known. What its home calls not whole gets
// no work, whatever the members say to others.
func (p *planner) isServing(g *Group) bool {
	return g.State == Serving && !g.HomeNotWhole && (g.HomeWhole || p.whole(g))
}

func silenceGraceFor(v *View) time.Duration {
	listed, silent := 0, 0
	for _, vm := range v.VMs {
		if !vm.Listed {
			continue
		}
		listed++
		if !vm.Responding {
			silent++
		}
	}
	if silent > 1 && float64(silent) >= CorrelatedSilenceShare*float64(listed) {
		return CorrelatedSilenceGrace
	}
	return SilenceGrace
}
