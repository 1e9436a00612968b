package turn

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// replyTimeout is how long a request waits for the first reply of the leader. It is also the margin after the request's
// maximum wait within which the final reply must arrive. A round trip takes a few milliseconds. After a timeout, this
// entry grants turns locally until it hears from the leader again: the link notices a dead leader only after about a
// second, and every request that waited for it in the meantime would be answered late.
const replyTimeout = 80 * time.Millisecond

// Remote grants turns by asking the leader. If the leader does not reply, and for plain services, Local decides. No
// turn is granted at a server that is leaving or gone according to this entry's own list, even if the leader granted
// it: the leader's list may be older.
type Remote struct {
	local   *Local
	listing func() *backend.Listing
	pauses  Pauses

	mu sync.Mutex // guards the fields below; if this entry is the leader, send takes the Leader's lock while it is held
	// send sends a message to the leader; nil without a link.
	send func(link.Up)
	// pending holds the requests that wait for a reply, and held the turns in use with the head that each was granted
	// at.
	pending map[uint64]chan link.Down
	held    map[uint64]backend.ID
	lastKey uint64
	// asks paces the requests for turns at limited servers that could be served otherwise, by service.
	asks  map[string]*pace
	plain plainShare
	// unresponsive is set when a request to the leader has timed out, until anything is received from it.
	unresponsive bool
}

// NewRemote returns a Remote without a link to a leader.
func NewRemote(local *Local, listing func() *backend.Listing, pauses Pauses) *Remote {
	return &Remote{
		local: local, listing: listing, pauses: pauses, pending: make(map[uint64]chan link.Down), held: make(map[uint64]backend.ID),
		asks: make(map[string]*pace),
	}
}

// Attach sets the function that sends messages to the leader, or nil without a link, and first of all reports the turns
// that this entry holds. Reported before the link is in place, turns that end in the meantime would be counted forever.
// Requests that wait for a reply on an earlier link are decided locally.
func (r *Remote) Attach(send func(link.Up)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.send = send
	r.unresponsive = false
	r.plain.services, r.plain.ends = nil, nil
	for key, replies := range r.pending {
		close(replies)
		delete(r.pending, key)
	}
	if send == nil {
		return
	}
	held := link.HeldTurns{Running: make([]link.RunningTurn, 0, len(r.held))}
	for key, head := range r.held {
		held.Running = append(held.Running, link.RunningTurn{Key: key, Head: head})
	}
	send(link.Up{HeldTurns: &held})
}

// Acquire implements Source.
func (r *Remote) Acquire(ctx context.Context, request Request) (*Turn, *Refusal) {
	if request.Model == "" {
		return r.acquirePlain(ctx, request)
	}
	t, refusal, decided := r.ask(ctx, request)
	if !decided {
		return r.local.Acquire(ctx, request)
	}
	return t, refusal
}

// maxGrantsReturned bounds the turns that a request gives back because the servers ask for a pause or may be sent nothing.
const maxGrantsReturned = 3

// ask asks the leader for a turn. decided is false if there is no link, the leader does not reply or does not lead, or its turn can't be used. A turn
// at a server that has asked for a pause or was blocked while the leader granted it is given back, and the leader, which is told too, is asked again.
func (r *Remote) ask(ctx context.Context, request Request) (t *Turn, refusal *Refusal, decided bool) {
	for range maxGrantsReturned {
		t, refusal, decided = r.askOnce(ctx, request)
		if t == nil || r.pauses.Permit(t.Server) && !r.local.limits.Blocked(t.Server) {
			return t, refusal, decided
		}
		t.Done(Result{Rejected: true, Unsent: true})
	}
	return nil, nil, false
}

func (r *Remote) askOnce(ctx context.Context, request Request) (t *Turn, refusal *Refusal, decided bool) {
	askedAt := time.Now()
	key, replies := r.submit(request)
	if replies == nil {
		return nil, nil, false
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	for {
		select {
		case reply, ok := <-replies:
			switch {
			case !ok:
				return nil, nil, false
			case reply.Queued == 0:
				return r.resolve(key, reply, askedAt.Add(request.MaxWait+turnValidity))
			}
			timer.Reset(max(request.MaxWait, turns.MaxRetryWait) + replyTimeout)
		case <-timer.C:
			r.withdraw(key, true)
			return nil, nil, false
		case <-ctx.Done():
			r.withdraw(key, false)
			return nil, &Refusal{Reason: Full, RetryAfter: retryAfter(Full), Detail: "deadline passed while waiting for a turn"}, true
		}
	}
}

// turnValidity is how long after the longest wait for it a turn at a limited server may be used. An entry that was suspended finds turns that were
// granted long ago.
const turnValidity = 500 * time.Millisecond

func (r *Remote) submit(request Request) (uint64, chan link.Down) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.send == nil || r.unresponsive {
		return 0, nil
	}
	r.lastKey++
	key := r.lastKey
	replies := make(chan link.Down, maxReplies)
	r.pending[key] = replies
	r.send(link.Up{TurnRequest: &link.TurnRequest{
		Key: key, Service: request.Service, Model: request.Model, MaxWaitMs: request.MaxWait.Milliseconds(),
		Priority: request.Priority, Tried: request.Tried, Retry: request.Retry,
		PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens, FirstTokenBudgetMs: request.FirstTokenBudget.Milliseconds(), Fingerprint: request.Fingerprint, Optional: request.Optional,
	}})
	return key, replies
}

// maxReplies is the maximum number of replies to one request: that it is queued, and the decision.
const maxReplies = 2

// withdraw cancels a request. If it was granted in the meantime, the turn is ended when the grant arrives.
func (r *Remote) withdraw(key uint64, timedOut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, key)
	delete(r.held, key) // the grant may just have arrived
	r.unresponsive = r.unresponsive || timedOut
	if r.send != nil {
		r.send(link.Up{Done: &link.Done{Key: key, Unsent: true}})
	}
}

// resolve converts the leader's decision to a turn or a refusal; see ask. A turn at a limited server expires at a time.
func (r *Remote) resolve(key uint64, reply link.Down, expires time.Time) (t *Turn, refusal *Refusal, decided bool) {
	if refusal := reply.Refusal; refusal != nil {
		if refusal.RetryAfterMs == 0 {
			return nil, nil, false // that entry is not the leader
		}
		return nil, &Refusal{
			Reason: Reason(refusal.Reason), RetryAfter: time.Duration(refusal.RetryAfterMs) * time.Millisecond,
			Detail: "leader: " + refusal.Detail,
		}, true
	}
	server := r.listing().Servers[reply.Grant.Head]
	if server == nil || server.Leaving {
		// A server that is leaving stays so until its process ends. If this entry's list says so, it is newer than the
		// leader's.
		r.finish(key, Result{Rejected: true, Unsent: true})
		return nil, nil, false
	}
	t = r.newTurn(key, server)
	if reply.Grant.Metered {
		t.Expires = expires
	}
	if reply.Grant.Watched {
		accepted := t.Accepted
		t.Accepted = func() {
			accepted()
			r.Send(link.Up{Accepted: key})
		}
	}
	t.Basis = Basis{FromLeader: true, Revision: reply.Grant.Revision, Age: time.Duration(reply.Grant.AgeMs) * time.Millisecond}
	return t, nil, true
}

// newTurn also counts the turn locally, so that this entry knows the load of the server when it has to decide by
// itself.
func (r *Remote) newTurn(key uint64, server *backend.Server) *Turn {
	t := r.local.Track(server)
	done := t.Done
	t.Done = func(result Result) {
		done(result)
		r.finish(key, result)
	}
	t.ReportStall = func() { r.Send(link.Up{StalledHead: server.ID}) }
	return t
}

func (r *Remote) finish(key uint64, result Result) {
	unsent := result.Unsent || result.Unreachable
	complete := !unsent && !result.Rejected && !result.Failed && !result.Stalled
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, key)
	if r.send != nil {
		r.send(link.Up{Done: &link.Done{Key: key, Complete: complete, FirstTokenMs: result.TimeToFirstToken.Milliseconds(), Unsent: unsent, Unreachable: result.Unreachable, Failed: result.Failed, Rejected: r.plain.enabled && result.Rejected && !unsent}})
	}
}

// Send sends a message to the leader, or drops it if there is no link.
func (r *Remote) Send(message link.Up) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.send != nil {
		r.send(message)
	}
}

// LeaderAlive records that a message was received from the leader, so that it is asked for turns again.
func (r *Remote) LeaderAlive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive = false
}

// HandleReply handles the leader's reply to a request.
func (r *Remote) HandleReply(reply link.Down) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var key uint64
	switch {
	case reply.Queued != 0:
		if replies, ok := r.pending[reply.Queued]; ok {
			replies <- reply
		}
		return
	case reply.Grant != nil:
		key = reply.Grant.Key
	case reply.Refusal != nil:
		key = reply.Refusal.Key
	default:
		return
	}
	replies, ok := r.pending[key]
	if !ok {
		if reply.Grant != nil && r.send != nil {
			r.send(link.Up{Done: &link.Done{Key: key, Unsent: true}})
		}
		return
	}
	delete(r.pending, key)
	if reply.Grant != nil {
		r.held[key] = reply.Grant.Head
	}
	replies <- reply
}
