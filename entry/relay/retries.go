package relay

import (
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/retry"
)

// Retries keeps a retry budget for each service. It is safe for concurrent use.
//
// All entries share what is allowed for a service. Each entry keeps to the share that its own first attempts earn and to an equal part
// of the extra allowance, so that the total holds even among entries that can't reach each other.
type Retries struct {
	allowance Allowance
	started   time.Time

	mu      sync.Mutex // guards what follows; a leaf lock
	config  retry.Config
	budgets map[string]*retry.Budget
}

// Allowance is what all entries together may repeat of a service's requests in a window of some seconds.
type Allowance struct {
	// Ratio is the number of retries per first attempt.
	Ratio float64
	// Extra is the number of retries allowed on top of that in each window.
	Extra float64
}

const (
	// allocatedShare is the share of the allowance that is used; the rest covers entries that start or leave, and windows in which
	// load falls.
	allocatedShare = 0.8
	// burstShare is the share of the extra allowance that may be used at once when a group breaks; the rest is refilled over some
	// windows.
	burstShare = 0.65
	// refillSeconds is how long an empty budget takes to refill without any request.
	refillSeconds = 60
	// minBurst lets each entry repeat one request, however many entries there are.
	minBurst = 1
)

// NewRetries returns the budgets of one entry out of the given number.
func NewRetries(allowance Allowance, entries int) *Retries {
	r := &Retries{allowance: allowance, started: time.Now(), budgets: make(map[string]*retry.Budget)}
	r.Resize(entries)
	return r
}

// Resize divides the allowance among a new number of entries.
func (r *Retries) Resize(entries int) {
	config := retry.DefaultConfig()
	config.Share = allocatedShare * r.allowance.Ratio
	config.Burst = max(minBurst, burstShare*r.allowance.Extra/float64(max(1, entries)))
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

// FirstTry records the first attempt of a request.
func (r *Retries) FirstTry(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).FirstTry(time.Since(r.started))
}

// Take reports whether a request may be sent once more, with left being the time until its deadline, and charges the budget if so.
func (r *Retries) Take(service string, left time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	try := retry.Try{Result: retry.NotRun, Idempotent: true, Number: 1, TimeLeft: left}
	return r.budget(service).Decide(time.Since(r.started), try, 0).Reason == retry.Again
}
