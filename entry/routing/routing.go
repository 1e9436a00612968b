// Package routing runs the decisions of policy/balance and policy/retry at a front: which group a request
// goes to, and whether it may be tried again.
//
// The flow: the table of groups tells of each change -> Put takes it into the balance.Table of the
// group's service -> Choose decides on what is there, at no cost but the decision's own.
package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/fleet"
	"github.com/skylarkpond/skylarkpond/entry/front"
	"github.com/skylarkpond/skylarkpond/policy/balance"
	"github.com/skylarkpond/skylarkpond/policy/retry"
	"github.com/skylarkpond/skylarkpond/vm"
)

// noGroupRetryAfter is when a caller comes back that found no group: about the time in which a home takes
// over or a group is found whole again.
const noGroupRetryAfter = time.Second

// unheardSince is above every ramp of a new group.
const unheardSince = time.Hour

// Router implements front.Chooser and front.RetryBudget. It is safe for concurrent use.
type Router struct {
	start         time.Time
	failureDomain domain.FailureDomain
	registry      metrics.Registry

	mu       sync.Mutex // guards what follows; a leaf lock
	random   *rand.Rand
	services map[string]*service
	// serviceOf finds the table of a group that is gone.
	serviceOf map[vm.GroupID]string
	fronts    int
}

type service struct {
	table  *balance.Table
	budget *retry.Budget
}

// New returns a router of a front in the given failure domain.
func New(failureDomain domain.FailureDomain, registry metrics.Registry) *Router {
	return &Router{
		start: time.Now(), failureDomain: failureDomain, registry: registry,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		services: make(map[string]*service), serviceOf: make(map[vm.GroupID]string), fronts: 1,
	}
}

func (r *Router) now() time.Duration { return time.Since(r.start) }

// service must be called with mu held.
func (r *Router) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{
			table:  balance.NewTable(balance.DefaultConfig(), string(r.failureDomain)),
			budget: retry.NewBudget(retry.DefaultConfig(), r.now()),
		}
		s.table.SetFrontCount(r.fronts)
		r.services[name] = s
	}
	return s
}

// SetFronts tells how many fronts share the load.
func (r *Router) SetFronts(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if count == r.fronts || count < 1 {
		return
	}
	r.fronts = count
	for _, s := range r.services {
		s.table.SetFrontCount(count)
	}
}

// ApplySettings takes the objectives of the services in force.
func (r *Router) ApplySettings(snapshot *settings.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, declared := range snapshot.Services {
		config := balance.DefaultConfig()
		config.FirstTokenObjective = declared.FirstToken
		config.TokenGapObjective = declared.TokenGap
		r.service(name).table.ApplyConfig(config)
	}
}

// Put takes in what is known of a group now.
func (r *Router) Put(c fleet.Candidate) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serviceOf[c.Group.ID] = c.Group.Service
	// A group of which no home was heard yet was most likely there before this entry: it gets no ramp.
	since := unheardSince
	if !c.ServingSince.IsZero() {
		since = time.Since(c.ServingSince)
	}
	r.service(c.Group.Service).table.Put(now, balance.Candidate{
		ID: string(c.Group.ID), Ready: c.Group.State == vm.Serving && c.MayServe(),
		InFlight: c.Status.Load.InFlight, Queued: c.Status.Load.Queued, Limit: c.Status.Load.Limit,
		FirstToken: c.Status.Load.FirstToken, TokenGap: c.Status.Load.TokenGap,
		FailureDomain: string(c.Position.FailureDomain), ServingFor: since, ReportID: c.Report,
	})
}

// Remove forgets a group.
func (r *Router) Remove(id vm.GroupID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, ok := r.serviceOf[id]
	if !ok {
		return
	}
	delete(r.serviceOf, id)
	r.service(name).table.Remove(string(id))
}

// Choose implements front.Chooser.
func (r *Router) Choose(ask front.Ask) (front.Choice, *contract.Problem) {
	now := r.now()
	request := balance.Request{Prefix: ask.Prefix}
	for _, tried := range ask.Tried {
		request.Tried = append(request.Tried, string(tried))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	table := r.service(ask.Service.Name).table
	choice := table.Choose(now, request, r.random)
	metrics.GetOrRegisterCounter("front.choice."+choice.Reason.String(), r.registry).Inc(1)
	if choice.Reason == balance.NoGroup {
		return front.Choice{}, contract.NewRetryLater(contract.CodeNoGroup, "no group of the service can take the request", noGroupRetryAfter)
	}
	table.Begin(choice.ID)
	done := func(bool) { r.end(ask.Service.Name, choice.ID) }
	return front.Choice{Group: vm.GroupID(choice.ID), Done: done}, nil
}

func (r *Router) end(service, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).table.End(id)
}

// First implements front.RetryBudget.
func (r *Router) First(service string) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).budget.FirstTry(now)
}

// Retry implements front.RetryBudget. That the request may be tried again without harm was decided by the
// outcome machine; here it counts as not run.
func (r *Router) Retry(service settings.Service, tries int, left time.Duration) (time.Duration, bool) {
	now := r.now()
	try := retry.Try{Result: retry.NotRun, Number: tries, TimeLeft: left}
	if service.Kind == settings.Language {
		try.MinTime = service.FirstToken
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	decision := r.service(service.Name).budget.Decide(now, try, r.random.Float64())
	metrics.GetOrRegisterCounter("front.retry."+decision.Reason.String(), r.registry).Inc(1)
	return decision.Wait, decision.Reason == retry.Again
}
