package plain

import (
	"math"
	"time"
)

// halfLife is the time in which what an answer says about the next one halves.
const halfLife = 3 * time.Second

// Record is how a server has answered of late. The zero value is a server of which nothing is known. It is not safe for concurrent use.
type Record struct {
	rejected, all float64
	at            time.Duration
}

// Note records that the server has answered some requests, and has rejected others without running them.
func (r *Record) Note(now time.Duration, answered, rejected int) {
	r.rejected, r.all = r.Weights(now)
	r.at = max(now, r.at)
	r.rejected += float64(rejected)
	r.all += float64(answered + rejected)
}

// Weights returns the weights of the rejected requests and of all, which halve with each half-life.
func (r *Record) Weights(now time.Duration) (rejected, all float64) {
	factor := math.Exp2(-max(0, now-r.at).Seconds() / halfLife.Seconds())
	return r.rejected * factor, r.all * factor
}
