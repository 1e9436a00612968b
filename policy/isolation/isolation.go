// Package isolation decides whether an entry has lost its connections to all backend servers of a service.
//
// Load pattern: the network between some entries and the backend servers fails for seconds, while callers, the
// platform and the other entries still reach these entries. Callers keep sending to them.
//
// Without this decision, each request of such an entry tries several servers in vain, is held for their timeouts and
// refused, although the entry next to it could have it served at once.
//
// A single failure says nothing: servers crash, stall and reset connections. Failures therefore only start rounds of
// probes to a few servers drawn at random. Servers fail one at a time or by fabric domain, so that two rounds in
// which nobody answers mean that the entry itself is cut off. To go back, several rounds must succeed, and more of
// them if the last recovery did not last: each change of sides costs the requests that are in progress.
package isolation

import "time"

const (
	// SampleSize is the number of servers probed in a round. MinSampleSize is the smallest number that says anything.
	SampleSize    = 3
	MinSampleSize = 2
	// failedRounds is the number of successive rounds without an answer after which an entry is isolated. The second
	// round starts at once.
	failedRounds = 2
	// suspicionInterval is the shortest interval between rounds while the servers answer.
	suspicionInterval = time.Second
	// recoveryInterval is the interval between rounds while the entry is isolated.
	recoveryInterval = 400 * time.Millisecond
	// minAnsweredRounds is the number of successive answered rounds after which an entry is no longer isolated. It
	// doubles, up to maxAnsweredRounds, each time that the entry is isolated again within relapseWindow.
	minAnsweredRounds = 4
	maxAnsweredRounds = 12
	relapseWindow     = 10 * time.Second
)

// Detector tracks one service. Times are durations since any fixed instant. The zero value is an entry that reaches
// the servers. It is not safe for concurrent use.
type Detector struct {
	isolated, suspected bool
	// failed and answered count the successive rounds that failed or were answered.
	failed, answered int
	// required is the number of answered rounds that end the isolation.
	required int
	// hasRound is set once a round has ended, the last one at lastRound.
	hasRound  bool
	lastRound time.Duration
	// hasRecovered is set once an isolation has ended, the last one at recoveredAt.
	hasRecovered bool
	recoveredAt  time.Duration
}

// Isolated reports whether the entry has lost its connections to the servers.
func (d *Detector) Isolated() bool { return d.isolated }

// Suspect records that a server failed to answer a request or could not be reached.
func (d *Detector) Suspect() { d.suspected = true }

// Active reports whether a round is due now or will be due without another suspicion.
func (d *Detector) Active() bool { return d.isolated || d.suspected }

// RoundDue reports whether to probe a sample of the servers now.
func (d *Detector) RoundDue(now time.Duration) bool {
	switch {
	case !d.Active():
		return false
	case !d.hasRound:
		return true
	case d.isolated:
		return now-d.lastRound >= recoveryInterval
	default:
		return d.failed > 0 || now-d.lastRound >= suspicionInterval
	}
}

// RecordRound records the result of a round that ended at now. It reports whether Isolated has changed.
func (d *Detector) RecordRound(now time.Duration, asked, answered int) (changed bool) {
	d.hasRound, d.lastRound = true, now
	was := d.isolated
	switch {
	case asked < MinSampleSize:
		*d = Detector{hasRound: true, lastRound: now}
	case answered == 0:
		d.recordFailure(now)
	default:
		d.suspected = false
		d.failed = 0
		d.recordAnswers(now, 2*answered > asked)
	}
	return d.isolated != was
}

func (d *Detector) recordFailure(now time.Duration) {
	d.failed++
	d.answered = 0
	if d.isolated || d.failed < failedRounds {
		return
	}
	d.isolated = true
	if d.hasRecovered && now-d.recoveredAt < relapseWindow {
		d.required = min(maxAnsweredRounds, 2*d.required)
	} else {
		d.required = minAnsweredRounds
	}
}

// recordAnswers counts a round in which most servers answered.
func (d *Detector) recordAnswers(now time.Duration, most bool) {
	if !most {
		d.answered = 0
		return
	}
	d.answered++
	if d.isolated && d.answered >= d.required {
		d.isolated = false
		d.answered = 0
		d.hasRecovered, d.recoveredAt = true, now
	}
}
