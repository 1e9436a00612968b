package directory

import (
	"time"
)

// OverloadConfig holds the thresholds of an OverloadDetector.
type OverloadConfig struct {
	// High is the number of requests in progress from which on an entry is overloaded, Low the number below
	// which it no longer is.
	High, Low int
	// EnterAfter is how long the entry must be at High or above before it is overloaded, LeaveAfter how long it
	// must be below Low before it no longer is. Each change is sent to all entries and takes a few seconds to
	// reach them, and callers act on it only when they ask again: faster changes would make the load oscillate.
	EnterAfter, LeaveAfter time.Duration
}

// DefaultOverloadConfig returns the default thresholds. At the peak, 12,000 requests a second of about ten seconds
// each are 360 in progress at each of 330 entries; random variation does not reach three times that.
func DefaultOverloadConfig() OverloadConfig {
	return OverloadConfig{High: 1000, Low: 700, EnterAfter: 2 * time.Second, LeaveAfter: 15 * time.Second}
}

// OverloadDetector decides whether this entry is overloaded and should be left out of answers.
//
// An entry becomes overloaded when a few callers with many requests each drew the same entry, or when most callers
// are in one failure domain. Without the detector it would stay in answers until its callers time out.
type OverloadDetector struct {
	cfg          OverloadConfig
	overloaded   bool
	pendingSince time.Duration // when the load crossed the threshold of the other state
	pending      bool
}

// NewOverloadDetector returns a detector in the state not overloaded.
func NewOverloadDetector(cfg OverloadConfig) *OverloadDetector { return &OverloadDetector{cfg: cfg} }

// Observe records the number of requests in progress at now and reports whether the entry is overloaded.
func (o *OverloadDetector) Observe(now time.Duration, inProgress int) bool {
	crossed := inProgress >= o.cfg.High
	wait := o.cfg.EnterAfter
	if o.overloaded {
		crossed = inProgress < o.cfg.Low
		wait = o.cfg.LeaveAfter
	}
	if !crossed {
		o.pending = false
		return o.overloaded
	}
	if !o.pending {
		o.pending = true
		o.pendingSince = now
	}
	if now-o.pendingSince >= wait {
		o.overloaded = !o.overloaded
		o.pending = false
	}
	return o.overloaded
}
