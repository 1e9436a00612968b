package standing

import (
	"maps"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/link/upstream"
)

// This file keeps the failure domains to whose servers operators want nothing sent.

// SetEvacuated sets the failure domains that are evacuated.
func (t *Tracker) SetEvacuated(failureDomains []domain.FailureDomain) {
	wanted := make(map[domain.FailureDomain]bool, len(failureDomains))
	for _, name := range failureDomains {
		wanted[name] = true
	}
	var began []domain.FailureDomain
	ended := make(map[domain.FailureDomain]time.Duration)
	t.mu.Lock()
	t.knowsEvacuations = true
	now := t.now()
	for name := range wanted {
		if _, known := t.evacuated[name]; !known {
			t.evacuated[name] = now
			began = append(began, name)
		}
	}
	for name, since := range t.evacuated {
		if !wanted[name] {
			delete(t.evacuated, name)
			t.returned[name] = now
			ended[name] = now - since
			maps.DeleteFunc(t.evacuatedServers, func(_ backend.ID, in domain.FailureDomain) bool { return in == name })
		}
	}
	t.mu.Unlock()
	t.noteEvacuated(t.deps.Listing())
	for _, name := range began {
		t.deps.EvacuationBegan(name, t.serversIn(name))
	}
	for name, lasted := range ended {
		t.deps.EvacuationEnded(name, t.serversIn(name), lasted)
	}
}

// KnowsEvacuations reports whether this entry has learned which failure domains are evacuated.
func (t *Tracker) KnowsEvacuations() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.knowsEvacuations
}

// Permits reports whether a server may be sent anything: its failure domain is not evacuated. An unreachable server is permitted, since it has to be
// probed. So is a server that has not been listed since its failure domain was evacuated; its failure domain is not known.
func (t *Tracker) Permits(to upstream.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.evacuated) == 0 {
		return true
	}
	if listed := t.deps.Listing().Servers[to.ID]; listed != nil {
		return !t.isEvacuated(listed)
	}
	_, evacuated := t.evacuatedServers[to.ID]
	return !evacuated
}

// Evacuated reports whether the failure domain of a server is evacuated.
func (t *Tracker) Evacuated(server *backend.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isEvacuated(server)
}

// isEvacuated must be called with t.mu held.
func (t *Tracker) isEvacuated(server *backend.Server) bool {
	_, evacuated := t.evacuated[server.FailureDomain]
	return evacuated
}

// noteEvacuated remembers the listed servers of the evacuated failure domains.
func (t *Tracker) noteEvacuated(listing *backend.Listing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.evacuated) == 0 {
		return
	}
	for id, server := range listing.Servers {
		if t.isEvacuated(server) {
			t.evacuatedServers[id] = server.FailureDomain
		} else {
			delete(t.evacuatedServers, id)
		}
	}
}

func (t *Tracker) serversIn(failureDomain domain.FailureDomain) int {
	n := 0
	for _, server := range t.deps.Listing().Servers {
		if server.FailureDomain == failureDomain {
			n++
		}
	}
	return n
}
