package fairqueue

import (
	"fmt"
	"time"
)

// Config holds the tunable limits of a Queue. A field that is zero takes its default.
type Config struct {
	// MaxWait bounds the time a request may spend in the queue; the caller of one that waits longer would
	// have given up by the time of the answer. Range 10 ms to 10 min, default 2 s: enough to absorb a
	// burst of twice the work that the group does in a second, while most of a caller's timeout of ten
	// seconds or more is left for the answer.
	MaxWait time.Duration
	// StandingWait bounds the expected wait of a new request from a team once that team has been
	// backlogged for StandingAfter. A queue that never empties adds latency for everyone without adding
	// throughput; a fraction of the first token objective of 640 ms is enough to keep the group busy.
	// Range 1 ms to MaxWait, default 300 ms.
	StandingWait time.Duration
	// StandingAfter is the backlogged time that separates a burst, which the queue should absorb, from
	// saturation, which it cannot absorb. Range 100 ms to 10 min, default 5 s.
	StandingAfter time.Duration
	// MaxItems bounds the length of the queue and with it its memory. Range 1 to 100,000, default 2,048:
	// two seconds at 19 requests per second need 38 places, and short calls to plain services a hundred
	// times as many.
	MaxItems int
	// ShortWork is the largest estimated work, in tokens, of a short request. Range 1 to 1,000,000,
	// default 1,024: with the usual mean of 233 tokens, 98 in 100 requests are short.
	ShortWork int
	// ShortReserve is the fraction of the slots that long requests leave free while short requests arrive.
	// Range 0.01 to 0.9, default 0.5. The comment in slots.go describes its cost.
	ShortReserve float64
	// LongAge is the wait after which a long request is sent before the short requests of its team, so
	// that a stream of short requests cannot starve it. Range 1 ms to 10 min, default 500 ms.
	LongAge time.Duration
	// HeadStart is the work, in tokens for a share of 1, by which each priority level lets a team run
	// ahead of its fair share before it has to wait like the others. Range 1 to 10,000, default 64.
	HeadStart float64
	// TimePerToken is the assumed service time per token of work until enough requests have been measured.
	// Range 1 µs to 10 s, default 79 ms, the objective for the gap between tokens.
	TimePerToken time.Duration
	// MinRetryAfter and MaxRetryAfter bound the Retry-After of refusals. Range 1 ms to 1 h. The defaults
	// are 1 s, the resolution of the header, and 60 s, beyond which the rate measured now predicts
	// nothing.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// ReturnShare is the fraction of the drain rate that is planned for callers that were told to retry;
	// the rest is left for new requests. Range 0.05 to 1, default 0.5.
	ReturnShare float64
}

// RangeError reports a configuration value that is out of its range.
type RangeError struct {
	Field    string
	Value    any
	Min, Max any
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s is %v, not within %v to %v", e.Field, e.Value, e.Min, e.Max)
}

// maxPeriod is the upper bound of the configurable waits.
const maxPeriod = 10 * time.Minute

// WithDefaults returns the configuration with each zero value replaced by its default.
func (c Config) WithDefaults() Config {
	setDefault(&c.MaxWait, 2*time.Second)
	setDefault(&c.StandingWait, min(300*time.Millisecond, c.MaxWait))
	setDefault(&c.StandingAfter, 5*time.Second)
	setDefault(&c.MaxItems, 2048)
	setDefault(&c.ShortWork, 1024)
	setDefault(&c.ShortReserve, 0.5)
	setDefault(&c.LongAge, 500*time.Millisecond)
	setDefault(&c.HeadStart, 64)
	setDefault(&c.TimePerToken, 79*time.Millisecond)
	setDefault(&c.MinRetryAfter, time.Second)
	setDefault(&c.MaxRetryAfter, time.Minute)
	setDefault(&c.ReturnShare, 0.5)
	return c
}

// PlainWork is the work to state for a call to a plain service, for which there is no token estimate. It
// is the work of a usual request, so that thresholds in tokens keep their meaning.
const PlainWork = 256

// ForPlain returns the configuration for a plain service whose calls should take at most objective and are
// offered with PlainWork. With the TimePerToken of a language service, calls with short deadlines would be
// refused until some calls had been measured.
func (c Config) ForPlain(objective time.Duration) Config {
	c.TimePerToken = objective / PlainWork
	return c
}

// Check applies the defaults and returns a *RangeError for the first value that is out of its range, or
// nil.
func (c Config) Check() error {
	c = c.WithDefaults()
	checks := []error{
		checkRange("MaxWait", c.MaxWait, 10*time.Millisecond, maxPeriod),
		checkRange("StandingWait", c.StandingWait, time.Millisecond, c.MaxWait),
		checkRange("StandingAfter", c.StandingAfter, 100*time.Millisecond, maxPeriod),
		checkRange("MaxItems", c.MaxItems, 1, 100_000),
		checkRange("ShortWork", c.ShortWork, 1, 1_000_000),
		checkRange("ShortReserve", c.ShortReserve, 0.01, 0.9),
		checkRange("LongAge", c.LongAge, time.Millisecond, maxPeriod),
		checkRange("HeadStart", c.HeadStart, 1, 10_000),
		checkRange("TimePerToken", c.TimePerToken, time.Microsecond, 10*time.Second),
		checkRange("MinRetryAfter", c.MinRetryAfter, time.Millisecond, time.Hour),
		checkRange("MaxRetryAfter", c.MaxRetryAfter, c.MinRetryAfter, time.Hour),
		checkRange("ReturnShare", c.ReturnShare, 0.05, 1),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

type ordered interface {
	~int | ~int64 | ~float64
}

func setDefault[T ordered](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func checkRange[T ordered](field string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return &RangeError{Field: field, Value: value, Min: low, Max: high}
}
