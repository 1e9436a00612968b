// Load pattern of this file: none; it holds the thresholds of the package, which name theirs, and keeps a
// configured one within the range where the decision still works. Out of it, an operator would notice a
// balancer that has silently become another one: a MaxSlowShare of 1 empties the service when a measure
// is wrong, and a BoundSlack of 0 passes a group over on every request. Ranges end where the figures in
// docs/measurements/group-choice.md show the decision turning into one of its baselines.

package balance

import (
	"errors"
	"fmt"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/shift"
)

// ErrRange is wrapped by the error of every configuration value out of its range.
var ErrRange = errors.New("value out of range")

// Config holds what an operator may set for a service.
type Config struct {
	// BoundSlack: a group that is loaded by more than this share above the mean is passed over by
	// affinity. 0.05 to 2.
	BoundSlack float64
	// MinLoadBound is the load, as a share of a group's limit, below which affinity never passes it over.
	// 0.1 to 1.
	MinLoadBound float64
	// NearLoad is the load below which a request without a prefix stays in its front's failure domain, even
	// if others are less loaded. 0 to 1.
	NearLoad float64
	// SpreadFactor: a prefix is spread over this many times the groups that its share of the requests calls
	// for. 1 to 30.
	SpreadFactor float64
	// SlowFirstTokenFactor and SlowGap: a group whose first tokens or gaps between tokens are this many times
	// the median of the service's groups is slow. 1.2 to 20.
	SlowFirstTokenFactor float64
	SlowTokenGapFactor   float64
	// FirstTokenObjective and TokenGapObjective are the service's objectives. A group whose average is below half of them is
	// not slow, whatever the others do. 0: no objective.
	FirstTokenObjective, TokenGapObjective time.Duration
	// MaxSlowShare is the largest share of the ready groups that is avoided as slow. 0 to 0.5.
	MaxSlowShare float64
	// SlowTrialShare is the share of its fair part of the requests that an avoided group is still given, to see
	// whether it recovered. 0.01 to 1.
	SlowTrialShare float64
	// SlowStart is the ramp of a new group.
	SlowStart shift.Ramp
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		BoundSlack:           0.25,
		MinLoadBound:         0.9,
		NearLoad:             0.6,
		SpreadFactor:         10,
		SlowFirstTokenFactor: 3,
		SlowTokenGapFactor:   2,
		MaxSlowShare:         0.1,
		SlowTrialShare:       0.05,
		FirstTokenObjective:  640 * time.Millisecond,
		TokenGapObjective:    79 * time.Millisecond,
		SlowStart:            shift.DefaultRamp(),
	}
}

// Check returns an error that wraps ErrRange and names the first value out of range.
func (c Config) Check() error {
	ranges := []struct {
		name          string
		value, lo, hi float64
	}{
		{"BoundSlack", c.BoundSlack, 0.05, 2},
		{"MinLoadBound", c.MinLoadBound, 0.1, 1},
		{"NearLoad", c.NearLoad, 0, 1},
		{"SpreadFactor", c.SpreadFactor, 1, 30},
		{"SlowFirstTokenFactor", c.SlowFirstTokenFactor, 1.2, 20},
		{"SlowTokenGapFactor", c.SlowTokenGapFactor, 1.2, 20},
		{"MaxSlowShare", c.MaxSlowShare, 0, 0.5},
		{"SlowTrialShare", c.SlowTrialShare, 0.01, 1},
	}
	for _, r := range ranges {
		if !(r.value >= r.lo && r.value <= r.hi) {
			return fmt.Errorf("%w: %s is %v, not in %v to %v", ErrRange, r.name, r.value, r.lo, r.hi)
		}
	}
	if err := c.SlowStart.Check(); err != nil {
		return fmt.Errorf("%w: SlowStart: %w", ErrRange, err)
	}
	return nil
}
