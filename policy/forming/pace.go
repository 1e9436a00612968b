package forming

import (
	"sort"
	"time"
)

// Pacing of loads. When a rack returns or a new version rolls out, dozens of groups load their weights from
// one rate-limited store. If they all start together, they share its rate and all become ready only at the
// end; if they load one after the other, half of them are ready after half of that time. Loads therefore
// start at the rate given in the settings. The service without any replica goes first, because its callers
// get no service at all.

// Pacer limits the rate at which loads start in one fabric domain. It is not safe for concurrent use.
type Pacer struct {
	next time.Duration
}

// Allowed reports whether a load may start now.
func (p *Pacer) Allowed(now time.Duration) bool { return now >= p.next }

// Started records the start of a load of s. waiting is the number of fabric domains, this one included,
// with groups waiting to load; they share the store, so each gets an equal part of the rate.
func (p *Pacer) Started(now time.Duration, s Service, waiting int) {
	if s.LoadsPerMinute <= 0 {
		return
	}
	members := s.GroupSize * max(1, waiting)
	p.next = now + time.Minute*time.Duration(members)/time.Duration(s.LoadsPerMinute)
}

// WaitingDomains counts the fabric domains with groups that wait to load. The domain of the view always
// counts as one.
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

// nextLoad returns the forming group that should load first, or nil if none is ready to load.
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

// NoReplicaFactor multiplies the need of a service that has no replica left, since all of its callers wait
// and not only a share of them. It is larger than the number of replicas of the largest service today, so
// that no other shortage outweighs it.
const NoReplicaFactor = 100

// need returns the share of the replicas of a service that do not serve, weighted by its cost of downtime.
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
