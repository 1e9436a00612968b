// Package outage decides how long to wait before the platform is called again after a failed call.
//
// Load pattern: the platform is unavailable, or rejects some entries, for seconds, while each of hundreds of entries
// polls it for several kinds of objects.
//
// Without backoff, entries that poll three times a second for each of three kinds make more calls in an outage of
// five seconds than in a day without one (7,500 with 142 entries). Rejected calls are billed as well, and the
// platform comes back to a load that it can't handle.
//
// Therefore the pause doubles with each failed call. It stays short enough for a configuration to take effect in time
// after the platform's return.
package outage

import "time"

const (
	// initialPause is the longest pause after one failed call. Single calls also fail while the platform is healthy.
	initialPause = 300 * time.Millisecond
	// MaxPause is the longest pause. Together with a call and the jitter among entries it leaves half of the 2 s within
	// which entries must learn of a change.
	MaxPause = 1200 * time.Millisecond
)

// Backoff returns the pause after a number of consecutive failed calls, which counts as at least one. random is from
// 0 to 1 and shortens the pause by up to a half, so that entries whose calls failed together do not call together
// again.
func Backoff(failures int, random float64) time.Duration {
	pause := MaxPause
	if failures < 3 {
		pause = initialPause << (max(1, failures) - 1)
	}
	return pause - time.Duration(random*float64(pause)/2)
}
