package turns

import (
	"maps"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/plain"
)

// This file grants turns at the servers of plain services while one of them rejects more than the others: see package plain. Otherwise these servers are
// no groups.

// plainServers holds what is known of the servers of plain services.
type plainServers struct {
	// listed holds all groups as they were last set.
	listed []Group
	// pools holds the plain services by model, models the service of each server.
	pools  map[string]*plain.Pool
	models map[string]string
}

// list records the plain servers among the groups, and returns the groups at which turns are granted.
func (p *plainServers) list(groups []Group) []Group {
	p.listed = groups
	if len(p.pools) == 0 && !slices.ContainsFunc(groups, func(g Group) bool { return g.Plain }) {
		return groups
	}
	servers := make(map[string]map[string]bool)
	p.models = make(map[string]string)
	for _, g := range groups {
		if !g.Plain {
			continue
		}
		if servers[g.Model] == nil {
			servers[g.Model] = make(map[string]bool)
		}
		servers[g.Model][g.Head] = true
		p.models[g.Head] = g.Model
	}
	maps.DeleteFunc(p.pools, func(model string, _ *plain.Pool) bool { return servers[model] == nil })
	for model, heads := range servers {
		if p.pools == nil {
			p.pools = make(map[string]*plain.Pool)
		}
		if p.pools[model] == nil {
			p.pools[model] = plain.NewPool()
		}
		p.pools[model].SetServers(heads)
	}
	return slices.DeleteFunc(slices.Clone(groups), func(g Group) bool { return g.Plain && !p.joined(g.Model) })
}

// joined reports whether turns are granted at all servers of a service.
func (p *plainServers) joined(model string) bool {
	pool := p.pools[model]
	return pool != nil && pool.Joined()
}

// NotePlain records how requests at a plain server ended, whoever had chosen it, and returns the decisions that this makes possible.
func (s *Scheduler) NotePlain(now time.Duration, head string, answered, rejected int, random func() float64) []Decision {
	model, known := s.plain.models[head]
	if !known {
		return nil
	}
	before := s.plain.joined(model)
	s.plain.pools[model].Note(now, head, answered, rejected)
	if s.plain.joined(model) == before {
		return nil
	}
	return s.SetGroups(now, s.plain.listed, random)
}

// PlainServer is a server of a plain service.
type PlainServer struct{ Head, Model string }

// PlainApart returns the plain servers that reject more than the others of their service, sorted by head.
func (s *Scheduler) PlainApart() (apart []PlainServer) {
	for _, head := range slices.Sorted(maps.Keys(s.plain.models)) {
		if model := s.plain.models[head]; s.plain.pools[model].Apart(head) {
			apart = append(apart, PlainServer{head, model})
		}
	}
	return apart
}

// endPlain records the end of a turn at a plain server. Turns that ended otherwise say nothing of whether it rejects requests.
func (s *Scheduler) endPlain(now time.Duration, head string, end End, random func() float64) []Decision {
	switch {
	case end.Rejected:
		return s.NotePlain(now, head, 0, 1, random)
	case end.Complete:
		return s.NotePlain(now, head, 1, 0, random)
	}
	return nil
}
