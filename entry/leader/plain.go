package leader

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// This file hears how requests at plain servers end, and has entries ask for turns at them while one rejects more than the others.

// PlainChange tells that a plain server was found to reject more than the others of its service, or no more.
type PlainChange struct {
	Server  backend.ID
	Service string
	// Apart is set if it does.
	Apart bool
}

func (l *Leader) hearPlainEnds(ends []link.PlainEnds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, end := range ends {
		l.sendDecisions(l.turns.NotePlain(l.now(), string(end.Server), end.Answered, end.Rejected, rand.Float64))
	}
	l.updatePlain()
}

// updatePlain tells the followers and the log what has changed since its last call. It must be called with l.mu held.
func (l *Leader) updatePlain() {
	apart := l.turns.PlainApart()
	if slices.Equal(apart, l.plainApart) {
		return
	}
	before := l.plainApart
	l.plainApart = apart
	l.reportPlain(apart, before, true)
	l.reportPlain(before, apart, false)
	if services := plainServices(apart); !slices.Equal(services, plainServices(before)) {
		l.sendToAll(&link.Shared{Down: link.Down{PlainServices: &link.PlainServices{Services: services}}})
	}
}

// reportPlain reports the servers that are in one list and not in the other.
func (l *Leader) reportPlain(in, notIn []turns.PlainServer, apart bool) {
	for _, server := range in {
		if l.deps.ReportPlain != nil && !slices.Contains(notIn, server) {
			l.deps.ReportPlain(PlainChange{Server: backend.ID(server.Head), Service: serviceOf(server), Apart: apart})
		}
	}
}

// sendPlain tells a new follower for which services to ask. It must be called with l.mu held.
func (l *Leader) sendPlain(to recipient) {
	if len(l.plainApart) > 0 {
		to.Send(link.Down{PlainServices: &link.PlainServices{Services: plainServices(l.plainApart)}})
	}
}

func serviceOf(server turns.PlainServer) string {
	return strings.TrimSuffix(server.Model, modelKey("", ""))
}

// plainServices returns the services of some servers, sorted.
func plainServices(servers []turns.PlainServer) []string {
	var services []string
	for _, server := range servers {
		services = append(services, serviceOf(server))
	}
	slices.Sort(services)
	return slices.Compact(services)
}
