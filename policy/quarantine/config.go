// Package quarantine prevents a request that crashes backend servers from taking down one group after
// another.
//
// The load it is made for: a request crashes every engine that runs it, and its caller, or a front, sends
// it again. Each attempt takes a whole group out of service for as long as it takes to load a model,
// together with everything in progress there. With one retry per second and a load time of one minute, 40
// of 50 groups are down at any time. Operators would see groups in different fabric domains crash one
// after the other, each with the same fingerprint in progress.
//
// The rules apply per service to the fingerprint of a request's content:
//
//   - When a group crashes, every request in progress on it becomes a suspect.
//   - A suspect runs again only on trial: as the only suspect on its group, and on one group at a
//     time. The trial is claimed by a conditional write of the service's quarantine object before the
//     request is sent.
//   - A crash during the trial quarantines the request. So does a second crash caused by copies that
//     were sent before the first was known. All entries refuse a quarantined request.
//   - A suspect that finishes anywhere is cleared. A quarantine from a trial stands even then, because
//     a request that crashes engines only sometimes also finishes sometimes.
//   - Of the requests that are quarantined for the same crash, only the one that was in progress at
//     the most crashes stays quarantined (Register.status). With more than MaxSuspects suspects, many
//     groups failed at once, and further crashes count less (crash.Correlated).
//
// A request that always crashes thus takes down two groups, plus those that already run a copy of it, and
// the other requests on its groups are delayed once.
//
// A crash is a crash of the engine: its boot id changed, or its process is gone while its VM answers. An
// unreachable VM or a network partition is not a crash, as the requests on it did not cause it.
package quarantine

import (
	"errors"
	"fmt"
	"time"
)

// ErrRange is wrapped by the errors of Config.Check.
var ErrRange = errors.New("value out of range")

// Config holds the settings of a service.
type Config struct {
	// SuspectFor is how long a crash counts against a request that was in progress. Range 10 s to 24 h.
	SuspectFor time.Duration
	// QuarantineFor is how long a quarantine lasts unless an operator lifts it. Range 1 min to 720 h.
	QuarantineFor time.Duration
	// MaxSuspects is the largest number of simultaneous suspects. Range 1 to 1000.
	MaxSuspects int
	// Crashes is the number of crashes that quarantine a request that was not on trial. Range 2 to 8.
	Crashes int
}

// The defaults:
//
//   - DefaultSuspectFor: callers retry for minutes, not hours, after a failure.
//   - DefaultQuarantineFor: a quarantine that expires costs two more crashes if it was justified, so
//     it lasts until an expert has looked at it, a working day and the next.
//   - DefaultMaxSuspects: 256 requests are the load of a few groups. More suspects mean that many
//     groups failed at once, which no single request causes, and holding all of them back would refuse
//     more requests than any request can harm.
const (
	DefaultSuspectFor    = 10 * time.Minute
	DefaultQuarantineFor = 48 * time.Hour
	DefaultMaxSuspects   = 256
	// DefaultCrashes is 2: suspects run alone, so that a second crash is unlikely to be a coincidence.
	DefaultCrashes = 2
)

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		SuspectFor: DefaultSuspectFor, QuarantineFor: DefaultQuarantineFor, MaxSuspects: DefaultMaxSuspects,
		Crashes: DefaultCrashes,
	}
}

// Check returns an error that wraps ErrRange and names the first value that is out of range, or nil.
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
