package relay

import (
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/retry"
)

// Retries keeps a budget for each service. It is safe for concurrent use.
//
// All entries share what a service allows. Each keeps to the share that its own first tries earn, so that the sum holds
// whatever the number of entries, and whoever can't reach whom.
type Retries struct {
	config  retry.Config
	started time.Time

	mu      sync.Mutex // guards budgets; a leaf lock
	budgets map[string]*retry.Budget
}

// NewRetries returns budgets with the given configuration.
func NewRetries(config retry.Config) *Retries {
	return &Retries{config: config, started: time.Now(), budgets: make(map[string]*retry.Budget)}
}

func (r *Retries) budget(service string) *retry.Budget {
	budget, ok := r.budgets[service]
	if !ok {
		budget = retry.NewBudget(r.config, time.Since(r.started))
		r.budgets[service] = budget
	}
	return budget
}

// FirstTry counts the first send of a request.
func (r *Retries) FirstTry(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).FirstTry(time.Since(r.started))
}

// Take says whether a request may be sent once more, and takes that from the budget.
func (r *Retries) Take(service string, left time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	try := retry.Try{Result: retry.NotRun, Idempotent: true, Number: 1, Left: left}
	return r.budget(service).Decide(time.Since(r.started), try, 0).Reason == retry.Again
}
