package leader

import (
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// hearCold records servers that followers have heard to be cold, and tells all followers what is new. Groups are refreshed at once: a head that has
// just become cold would otherwise be granted turns without a limit until the next refresh.
func (l *Leader) hearCold(heard []link.Cold) {
	var changed []link.Cold
	for _, cold := range heard {
		if l.deps.HearCold(cold) {
			changed = append(changed, cold)
		}
	}
	l.BroadcastCold(changed)
}

// BroadcastCold tells all followers of servers that are cold.
func (l *Leader) BroadcastCold(cold []link.Cold) {
	if len(cold) == 0 {
		return
	}
	l.RefreshGroups()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendToAll(&link.Shared{Down: link.Down{Cold: cold}})
}

// TakeColdGrants returns how many turns were granted at cold heads since the last call.
func (l *Leader) TakeColdGrants() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.turns.ColdGrants()
}
