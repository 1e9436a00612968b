// Package shift limits how fast load moves: to a new replica (Ramp), and between the entries that may be the home of
// a group (FlapDamper). The home of a group is the entry that queues the group's requests and sends them to its
// backend servers.
//
// A replica that starts to serve while the others are busy has no load, so fronts prefer it. It has no cached prefixes,
// so each request costs a full prefill, and its engine is often slow for the first batches. Without a ramp, the first
// tokens on a new replica take seconds each time a replica is replaced, which at the planned size happens 360 times on
// an ordinary day.
//
// Thresholds (figures: docs/measurements/shifting.md): choosing the less loaded of two groups by corrected reports
// already keeps a new replica from being flooded; the ramp helps with engines that start slowly. With 5 of 50 replicas
// new and at 0.3 of their speed for 5 s, the 99th percentile of the time to first token was 2.8 s without a ramp, 2.0 s
// with one of 5 s, and 1.2 s with DefaultWindow. If they start at full speed, each second of the window costs the other
// replicas a little: 20 s cost more than 10 s and brought nothing. DefaultFloor is above zero because a replica that
// gets no requests is never measured.
package shift

import (
	"errors"
	"fmt"
	"time"
)

// Defaults and ranges of a Ramp.
const (
	DefaultFloor  = 0.1
	DefaultWindow = 10 * time.Second

	MinFloor  = 0.01
	MaxWindow = 10 * time.Minute
)

// ErrRange is wrapped by the errors of Check for values out of range.
var ErrRange = errors.New("value out of range")

// Ramp is the slow start of a new replica: the share of its capacity that is used, growing linearly.
type Ramp struct {
	// Floor is the share at the start. Range: MinFloor to 1.
	Floor float64
	// Window is the time in which the share grows to 1. Range: 0 (no ramp) to MaxWindow.
	Window time.Duration
}

// DefaultRamp returns the default ramp.
func DefaultRamp() Ramp {
	return Ramp{Floor: DefaultFloor, Window: DefaultWindow}
}

// Check returns an error that wraps ErrRange and names the first value out of range.
func (r Ramp) Check() error {
	if !(r.Floor >= MinFloor && r.Floor <= 1) {
		return fmt.Errorf("%w: floor %v is not in %v to 1", ErrRange, r.Floor, MinFloor)
	}
	if r.Window < 0 || r.Window > MaxWindow {
		return fmt.Errorf("%w: window %v is not in 0 to %v", ErrRange, r.Window, MaxWindow)
	}
	return nil
}

// Share returns the share of its capacity, Floor to 1, that a replica gets after serving for the given time.
func (r Ramp) Share(served time.Duration) float64 {
	if served >= r.Window {
		return 1
	}
	grown := max(0, served.Seconds()) / r.Window.Seconds()
	return r.Floor + (1-r.Floor)*grown
}
