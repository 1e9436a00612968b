package turn

import (
	"context"
	"math/rand/v2"
	"time"
)

// This file acquires turns at plain servers. Entries choose among these themselves, but for those that take a limited number of requests: turns at
// them are granted by the leader.

// acquirePlain acquires a turn at a plain server. A request that would go to a limited server if that had no limit is sent there if the leader
// permits it at once; otherwise the others take it. So the limited server gets its share, and the answers show when its limit is gone. If the
// others are full, the request waits for the leader's permission within its objective.
func (r *Remote) acquirePlain(ctx context.Context, request Request) (*Turn, *Refusal) {
	if r.leaderChooses(request.Service) {
		if t, _, _ := r.ask(ctx, optional(request)); t != nil {
			return t, nil
		}
	}
	limited, preferred := r.local.LimitedPreferred(request)
	if preferred && r.mayAsk(request.Service) {
		if t := r.askAtOnce(ctx, request); t != nil {
			return t, nil
		}
	}
	t, refusal := r.local.Acquire(ctx, request)
	if refusal == nil || !limited {
		r.reportEnd(t)
		return t, refusal
	}
	if t, decision, decided := r.ask(ctx, request); decided {
		return t, decision
	}
	return nil, refusal
}

// askAtOnce asks the leader for a turn without waiting, and returns nil if it grants none.
func (r *Remote) askAtOnce(ctx context.Context, request Request) *Turn {
	t, refusal, decided := r.ask(ctx, optional(request))
	if decided {
		r.noteAsked(request.Service, refusal)
	}
	return t
}

// optional returns a request for a turn that is granted at once or not at all.
func optional(request Request) Request {
	request.Optional, request.MaxWait, request.Fingerprint = true, 0, 0
	return request
}

// pace spaces the requests for turns that are asked for at once. Of hundreds of entries few may be granted one; the more often an entry is refused,
// the more seldom it asks.
type pace struct {
	next    time.Time
	refused int
}

// maxAskDoublings bounds how much more seldom an entry asks after several refusals.
const maxAskDoublings = 3

func (r *Remote) mayAsk(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.asks[service]
	return p == nil || time.Now().After(p.next)
}

// noteAsked records the leader's decision; refusal is nil if it granted the turn.
func (r *Remote) noteAsked(service string, refusal *Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if refusal == nil {
		delete(r.asks, service)
		return
	}
	p := r.asks[service]
	if p == nil {
		p = &pace{}
		r.asks[service] = p
	}
	p.next = time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(refusal.RetryAfter) * float64(int(1)<<p.refused)))
	p.refused = min(p.refused+1, maxAskDoublings)
}
