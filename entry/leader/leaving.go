package leader

import (
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// hearLeaving records which servers have said to a follower that they are leaving, and tells the others. It must be called without l.mu: the groups
// are refreshed when the list of servers changes.
func (l *Leader) hearLeaving(reported []link.Leaving) {
	var unknown []link.Leaving
	for _, leaving := range reported {
		if l.deps.AnnounceLeaving(leaving) {
			unknown = append(unknown, leaving)
		}
	}
	if len(unknown) > 0 {
		l.BroadcastLeaving(unknown)
	}
}

// BroadcastLeaving tells the followers of servers that have said that they are leaving, which they need not have heard themselves.
func (l *Leader) BroadcastLeaving(leaving []link.Leaving) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendToAll(&link.Shared{Down: link.Down{Leaving: leaving}})
}

// sendLeaving sends a new follower all servers that have said that they are leaving. It must be called with l.mu held.
func (l *Leader) sendLeaving(to recipient, leaving []link.Leaving) {
	if len(leaving) > 0 {
		to.Send(link.Down{Leaving: leaving})
	}
}
