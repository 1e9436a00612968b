package prober

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/vm"
)

// handover is for how long a home goes on with a group that has another home by now. Entries hear of a
// change of the live ones some seconds apart. Without it, those that have not heard yet are refused by the
// old home and those that have by none: callers of a service with one group get nothing for that long, each
// time an entry comes or leaves. Both homes look at the members before each send, so that two do no harm.
const handover = 5 * time.Second

// RecentlyHomed says whether this entry was home to the group until a moment ago.
func (p *Prober) RecentlyHomed(id vm.GroupID) bool {
	if p.paused() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tenures[id]
	return ok && time.Since(t.last) < handover
}

// noteHomed notes the groups that this entry is home to, forgets those that it no longer serves, and
// returns those that it serves although they have another home.
func (p *Prober) noteHomed(homed []vm.Group, now time.Time) (left []vm.GroupID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, group := range homed {
		t, known := p.tenures[group.ID]
		if !known {
			t.first = now
		}
		t.last = now
		p.tenures[group.ID] = t
	}
	for id, t := range p.tenures {
		switch {
		case t.last.Equal(now):
		case now.Sub(t.last) < handover:
			left = append(left, id)
			delete(p.told, id)
		default:
			p.forget(id)
		}
	}
	return left
}

// forget must be called with mu held.
func (p *Prober) forget(id vm.GroupID) {
	delete(p.tenures, id)
	delete(p.told, id)
	delete(p.loads, id)
	delete(p.draining, id)
	p.presence.Forget(id)
}

// settling says that this home has had the group for so short a time that a member which has not answered
// means nothing yet. Told as not whole, the group would get no work from anybody until it is told otherwise.
func (p *Prober) settling(id vm.GroupID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tenures[id]
	return !ok || now.Sub(t.first) < vm.FreshnessBound
}

// ProbeIfNew asks the members of a group that this home has only just got, if they have not been asked yet, so
// that the first requests need not be refused. It returns within engine.ProbeTimeout; requests that come
// meanwhile wait for the same answers.
func (p *Prober) ProbeIfNew(group vm.Group) {
	if !p.settling(group.ID, time.Now()) {
		return
	}
	_, _, _ = p.probing.Do(string(group.ID), func() (any, error) {
		var probes sync.WaitGroup
		for _, member := range group.Members {
			probes.Go(func() { p.probe(context.Background(), job{group: group, member: member, homed: true}) })
		}
		probes.Wait()
		return nil, nil
	})
}
