package leader

// This file decides what outlasts a lapse of the lease.

// stepDown stops granting turns and discards what another leader now tracks. What a follower has reported over its link is kept until the link
// ends: if this entry leads again before that, as after an expired lease that nobody else has acquired, followers do not report it once more.
func (l *Leader) stepDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leading {
		l.leading = false
		l.forgetHolds()
		l.demand = make(map[string]*modelDemand)
		l.turns = l.turns.Successor()
		l.updatePlain()
		l.limits = newLimitTracker()
	}
}

// forgetHolds discards what followers have reported of requests that crash servers once this entry does not lead and no other entry is linked to it.
// It must be called with l.mu held. With half of the evidence, requests that ran beside those that crash servers are held back in their place.
func (l *Leader) forgetHolds() {
	if !l.leading && len(l.followers) <= 1 { // this entry is a follower of its own
		l.holds = newHoldTracker()
	}
}
