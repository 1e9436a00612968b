// Package shift decides how fast work moves: to a new replica, and between the entries that may be the
// home of a group.
//
// Load pattern of this file: a replica starts to serve while the others are busy. It has no load, so that
// fronts prefer it, no cached prefix, so that what it is given costs a whole prefill, and often an engine
// that is slow for its first batches. An operator would notice first tokens on the new replica that take
// seconds each time a replica is replaced, 360 times on an ordinary day at the size to come.
//
// Thresholds (figures: docs/measurements/shifting.md): the choice among two, late reports corrected, already
// keeps a new replica from being flooded; what the ramp adds is for engines that start slowly. With 5 of
// 50 replicas new at 0.3 of their speed for 5 s, first tokens at 99 in 100 took 2.8 s without a ramp, 2.0 s
// with one of 5 s, and 1.2 s with DefaultWindow. Where they start at full speed, each second of the window
// costs the others a little: 20 s cost more than 10 s and brought nothing. DefaultFloor is above nothing,
// because a replica that is given nothing is never measured.
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

// ErrRange is wrapped by the error of every configuration value out of its range.
var ErrRange = errors.New("value out of range")

// Ramp is the share of its capacity that a replica is offered while it is new.
type Ramp struct {
	// Floor is the share at the start, MinFloor to 1.
	Floor float64
	// Window is how long the share grows to 1, 0 (no ramp) to MaxWindow.
	Window time.Duration
}

// DefaultRamp returns the ramp with its default values.
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

// Share returns the share, Floor to 1, of a replica that has served for the given time.
func (r Ramp) Share(served time.Duration) float64 {
	if served >= r.Window {
		return 1
	}
	grown := max(0, served.Seconds()) / r.Window.Seconds()
	return r.Floor + (1-r.Floor)*grown
}
