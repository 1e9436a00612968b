// Package outage decides how long to wait before the platform is asked again after it failed.
//
// Load pattern: the platform is away, or turns some entries away, for seconds. Each of hundreds of entries asks again and again for several
// kinds of objects.
//
// What goes wrong without it: entries that ask three times a second for each of three kinds make more calls in an outage of five seconds
// than in a day without one (7,500 with 142 entries). Calls are paid for when they are refused as well, and the platform comes back
// to a load that it can't bear.
//
// So pauses double from call to call. They stay short enough for a configuration to be in force in time after the platform's return.
package outage

import "time"

const (
	// initialPause is the longest pause after one failed call. Single calls fail also while the platform is well.
	initialPause = 300 * time.Millisecond
	// MaxPause is the longest pause. With a call and the spread among entries it leaves half of the 2 s in which entries must hear of a
	// change.
	MaxPause = 1200 * time.Millisecond
)

// Backoff returns the pause after a number of failed calls in a row, at least one. random is from 0 to 1; it takes away up to a half, so that
// entries that failed together do not ask together.
func Backoff(failures int, random float64) time.Duration {
	pause := MaxPause
	if failures < 3 {
		pause = initialPause << (max(1, failures) - 1)
	}
	return pause - time.Duration(random*float64(pause)/2)
}
