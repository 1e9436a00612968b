package prober

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/vm"
)

// handoverPeriod is how long a home continues to serve a group after its home moved to another entry. Entries
// learn of a membership change some seconds apart. Without this period the old home would reject the fronts that
// have not learned of it yet, and callers of a service with a single group would get no service for that long each
// time an entry joins or leaves. Two homes at once do no harm, because both check the members before each send.
const handoverPeriod = 5 * time.Second

// RecentlyHomed reports whether this entry was home to the group within the last handoverPeriod.
func (p *Prober) RecentlyHomed(id vm.GroupID) bool {
	if p.paused() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tenures[id]
	return ok && time.Since(t.lastHomed) < handoverPeriod
}

// updateTenures records the groups homed at this entry and forgets those that it no longer serves. It returns the
// groups that it still serves although their home has moved to another entry.
func (p *Prober) updateTenures(homed []vm.Group, now time.Time) (handedOver []vm.GroupID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, group := range homed {
		t, known := p.tenures[group.ID]
		if !known {
			t.firstHomed = now
		}
		t.lastHomed = now
		p.tenures[group.ID] = t
	}
	for id, t := range p.tenures {
		switch {
		case t.lastHomed.Equal(now):
		case now.Sub(t.lastHomed) < handoverPeriod:
			handedOver = append(handedOver, id)
			delete(p.announced, id)
		default:
			p.forget(id)
		}
	}
	return handedOver
}

// forget deletes the state kept for a group. mu must be held.
func (p *Prober) forget(id vm.GroupID) {
	delete(p.tenures, id)
	delete(p.announced, id)
	delete(p.loads, id)
	delete(p.drainingSince, id)
	p.presence.Forget(id)
}

// isUnknown reports whether a member that is absent for the given reason may be present, because this entry has not been
// able to probe it. If its group were reported as not whole, no front would use it until the next report.
func (p *Prober) isUnknown(id vm.GroupID, absence vm.Reason, now time.Time) bool {
	switch absence {
	case vm.ReasonNoAnswer:
		return p.newlyHomed(id, now)
	case vm.ReasonStaleAnswer:
		return p.recentlySuspended(now)
	default:
		return false
	}
}

// recentlySuspended reports whether this process was suspended for so long that its answers expired, and has not been
// able to get new ones since.
func (p *Prober) recentlySuspended(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	suspended := !p.lastRound.IsZero() && now.Sub(p.lastRound) >= vm.FreshnessBound
	return suspended || now.Sub(p.resumedAt) < vm.FreshnessBound
}

// beginRound records the start of a round of probes.
func (p *Prober) beginRound(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lastRound.IsZero() && now.Sub(p.lastRound) >= vm.FreshnessBound {
		p.resumedAt = now
	}
	p.lastRound = now
}

// newlyHomed reports whether this entry became home to the group so recently that a missing answer of a member is
// not significant yet.
func (p *Prober) newlyHomed(id vm.GroupID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tenures[id]
	return !ok || now.Sub(t.firstHomed) < vm.FreshnessBound
}

// ProbeIfUnknown probes the members of a group that is not whole for the given reason, if this entry has only just become
// its home or was suspended, so that the first requests need not be rejected. It returns within engine.ProbeTimeout;
// concurrent calls for a group share the same probes.
func (p *Prober) ProbeIfUnknown(group vm.Group, absence vm.Reason) {
	if !p.isUnknown(group.ID, absence, time.Now()) {
		return
	}
	_, _, _ = p.onDemand.Do(string(group.ID), func() (any, error) {
		var probes sync.WaitGroup
		for _, member := range group.Members {
			probes.Go(func() { p.probe(context.Background(), job{group: group, member: member, homed: true}) })
		}
		probes.Wait()
		return nil, nil
	})
}
