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

// newlyHomed reports whether this entry became home to the group so recently that a missing answer of a member is
// not significant yet. If the group were reported as not whole, no front would use it until the next report.
func (p *Prober) newlyHomed(id vm.GroupID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tenures[id]
	return !ok || now.Sub(t.firstHomed) < vm.FreshnessBound
}

// ProbeIfNew probes the members of a group if this entry has only just become its home, so that the first requests
// need not be rejected. It returns within engine.ProbeTimeout; concurrent calls for a group share the same probes.
func (p *Prober) ProbeIfNew(group vm.Group) {
	if !p.newlyHomed(group.ID, time.Now()) {
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
