package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/policy/shift"
)

// homeCandidates determines the entries eligible as homes of groups: the live entries except those that have just
// joined, or that join and leave repeatedly (policy/shift). It is safe for concurrent use.
type homeCandidates struct {
	members *member.Members
	start   time.Time
	view    atomic.Pointer[homeView]

	mu     sync.Mutex // guards damper; no other lock is taken while it is held
	damper *shift.FlapDamper
}

// homeView is the result of one computation. It is not modified once it is published.
type homeView struct {
	eligible []string // sorted
	since    time.Time
}

func newHomeCandidates(config Config, members *member.Members) *homeCandidates {
	h := &homeCandidates{
		members: members, start: time.Now(),
		damper: shift.NewFlapDamper(config.homeHold(), members.Self().Name),
	}
	h.view.Store(&homeView{since: h.start})
	return h
}

// Eligible returns the names of the eligible entries, sorted. It checks for a suspension of this process itself,
// so that the entry owns nothing from the moment it resumes and not only after Run has noticed.
func (h *homeCandidates) Eligible() []string {
	if h.members.Paused() {
		return nil
	}
	return h.view.Load().eligible
}

// EligibleFor returns how long the names have been what Eligible returns while this process is not suspended.
func (h *homeCandidates) EligibleFor() time.Duration { return time.Since(h.view.Load().since) }

// maxRefreshInterval is how often the names are recomputed if nothing changes.
const maxRefreshInterval = time.Minute

// Run updates the names as entries join and leave, until ctx ends.
func (h *homeCandidates) Run(ctx context.Context) {
	changed := h.members.Subscribe()
	for {
		timer := time.NewTimer(h.refresh())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// refresh recomputes the names and returns the time until they next change without an event.
func (h *homeCandidates) refresh() time.Duration {
	peers := h.members.Live()
	now := time.Since(h.start)
	var live, joining []string
	for _, peer := range peers {
		live = append(live, peer.Name)
		if peer.Joining {
			joining = append(joining, peer.Name)
		}
	}
	next, selfJoining := h.update(now, live, joining)
	if slices.ContainsFunc(peers, func(p member.Peer) bool { return p.Self }) {
		h.members.SetJoining(selfJoining)
	}
	return next
}

// update applies the live entries, and those of them that are joining. It returns the time until the names next change
// without an event, and whether this entry is joining itself.
func (h *homeCandidates) update(now time.Duration, live, joining []string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.damper.Observe(now, live, joining)
	if eligible := h.damper.Eligible(now); !slices.Equal(eligible, h.view.Load().eligible) {
		h.view.Store(&homeView{eligible: eligible, since: h.start.Add(now)})
	}
	if next, ok := h.damper.NextChange(now); ok {
		return max(0, next-now), h.damper.Joining(now)
	}
	return maxRefreshInterval, h.damper.Joining(now)
}
