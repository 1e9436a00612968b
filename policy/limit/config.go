package limit

import (
	"fmt"
	"time"
)

// Config holds the objectives and the thresholds that an operator may set. The zero value of a field means its
// default.
type Config struct {
	// TokenGap is the objective for the time between two tokens, and FirstToken the objective for the time from a
	// request's arrival at the home to its first token, both at the 95th percentile. Range 1 ms to 10 min; defaults
	// 79 ms and 640 ms.
	TokenGap   time.Duration
	FirstToken time.Duration
	// Min and Max bound the limit. Range 1 to 100,000; defaults 4 and 1,024.
	Min, Max int
	// Start is the initial limit of a new group, whose caches are cold and whose speed is unknown. Range Min to Max;
	// default 16, from which the limit grows by up to 0.6 of itself each second until the objective is missed.
	Start int
	// NonStreaming is set for services that send each answer as a whole, such as plain services. The time of the
	// whole answer is then compared with FirstToken, there is no token gap, and Starting is unlimited.
	NonStreaming bool
}

// RangeError reports a configuration value out of range.
type RangeError struct {
	Field    string
	Value    any
	Min, Max any
}

// Error implements the error interface.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s is %v, not within %v to %v", e.Field, e.Value, e.Min, e.Max)
}

// WithDefaults returns the configuration with each zero value replaced by its default.
func (c Config) WithDefaults() Config {
	fill(&c.TokenGap, 79*time.Millisecond)
	fill(&c.FirstToken, 640*time.Millisecond)
	fill(&c.Max, 1024)
	fill(&c.Min, min(4, c.Max))
	fill(&c.Start, min(max(16, c.Min), c.Max))
	return c
}

// Check returns a *RangeError for the first value that is out of range after defaults are applied, or nil.
func (c Config) Check() error {
	c = c.WithDefaults()
	checks := []error{
		within("TokenGap", c.TokenGap, time.Millisecond, 10*time.Minute),
		within("FirstToken", c.FirstToken, time.Millisecond, 10*time.Minute),
		within("Max", c.Max, 1, 100_000),
		within("Min", c.Min, 1, c.Max),
		within("Start", c.Start, c.Min, c.Max),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

type ordered interface {
	~int | ~int64
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
