package forming

import (
	"sort"
	"time"
)

// This file answers the fault pattern of many loads at once: a rack comes back, or a new version rolls
// out, and dozens of groups want their weights from one rate-limited store. Started together they share
// its rate, and all of them are ready only at the end; one after the other, half of them are ready by
// half of that time. Loads therefore start at the rate that the settings give, and the service without
// any replica goes first: its callers get nothing at all meanwhile.

// Pacer spaces the starts of loads in one fabric domain. It is not safe for concurrent use.
type Pacer struct {
	next time.Duration
}

// Allowed says that a load may start now.
func (p *Pacer) Allowed(now time.Duration) bool { return now >= p.next }

// Started books the start of a load of s while the given number of fabric domains, this one included,
// have groups waiting to load. They share the store, so each takes its part of the rate.
func (p *Pacer) Started(now time.Duration, s Service, waiting int) {
	if s.LoadsPerMinute <= 0 {
		return
	}
	members := s.GroupSize * max(1, waiting)
	p.next = now + time.Minute*time.Duration(members)/time.Duration(s.LoadsPerMinute)
}

// WaitingDomains counts the fabric domains with groups that wait to load, the view's own included.
func (v *View) WaitingDomains() int {
	count := 1
	for _, d := range v.Others {
		for _, g := range d.Groups {
			if g.State == Forming && !g.NotWhole {
				count++
				break
			}
		}
	}
	return count
}

// nextLoad returns the forming group that should load first, or nil.
func (p *planner) nextLoad() *Group {
	waiting := make([]*Group, 0)
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if g.State == Forming && !p.changed[g.ID] && p.condition(g).worst == faultNone {
			waiting = append(waiting, g)
		}
	}
	sort.SliceStable(waiting, func(i, j int) bool { return p.loadsBefore(waiting[i], waiting[j]) })
	if len(waiting) == 0 {
		return nil
	}
	return waiting[0]
}

func (p *planner) loadsBefore(a, b *Group) bool {
	if a.Service == b.Service {
		return a.ID < b.ID
	}
	needA, needB := p.need(a.Service), p.need(b.Service)
	if needA != needB {
		return needA > needB
	}
	return a.Service < b.Service
}

// NoReplicaFactor is how much more a missing replica counts for a service that has none left: all of its
// callers wait, not a share of them. Above the number of replicas of the largest service of today, so
// that no other shortage outweighs it.
const NoReplicaFactor = 100

// need is the weighted share of a service's replicas that do not serve.
func (p *planner) need(service string) float64 {
	s, ok := p.services[service]
	if !ok || s.Replicas == 0 {
		return 0
	}
	serving := p.servingInAllDomains(service)
	need := s.DowntimeWeight * float64(max(0, s.Replicas-serving)) / float64(s.Replicas)
	if serving == 0 {
		need *= NoReplicaFactor
	}
	return need
}
