// Package routing runs the decisions of policy/balance and policy/retry at a front: which group a request
// goes to, and whether it may be retried.
//
// Put copies each change in the table of groups into the balance.Table of the group's service. Choose decides on
// that state alone, so it costs no more than the decision itself.
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

// noGroupRetryAfter is the Retry-After for a request that found no group. It is about the time in which a home
// takes over or a group is found to be whole again.
const noGroupRetryAfter = time.Second

// unreportedServingTime is the serving time assumed for a group without a report from a home. It is above the
// ramp-up time of any new group.
const unreportedServingTime = time.Hour

// Router implements front.Chooser and front.RetryBudget. It is safe for concurrent use.
type Router struct {
	startedAt     time.Time
	failureDomain domain.FailureDomain
	registry      metrics.Registry

	mu       sync.Mutex // guards the fields below; a leaf lock
	random   *rand.Rand
	services map[string]*service
	// serviceOf maps a group to its service. Remove uses it to find the table of a group.
	serviceOf  map[vm.GroupID]string
	frontCount int
}

// service holds the balancing state and the retry budget of one service.
type service struct {
	table  *balance.Table
	budget *retry.Budget
}

// New returns a Router for a front in the given failure domain.
func New(failureDomain domain.FailureDomain, registry metrics.Registry) *Router {
	return &Router{
		startedAt: time.Now(), failureDomain: failureDomain, registry: registry,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		services: make(map[string]*service), serviceOf: make(map[vm.GroupID]string), frontCount: 1,
	}
}

func (r *Router) now() time.Duration { return time.Since(r.startedAt) }

// service returns the state of a service and creates it if necessary. mu must be held.
func (r *Router) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{
			table:  balance.NewTable(balance.DefaultConfig(), string(r.failureDomain)),
			budget: retry.NewBudget(retry.DefaultConfig(), r.now()),
		}
		s.table.SetFrontCount(r.frontCount)
		r.services[name] = s
	}
	return s
}

// SetFrontCount sets the number of fronts that share the load.
func (r *Router) SetFrontCount(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if count == r.frontCount || count < 1 {
		return
	}
	r.frontCount = count
	for _, s := range r.services {
		s.table.SetFrontCount(count)
	}
}

// ApplySettings takes over the latency objectives of the services from the settings in force.
func (r *Router) ApplySettings(snapshot *settings.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, declared := range snapshot.Services {
		config := balance.DefaultConfig()
		config.FirstTokenObjective = declared.FirstTokenObjective
		config.TokenGapObjective = declared.TokenGapObjective
		r.service(name).table.ApplyConfig(config)
	}
}

// Put updates the state of a group.
func (r *Router) Put(c fleet.Candidate) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serviceOf[c.Group.ID] = c.Group.Service
	// A group without a report from any home most likely served before this entry started, so it gets no ramp-up.
	servingFor := unreportedServingTime
	if !c.WholeSince.IsZero() {
		servingFor = time.Since(c.WholeSince)
	}
	r.service(c.Group.Service).table.Put(now, balance.Candidate{
		ID: string(c.Group.ID), Ready: c.Group.State == vm.Serving && c.Routable(),
		InFlight: c.Status.Load.InFlight, Queued: c.Status.Load.Queued, Limit: c.Status.Load.Limit,
		FirstToken: c.Status.Load.FirstToken, TokenGap: c.Status.Load.TokenGap,
		FailureDomain: string(c.Position.FailureDomain), ServingFor: servingFor, ReportID: c.LoadReports,
	})
}

// Remove removes a group.
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
func (r *Router) Choose(ask front.GroupQuery) (front.Choice, *contract.Problem) {
	now := r.now()
	request := balance.Request{Prefix: ask.PrefixHash}
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
	done := func(bool) { r.finish(ask.Service.Name, choice.ID) }
	return front.Choice{Group: vm.GroupID(choice.ID), Done: done}, nil
}

func (r *Router) finish(service, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).table.End(id)
}

// RecordFirstTry implements front.RetryBudget.
func (r *Router) RecordFirstTry(service string) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).budget.FirstTry(now)
}

// AllowRetry implements front.RetryBudget. The outcome machine has already decided that the request can be retried
// safely, so it counts as not run here.
func (r *Router) AllowRetry(service settings.Service, tries int, left time.Duration) (time.Duration, bool) {
	now := r.now()
	try := retry.Try{Result: retry.NotRun, Number: tries, TimeLeft: left}
	if service.Kind == settings.LanguageService {
		try.MinTime = service.FirstTokenObjective
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	decision := r.service(service.Name).budget.Decide(now, try, r.random.Float64())
	metrics.GetOrRegisterCounter("front.retry."+decision.Reason.String(), r.registry).Inc(1)
	return decision.Wait, decision.Reason == retry.Again
}
