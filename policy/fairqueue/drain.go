package fairqueue

import (
	"math"
	"time"
)

// The speed of a group changes while requests wait: the group slows down, its concurrency limit changes,
// or other teams start and stop sending. A wait computed from a configured rate is then wrong, and the
// queue accepts requests that time out in it. Operators would see timeouts after exactly MaxWait where
// immediate refusals were due.
//
// The queue therefore measures its drain rate. For each class it measures how fast the front of the queue,
// the smallest virtual time of any waiting team, advances while the class is backlogged. That single
// figure covers the speed of the group, the limit, the usage of all other teams and errors in the work
// estimates. The queue also measures the service time per token.
//
// A queue that refuses everything gets no samples, and with measurements alone would keep refusing. The
// drain rate is therefore averaged with the nominal rate, which follows from the limit and the time per
// token, and the measured time per token decays towards the configured TimePerToken while no samples
// arrive.

const (
	// drainWindow is the backlogged time over which the advance of the front is averaged: long enough for
	// some dozens of items at 19 per second, short enough to follow a server that slows down within
	// seconds.
	drainWindow = 3 * time.Second
	// drainPrior is the weight of the nominal rate in the average, as backlogged time.
	drainPrior = 500 * time.Millisecond
	// tokenTimeWindow is the number of items over which the time per token is averaged.
	tokenTimeWindow = 50
	// tokenTimeDecay is the time constant of the decay: after this time without a finished item the
	// measurement has lost two thirds of its weight. Requests take about ten seconds.
	tokenTimeDecay = 20 * time.Second
	// tokenTimePrior is the weight of the configured TimePerToken in the average, as a number of items.
	tokenTimePrior = 2
)

// drainEstimator measures how fast the front of a class advances while the class is backlogged.
type drainEstimator struct {
	// advanced is the virtual time by which the front advanced during seconds of backlogged time; both
	// decay with drainWindow.
	advanced, seconds float64
	// front is the largest key sent from the queue since the class became backlogged.
	front      float64
	at         time.Duration
	backlogged bool
}

// advance adds the time since the last update if the class was backlogged during it.
func (d *drainEstimator) advance(now time.Duration) {
	if d.backlogged && now > d.at {
		passed := (now - d.at).Seconds()
		keep := math.Exp(-passed / drainWindow.Seconds())
		d.advanced *= keep
		d.seconds = d.seconds*keep + passed
	}
	d.at = now
}

// startBacklog marks the class as backlogged. key is that of the first team with a queued item.
func (d *drainEstimator) startBacklog(now time.Duration, key float64) {
	d.advance(now)
	d.backlogged = true
	d.front = key
}

// endBacklog marks the class as having no queued items.
func (d *drainEstimator) endBacklog(now time.Duration) {
	d.advance(now)
	d.backlogged = false
}

// recordSend moves the front to the key of the team whose item is sent, if that is larger.
func (d *drainEstimator) recordSend(now time.Duration, key float64) {
	d.advance(now)
	if key > d.front {
		d.advanced += key - d.front
		d.front = key
	}
}

// rate returns the advance of the front in virtual time per second, with nominal as the prior.
func (d *drainEstimator) rate(nominal float64) float64 {
	prior := drainPrior.Seconds()
	return (d.advanced + nominal*prior) / (d.seconds + prior)
}

// tokenTimeEstimator measures the service time per token of estimated work.
type tokenTimeEstimator struct {
	seconds, work, items float64
	at                   time.Duration
}

// record adds a finished item.
func (e *tokenTimeEstimator) record(now, took time.Duration, work float64) {
	e.decay(now)
	keep := 1 - 1.0/tokenTimeWindow
	e.seconds = e.seconds*keep + took.Seconds()
	e.work = e.work*keep + work
	e.items = e.items*keep + 1
}

// decay reduces the weight of past items by the time since the last update.
func (e *tokenTimeEstimator) decay(now time.Duration) {
	if now <= e.at {
		return
	}
	keep := math.Exp(-(now - e.at).Seconds() / tokenTimeDecay.Seconds())
	e.seconds *= keep
	e.work *= keep
	e.items *= keep
	e.at = now
}

// perToken returns the seconds per token, with configured as the prior.
func (e *tokenTimeEstimator) perToken(now, configured time.Duration) float64 {
	e.decay(now)
	if e.items == 0 {
		return configured.Seconds()
	}
	prior := e.work / e.items * tokenTimePrior
	return (e.seconds + configured.Seconds()*prior) / (e.work + prior)
}

// perItem returns the mean service time of recently finished items in seconds, or 0 if there are none.
func (e *tokenTimeEstimator) perItem() float64 {
	if e.items == 0 {
		return 0
	}
	return e.seconds / e.items
}

// drainRate returns how fast the front of a class advances, in virtual time per second. Until that is
// measured, the nominal rate applies: all slots at the measured time per token, divided among the teams
// that have queued or running items. The measured time per token of a group that was idle just before a
// burst is too optimistic for a full group, so the nominal rate assumes at least the configured
// TimePerToken.
func (q *Queue) drainRate(now time.Duration, c class) float64 {
	q.drains[c].advance(now)
	shares := max(q.activeShares, MinShare)
	perToken := max(q.tokenTime.perToken(now, q.cfg.TimePerToken), q.cfg.TimePerToken.Seconds())
	nominal := float64(q.slots.maxRunning(c)) / perToken / shares
	return max(q.drains[c].rate(nominal), minDrainRate)
}

// minDrainRate keeps expected waits finite when nothing drains.
const minDrainRate = 1e-3

// expectedWait returns how long a new item of the team is expected to wait: the time until the front has
// passed the team's items that are already queued. Half the interval between two slots becoming free is
// added for the first of them, which matters for groups with few slots and long requests.
func (q *Queue) expectedWait(now time.Duration, t *team, c class) time.Duration {
	front := q.virtual
	if top := q.heaps[c].top(); top != nil {
		front = top.key()
	}
	ahead := max(0, t.key()-front) + t.queued[c].work/t.share
	slotWait := q.tokenTime.perItem() / float64(2*q.slots.maxRunning(c))
	return durationOf(ahead/q.drainRate(now, c) + slotWait)
}

// minServiceFraction is the fraction of the estimated service time that has to fit before the deadline.
// Estimates of single requests are often twice the actual value, and a request that needs only half of its
// estimate should run.
const minServiceFraction = 0.5

// minServiceTime returns the estimated minimum time from sending an item to the end of its answer.
func (q *Queue) minServiceTime(now time.Duration, work int) time.Duration {
	return durationOf(minServiceFraction * float64(work) * q.tokenTime.perToken(now, q.cfg.TimePerToken))
}

// durationOf converts seconds to a duration of at most maxWaitEstimate.
func durationOf(s float64) time.Duration {
	if s > maxWaitEstimate.Seconds() {
		return maxWaitEstimate
	}
	return time.Duration(s * float64(time.Second))
}

// maxWaitEstimate stands for a wait without a known end.
const maxWaitEstimate = 24 * time.Hour
