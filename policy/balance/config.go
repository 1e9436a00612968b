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
	// FreeLoad is the load, as a share of a group's limit, below which affinity never passes it over.
	// 0.1 to 1.
	FreeLoad float64
	// NearLoad is the load below which a request without a prefix stays in its front's failure domain, even
	// if others are less loaded. 0 to 1.
	NearLoad float64
	// HotSpread: a prefix is spread over this many times the groups that its share of the requests calls
	// for. 1 to 30.
	HotSpread float64
	// SlowFirstToken and SlowGap: a group whose first tokens or gaps between tokens are this many times
	// the median of the service's groups is slow. 1.2 to 20.
	SlowFirstToken float64
	SlowGap        float64
	// FirstToken and TokenGap are the service's objectives. A group whose average is below half of them is
	// not slow, whatever the others do. 0: no objective.
	FirstToken, TokenGap time.Duration
	// MaxSlowShare is the largest share of the ready groups that is avoided as slow. 0 to 0.5.
	MaxSlowShare float64
	// SlowTrial is the share of its fair part of the requests that an avoided group is still given, to see
	// whether it recovered. 0.01 to 1.
	SlowTrial float64
	// SlowStart is the ramp of a new group.
	SlowStart shift.Ramp
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		BoundSlack:     0.25,
		FreeLoad:       0.9,
		NearLoad:       0.6,
		HotSpread:      10,
		SlowFirstToken: 3,
		SlowGap:        2,
		MaxSlowShare:   0.1,
		SlowTrial:      0.05,
		FirstToken:     640 * time.Millisecond,
		TokenGap:       79 * time.Millisecond,
		SlowStart:      shift.DefaultRamp(),
	}
}

// Check returns an error that wraps ErrRange and names the first value out of range.
func (c Config) Check() error {
	ranges := []struct {
		name          string
		value, lo, hi float64
	}{
		{"BoundSlack", c.BoundSlack, 0.05, 2},
		{"FreeLoad", c.FreeLoad, 0.1, 1},
		{"NearLoad", c.NearLoad, 0, 1},
		{"HotSpread", c.HotSpread, 1, 30},
		{"SlowFirstToken", c.SlowFirstToken, 1.2, 20},
		{"SlowGap", c.SlowGap, 1.2, 20},
		{"MaxSlowShare", c.MaxSlowShare, 0, 0.5},
		{"SlowTrial", c.SlowTrial, 0.01, 1},
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
