package directory

import (
	"time"
)

// OverloadConfig holds the thresholds of Overload.
type OverloadConfig struct {
	// High is the number of requests in progress at and above which an entry is overloaded, Low the one
	// below which it no longer is.
	High, Low int
	// EnterAfter is how long it must last, and LeaveAfter how long it must be over. Each change is told to all
	// entries and takes a few seconds to reach them, and callers act on it only when they ask again;
	// one that flips faster than that would swing load to and fro.
	EnterAfter, LeaveAfter time.Duration
}

// DefaultOverloadConfig returns the thresholds in use. At the peak, 12,000 requests a second of some ten
// seconds each are 360 in progress at each of 330 entries; three times that is no spread of chance.
func DefaultOverloadConfig() OverloadConfig {
	return OverloadConfig{High: 1000, Low: 700, EnterAfter: 2 * time.Second, LeaveAfter: 15 * time.Second}
}

// OverloadDetector says whether this entry should be left out of answers.
//
// Load pattern: few callers with many requests each, who all drew the same entry, or callers that sit
// mostly in one failure domain. Without it the entry stays in answers until its callers time out.
type OverloadDetector struct {
	cfg   OverloadConfig
	on    bool
	since time.Duration // since when the requests in progress ask for the other state
	asks  bool
}

// NewOverloadDetector returns an Overload that is off.
func NewOverloadDetector(cfg OverloadConfig) *OverloadDetector { return &OverloadDetector{cfg: cfg} }

// Observe takes in the requests in progress at now and returns the state.
func (o *OverloadDetector) Observe(now time.Duration, inProgress int) bool {
	asks := inProgress >= o.cfg.High
	wait := o.cfg.EnterAfter
	if o.on {
		asks = inProgress < o.cfg.Low
		wait = o.cfg.LeaveAfter
	}
	if !asks {
		o.asks = false
		return o.on
	}
	if !o.asks {
		o.asks = true
		o.since = now
	}
	if now-o.since >= wait {
		o.on = !o.on
		o.asks = false
	}
	return o.on
}
