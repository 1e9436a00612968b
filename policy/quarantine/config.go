// Package quarantine keeps a request that crashes backend servers from taking down one after the other.
//
// Load pattern: one caller's request crashes each engine that runs it, and its caller, or a front, sends it
// again. Each time, a whole group is gone for as long as it takes to load a model, with all that was in
// progress there. With a repeat each second and a minute to load, 40 of 50 groups are down at a time. An
// operator would notice groups that crash one after the other, in different fabric domains, and the same
// fingerprint in progress on each.
//
// The rules, per service, on the fingerprint of a request's content:
//
//   - When a group crashes, every request then in progress on it is a suspect.
//
//   - A suspect runs again only on trial: as the only suspect on its group, and on one group at a time. The
//     trial is claimed by a conditional write of the service's object before the request is sent.
//
//   - A crash during the trial quarantines the request; so does a second crash of copies that were sent
//     before anything was known. A quarantined request is refused by all entries.
//
//   - A suspect that finishes anywhere is cleared. A quarantine from a trial stands all the same, since a
//     request that crashes engines only sometimes also finishes sometimes.
//
//   - Of requests that are quarantined for the same crash, only the one that was at the most crashes stays
//     so (Register.status). When more than MaxSuspects are suspects, much went down at once, and further
//     crashes count less (crash.Mass).
//
// So a request that always crashes takes down two groups and those that already run a copy of it, and what
// shared a group with it pays one wait.
//
// What crashes is an engine: its boot id changed, or its process is gone while its VM answers. A VM that
// can't be reached, or a partition, is no crash: its requests did nothing.
package quarantine

import (
	"errors"
	"fmt"
	"time"
)

// ErrRange is wrapped by the error of every configuration value out of its range.
var ErrRange = errors.New("value out of range")

// Config holds what an operator may set for a service.
type Config struct {
	// SuspectFor is how long a crash counts against a request that was in progress. 10 s to 24 h.
	SuspectFor time.Duration
	// QuarantineFor is how long a quarantine lasts, unless an operator lifts it. 1 min to 720 h.
	QuarantineFor time.Duration
	// MaxSuspects is the largest number of suspects at a time. 1 to 1000.
	MaxSuspects int
	// Crashes is how many crashes quarantine a request that was not on trial. 2 to 8.
	Crashes int
}

// The defaults. Callers send again for minutes, not hours, after a failure: DefaultSuspectFor. A quarantine
// that ends by itself costs two crashes if it was right, so it lasts until an expert has looked:
// DefaultQuarantineFor, a working day and the next. More suspects than DefaultMaxSuspects, some groups'
// worth, means that much went down at once, which no request does: to hold all of them back would refuse
// more than any request can harm.
const (
	DefaultSuspectFor    = 10 * time.Minute
	DefaultQuarantineFor = 48 * time.Hour
	DefaultMaxSuspects   = 256
	// DefaultCrashes: suspects run alone, so that a second crash is hardly chance.
	DefaultCrashes = 2
)

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		SuspectFor: DefaultSuspectFor, QuarantineFor: DefaultQuarantineFor, MaxSuspects: DefaultMaxSuspects,
		Crashes: DefaultCrashes,
	}
}

// Check returns an error that wraps ErrRange and names the first value out of range.
func (c Config) Check() error {
	switch {
	case c.SuspectFor < 10*time.Second || c.SuspectFor > 24*time.Hour:
		return fmt.Errorf("%w: SuspectFor is %v, not in 10s to 24h", ErrRange, c.SuspectFor)
	case c.QuarantineFor < time.Minute || c.QuarantineFor > 720*time.Hour:
		return fmt.Errorf("%w: QuarantineFor is %v, not in 1m to 720h", ErrRange, c.QuarantineFor)
	case c.MaxSuspects < 1 || c.MaxSuspects > 1000:
		return fmt.Errorf("%w: MaxSuspects is %d, not in 1 to 1000", ErrRange, c.MaxSuspects)
	case c.Crashes < 2 || c.Crashes > maxCrashes:
		return fmt.Errorf("%w: Crashes is %d, not in 2 to %d", ErrRange, c.Crashes, maxCrashes)
	}
	return nil
}
