// Package forming decides, for one fabric domain, which groups of VMs to form, load, serve with, drain
// and dissolve.
//
// The fault pattern: single VMs die, pause for seconds, restart under the same address or are announced
// to leave, many times a day over a fleet; a rack or a whole fabric domain goes dark a few times a year.
// Each group needs all of its VMs, so each of these takes a replica away. Two costs are weighed: a wanted
// group that does not serve (downtime), and accelerators that are live but in no serving group
// (stranded). Acting on every silence trades a pause of seconds for a load of minutes; never acting
// strands the survivors.
//
// Decide is a pure function of a View. A controller applies the Steps of its Plan in one conditional
// write. All steps are safe to repeat or to lose: the next View shows what came of them.
package forming

import "time"

// State is a state in the life of a group.
type State string

// The states, in order of a group's life.
const (
	Forming  State = "forming"
	Loading  State = "loading"
	Serving  State = "serving"
	Draining State = "draining"
)

// Service is what the settings want of one service.
type Service struct {
	Name string
	// Version names model and version: a group of another version is to be replaced.
	Version   string
	GroupSize int
	Replicas  int
	// Spares is the least number of VMs kept free over all fabric domains, rather than formed into extra groups.
	Spares int
	// Dedicated services run only on VMs that are dedicated to them.
	Dedicated bool
	// DowntimeWeight is the cost of a second of a missing replica, StrandedWeight that of an
	// accelerator-second outside any serving group.
	DowntimeWeight float64
	StrandedWeight float64
	// LoadsPerMinute bounds how many members start to load; 0: no bound.
	LoadsPerMinute int
	DrainTimeout   time.Duration
}

// wantsExtraGroups says that groups beyond the wanted ones are of use: a service that weighs neither a missing
// replica nor an idle accelerator gets exactly what it asks for.
func (s Service) wantsExtraGroups() bool { return s.DowntimeWeight > 0 || s.StrandedWeight > 0 }

// VM is one VM of the fabric domain, as listed and as it was seen.
type VM struct {
	Name         string
	Accelerators int
	// DedicatedTo is what the VM is dedicated to, or empty.
	DedicatedTo string
	// Listed says that the platform lists the VM. A member that is not listed is given too.
	Listed bool
	// Leaving: announced by the list or by the VM itself.
	Leaving bool
	// Aside: set aside as a straggler.
	Aside bool
	// Responding says that a recent probe was answered; the next fields are from that answer.
	Responding bool
	BootID     string
	Group      string
	Epoch      uint64
	Ready      bool
	// Running is how many requests its engine reports at work.
	Running int
	// StepTime is the VM's own share of a decoding step; 0: not known.
	StepTime time.Duration

	// SilentFor, UnlistedFor and Restarts are filled in by a Tracker.
	SilentFor   time.Duration
	UnlistedFor time.Duration
	Restarts    int
}

// usable says that a group may be formed with the VM.
func (v VM) usable() bool { return v.Listed && v.Responding && !v.Leaving && !v.Aside }

// Member is one VM of a group, with the boot that was ordered into it (empty while forming).
type Member struct {
	VM     string
	BootID string
}

// Group is one group as the placement holds it, and what is known of it.
type Group struct {
	ID      string
	Service string
	Version string
	State   State
	Members []Member
	// Size is how many members it has, for groups of other domains, which are without Members; 0: not known.
	Size  int
	Epoch uint64
	// NotWhole is what the placement says of a group whose member is missing for long. It is how the
	// controllers of other fabric domains learn of it.
	NotWhole bool
	// HomeWhole says that the group's home reported it whole a moment ago. It outweighs the controller's
	// own silent probes: the controller may be the one that is cut off.
	HomeWhole bool
	// HomeNotWhole says that the group's home reported it not whole a moment ago: it gives it no work.
	HomeNotWhole bool
	// InProgress counts the requests that the home has at work; Known says that it reported.
	InProgress   int
	HomeReported bool
	// TokenGap is the time between tokens that the home measures; 0: not known.
	TokenGap time.Duration

	// What follows is filled in by a Tracker. BlindFor is for how long the home has called a group not whole
	// whose members are all as they should be.
	InState       time.Duration
	SlowFor       time.Duration
	HomeCutOffFor time.Duration
}

// countsAsReplica says that the group is, or is on the way to be, a replica.
func (g Group) countsAsReplica() bool { return g.State != Draining && !g.NotWhole }

// size returns the number of members, or 0 if it is not known.
func (g Group) size() int { return max(g.Size, len(g.Members)) }

// outdated says that the group is another than s wants now, and is to be replaced.
func (g Group) outdated(s Service) bool {
	return g.Version != s.Version || g.size() != 0 && g.size() != s.GroupSize
}

// Domain is what another fabric domain reports through its placement.
type Domain struct {
	Name string
	// Live counts the usable VMs by the service that they are dedicated to (empty: any).
	Live map[string]int
	// Groups are without Members.
	Groups []Group
}

// View is all that a decision sees.
type View struct {
	// Domain names the fabric domain that is decided for.
	Domain   string
	Services []Service
	VMs      []VM
	Groups   []Group
	// Others are the other fabric domains of the place.
	Others []Domain
	// LoadAllowed says that the pace of loads allows one more now (see Pacer).
	LoadAllowed bool
}

// StepKind is a kind of step.
type StepKind string

// The steps.
const (
	// StepForm: write a new group of Members in state forming.
	StepForm StepKind = "form"
	// StepLoad: write Group as loading, then order its members to load.
	StepLoad StepKind = "load"
	// StepServe: write Group as serving.
	StepServe StepKind = "serve"
	// StepDrain: write Group as draining. VM, if set, is set aside.
	StepDrain StepKind = "drain"
	// StepRelease: order the members of Group, which is drained, to leave it. Nothing is written.
	StepRelease StepKind = "release"
	// StepDissolve: write the placement without Group; its VMs are free. VM, if set, is set aside.
	StepDissolve StepKind = "dissolve"
	// StepMark: write Group with NotWhole as given by Step.NotWhole.
	StepMark StepKind = "mark"
)

// Step is one step to take.
type Step struct {
	Kind     StepKind
	Group    string
	Service  string
	Version  string
	Members  []string
	VM       string
	NotWhole bool
	Reason   string
}

// Plan is what to do now.
type Plan struct {
	// Steps are to be applied together, in order.
	Steps []Step
	// Targets is how many groups of each service this fabric domain should hold.
	Targets map[string]int
	// DownGroups counts the wanted groups of this domain that do not serve, and Stranded the accelerators
	// that are live but in no serving group.
	DownGroups           map[string]int
	StrandedAccelerators int
	// Live counts, by dedication, the VMs that the domain reports to the others.
	Live map[string]int
	// BlockedReasons says, by service, why something wanted is not done.
	BlockedReasons map[string]string
	// Unplaced counts, by service, the wanted groups that no fabric domain of the place has room for. Only the
	// first domain by name reports them.
	Unplaced map[string]int
}
