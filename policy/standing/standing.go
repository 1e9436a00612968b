// Package standing joins what is known of a backend server into one answer: whether it may be sent requests, how many a second, until when, and
// why. An entry is one proxy process that callers connect to.
//
// Load pattern: a failure domain restarts while its callers go on sending, or operators evacuate it and take it back. Its servers take few requests
// a second at first and crash if they get many more, from hundreds of entries that each see a small part of what is sent.
//
// When each decision kept its own list of servers to avoid, a state that one of them knew was unknown to the others: turns were granted at
// servers that another part had found dead, and second attempts went where first ones did not. Therefore every decision asks this package.
//
// Times are durations since an arbitrary fixed moment.
package standing

import "time"

// Reason says why a server may be sent no requests, or few.
type Reason string

// Reasons, the strongest first.
const (
	// None: the server may be sent requests.
	None Reason = ""
	// Evacuated: operators want nothing sent to the server's failure domain.
	Evacuated Reason = "evacuated"
	// Unreachable: connections to the server fail, and no probe has been answered since.
	Unreachable Reason = "unreachable"
	// Cold: the server has just started, or has become cold again, and takes few requests a second.
	Cold Reason = "cold"
)

// Facts is what is known of one server. The zero value is a server of which nothing is known.
type Facts struct {
	Evacuated   bool
	Unreachable bool
	// ColdUntil is the time until which the server is cold, and ColdPerSecond how many requests a second it then takes from all entries together;
	// 0 if that is not limited.
	ColdUntil     time.Duration
	ColdPerSecond float64
}

// Standing is the joint answer.
type Standing struct {
	// Blocked says that the server may be sent nothing.
	Blocked bool
	// PerSecond bounds the requests a second from all entries together; 0 if they are not limited.
	PerSecond float64
	// Until is the time at which the answer ends by itself; 0 if it does not.
	Until  time.Duration
	Reason Reason
}

// At returns the standing of a server at a time.
func (f Facts) At(now time.Duration) Standing {
	switch {
	case f.Evacuated:
		return Standing{Blocked: true, Reason: Evacuated}
	case f.Unreachable:
		return Standing{Blocked: true, Reason: Unreachable}
	case f.ColdPerSecond > 0 && now < f.ColdUntil:
		return Standing{PerSecond: f.ColdPerSecond, Until: f.ColdUntil, Reason: Cold}
	}
	return Standing{}
}

// Limited reports whether the requests a second are limited.
func (s Standing) Limited() bool { return s.PerSecond > 0 }
