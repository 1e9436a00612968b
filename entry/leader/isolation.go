package leader

import (
	"maps"
	"slices"

	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// setIsolated records whether an entry has lost its connections to the servers.
func (l *Leader) setIsolated(entry string, isolated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isolated[entry] == isolated {
		return
	}
	if isolated {
		l.isolated[entry] = true
	} else {
		delete(l.isolated, entry)
	}
	l.isolationChanged[entry] = true
}

// BroadcastIsolation tells the followers which entries have become isolated or reach the servers again since the last call. The changes of
// a moment are sent together: a whole failure domain may be cut off at once.
func (l *Leader) BroadcastIsolation() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.isolationChanged) == 0 {
		return
	}
	var changes link.IsolationChanges
	for _, entry := range slices.Sorted(maps.Keys(l.isolationChanged)) {
		if l.isolated[entry] {
			changes.Isolated = append(changes.Isolated, entry)
		} else {
			changes.Reaching = append(changes.Reaching, entry)
		}
	}
	clear(l.isolationChanged)
	l.sendToAll(&link.Shared{Down: link.Down{IsolationChanges: &changes}})
}

// sendIsolation sends a new follower, which knows of none, all isolated entries. It must be called with l.mu held.
func (l *Leader) sendIsolation(to recipient) {
	if len(l.isolated) == 0 {
		return
	}
	to.Send(link.Down{IsolationChanges: &link.IsolationChanges{Isolated: slices.Sorted(maps.Keys(l.isolated))}})
}

// OthersReachServers reports whether any follower but the given entry has not reported to be isolated.
func (l *Leader) OthersReachServers(entry string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for follower := range l.followers {
		if follower != entry && !l.isolated[follower] {
			return true
		}
	}
	return false
}
