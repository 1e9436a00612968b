package turn

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

// answerTime is how long a request waits for the first word of the entry in charge, and how much longer than its patience for the last. The
// way there and back takes some milliseconds. After that this entry decides for itself, and goes on so until it hears from the other: one that
// is gone is noticed by its link only after a second, and each request that waits for it in vain is answered late.
const answerTime = 80 * time.Millisecond

// Remote gives turns by asking the entry in charge. Where that one does not answer, and for plain services, Local decides. No turn is given
// at a server that is leaving or gone by this entry's own list, whoever granted it: the leader's list may be older.
type Remote struct {
	local   *Local
	listing func() *backend.Listing

	mu sync.Mutex // guards what follows; a leaf lock
	// send reaches the entry in charge; nil without a link.
	send func(link.Up)
	// waiting are the requests without an answer, running the turns that are held.
	waiting map[uint64]chan link.Down
	running map[uint64]backend.ID
	lastKey uint64
	// doubted says that the entry in charge has left a request without a word, and was not heard since.
	doubted bool
}

// NewRemote returns a Remote without a link.
func NewRemote(local *Local, listing func() *backend.Listing) *Remote {
	return &Remote{
		local: local, listing: listing, waiting: make(map[uint64]chan link.Down), running: make(map[uint64]backend.ID),
	}
}

// Attach sets the way to the entry in charge, or nil, and tells it of the turns that are held, before anything else. Were they told
// sooner, those that end before the way is there would count for ever. Requests that wait at an earlier one are decided here.
func (r *Remote) Attach(send func(link.Up)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.send = send
	r.doubted = false
	for key, answer := range r.waiting {
		close(answer)
		delete(r.waiting, key)
	}
	if send == nil {
		return
	}
	held := link.Turns{Running: make([]link.Running, 0, len(r.running))}
	for key, head := range r.running {
		held.Running = append(held.Running, link.Running{Key: key, Head: head})
	}
	send(link.Up{Turns: &held})
}

// Take implements Taker.
func (r *Remote) Take(ctx context.Context, ask Ask) (*Turn, *Refusal) {
	if ask.Model == "" {
		return r.local.Take(ctx, ask)
	}
	key, answer := r.ask(ask)
	if answer == nil {
		return r.local.Take(ctx, ask)
	}
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	for {
		select {
		case down, ok := <-answer:
			switch {
			case !ok:
				return r.local.Take(ctx, ask)
			case down.Queued == 0:
				return r.settle(ctx, ask, key, down)
			}
			timer.Reset(max(ask.Patience, turns.MaxRetryWait) + answerTime)
		case <-timer.C:
			r.giveUp(key, true)
			return r.local.Take(ctx, ask)
		case <-ctx.Done():
			r.giveUp(key, false)
			return nil, &Refusal{Reason: Full, Detail: "deadline passed while waiting for a turn"}
		}
	}
}

func (r *Remote) ask(ask Ask) (uint64, chan link.Down) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.send == nil || r.doubted {
		return 0, nil
	}
	r.lastKey++
	key := r.lastKey
	answer := make(chan link.Down, wordsOfLeader)
	r.waiting[key] = answer
	r.send(link.Up{Ask: &link.Ask{
		Key: key, Service: ask.Service, Model: ask.Model, PatienceMs: ask.Patience.Milliseconds(),
		Priority: ask.Priority, Tried: ask.Tried, Returning: ask.Returning,
		Prompt: ask.Prompt, Answer: ask.Answer, DueMs: ask.Due.Milliseconds(), Fingerprint: ask.Fingerprint,
	}})
	return key, answer
}

// wordsOfLeader is how many messages the entry in charge sends on one request at most: that it waits, and what becomes of it.
const wordsOfLeader = 2

// giveUp takes a request back. A turn that crosses this is ended when it arrives.
func (r *Remote) giveUp(key uint64, doubted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, key)
	r.doubted = r.doubted || doubted
	if r.send != nil {
		r.send(link.Up{Done: &link.Done{Key: key}})
	}
}

// settle turns the leader's word into a turn or a refusal.
func (r *Remote) settle(ctx context.Context, ask Ask, key uint64, down link.Down) (*Turn, *Refusal) {
	if refuse := down.Refuse; refuse != nil {
		if refuse.RetryAfterMs == 0 {
			return r.local.Take(ctx, ask) // it is not in charge
		}
		return nil, &Refusal{
			Reason: Reason(refuse.Reason), RetryAfter: time.Duration(refuse.RetryAfterMs) * time.Millisecond,
			Detail: "leader: " + refuse.Detail,
		}
	}
	server := r.listing().Servers[down.Grant.Head]
	if server == nil || server.Leaving {
		// A server never comes back from leaving in one life, so that this entry's list is newer than the leader's if it says so.
		r.end(key, Result{Rejected: true})
		return r.local.Take(ctx, ask)
	}
	t := r.turn(key, server)
	t.Basis = Basis{Leader: true, Revision: down.Grant.Revision, Age: time.Duration(down.Grant.AgeMs) * time.Millisecond}
	return t, nil
}

// turn wraps the local account of the server, so that this entry knows enough when it has to decide by itself.
func (r *Remote) turn(key uint64, server *backend.Server) *Turn {
	t := r.local.Hold(server)
	done := t.Done
	t.Done = func(result Result) {
		done(result)
		r.end(key, result)
	}
	t.Silent = func() { r.Tell(link.Up{Silent: server.ID}) }
	return t
}

func (r *Remote) end(key uint64, result Result) {
	whole := !result.Unreachable && !result.Rejected && !result.Failed && !result.Silent
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, key)
	if r.send != nil {
		r.send(link.Up{Done: &link.Done{Key: key, Whole: whole, FirstMs: result.First.Milliseconds()}})
	}
}

// Tell sends a message to the entry in charge, if there is a way.
func (r *Remote) Tell(message link.Up) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.send != nil {
		r.send(message)
	}
}

// Heard notes that the entry in charge is there: something came from it.
func (r *Remote) Heard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubted = false
}

// Answered takes the leader's word on a request.
func (r *Remote) Answered(down link.Down) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var key uint64
	switch {
	case down.Queued != 0:
		if answer, ok := r.waiting[down.Queued]; ok {
			answer <- down
		}
		return
	case down.Grant != nil:
		key = down.Grant.Key
	case down.Refuse != nil:
		key = down.Refuse.Key
	default:
		return
	}
	answer, ok := r.waiting[key]
	if !ok {
		if down.Grant != nil && r.send != nil {
			r.send(link.Up{Done: &link.Done{Key: key}})
		}
		return
	}
	delete(r.waiting, key)
	if down.Grant != nil {
		r.running[key] = down.Grant.Head
	}
	answer <- down
}
