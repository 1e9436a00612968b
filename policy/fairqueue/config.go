package fairqueue

import (
	"fmt"
	"time"
)

// Config holds the thresholds that an operator may need. The zero value of a field means its default.
type Config struct {
	// MaxWait bounds the wait of a queued request: what waits longer would be answered to a caller who
	// has given up. 10 ms to 10 min; default 2 s, which absorbs a burst of twice the group's work a second
	// and leaves most of a caller's patience of ten seconds and more for the answer.
	MaxWait time.Duration
	// StandingWait bounds the wait that a new request of a team is expected to have once the team has been
	// backlogged for StandingAfter. A queue that never empties makes all wait and carries no more; a
	// fraction of the first token objective of 640 ms keeps the group busy. 1 ms to MaxWait; default 300 ms.
	StandingWait time.Duration
	// StandingAfter tells a burst, which the queue should absorb, from saturation, which it cannot.
	// 100 ms to 10 min; default 5 s.
	StandingAfter time.Duration
	// MaxItems bounds the queue's length, for its memory. 1 to 100,000; default 2,048: two seconds at
	// 19 requests a second need 38, short calls to plain services a hundred times that.
	MaxItems int
	// ShortWork is the largest estimated work, in tokens, of a short request. 1 to 1,000,000; default
	// 1,024, which 98 in 100 requests of the usual mean of 233 tokens stay below.
	ShortWork int
	// ShortReserve is the part of the slots that long requests leave free while short ones come.
	// 0.01 to 0.9; default 0.5. See slots.go for what it costs.
	ShortReserve float64
	// LongAge is the wait after which a long request goes before the short ones of its team, so that it
	// never starves behind them. 1 ms to 10 min; default 500 ms.
	LongAge time.Duration
	// HeadStart is the work, in tokens for a share of 1, by which each level of priority lets a team run
	// ahead of its share before it has to wait its turn. 1 to 10,000; default 64.
	HeadStart float64
	// TimePerToken is the time that a request is expected to take for a token of work until it is measured.
	// 1 µs to 10 s; default 79 ms, the objective for the gap between tokens.
	TimePerToken time.Duration
	// MinRetryAfter and MaxRetryAfter bound Retry-After. 1 ms to 1 h; defaults 1 s, the header's unit, and
	// 60 s, beyond which the rate measured now says nothing.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// ReturnShare is the part of the drain rate that is planned for those who were told to come back; the
	// rest is left for new requests. 0.05 to 1; default 0.5.
	ReturnShare float64
}

// RangeError says which value is out of its range.
type RangeError struct {
	Field    string
	Value    any
	Min, Max any
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s is %v, not within %v to %v", e.Field, e.Value, e.Min, e.Max)
}

const longest = 10 * time.Minute

// WithDefaults returns the configuration with each zero value replaced by its default.
func (c Config) WithDefaults() Config {
	fill(&c.MaxWait, 2*time.Second)
	fill(&c.StandingWait, min(300*time.Millisecond, c.MaxWait))
	fill(&c.StandingAfter, 5*time.Second)
	fill(&c.MaxItems, 2048)
	fill(&c.ShortWork, 1024)
	fill(&c.ShortReserve, 0.5)
	fill(&c.LongAge, 500*time.Millisecond)
	fill(&c.HeadStart, 64)
	fill(&c.TimePerToken, 79*time.Millisecond)
	fill(&c.MinRetryAfter, time.Second)
	fill(&c.MaxRetryAfter, time.Minute)
	fill(&c.ReturnShare, 0.5)
	return c
}

// PlainWork is the work to state for a call of a plain service, whose work nobody estimates: that of a usual
// request, so that thresholds in tokens mean the same.
const PlainWork = 256

// ForPlain returns the configuration for a plain service whose calls should take up to objective and are
// offered with PlainWork. With the pace of a model service, calls with short deadlines would be refused until
// some have been measured.
func (c Config) ForPlain(objective time.Duration) Config {
	c.TimePerToken = objective / PlainWork
	return c
}

// Check returns a *RangeError for the first value, defaults filled in, that is out of its range, or nil.
func (c Config) Check() error {
	c = c.WithDefaults()
	checks := []error{
		within("MaxWait", c.MaxWait, 10*time.Millisecond, longest),
		within("StandingWait", c.StandingWait, time.Millisecond, c.MaxWait),
		within("StandingAfter", c.StandingAfter, 100*time.Millisecond, longest),
		within("MaxItems", c.MaxItems, 1, 100_000),
		within("ShortWork", c.ShortWork, 1, 1_000_000),
		within("ShortReserve", c.ShortReserve, 0.01, 0.9),
		within("LongAge", c.LongAge, time.Millisecond, longest),
		within("HeadStart", c.HeadStart, 1, 10_000),
		within("TimePerToken", c.TimePerToken, time.Microsecond, 10*time.Second),
		within("MinRetryAfter", c.MinRetryAfter, time.Millisecond, time.Hour),
		within("MaxRetryAfter", c.MaxRetryAfter, c.MinRetryAfter, time.Hour),
		within("ReturnShare", c.ReturnShare, 0.05, 1),
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

func fill[T ordered](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func within[T ordered](field string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return &RangeError{Field: field, Value: value, Min: low, Max: high}
}
