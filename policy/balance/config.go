// The ranges keep each threshold where the decision still works. Outside them the balancer silently degrades
// into one of the baselines of docs/measurements/group-choice.md: with a MaxSlowShare of 1, wrong measurements
// take every group of the service out of use, and with a BoundSlack of 0 affinity passes over a group on every
// request.

package balance

import (
	"errors"
	"fmt"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/shift"
)

// ErrRange is wrapped by the errors of Check for values out of range.
var ErrRange = errors.New("value out of range")

// Config holds the settings of a service's balancer.
type Config struct {
	// BoundSlack is by how much a group's load may exceed the mean load, as a share of the mean, before
	// affinity passes over the group. Range: 0.05 to 2.
	BoundSlack float64
	// MinLoadBound is the load, as a share of a group's limit, below which affinity never passes over the
	// group, however low the mean is. Range: 0.1 to 1.
	MinLoadBound float64
	// NearLoad is the load below which a request without a prefix stays in its front's failure domain, even
	// if groups elsewhere are less loaded. Range: 0 to 1.
	NearLoad float64
	// SpreadFactor multiplies the number of groups that a popular prefix is spread over: it gets this many
	// times the groups that its share of the requests calls for. Range: 1 to 30.
	SpreadFactor float64
	// SlowFirstTokenFactor and SlowTokenGapFactor are the multiples of the median over the service's groups
	// at which a group's time to first token, or its gap between tokens, makes it slow. Range: 1.2 to 20.
	SlowFirstTokenFactor float64
	SlowTokenGapFactor   float64
	// FirstTokenObjective and TokenGapObjective are the service's latency objectives. A group whose average
	// is below half of them is not slow, however fast the others are. 0: no objective.
	FirstTokenObjective, TokenGapObjective time.Duration
	// MaxSlowShare is the largest share of the ready groups that may be avoided as slow. Range: 0 to 0.5.
	MaxSlowShare float64
	// SlowTrialShare is the share of its fair part of the requests that an avoided group still gets, so that
	// its recovery is noticed. Range: 0.01 to 1.
	SlowTrialShare float64
	// SlowStart ramps up the load of a new group.
	SlowStart shift.Ramp
}

// DefaultConfig returns the default settings.
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
