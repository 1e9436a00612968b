package forming

import (
	"fmt"
	"time"
)

// Failure detection for group members: VMs that die, pause, restart under the same address, or act on the
// order of an older controller. Silence alone does not distinguish a pause of seconds from a death, so it
// is subject to a grace period. All other faults are reported by the member itself and take effect at once.

// Grace periods and timeouts.
const (
	// SilenceGrace is how long a member may be silent before it is replaced. Pauses of a VM (live
	// migration, stop-the-world garbage collection) last up to some seconds, while a replacement costs a
	// load of a minute or more. The grace period adds ten seconds of downtime to a death and saves a whole
	// load on a pause.
	SilenceGrace = 10 * time.Second
	// CorrelatedSilenceGrace replaces SilenceGrace while many VMs of the domain are silent at once. Dozens
	// of VMs do not fail independently at the same time, so the cause is the network or the power. After a
	// network failure the members still hold their state, and reloading all of them at the allowed load
	// rate takes far longer than this.
	CorrelatedSilenceGrace = 60 * time.Second
	// CorrelatedSilenceShare is the share of the listed VMs whose silence indicates a common cause. In a
	// fleet of 2,520 VMs, 14 a day fail for hours and 360 restart within minutes, so about one VM in a
	// thousand is away at any time; a third of a domain at once is not coincidence.
	CorrelatedSilenceShare = 1.0 / 3
	// UnlistedGrace is how long a member that still answers may be missing from the platform's VM list,
	// which lags.
	UnlistedGrace = 30 * time.Second
	// LoadTimeout is the time after which a load has failed. The largest weights load in a few minutes at
	// the rate of the weight store, and lost load orders are repeated long before the timeout.
	LoadTimeout = 15 * time.Minute
	// HomeCutOffGrace is how long the home of a group may report it as not whole although every member is
	// ready, for example because the network path between the home and a member is cut. After that the
	// group is drained and formed again under another ID, which most likely maps to another home. Links
	// fail over within seconds, and forming a group again costs a load. Only one group of a domain is
	// drained at a time: if homes reported this because they were overloaded, draining all their groups
	// would make it worse.
	HomeCutOffGrace = 30 * time.Second
	// ReleaseTimeout is how long a member may take to confirm that it left a drained group.
	ReleaseTimeout = 5 * time.Second
	// RemovedServiceDrainTimeout limits the drain of a group whose service is no longer in the settings.
	RemovedServiceDrainTimeout = 10 * time.Minute
)

// fault is the kind of fault of a group member.
type fault int

const (
	faultNone fault = iota
	// faultPaused: silent for less than the grace period; no action yet.
	faultPaused
	// faultSilent: silent for longer than the grace period. The member may still return with its state.
	faultSilent
	// faultGone: silent for SilenceGrace or longer and no longer listed by the platform, or not in the view
	// at all.
	faultGone
	// faultStateLost: it answers, but has restarted or no longer holds the state that it was ordered to
	// hold.
	faultStateLost
	// faultLeaving: its removal is announced, or the platform has not listed it for UnlistedGrace.
	faultLeaving
)

func (f fault) String() string {
	return [...]string{"present", "silent for a moment", "silent", "gone", "lost its state", "leaving"}[f]
}

// condition is the worst fault among the members of a group, and the member that has it.
type condition struct {
	worst fault
	vm    string
	// leaving is set if any member is leaving, even if another fault is worse.
	leaving bool
}

func (c condition) reason() string { return fmt.Sprintf("%s %s", c.vm, c.worst) }

// broken reports whether the group can't serve and needs repair.
func (c condition) broken() bool {
	return c.worst == faultSilent || c.memberLost()
}

// memberLost reports whether a member will not return with the state that the group needs.
func (c condition) memberLost() bool { return c.worst == faultGone || c.worst == faultStateLost }

// unrecoverable reports whether the group can't become whole again. A silent member may return, but not in
// time if another member is leaving.
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

// departing reports whether the VM will be removed, whether or not it still answers.
func (v VM) departing() bool { return v.Leaving || v.UnlistedFor >= UnlistedGrace }

// severity orders faults for picking the worst one. A member that is lost outweighs one that is leaving,
// because a group with a lost member has nothing left to drain.
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

// whole reports whether every member has joined the group and is ready.
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

// isServing reports whether the group serves requests as a replica, as far as is known. A group that its
// home reports as not whole gets no requests, even if its members answer the controller.
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
