package leader

import (
	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/policy/standing"
)

// connectionFailed takes a failed connection of an entry to a head as evidence that the head is gone. A head that is suspended is granted no turns until
// all members of its group have answered; the check of the group starts at once.
func (l *Leader) connectionFailed(entry string, head backend.ID) {
	if server := l.deps.Listing().Servers[head]; server == nil || server.Group.Name == "" {
		return // nothing would probe a plain server, and entries avoid it by themselves
	}
	l.mu.Lock()
	evidence := l.leading && !l.isolated[entry] && l.failures.Note(l.now(), string(head), entry, len(l.followers))
	l.mu.Unlock()
	if !evidence || l.deps.Blind != nil && l.deps.Blind() {
		return
	}
	l.setUnreachable(head, true)
	l.suspect(entry, head)
	l.RefreshGroups()
}

func (l *Leader) setUnreachable(head backend.ID, unreachable bool) {
	if server := l.deps.Listing().Servers[head]; server != nil && l.deps.SetUnreachable != nil {
		l.deps.SetUnreachable(server, unreachable)
	}
}

// Running returns the number of turns in use at a head, of all entries.
func (l *Leader) Running(head backend.ID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.turns.Running(string(head))
}

// Reached records that a server that could not be reached has answered.
func (l *Leader) Reached(server backend.ID) { l.setUnreachable(server, false) }

func (l *Leader) sweepFailures() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures.Sweep(l.now())
}

func (l *Leader) standing(server *backend.Server) standing.Standing {
	if l.deps.Standing == nil {
		return standing.Standing{}
	}
	return l.deps.Standing(server)
}
