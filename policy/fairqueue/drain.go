package fairqueue

import (
	"math"
	"time"
)

// A group slows down, its limit moves, or other teams come and go, while requests wait. A wait worked out
// from a configured rate is then wrong, and requests are taken in that time out in the queue: an operator
// notices timeouts after exactly the longest wait, where refusals at once were due.
//
// The queue measures instead. For each class it measures how fast the front of the queue, the smallest
// virtual time at which a team waits, moves on while the class is backlogged: that holds the speed of
// the group, the limit, all other teams' use and wrong estimates of work, in one figure. It also measures
// how long a request takes for a token. Both fade towards what the limit and the configured pace promise
// when there is no news, because a queue that refuses everything gets no news, and would go on
// refusing.

const (
	// drainMemory is the backlogged time over which the front's speed is averaged: long enough for some
	// dozens of items at 19 a second, short enough to follow a server that slows down within seconds.
	drainMemory = 3 * time.Second
	// drainTrust is the backlogged time that the promised speed counts for.
	drainTrust = 500 * time.Millisecond
	// paceMemory is how many items the pace is averaged over.
	paceMemory = 50
	// paceFade is the time without a finished item after which the measured pace has lost two thirds of its
	// weight. Requests take some ten seconds.
	paceFade = 20 * time.Second
	// paceTrust is the number of items that the configured pace counts for.
	paceTrust = 2
)

// drain measures how fast the front of a class moves while the class is backlogged.
type drain struct {
	// moved, in virtual time, over seconds.
	moved, seconds float64
	// front is the largest key that was sent from the queue since the class became backlogged.
	front      float64
	at         time.Duration
	backlogged bool
}

// advance counts the time since the last measurement if the class was backlogged.
func (d *drain) advance(now time.Duration) {
	if d.backlogged && now > d.at {
		passed := (now - d.at).Seconds()
		keep := math.Exp(-passed / drainMemory.Seconds())
		d.moved *= keep
		d.seconds = d.seconds*keep + passed
	}
	d.at = now
}

// begin says that a team with the given key became the first that is backlogged.
func (d *drain) begin(now time.Duration, key float64) {
	d.advance(now)
	d.backlogged = true
	d.front = key
}

// end says that no team is backlogged any more.
func (d *drain) end(now time.Duration) {
	d.advance(now)
	d.backlogged = false
}

// sent counts the move of the front to a team's key.
func (d *drain) sent(now time.Duration, key float64) {
	d.advance(now)
	if key > d.front {
		d.moved += key - d.front
		d.front = key
	}
}

// speed returns virtual time a second, given the promised speed.
func (d *drain) speed(promised float64) float64 {
	trust := drainTrust.Seconds()
	return (d.moved + promised*trust) / (d.seconds + trust)
}

// pace measures how long a request takes for a token of estimated work.
type pace struct {
	seconds, work, items float64
	at                   time.Duration
}

func (p *pace) add(now, took time.Duration, work float64) {
	p.fade(now)
	keep := 1 - 1.0/paceMemory
	p.seconds = p.seconds*keep + took.Seconds()
	p.work = p.work*keep + work
	p.items = p.items*keep + 1
}

func (p *pace) fade(now time.Duration) {
	if now <= p.at {
		return
	}
	keep := math.Exp(-(now - p.at).Seconds() / paceFade.Seconds())
	p.seconds *= keep
	p.work *= keep
	p.items *= keep
	p.at = now
}

// perToken returns seconds a token, given the configured pace.
func (p *pace) perToken(now, configured time.Duration) float64 {
	p.fade(now)
	if p.items == 0 {
		return configured.Seconds()
	}
	trusted := p.work / p.items * paceTrust
	return (p.seconds + configured.Seconds()*trusted) / (p.work + trusted)
}

// perItem returns the mean seconds of the items that ended lately, 0 if none did.
func (p *pace) perItem() float64 {
	if p.items == 0 {
		return 0
	}
	return p.seconds / p.items
}

// speed returns how fast the front of a class moves, in virtual time a second. Until it is measured,
// all slots at the pace, divided among the teams that have something queued or at work, promise it. The
// pace of a group that was idle just before a burst says little of a full one, so that the promise is
// made at no more than the configured pace.
func (q *Queue) speed(now time.Duration, c class) float64 {
	q.drains[c].advance(now)
	shares := max(q.shares, MinShare)
	pace := max(q.pace.perToken(now, q.cfg.TimePerToken), q.cfg.TimePerToken.Seconds())
	promised := float64(q.slots.most(c)) / pace / shares
	return max(q.drains[c].speed(promised), slowest)
}

// slowest keeps waits finite when nothing drains.
const slowest = 1e-3

// expect returns how long a new item of the team is expected to wait: until the front has moved past the
// team's items before it. Half the time between two slots getting free is added for the first of them;
// it matters where a group has few slots and long requests.
func (q *Queue) expect(now time.Duration, t *team, c class) time.Duration {
	front := q.virtual
	if top := q.heaps[c].top(); top != nil {
		front = top.key()
	}
	ahead := max(0, t.key()-front) + t.queued[c].work/t.share
	slot := q.pace.perItem() / float64(2*q.slots.most(c))
	return seconds(ahead/q.speed(now, c) + slot)
}

// serviceMargin is the part of the expected service that has to fit before the deadline. Estimates of
// single requests are often twice the truth; a request that needs half of its estimate should run.
const serviceMargin = 0.5

// service returns how long an item takes at least once it is sent, as far as can be told.
func (q *Queue) service(now time.Duration, work int) time.Duration {
	return seconds(serviceMargin * float64(work) * q.pace.perToken(now, q.cfg.TimePerToken))
}

// seconds returns s seconds as a duration, at most foreverWait.
func seconds(s float64) time.Duration {
	if s > foreverWait.Seconds() {
		return foreverWait
	}
	return time.Duration(s * float64(time.Second))
}

const foreverWait = 24 * time.Hour
