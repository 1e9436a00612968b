// Package forming decides, for one fabric domain, which groups of VMs to form, load, serve with, drain and
// dissolve.
//
// A group is a set of VMs of one fabric domain that together run one replica of a service. Its home is the
// entry that queues the group's requests and sends them to its backend servers; it also limits how many are
// in progress. A controller runs each fabric domain of a place and publishes its groups in a placement,
// which the controllers of the other domains read.
//
// Single VMs die, pause for seconds, restart under the same address or are announced to leave, many times a
// day over a fleet; a rack or a whole fabric domain goes dark a few times a year. A group needs all of its
// VMs, so each of these events takes a replica away. Two costs are weighed: wanted groups that do not serve
// (downtime), and accelerators of live VMs that are in no serving group (stranded). Acting on every silence
// turns a pause of seconds into a load of minutes; never acting strands the remaining members.
//
// Decide is a pure function of a View. A controller applies the Steps of its Plan in one conditional write.
// All steps are safe to repeat or to lose, since the next View shows their effect.
package forming

import "time"

// State is a state in the lifecycle of a group.
type State string

// The states, in the order of the lifecycle.
const (
	Forming  State = "forming"
	Loading  State = "loading"
	Serving  State = "serving"
	Draining State = "draining"
)

// Service holds the settings of one service.
type Service struct {
	Name string
	// Version names the model and its version. Groups of another version are replaced.
	Version   string
	GroupSize int
	Replicas  int
	// Spares is the least number of VMs to keep free over all fabric domains, rather than to form extra
	// groups from.
	Spares int
	// Dedicated restricts the service to VMs that are dedicated to it.
	Dedicated bool
	// DowntimeWeight is the cost of a second of a missing replica, StrandedWeight the cost of an
	// accelerator-second outside any serving group.
	DowntimeWeight float64
	StrandedWeight float64
	// LoadsPerMinute limits how many members start to load per minute; 0: no limit.
	LoadsPerMinute int
	DrainTimeout   time.Duration
}

// wantsExtraGroups reports whether groups beyond the wanted number are useful. A service for which both
// weights are zero gets exactly the replicas that it asks for.
func (s Service) wantsExtraGroups() bool { return s.DowntimeWeight > 0 || s.StrandedWeight > 0 }

// VM is one VM of the fabric domain, as listed by the platform and as observed by probes.
type VM struct {
	Name         string
	Accelerators int
	// DedicatedTo names the only service that may use the VM; empty: any service that is not Dedicated.
	DedicatedTo string
	// Listed is set if the platform lists the VM. A view also contains members of groups that are not
	// listed.
	Listed bool
	// Leaving is set if the platform or the VM itself announced its removal.
	Leaving bool
	// Aside is set if the VM is set aside as a straggler, so that no group is formed with it.
	Aside bool
	// Responding is set if a recent probe was answered. The fields up to StepTime are from that answer.
	Responding bool
	BootID     string
	Group      string
	Epoch      uint64
	Ready      bool
	// Running is the number of running requests that its engine reports.
	Running int
	// StepTime is the time of a decoding step that the VM itself takes; 0: unknown.
	StepTime time.Duration

	// SilentFor, UnlistedFor and Restarts (within RestartWindow) are filled in by a Tracker.
	SilentFor   time.Duration
	UnlistedFor time.Duration
	Restarts    int
}

// usable reports whether a group may be formed with the VM.
func (v VM) usable() bool { return v.Listed && v.Responding && !v.Leaving && !v.Aside }

// Member is one VM of a group. BootID identifies the boot of the VM that was ordered to load; it is empty
// while the group is forming.
type Member struct {
	VM     string
	BootID string
}

// Group is one group as recorded in the placement, and its observed state.
type Group struct {
	ID      string
	Service string
	Version string
	State   State
	Members []Member
	// Size is the number of members, set for groups of other domains, which have no Members; 0: unknown.
	Size  int
	Epoch uint64
	// NotWhole is set in the placement while a member is missing for longer than the grace period. The
	// controllers of other fabric domains learn of it from there.
	NotWhole bool
	// HomeWhole is set if the home of the group recently reported it whole. This overrides failed probes of
	// the controller, which may itself be the one that is cut off.
	HomeWhole bool
	// HomeNotWhole is set if the home of the group recently reported it not whole. The home then sends it
	// no requests.
	HomeNotWhole bool
	// InProgress is the number of requests in progress at the home. HomeReported is set if the home
	// reported it.
	InProgress   int
	HomeReported bool
	// TokenGap is the time between tokens as measured by the home; 0: unknown.
	TokenGap time.Duration

	// The following fields are filled in by a Tracker. HomeCutOffFor is how long the home has reported the
	// group not whole although every member is ready.
	InState       time.Duration
	SlowFor       time.Duration
	HomeCutOffFor time.Duration
}

// countsAsReplica reports whether the group is a replica or on the way to become one.
func (g Group) countsAsReplica() bool { return g.State != Draining && !g.NotWhole }

// size returns the number of members, or 0 if it is unknown.
func (g Group) size() int { return max(g.Size, len(g.Members)) }

// outdated reports whether version or size of the group differ from those of s, so that it has to be
// replaced.
func (g Group) outdated(s Service) bool {
	return g.Version != s.Version || g.size() != 0 && g.size() != s.GroupSize
}

// Domain describes a fabric domain as reported through its placement.
type Domain struct {
	Name string
	// Live is the number of VMs that replicas can be planned on, by the service that they are dedicated to
	// ("" for any service).
	Live map[string]int
	// Groups lists the groups of the domain. In reports of other domains they have no Members.
	Groups []Group
}

// View is the input of Decide.
type View struct {
	// Domain is the name of the fabric domain to decide for.
	Domain   string
	Services []Service
	VMs      []VM
	Groups   []Group
	// Others lists the other fabric domains of the place.
	Others []Domain
	// LoadAllowed is set if one more load may start now (see Pacer).
	LoadAllowed bool
}

// StepKind is the kind of a Step.
type StepKind string

// The kinds of steps.
const (
	// StepForm: write a new group of Members in state Forming.
	StepForm StepKind = "form"
	// StepLoad: write Group as loading, then order its members to load.
	StepLoad StepKind = "load"
	// StepServe: write Group as serving.
	StepServe StepKind = "serve"
	// StepDrain: write Group as draining. VM, if not empty, is set aside.
	StepDrain StepKind = "drain"
	// StepRelease: order the members of the drained Group to leave it. Nothing is written to the placement.
	StepRelease StepKind = "release"
	// StepDissolve: remove Group from the placement, which frees its VMs. VM, if not empty, is set aside.
	StepDissolve StepKind = "dissolve"
	// StepMark: write Group with the value of Step.NotWhole.
	StepMark StepKind = "mark"
)

// Step is one change to a group. Which fields are set depends on Kind.
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

// Plan is the result of Decide.
type Plan struct {
	// Steps are to be applied together, in order.
	Steps []Step
	// Targets is the number of groups of each service that this fabric domain should have.
	Targets map[string]int
	// DownGroups counts, by service, the wanted groups of this domain that do not serve.
	// StrandedAccelerators counts the accelerators of live VMs that are in no serving group.
	DownGroups           map[string]int
	StrandedAccelerators int
	// Live is the number of VMs that replicas can be planned on, by the service that they are dedicated to
	// ("" for any service), as reported to the other domains.
	Live map[string]int
	// BlockedReasons says, by service, why a wanted change can't be made now.
	BlockedReasons map[string]string
	// Unplaced counts, by service, the wanted groups for which no fabric domain of the place has room. Only
	// the first domain by name reports them.
	Unplaced map[string]int
}
