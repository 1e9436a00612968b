package vm

import (
	"fmt"
	"sync"
	"time"
)

// ProbeInterval is how often a home probes each member. Two successive probes may be lost before the last
// answer exceeds FreshnessBound.
const ProbeInterval = 500 * time.Millisecond

// FreshnessBound is the age from which a probe answer is ignored. Together with ProbeInterval it bounds how
// long a group keeps receiving work after a member has failed. With a shorter bound, one slow answer would
// stop a healthy group; with a longer one, callers would wait for a group that has failed.
const FreshnessBound = 1500 * time.Millisecond

// ProbeAnswer is the state that a member reported in answer to one probe.
type ProbeAnswer struct {
	// Sent is when the probe was sent, by the monotonic clock. The member observed its state after that time,
	// so an age computed from Sent is never too low.
	Sent    time.Time
	BootID  BootID
	Group   GroupID
	Epoch   uint64
	Ready   bool
	Leaving bool
}

// Reason is the reason why a member does not count as present.
type Reason string

// The reasons for absence, in the order in which they are checked.
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

// Gap identifies the first absent member of a group that is not whole, and the reason for its absence.
type Gap struct {
	VM     Name
	Reason Reason
}

// String returns a description for operators.
func (g Gap) String() string {
	if g.VM == "" {
		return string(g.Reason)
	}
	return fmt.Sprintf("%s: %s", g.VM, g.Reason)
}

// Presence holds the latest probe answer of each member of the groups that one home owns. It is safe for
// concurrent use.
//
// Without it, a replica that has lost a member would still be sent requests, all of which would fail or
// hang. Whole checks the age of the answers at each dispatch. A timer that marks members as absent would
// not suffice: in a process that was paused it fires late, after requests have been dispatched on the basis
// of answers from before the pause.
type Presence struct {
	mu      sync.RWMutex // a leaf lock: no other lock is acquired while it is held
	answers map[GroupID]map[Name]ProbeAnswer
}

// NewPresence returns a Presence without answers, for which no group is whole.
func NewPresence() *Presence {
	return &Presence{answers: make(map[GroupID]map[Name]ProbeAnswer)}
}

// Record stores the answer of a member. Answers may arrive out of order: an answer to an earlier probe than
// that of the stored answer is dropped.
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

// Forget deletes all answers of a group that this home no longer owns.
func (p *Presence) Forget(group GroupID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answers, group)
}

// Last returns the latest answer of a member, regardless of its age.
func (p *Presence) Last(group GroupID, member Name) (ProbeAnswer, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	answer, ok := p.answers[group][member]
	return answer, ok
}

// Whole reports whether every member of the group is present at now. If not, the Gap names the first absent
// member and the reason. Whole ignores the state of the group; the caller must dispatch to Serving groups only.
func (p *Presence) Whole(group *Group, now time.Time) (bool, Gap) {
	if len(group.Members) == 0 {
		return false, Gap{Reason: ReasonNoMembers}
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	answers := p.answers[group.ID]
	for _, member := range group.Members {
		answer, ok := answers[member.VM]
		if !ok {
			return false, Gap{VM: member.VM, Reason: ReasonNoAnswer}
		}
		if why := answer.absenceReason(group, member, now); why != ReasonNone {
			return false, Gap{VM: member.VM, Reason: why}
		}
	}
	return true, Gap{}
}

// absenceReason returns why the answer does not prove that the member is present, or ReasonNone. An empty boot
// id in member matches no answer: a group is whole only once the current boot of each member was ordered into it.
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
