package leader

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// applyPause records that a server wants no requests of an entry for a time. It must be called with l.mu held.
func (l *Leader) applyPause(entry string, pause link.Pause) {
	if listed := l.deps.Listing().Servers[pause.Server]; listed != nil && replaced(pause.Process, listed) {
		return
	}
	if pause.Process > l.pausedProcesses[pause.Server] {
		l.pausedProcesses[pause.Server] = pause.Process
	}
	l.turns.Pause(l.now(), string(pause.Server), entry, time.Duration(pause.Ms)*time.Millisecond)
}

// replaced reports whether a server is a later process than one known.
func replaced(process int64, listed *backend.Server) bool {
	return process != 0 && listed.StartedAtMillis > process
}

// SweepPauses ends the pauses of servers whose processes have ended.
func (l *Leader) SweepPauses() {
	listing := l.deps.Listing()
	l.mu.Lock()
	defer l.mu.Unlock()
	if listing.Revision != 0 && !listing.RoutableOnly {
		maps.DeleteFunc(l.pausedProcesses, func(id backend.ID, _ int64) bool { return listing.Servers[id] == nil })
	}
	l.sendDecisions(l.turns.SweepPauses(l.now(), func(head string) bool {
		listed := listing.Servers[backend.ID(head)]
		if listed == nil || !replaced(l.pausedProcesses[backend.ID(head)], listed) {
			return false
		}
		delete(l.pausedProcesses, backend.ID(head))
		return true
	}, rand.Float64))
}
