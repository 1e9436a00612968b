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
	// pumpInterval is how often queues are asked again without an event: places kept for short requests
	// come free with time alone.
	pumpInterval = 50 * time.Millisecond
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

	mu    sync.Mutex // guards gates
	gates map[vm.GroupID]*gate
}

// New returns an Admission; Run keeps its queues moving.
func New() *Admission {
	return &Admission{start: time.Now(), gates: make(map[vm.GroupID]*gate)}
}

// Run pumps until ctx ends.
func (a *Admission) Run(ctx context.Context) {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.pumpAll()
		}
	}
}

func (a *Admission) now() time.Duration { return time.Since(a.start) }

func (a *Admission) pumpAll() {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, g := range a.gates {
		if g.pump(now) && now-g.lastUse() > idleAfter {
			delete(a.gates, id)
		}
	}
}

// Load returns the load of a group at this home.
func (a *Admission) Load(id vm.GroupID) contract.GroupLoad {
	a.mu.Lock()
	g := a.gates[id]
	a.mu.Unlock()
	if g == nil {
		return contract.GroupLoad{}
	}
	return g.load()
}

func (a *Admission) gate(item home.Item) *gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.gates[item.Group]
	if g == nil {
		g = newGate(item.Service)
		a.gates[item.Group] = g
	}
	return g
}

// Enter implements home.Admission.
func (a *Admission) Enter(ctx context.Context, item home.Item) (home.Turn, *contract.Problem) {
	g := a.gate(item)
	t := &turn{
		admission: a, gate: g, id: strconv.FormatUint(a.ids.Add(1), 10),
		plain: item.Service.Kind == settings.Plain, prompt: item.Prompt,
	}
	verdict := g.offer(a.now(), item, t)
	switch verdict.Decision {
	case fairqueue.Admitted:
		return t, nil
	case fairqueue.Refused:
		return nil, refusal(verdict)
	}
	return a.wait(ctx, item, t)
}

// wait returns once it is the request's turn, or its time is over. A turn that comes at the same moment
// as the end of the wait is taken: the check before the send sees whether it is still worth it.
func (a *Admission) wait(ctx context.Context, item home.Item, t *turn) (home.Turn, *contract.Problem) {
	timer := time.NewTimer(item.Service.QueueTimeout)
	defer timer.Stop()
	select {
	case <-t.called:
		if t.late {
			return nil, t.gate.overloaded(a.now(), item, t.id)
		}
		return t, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	if !t.gate.remove(a.now(), t) && !t.late {
		return t, nil
	}
	return nil, t.gate.overloaded(a.now(), item, t.id)
}

func refusal(verdict fairqueue.Verdict) *contract.Problem {
	if verdict.Code == fairqueue.CodeDeadline {
		p := contract.NewRetryLater(contract.CodeDeadline, "the request can't be answered before its deadline", verdict.RetryAfter)
		p.Hint = "give it a later Request-Timeout, or come back after Retry-After"
		return p
	}
	p := contract.NewRetryLater(contract.CodeOverloaded, "the group has more work than it can carry", verdict.RetryAfter)
	p.Status = http.StatusTooManyRequests
	return p
}

// gate is the queue and the limit of one group.
type gate struct {
	mu      sync.Mutex // guards what follows
	queue   *fairqueue.Queue
	limit   *limit.Limit
	config  limit.Config
	waiting map[string]*turn
	first   average
	gap     average
	used    time.Duration
}

func newGate(service settings.Service) *gate {
	g := &gate{waiting: make(map[string]*turn)}
	config := fairqueue.Config{MaxWait: service.QueueTimeout}
	if service.Kind == settings.Plain {
		config = config.ForPlain(service.FirstToken)
	}
	g.queue = fairqueue.New(config)
	g.setConfig(service)
	return g
}

// setConfig must be called with mu held, or before the gate is shared. A new limit starts slowly again.
func (g *gate) setConfig(service settings.Service) {
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

func (g *gate) offer(now time.Duration, item home.Item, t *turn) fairqueue.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used = now
	g.setConfig(item.Service)
	g.applyLimit()
	verdict := g.queue.Offer(now, queued(now, item, t.id))
	switch verdict.Decision {
	case fairqueue.Admitted:
		t.begin(now, g.queue.Running())
	case fairqueue.Queued:
		t.called = make(chan struct{})
		g.waiting[t.id] = t
	}
	return verdict
}

// leastAnswer is the length of an answer, in tokens, by which a deadline is judged. The bound that a caller
// names is mostly a ceiling: held against its deadline, a service whose callers all name a high one would
// refuse every request, and never learn how long they take.
const leastAnswer = 16

func queued(now time.Duration, item home.Item, id string) fairqueue.Item {
	q := fairqueue.Item{
		ID: id, Team: item.Team.Name, Share: item.Team.Share, Priority: item.Priority, Work: fairqueue.PlainWork,
		Deadline: now + item.Timeout, Jitter: rand.Float64(),
	}
	if item.Service.Kind == settings.Language {
		q.Work = item.Work
		q.MinWork = item.Prompt + min(leastAnswer, item.Work-item.Prompt)
	}
	return q
}

// applyLimit must be called with mu held.
func (g *gate) applyLimit() {
	g.queue.SetLimit(g.limit.Current())
	g.queue.SetStartLimit(g.limit.Starting())
}

// pump calls those whose turn it is, refuses those that have become too late, and reports whether the gate
// is empty.
func (g *gate) pump(now time.Duration) (empty bool) {
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
		t.begin(now, g.queue.Running())
		close(t.called)
	}
	g.refuseLate(now)
	return g.queue.Len() == 0 && g.queue.Running() == 0
}

// refuseLate ends the wait of requests that could no longer be answered in time. It must be called with mu
// held. Left alone, they would hold places in the queue until their own timers, and their callers would
// learn late what is certain now.
func (g *gate) refuseLate(now time.Duration) {
	for _, item := range g.queue.Expire(now) {
		t := g.waiting[item.ID]
		if t == nil {
			continue
		}
		delete(g.waiting, item.ID)
		t.late = true
		close(t.called)
	}
}

func (g *gate) lastUse() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.used
}

// remove takes a waiting request out; false: it was called, or refused as too late, meanwhile.
func (g *gate) remove(now time.Duration, t *turn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting[t.id] == nil {
		return false
	}
	delete(g.waiting, t.id)
	g.queue.Remove(now, t.id)
	return true
}

func (g *gate) overloaded(now time.Duration, item home.Item, id string) *contract.Problem {
	g.mu.Lock()
	defer g.mu.Unlock()
	retry := g.queue.RetryAfter(now, queued(now, item, id))
	return refusal(fairqueue.Verdict{Code: fairqueue.CodeOverloaded, RetryAfter: retry})
}

func (g *gate) load() contract.GroupLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return contract.GroupLoad{
		InFlight: g.queue.Running(), Queued: g.queue.Len(), Limit: g.limit.Current(),
		FirstToken: g.first.value(), TokenGap: g.gap.value(),
	}
}
