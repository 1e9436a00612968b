package vm

import (
	"fmt"
	"sync"
	"time"
)

// ProbeInterval is how often a home probes each member. Two probes may be lost before an answer grows
// too old.
const ProbeInterval = 500 * time.Millisecond

// FreshnessBound is the age from which a probe answer counts no more. With ProbeInterval it bounds how
// long a group keeps getting work after a member went: shorter, and one slow answer stops a healthy
// group; longer, and callers wait for a group that is gone.
const FreshnessBound = 1500 * time.Millisecond

// ProbeAnswer is what a member said of itself in one probe.
type ProbeAnswer struct {
	// Sent is when the probe was sent, by the monotonic clock. What the member said was true at some time
	// after it, so an age counted from Sent is never too low.
	Sent    time.Time
	BootID  BootID
	Group   GroupID
	Epoch   uint64
	Ready   bool
	Leaving bool
}

// Reason says why a member does not count as present.
type Reason string

// The reasons, in the order in which they are checked.
const (
	ReasonNone        Reason = ""
	ReasonNoMembers   Reason = "group has no members"
	ReasonNoAnswer    Reason = "no probe answer"
	ReasonStaleAnswer Reason = "probe answer too old"
	ReasonOtherBoot   Reason = "another boot id"
	ReasonOtherGroup  Reason = "in another group"
	ReasonOtherEpoch  Reason = "at another epoch"
	ReasonNotReady    Reason = "not ready"
	ReasonLeaving     Reason = "leaving"
)

// Gap names the first member that keeps a group from being whole, and why.
type Gap struct {
	VM  Name
	Why Reason
}

// String is for operators.
func (g Gap) String() string {
	if g.VM == "" {
		return string(g.Why)
	}
	return fmt.Sprintf("%s: %s", g.VM, g.Why)
}

// Presence holds the last probe answer of each member of the groups that one home owns. It is safe for
// concurrent use.
//
// Without it, a replica that lost a member would still be sent work, all of which fails or hangs. Age is
// checked in Whole, at each dispatch. A timer that marks members as gone would not do: in a process that
// was paused it fires late, after requests were let through on knowledge from before the pause.
type Presence struct {
	mu      sync.RWMutex // a leaf lock: nothing is locked while it is held
	answers map[GroupID]map[Name]ProbeAnswer
}

// NewPresence returns an empty table: no group is whole.
func NewPresence() *Presence {
	return &Presence{answers: make(map[GroupID]map[Name]ProbeAnswer)}
}

// Record keeps the answer of a member. An answer to an earlier probe than the one kept is dropped, since
// answers may cross.
func (p *Presence) Record(group GroupID, member Name, answer ProbeAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := p.answers[group]
	if members == nil {
		members = make(map[Name]ProbeAnswer)
		p.answers[group] = members
	}
	if kept, ok := members[member]; ok && kept.Sent.After(answer.Sent) {
		return
	}
	members[member] = answer
}

// Forget drops all answers of a group that this home no longer owns.
func (p *Presence) Forget(group GroupID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answers, group)
}

// Last returns the kept answer of a member, however old.
func (p *Presence) Last(group GroupID, member Name) (ProbeAnswer, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	answer, ok := p.answers[group][member]
	return answer, ok
}

// Whole says whether every member of the group is present at now, and if not, which one is not and why.
// It does not look at the group's state: only a Serving group may be given work.
func (p *Presence) Whole(group *Group, now time.Time) (bool, Gap) {
	if len(group.Members) == 0 {
		return false, Gap{Why: ReasonNoMembers}
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	answers := p.answers[group.ID]
	for _, member := range group.Members {
		answer, ok := answers[member.VM]
		if !ok {
			return false, Gap{VM: member.VM, Why: ReasonNoAnswer}
		}
		if why := answer.absenceReason(group, member, now); why != ReasonNone {
			return false, Gap{VM: member.VM, Why: why}
		}
	}
	return true, Gap{}
}

// absenceReason says why the answer does not show the member present. A boot id that is not known yet matches
// no answer: a group is whole only once each boot was ordered into it.
func (a ProbeAnswer) absenceReason(group *Group, member Member, now time.Time) Reason {
	switch {
	case now.Sub(a.Sent) >= FreshnessBound:
		return ReasonStaleAnswer
	case member.BootID == "" || a.BootID != member.BootID:
		return ReasonOtherBoot
	case a.Group != group.ID:
		return ReasonOtherGroup
	case a.Epoch != group.Epoch:
		return ReasonOtherEpoch
	case !a.Ready:
		return ReasonNotReady
	case a.Leaving:
		return ReasonLeaving
	}
	return ReasonNone
}
