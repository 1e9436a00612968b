// Package admission applies the queueing of policy/fairqueue and the concurrency limit of policy/limit to the groups
// that an entry is home to. The home of a group is the entry that queues the group's requests and sends them to its
// backend servers. This package supplies the clock to these policies, keeps one queue and one limit per group, and
// wakes the requests that are admitted.
//
// The life of a request: Enter offers it to the queue of its group -> it is admitted, refused immediately, or waits
// until it is admitted, expires or times out -> its permit reports the time to first token and the gaps between tokens
// to the limit -> Done frees its slot and admits waiting requests.
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
	"github.com/skylarkpond/skylarkpond/policy/backoff"
	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
	"github.com/skylarkpond/skylarkpond/policy/limit"
	"github.com/skylarkpond/skylarkpond/policy/quota"
	"github.com/skylarkpond/skylarkpond/vm"
)

const (
	// admitInterval is how often the queues are processed in the absence of events: slots reserved for short requests
	// become available by the passage of time alone.
	admitInterval = 50 * time.Millisecond
	// idleAfter is how long the queue and the limit of a group without requests are kept. The limit was learned from
	// past requests, so it outlasts a pause in the traffic. If the group has another home by then, keeping it would
	// only waste memory.
	idleAfter = 10 * time.Minute
)

// Admission implements home.Admission. It is safe for concurrent use.
//
// Lock order: Admission.mu before group.mu. No other lock is taken while either is held.
type Admission struct {
	start time.Time
	ids   atomic.Uint64

	mu     sync.Mutex // guards groups
	groups map[vm.GroupID]*group
}

// New returns an Admission. Run must be called to admit waiting requests in the absence of other events.
func New() *Admission {
	return &Admission{start: time.Now(), groups: make(map[vm.GroupID]*group)}
}

// Run admits waiting requests periodically until ctx ends.
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

func (a *Admission) group(request home.AdmissionRequest) *group {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.groups[request.Group]
	if g == nil {
		g = newGroup(request.Service)
		a.groups[request.Group] = g
	}
	return g
}

// Enter implements home.Admission.
func (a *Admission) Enter(ctx context.Context, request home.AdmissionRequest) (home.Permit, *contract.Problem) {
	g := a.group(request)
	p := &permit{
		admission: a, group: g, id: strconv.FormatUint(a.ids.Add(1), 10),
		plain: request.Service.Kind == settings.PlainService, promptTokens: request.PromptTokens,
	}
	verdict := g.offer(a.now(), request, p)
	switch verdict.Decision {
	case fairqueue.Admitted:
		return p, nil
	case fairqueue.Refused:
		return nil, problemFor(verdict)
	}
	return a.wait(ctx, request, p)
}

// wait waits until the request is admitted or expires, its context ends, or the queue timeout passes. If the request is
// admitted at the same moment as the wait ends, the permit is used: a check before the request is sent determines
// whether it can still be answered in time.
func (a *Admission) wait(ctx context.Context, request home.AdmissionRequest, p *permit) (home.Permit, *contract.Problem) {
	timer := time.NewTimer(request.Service.QueueTimeout)
	defer timer.Stop()
	select {
	case <-p.decided:
		if p.expired {
			return nil, p.group.overloaded(a.now(), request, p.id)
		}
		return p, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	if !p.group.remove(a.now(), p) && !p.expired {
		return p, nil
	}
	return nil, p.group.overloaded(a.now(), request, p.id)
}

func problemFor(verdict fairqueue.Verdict) *contract.Problem {
	if verdict.Code == codePaused {
		return pausedProblem(verdict)
	}
	if verdict.Code == fairqueue.CodeDeadline {
		p := contract.NewRetryLater(contract.CodeDeadline, "the request can't be answered before its deadline", verdict.RetryAfter)
		p.Hint = "give it a later Request-Timeout, or come back after Retry-After"
		return p
	}
	p := contract.NewRetryLater(contract.CodeOverloaded, "the group has more work than it can carry", verdict.RetryAfter)
	p.Status = http.StatusTooManyRequests
	return p
}

// group holds the queue and the concurrency limit of one group.
type group struct {
	mu     sync.Mutex // guards the fields below
	queue  *fairqueue.Queue
	limit  *limit.Limit
	config limit.Config
	// rate is what the group's head states of the requests a second that it takes, and meter permits no more; nil without a limit.
	rate  *quota.Ledger
	meter *quota.Meter
	// backoff holds the pauses that the group's head has asked for.
	backoff    backoff.Server
	waiting    map[string]*permit
	firstToken average
	tokenGap   average
	lastUsed   time.Duration
}

func newGroup(service settings.Service) *group {
	g := &group{waiting: make(map[string]*permit), rate: quota.NewLedger(0)}
	config := fairqueue.Config{MaxWait: service.QueueTimeout}
	if service.Kind == settings.PlainService {
		config = config.ForPlain(service.FirstTokenObjective)
	}
	g.queue = fairqueue.New(config)
	g.setConfig(service)
	return g
}

// setConfig replaces the limit if the configuration of the service has changed. The new limit starts low again. It must
// be called with g.mu held, or before the group is shared.
func (g *group) setConfig(service settings.Service) {
	config := limit.Config{
		TokenGap: service.TokenGapObjective, FirstToken: service.FirstTokenObjective,
		Max: service.MaxConcurrency, NonStreaming: service.Kind == settings.PlainService,
	}
	if g.limit != nil && config == g.config {
		return
	}
	g.config = config
	g.limit = limit.New(config)
}

func (g *group) offer(now time.Duration, request home.AdmissionRequest, p *permit) fairqueue.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastUsed = now
	g.setConfig(request.Service)
	if refused, paused := g.pausedBeyond(now, min(request.Service.QueueTimeout, request.Timeout)); paused {
		return refused
	}
	g.applyLimit(now)
	verdict := g.queue.Offer(now, queueItem(now, request, p.id))
	switch verdict.Decision {
	case fairqueue.Admitted:
		g.start(now, p)
	case fairqueue.Queued:
		p.decided = make(chan struct{})
		g.waiting[p.id] = p
	}
	return verdict
}

// minAnswerTokens is the length of answer that must be possible before the deadline. The maximum length that a caller
// states is usually far above the actual length: checked against the deadline, it would make a service whose callers
// all state a high maximum refuse every request, and never learn how long requests take.
const minAnswerTokens = 16

func queueItem(now time.Duration, request home.AdmissionRequest, id string) fairqueue.Item {
	q := fairqueue.Item{
		ID: id, Team: request.Team.Name, Share: request.Team.Share, Priority: request.Priority, Work: fairqueue.PlainWork,
		Deadline: now + request.Timeout, Jitter: rand.Float64(),
	}
	if request.Service.Kind == settings.LanguageService {
		q.Work = request.EstimatedTokens
		q.MinWork = request.PromptTokens + min(minAnswerTokens, request.EstimatedTokens-request.PromptTokens)
	}
	return q
}

// start must be called with g.mu held.
func (g *group) start(now time.Duration, p *permit) {
	if g.meter != nil {
		g.meter.Take(now)
	}
	if _, probe := g.backoff.Allows(now, client); probe {
		g.backoff.Probe(now, p.id)
	}
	p.start(now, g.queue.Running(), g.rateVersion())
}

// applyLimit must be called with g.mu held.
func (g *group) applyLimit(now time.Duration) {
	current := g.limit.Current()
	if g.meter != nil {
		current = min(current, g.queue.Running()+g.meter.Permitted(now))
	}
	running := g.queue.Running()
	g.queue.SetLimit(running + g.permitted(now, current-running))
	g.queue.SetStartLimit(g.limit.Starting())
}

// admit admits the requests at the front of the queue as far as the limit allows, refuses those that can no longer meet
// their deadline, and reports whether the group has no requests left.
func (g *group) admit(now time.Duration) (empty bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		g.applyLimit(now)
		item, ok := g.queue.Next(now)
		if !ok {
			break
		}
		p := g.waiting[item.ID]
		delete(g.waiting, item.ID)
		g.start(now, p)
		close(p.decided)
	}
	g.refuseExpired(now)
	return g.queue.Len() == 0 && g.queue.Running() == 0
}

// refuseExpired ends the wait of requests that can no longer be answered before their deadline. Otherwise they would
// occupy the queue until their own timeouts, and their callers would learn late what is already certain. It must be
// called with g.mu held.
func (g *group) refuseExpired(now time.Duration) {
	for _, item := range g.queue.Expire(now) {
		p := g.waiting[item.ID]
		if p == nil {
			continue
		}
		delete(g.waiting, item.ID)
		p.expired = true
		close(p.decided)
	}
}

func (g *group) idleSince() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastUsed
}

// remove removes a waiting request from the queue. It returns false if the request was admitted or refused as expired
// in the meantime.
func (g *group) remove(now time.Duration, p *permit) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting[p.id] == nil {
		return false
	}
	delete(g.waiting, p.id)
	g.queue.Remove(now, p.id)
	return true
}

func (g *group) overloaded(now time.Duration, request home.AdmissionRequest, id string) *contract.Problem {
	g.mu.Lock()
	defer g.mu.Unlock()
	retry := g.queue.RetryAfter(now, queueItem(now, request, id))
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
