package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/policy/shift"
)

// homes names the entries that may be homes of groups: the live ones, without those that have just come or
// come and go (policy/shift). It is safe for concurrent use.
type homes struct {
	members *member.Members
	start   time.Time
	steady  atomic.Pointer[[]string]

	mu    sync.Mutex // guards shift; a leaf lock
	shift *shift.FlapDamper
}

func newHomes(config Config, members *member.Members) *homes {
	h := &homes{
		members: members, start: time.Now(),
		shift: shift.NewFlapDamper(config.homeHold(), members.Self().Name),
	}
	h.steady.Store(&[]string{})
	return h
}

// Steady returns the names, sorted. An entry that was paused sees none but through its own look at the
// members, so that it owns nothing as soon as it wakes, not only once Run has noticed.
func (h *homes) Steady() []string {
	if h.members.Paused() {
		return nil
	}
	return *h.steady.Load()
}

// idleWake is how often the names are worked out anew without a change.
const idleWake = time.Minute

// Run follows the live entries until ctx ends.
func (h *homes) Run(ctx context.Context) {
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

// refresh works the names out anew and returns after how long they next change by themselves.
func (h *homes) refresh() time.Duration {
	live := owners{h.members}.Live()
	now := time.Since(h.start)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shift.Observe(now, live)
	steady := h.shift.Eligible(now)
	h.steady.Store(&steady)
	if next, ok := h.shift.NextChange(now); ok {
		return max(0, next-now)
	}
	return idleWake
}
