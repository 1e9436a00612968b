package relay

import (
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/retry"
)

// Retries keeps a budget for each service. It is safe for concurrent use.
//
// All entries share what a service allows. Each keeps to the share that its own first tries earn, and to an even part of what is allowed
// beyond that, so that the sum holds whoever can't reach whom.
type Retries struct {
	allowed Allowed
	started time.Time

	mu      sync.Mutex // guards what follows; a leaf lock
	config  retry.Config
	budgets map[string]*retry.Budget
}

// Allowed is what all entries together may repeat of a service's requests, in a window of some seconds.
type Allowed struct {
	// Ratio is the share of the first tries.
	Ratio float64
	// Extra is allowed on top of that in each window.
	Extra float64
}

const (
	// usedShare of what is allowed is given out; the rest covers entries that start or leave, and windows in which load falls.
	usedShare = 0.8
	// burstShare of the extra may be used at once, when a group breaks; the rest comes back within some windows.
	burstShare = 0.65
	// refillSeconds is how long an empty budget takes to fill without any request.
	refillSeconds = 60
	// leastBurst lets one request be repeated at an entry, however many entries there are.
	leastBurst = 1
)

// NewRetries returns budgets for one of a number of entries.
func NewRetries(allowed Allowed, entries int) *Retries {
	r := &Retries{allowed: allowed, started: time.Now(), budgets: make(map[string]*retry.Budget)}
	r.Resize(entries)
	return r
}

// Resize divides what is allowed among another number of entries.
func (r *Retries) Resize(entries int) {
	config := retry.DefaultConfig()
	config.Share = usedShare * r.allowed.Ratio
	config.Burst = max(leastBurst, burstShare*r.allowed.Extra/float64(max(1, entries)))
	config.PerSecond = config.Burst / refillSeconds
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = config
	for _, budget := range r.budgets {
		budget.ApplyConfig(config)
	}
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
	try := retry.Try{Result: retry.NotRun, Idempotent: true, Number: 1, TimeLeft: left}
	return r.budget(service).Decide(time.Since(r.started), try, 0).Reason == retry.Again
}
