// Package retry decides whether the front of a request, the entry that its caller is connected to, retries it on
// another group. Only fronts retry: homes, the entries that queue the requests of groups and send them to backend
// servers, and engines do not, so that retries do not multiply from layer to layer.
//
// Load pattern: a service that loses requests. If one group of many is broken, a retry serves the caller. If the
// service is saturated, or tries time out, a retry adds load to engines that have no capacity for the requests they
// have: most work is then done for callers that are gone, and the service stays down after the load is back to normal
// (a metastable failure). An operator sees tries at several times the rate of requests (3.95 times in the simulation
// with three unconditional retries at 0.7 of the capacity, with 3 in 100 of the requests answered) and a service that
// recovers only when callers are cut off.
//
// Therefore retries draw on a budget that first tries fill. A few broken groups cost a few retries and are covered;
// when many requests fail at once, the budget is soon empty, and callers are told when to retry.
//
// Thresholds (figures: docs/measurements/retries.md): a Share of 0.1 limits the extra load to a tenth, which fits in
// the headroom of a service at its daily peak; with a Share of 0.5, tries that time out take the service down as
// well. PerSecond serves a service with little load, whose share is less than one retry. Burst is the number of
// requests that one front has in progress on the groups of a home that dies. MaxTries is 3: a request that failed on
// three groups most likely breaks them (see package quarantine). A retry after a try that did not run costs as much
// as any other: at a quarter of the price, useful work at saturation fell.
package retry

import (
	"errors"
	"fmt"
	"time"
)

// ErrRange is wrapped by the error for a configuration value out of range.
var ErrRange = errors.New("value out of range")

// Config holds the settings of a service's retries.
type Config struct {
	// Share is the number of retries that each first try adds to the budget. Range 0 to 1.
	Share float64
	// PerSecond is the number of retries that each second adds to the budget. Range 0 to 100.
	PerSecond float64
	// Burst is the maximum number of retries in the budget. Range 1 to 1000.
	Burst float64
	// MaxTries is the maximum number of tries of a request, including the first. Range 1 to 10.
	MaxTries int
	// Backoff is the longest wait before the second try, and MaxBackoff the longest before any try. Ranges 0 to 10 s,
	// and Backoff to 60 s.
	Backoff, MaxBackoff time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Share: 0.1, PerSecond: 0.5, Burst: 20, MaxTries: 3,
		Backoff: 50 * time.Millisecond, MaxBackoff: time.Second,
	}
}

// Check returns an error that wraps ErrRange and names the first value out of range.
func (c Config) Check() error {
	ranges := []struct {
		name          string
		value, lo, hi float64
	}{
		{"Share", c.Share, 0, 1},
		{"PerSecond", c.PerSecond, 0, 100},
		{"Burst", c.Burst, 1, 1000},
		{"MaxTries", float64(c.MaxTries), 1, 10},
		{"Backoff", c.Backoff.Seconds(), 0, 10},
		{"MaxBackoff", c.MaxBackoff.Seconds(), c.Backoff.Seconds(), 60},
	}
	for _, r := range ranges {
		if !(r.value >= r.lo && r.value <= r.hi) {
			return fmt.Errorf("%w: %s is %v, not in %v to %v", ErrRange, r.name, r.value, r.lo, r.hi)
		}
	}
	return nil
}

// Result says how a try ended.
type Result uint8

// The results.
const (
	// NotRun means that the try is confirmed not to have run and can't run any more: no connection, given up unsent
	// by its home, refused by the engine, or sealed.
	NotRun Result = iota
	// MayHaveRun means that the try was or may have been sent, and its answer was cut off or never came.
	MayHaveRun
	// Final means that the request was answered, or refused for a reason that applies to every group.
	Final
)

// Try describes a failed try.
type Try struct {
	Result Result
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// AnswerBegun is set if a part of an answer was sent to the caller.
	AnswerBegun bool
	// Number counts the tries of the request, including this one.
	Number int
	// TimeLeft is what remains of the caller's deadline. MinTime is the least time that a try takes: the service's
	// time to the first token, or 0 if unknown.
	TimeLeft, MinTime time.Duration
}

// Reason says why a request is retried or not.
type Reason uint8

// The reasons; Again is the only one for another try.
const (
	// Again is the only reason that allows a retry.
	Again Reason = iota
	// ResultFinal means that another group would give the same answer.
	ResultFinal
	// AnswerBegun means that the caller has received a part of another answer.
	AnswerBegun
	// NotRepeatable means that the request may have run and must not run twice.
	NotRepeatable
	// TriesSpent means that the request was tried MaxTries times.
	TriesSpent
	// DeadlineNear means that another try would miss the deadline.
	DeadlineNear
	// BudgetSpent means that the service loses more requests than the budget covers.
	BudgetSpent
)

var reasonNames = [...]string{
	"again", "final", "answer-begun", "not-repeatable", "tries-spent", "deadline-near", "budget-spent",
}

// String returns the reason's name as used in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the result of Decide.
type Decision struct {
	Reason Reason
	// Wait is how long to wait before the retry.
	Wait time.Duration
}

// Budget is the retry budget of one front for one service. It is not safe for concurrent use.
type Budget struct {
	config     Config
	retries    float64
	refilledAt time.Duration
}

// NewBudget returns a full budget. The configuration must have passed Check.
func NewBudget(config Config, now time.Duration) *Budget {
	return &Budget{config: config, retries: config.Burst, refilledAt: now}
}

// ApplyConfig replaces the configuration.
func (b *Budget) ApplyConfig(config Config) {
	b.config = config
	b.retries = min(b.retries, config.Burst)
}

// FirstTry records the first try of a request.
func (b *Budget) FirstTry(now time.Duration) {
	b.refill(now)
	b.retries = min(b.retries+b.config.Share, b.config.Burst)
}

// Available returns the number of retries in the budget.
func (b *Budget) Available(now time.Duration) float64 {
	b.refill(now)
	return b.retries
}

// Decide decides whether the request of a failed try is retried on a group that it was not tried on, and if so takes
// the retry from the budget. random, from 0 to 1, is the jitter of the wait.
func (b *Budget) Decide(now time.Duration, try Try, random float64) Decision {
	if reason := b.eligible(try); reason != Again {
		return Decision{Reason: reason}
	}
	wait := b.backoff(try.Number, random)
	if wait+try.MinTime >= try.TimeLeft {
		return Decision{Reason: DeadlineNear}
	}
	b.refill(now)
	if b.retries < 1 {
		return Decision{Reason: BudgetSpent}
	}
	b.retries--
	return Decision{Reason: Again, Wait: wait}
}

// eligible returns Again if the try itself, apart from deadline and budget, allows a retry, and the reason against it
// otherwise.
func (b *Budget) eligible(try Try) Reason {
	switch {
	case try.Result == Final:
		return ResultFinal
	case try.AnswerBegun:
		return AnswerBegun
	case try.Result == MayHaveRun && !try.Idempotent:
		return NotRepeatable
	case try.Number >= b.config.MaxTries:
		return TriesSpent
	}
	return Again
}

// backoff returns a random wait of up to a ceiling that doubles with each try. The whole wait is random (full
// jitter), so that requests that failed together are not retried together.
func (b *Budget) backoff(number int, random float64) time.Duration {
	ceiling := b.config.Backoff
	for range number - 1 {
		ceiling = min(2*ceiling, b.config.MaxBackoff)
	}
	return time.Duration(random * float64(ceiling))
}

// refill adds the retries that have accrued since the last call.
func (b *Budget) refill(now time.Duration) {
	passed := max(0, now-b.refilledAt)
	b.refilledAt = max(b.refilledAt, now)
	b.retries = min(b.retries+passed.Seconds()*b.config.PerSecond, b.config.Burst)
}
