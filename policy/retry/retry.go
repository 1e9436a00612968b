// Package retry decides whether a front tries a request again on another group. Only fronts retry: homes
// and engines do not, so that tries do not multiply from layer to layer.
//
// Load pattern of this file: a service that loses requests. If one group of many broke, another try serves
// the caller. If the service is saturated, or tries time out, another try is one more request for engines
// that have no time for those they have: most work is then for callers that are gone, and the service
// stays down after the load is back to normal. An operator would notice tries at several times the rate of
// requests (3.95 times in the model with three blind retries, at 0.7 of the capacity, and 3 in 100 of the
// requests answered), and a service that recovers only when callers are cut off.
//
// So retries draw on a budget that first tries fill. A few broken groups cost a few retries and are
// covered; when much fails at once, the budget is soon empty, and callers are told when to come back.
//
// Thresholds (figures: docs/measurements/retries.md): a Share of 0.1 bounds the extra load to a tenth, which
// the headroom of a service at its daily peak holds; at half, tries that time out take the service down
// as well. PerSecond serves a service with little load, whose share is less than one retry. Burst is what
// one front has in progress on the groups of a home that dies. MaxTries is 3: a request that met three
// broken groups most likely breaks them (see quarantine). A retry after a try that did not run costs as
// much as any other: at a quarter of the price, useful work at saturation fell.
package retry

import (
	"errors"
	"fmt"
	"time"
)

// ErrRange is wrapped by the error of every configuration value out of its range.
var ErrRange = errors.New("value out of range")

// Config holds what an operator may set for a service.
type Config struct {
	// Share is how many retries each first try adds to the budget. 0 to 1.
	Share float64
	// PerSecond is how many retries each second adds to the budget. 0 to 100.
	PerSecond float64
	// Burst is the most retries that the budget holds. 1 to 1000.
	Burst float64
	// MaxTries is the largest number of tries of a request, the first included. 1 to 10.
	MaxTries int
	// Backoff is the longest wait before the second try, and MaxBackoff before any. 0 to 10 s, and Backoff
	// to 60 s.
	Backoff, MaxBackoff time.Duration
}

// DefaultConfig returns the defaults.
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

// Result says how a try ended, as far as it matters here.
type Result uint8

// The results.
const (
	// NotRun: it is confirmed that the try did not run and cannot run any more: no connection, given up
	// unsent by its home, refused by the engine, or sealed.
	NotRun Result = iota
	// MayHaveRun: the try was or may have been sent, and its answer ended early or never came.
	MayHaveRun
	// Final: it was answered, or refused for a reason that holds for every group.
	Final
)

// Try is the try that just failed.
type Try struct {
	Result Result
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// AnswerBegun says that a part of an answer went out to the caller.
	AnswerBegun bool
	// Number counts the tries of the request, this one included.
	Number int
	// TimeLeft is what is left of the caller's deadline, and MinTime what a try takes at least: the first token
	// time of the service, or 0 where not known.
	TimeLeft, MinTime time.Duration
}

// Reason says why a request is tried again or not.
type Reason uint8

// The reasons; Again is the only one for another try.
const (
	Again Reason = iota
	// ResultFinal: another group would give the same answer.
	ResultFinal
	// AnswerBegun: the caller has a part of another answer.
	AnswerBegun
	// NotRepeatable: it may have run, and may not run twice.
	NotRepeatable
	// TriesSpent: it was tried MaxTries times.
	TriesSpent
	// DeadlineNear: another try would come too late.
	DeadlineNear
	// BudgetSpent: the service loses more than the budget covers.
	BudgetSpent
)

var reasonNames = [...]string{
	"again", "final", "answer-begun", "not-repeatable", "tries-spent", "deadline-near", "budget-spent",
}

// String returns the reason's name in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the outcome of Decide.
type Decision struct {
	Reason Reason
	// Wait is how long to wait before the next try.
	Wait time.Duration
}

// Budget holds the retries that a front may yet make for one service. It is not safe for concurrent use.
type Budget struct {
	config   Config
	retries  float64
	filledAt time.Duration
}

// NewBudget returns a full budget. The configuration has passed Check.
func NewBudget(config Config, now time.Duration) *Budget {
	return &Budget{config: config, retries: config.Burst, filledAt: now}
}

// ApplyConfig puts another configuration in force.
func (b *Budget) ApplyConfig(config Config) {
	b.config = config
	b.retries = min(b.retries, config.Burst)
}

// FirstTry counts the first try of a request.
func (b *Budget) FirstTry(now time.Duration) {
	b.fill(now)
	b.retries = min(b.retries+b.config.Share, b.config.Burst)
}

// Available returns how many retries the budget holds.
func (b *Budget) Available(now time.Duration) float64 {
	b.fill(now)
	return b.retries
}

// Decide says whether the request of a failed try is tried again, on a group that it was not tried on, and
// takes the retry from the budget if so. random is from 0 to 1: it spreads the wait.
func (b *Budget) Decide(now time.Duration, try Try, random float64) Decision {
	if reason := b.allowed(try); reason != Again {
		return Decision{Reason: reason}
	}
	wait := b.backoff(try.Number, random)
	if wait+try.MinTime >= try.TimeLeft {
		return Decision{Reason: DeadlineNear}
	}
	b.fill(now)
	if b.retries < 1 {
		return Decision{Reason: BudgetSpent}
	}
	b.retries--
	return Decision{Reason: Again, Wait: wait}
}

// allowed judges the request alone.
func (b *Budget) allowed(try Try) Reason {
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

// backoff grows with each try. All of it is random, so that requests that failed together do not return
// together.
func (b *Budget) backoff(number int, random float64) time.Duration {
	longest := b.config.Backoff
	for range number - 1 {
		longest = min(2*longest, b.config.MaxBackoff)
	}
	return time.Duration(random * float64(longest))
}

func (b *Budget) fill(now time.Duration) {
	passed := max(0, now-b.filledAt)
	b.filledAt = max(b.filledAt, now)
	b.retries = min(b.retries+passed.Seconds()*b.config.PerSecond, b.config.Burst)
}
