// Package admission runs the decisions of policy/fairqueue and policy/limit at a home: it gives them the
// time, keeps one queue and one limit for each group, and wakes the requests that they let go.
//
// The flow of a request: Enter offers it to the group's queue -> it is admitted, refused at once, or
// waits until pump calls it or its time is over -> its Turn reports first token and gaps to the limit ->
// Done frees the place and pumps the queue again.
package admission

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/entry/home"
	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
	"github.com/skylarkpond/skylarkpond/policy/limit"
	"github.com/skylarkpond/skylarkpond/vm"
)

const (
	// admitInterval is how often queues are asked again without an event: places kept for short requests
	// come free with time alone.
	admitInterval = 50 * time.Millisecond
	// idleAfter is how long the queue of a group without requests is kept. Its limit was learned, so it is
	// kept for longer than a lull; a group that has another home by then would only waste memory.
	idleAfter = 10 * time.Minute
)

// Admission implements home.Admission. It is safe for concurrent use.
//
// Lock order: Admission.mu before gate.mu; no other lock is taken under either.
type Admission struct {
	start time.Time
	ids   atomic.Uint64

	mu     sync.Mutex // guards gates
	groups map[vm.GroupID]*group
}

// New returns an Admission; Run keeps its queues moving.
func New() *Admission {
	return &Admission{start: time.Now(), groups: make(map[vm.GroupID]*group)}
}

// Run pumps until ctx ends.
func (a *Admission) Run(ctx context.Context) {
	ticker := time.NewTicker(admitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.admitAll()
		}
	}
}

func (a *Admission) now() time.Duration { return time.Since(a.start) }

func (a *Admission) admitAll() {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, g := range a.groups {
		if g.admit(now) && now-g.idleSince() > idleAfter {
			delete(a.groups, id)
		}
	}
}

// Load returns the load of a group at this home.
func (a *Admission) Load(id vm.GroupID) contract.GroupLoad {
	a.mu.Lock()
	g := a.groups[id]
	a.mu.Unlock()
	if g == nil {
		return contract.GroupLoad{}
	}
	return g.load()
}

func (a *Admission) group(item home.Item) *group {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.groups[item.Group]
	if g == nil {
		g = newGroup(item.Service)
		a.groups[item.Group] = g
	}
	return g
}

// Enter implements home.Admission.
func (a *Admission) Enter(ctx context.Context, item home.Item) (home.Turn, *contract.Problem) {
	g := a.group(item)
	t := &turn{
		admission: a, group: g, id: strconv.FormatUint(a.ids.Add(1), 10),
		plain: item.Service.Kind == settings.Plain, promptTokens: item.Prompt,
	}
	verdict := g.offer(a.now(), item, t)
	switch verdict.Decision {
	case fairqueue.Admitted:
		return t, nil
	case fairqueue.Refused:
		return nil, problemFor(verdict)
	}
	return a.wait(ctx, item, t)
}

// wait returns once it is the request's turn, or its time is over. A turn that comes at the same moment
// as the end of the wait is taken: the check before the send sees whether it is still worth it.
func (a *Admission) wait(ctx context.Context, item home.Item, t *turn) (home.Turn, *contract.Problem) {
	timer := time.NewTimer(item.Service.QueueTimeout)
	defer timer.Stop()
	select {
	case <-t.decided:
		if t.expired {
			return nil, t.group.overloaded(a.now(), item, t.id)
		}
		return t, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	if !t.group.remove(a.now(), t) && !t.expired {
		return t, nil
	}
	return nil, t.group.overloaded(a.now(), item, t.id)
}

func problemFor(verdict fairqueue.Verdict) *contract.Problem {
	if verdict.Code == fairqueue.CodeDeadline {
		p := contract.Later(contract.CodeDeadline, "the request can't be answered before its deadline", verdict.RetryAfter)
		p.Next = "give it a later Request-Timeout, or come back after Retry-After"
		return p
	}
	p := contract.Later(contract.CodeOverloaded, "the group has more work than it can carry", verdict.RetryAfter)
	p.Status = http.StatusTooManyRequests
	return p
}

// group is the queue and the limit of one group.
type group struct {
	mu         sync.Mutex // guards what follows
	queue      *fairqueue.Queue
	limit      *limit.Limit
	config     limit.Config
	waiting    map[string]*turn
	firstToken average
	tokenGap   average
	lastUsed   time.Duration
}

func newGroup(service settings.Service) *group {
	g := &group{waiting: make(map[string]*turn)}
	config := fairqueue.Config{MaxWait: service.QueueTimeout}
	if service.Kind == settings.Plain {
		config = config.ForPlain(service.FirstToken)
	}
	g.queue = fairqueue.New(config)
	g.setConfig(service)
	return g
}

// setConfig must be called with mu held, or before the gate is shared. A new limit starts slowly again.
func (g *group) setConfig(service settings.Service) {
	config := limit.Config{
		TokenGap: service.TokenGap, FirstToken: service.FirstToken,
		Max: service.MaxConcurrency, NonStreaming: service.Kind == settings.Plain,
	}
	if g.limit != nil && config == g.config {
		return
	}
	g.config = config
	g.limit = limit.New(config)
}

func (g *group) offer(now time.Duration, item home.Item, t *turn) fairqueue.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastUsed = now
	g.setConfig(item.Service)
	g.applyLimit()
	verdict := g.queue.Offer(now, queueItem(now, item, t.id))
	switch verdict.Decision {
	case fairqueue.Admitted:
		t.start(now, g.queue.Running())
	case fairqueue.Queued:
		t.decided = make(chan struct{})
		g.waiting[t.id] = t
	}
	return verdict
}

// minAnswerTokens is the length of an answer, in tokens, by which a deadline is judged. The bound that a caller
// names is mostly a ceiling: held against its deadline, a service whose callers all name a high one would
// refuse every request, and never learn how long they take.
const minAnswerTokens = 16

func queueItem(now time.Duration, item home.Item, id string) fairqueue.Item {
	q := fairqueue.Item{
		ID: id, Team: item.Team.Name, Share: item.Team.Share, Priority: item.Priority, Work: fairqueue.PlainWork,
		Deadline: now + item.Timeout, Jitter: rand.Float64(),
	}
	if item.Service.Kind == settings.Language {
		q.Work = item.Work
		q.MinWork = item.Prompt + min(minAnswerTokens, item.Work-item.Prompt)
	}
	return q
}

// applyLimit must be called with mu held.
func (g *group) applyLimit() {
	g.queue.SetLimit(g.limit.Current())
	g.queue.SetStartLimit(g.limit.Starting())
}

// admit calls those whose turn it is, refuses those that have become too late, and reports whether the gate
// is empty.
func (g *group) admit(now time.Duration) (empty bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyLimit()
	for {
		item, ok := g.queue.Next(now)
		if !ok {
			break
		}
		t := g.waiting[item.ID]
		delete(g.waiting, item.ID)
		t.start(now, g.queue.Running())
		close(t.decided)
	}
	g.refuseExpired(now)
	return g.queue.Len() == 0 && g.queue.Running() == 0
}

// refuseExpired ends the wait of requests that could no longer be answered in time. It must be called with mu
// held. Left alone, they would hold places in the queue until their own timers, and their callers would
// learn late what is certain now.
func (g *group) refuseExpired(now time.Duration) {
	for _, item := range g.queue.Expire(now) {
		t := g.waiting[item.ID]
		if t == nil {
			continue
		}
		delete(g.waiting, item.ID)
		t.expired = true
		close(t.decided)
	}
}

func (g *group) idleSince() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastUsed
}

// remove takes a waiting request out; false: it was called, or refused as too late, meanwhile.
func (g *group) remove(now time.Duration, t *turn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting[t.id] == nil {
		return false
	}
	delete(g.waiting, t.id)
	g.queue.Remove(now, t.id)
	return true
}

func (g *group) overloaded(now time.Duration, item home.Item, id string) *contract.Problem {
	g.mu.Lock()
	defer g.mu.Unlock()
	retry := g.queue.RetryAfter(now, queueItem(now, item, id))
	return problemFor(fairqueue.Verdict{Code: fairqueue.CodeOverloaded, RetryAfter: retry})
}

func (g *group) load() contract.GroupLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return contract.GroupLoad{
		InFlight: g.queue.Running(), Queued: g.queue.Len(), Limit: g.limit.Current(),
		FirstToken: g.firstToken.value(), TokenGap: g.tokenGap.value(),
	}
}
