package grouping

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/link/upstream"
)

const (
	// goneAfter is how long connections to a head must be refused on end until its process counts as ended. A process that is alive and refuses
	// connections for a moment has reached the limit of its connections.
	goneAfter = time.Second
	// refusalGap is the longest time between two refusals that count as refused on end. Heads of incomplete groups are asked every few hundred
	// milliseconds.
	refusalGap = 700 * time.Millisecond
)

// refusals are the times of the first and the last refused connection to a process of a head, without an accepted one in between.
type refusals struct{ first, last time.Time }

// headGone reports whether the process of a head that gives no answer has ended, so that its group can't serve any more: nothing listens at its address,
// and no other entry reaches it. A process that has ended is a member of no group, and one that is started in its place has none. Silence is no
// evidence: a head that is cut off from this entry may serve others. Without this, a group whose head has crashed stands until the head's registration
// lapses, which takes 3.6 s.
func (c *Controller) headGone(ctx context.Context, head *backend.Server) bool {
	endpoint := upstream.EndpointOf(head)
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The requests at a process that has ended end with it. One at the limit of its connections refuses further ones for as long as they last.
	busy := c.deps.Running != nil && c.deps.Running(head.ID) > 0
	refused := !head.Leaving && !busy && upstream.RefusesConnections(bounded, head.Address)
	if !c.noteRefusal(endpoint, refused, time.Now()) {
		return false
	}
	return !c.deps.PeersReach(ctx, head)
}

// noteRefusal records whether a connection was refused, and reports whether all were for goneAfter.
func (c *Controller) noteRefusal(to upstream.Endpoint, refused bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.refusals[to]
	switch {
	case !refused:
		delete(c.refusals, to)
		return false
	case !ok || now.Sub(known.last) > refusalGap:
		known.first = now
	}
	known.last = now
	c.refusals[to] = known
	return now.Sub(known.first) >= goneAfter
}

// pruneRefusals must be called with c.mu held.
func (c *Controller) pruneRefusals(now time.Time) {
	for to, known := range c.refusals {
		if now.Sub(known.last) > refusalGap {
			delete(c.refusals, to)
		}
	}
}
