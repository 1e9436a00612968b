// Package plain chooses the server of a plain service, one without a model engine, for a request. An entry is one proxy process that callers connect
// to.
//
// Load pattern: hundreds of entries send few requests a second each to four to seven servers that answer within 30 to 60 ms, far below what these
// can take. For some seconds, one of the servers rejects many of its requests, within a millisecond, or works much slower than usual. Most entries
// send nothing between two such times.
//
// When each entry chose by its own requests in progress and by loads stated in answers, it knew of no load at all, and a rejecting server, which has
// nothing in progress, got its full share of all requests for as long as it rejected: one of seven servers rejects a seventh of all arrivals. An
// entry that remembers its own rejections changes little, because each entry has to be rejected by itself.
//
// Therefore the choice is joined at one place that hears how every request ended (figures: docs/design/request-cost.md), and rejections count like
// load: a server that has rejected gets single requests, more seldom the more of the last ones it rejected, until it accepts them.
//
// Times are durations since an arbitrary fixed moment.
package plain

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which what an answer says about the next one halves.
	halfLife = 3 * time.Second
	// priorAnswers is the number of accepted requests that a server of which nothing is known counts as having had.
	priorAnswers = 1.0
	// rejectionWeight makes a server that rejects everything score like one with this many times the requests that it can run at once.
	rejectionWeight = 4.0
	// ignoredShare is the share of rejected requests that does not count. A server that has rejected all it got is tried again after some 10 s, when the
	// share has decayed to this: while others are idle, any share above would keep requests away from it for as long as it is remembered.
	ignoredShare = 0.1
)

// Record is what is known of how a server has answered of late. The zero value is a server of which nothing is known. It is not safe for concurrent
// use.
type Record struct {
	rejected, answered float64
	at                 time.Duration
}

// Note records that the server has answered a request, or has rejected it without running it.
func (r *Record) Note(now time.Duration, rejected bool) {
	factor := r.factor(now)
	r.at = max(now, r.at)
	r.rejected *= factor
	r.answered = r.answered*factor + 1
	if rejected {
		r.rejected++
	}
}

func (r *Record) factor(now time.Duration) float64 {
	return math.Exp2(-max(0, now-r.at).Seconds() / halfLife.Seconds())
}

// RejectedShare estimates the share of the next requests that the server rejects, from 0 to 1.
func (r *Record) RejectedShare(now time.Duration) float64 {
	factor := r.factor(now)
	return r.rejected * factor / (r.answered*factor + priorAnswers)
}

// Negligible reports whether the record says no more than none.
func (r *Record) Negligible(now time.Duration) bool { return r.answered*r.factor(now) < 0.01 }

// Score rates a server for one more request, the lower the better. running is the number of its requests in progress, slots how many it runs at once;
// r may be nil.
func Score(now time.Duration, r *Record, running, slots int) float64 {
	score := float64(running) / float64(max(1, slots))
	if r == nil {
		return score
	}
	if share := r.RejectedShare(now); share > ignoredShare {
		score += rejectionWeight * share
	}
	return score
}
