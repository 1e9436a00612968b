// Package quota keeps the requests that all entries together send to a server within the rate that the server states. An entry is one proxy
// process that callers connect to.
//
// Load pattern: a server in need states how few requests a second it takes from all entries together, mostly far fewer than come, in its answers
// to whoever sent it a request. Tens to hundreds of entries send it requests, each a small part, and the limit comes, changes and goes within
// seconds. Nothing tells an entry what the others send.
//
// Divided evenly, a limit of two a second is one request in minutes for each of hundreds of entries, and what idle entries leave is lost. Used in
// full by each entry, it is exceeded by as many times as there are entries. Therefore one entry, the leader, knows the limits of all servers (Ledger)
// and meters the requests to each (Meter); the others ask it for every request to a server with a limit.
//
// What must hold in every 4 s is 1.5 times the limit and 5 more. A Meter uses the limit itself and a small burst. The rest covers what can't be
// seen: requests that arrive late, and a second leader beside the first for as long as one of them can't know of the other. A leader that can't
// confirm that it is the only one uses less than half of the limit.
//
// Times are durations since an arbitrary fixed moment. Nothing here is safe for concurrent use.
package quota

import "time"

const (
	// minPerSecond is the rate at which a server is sent requests however low its limit is. Without any, nobody would learn that the limit is
	// gone.
	minPerSecond = 0.25
	// maxBurst bounds the requests that may follow each other at once after a pause.
	maxBurst = 3
	// unconfirmedShare is the share of a limit that a leader uses which can't confirm that it is the only one.
	unconfirmedShare = 0.45
	// unconfirmedBurst is the burst of such a leader.
	unconfirmedBurst = 1
	// burstTime is the least burst as a time at the permitted rate. Waiting requests are looked at every few hundredths of a second; a high rate
	// could not be used with less.
	burstTime = 50 * time.Millisecond
	// resultTimeout is how long a request of a meter that is not verified may be without a result until another one is permitted.
	resultTimeout = time.Duration(float64(time.Second) / minPerSecond)
)

// Meter permits requests to one server at a limited rate. A new one permits none at first: what another leader has permitted before is unknown.
type Meter struct {
	limit       float64
	unconfirmed bool
	// level is the number of requests that were permitted at the time at, with fractions.
	level float64
	at    time.Duration
	// since is when the meter was made.
	since time.Duration
	// unverified is set until the server has answered a request that an inherited meter has permitted. The result of the last one is awaited until
	// awaitedUntil.
	unverified   bool
	awaitedUntil time.Duration
}

// NewMeter returns a meter for a limit in requests a second.
func NewMeter(now time.Duration, perSecond float64) *Meter {
	return &Meter{limit: perSecond, at: now, since: now}
}

// NewInheritedMeter returns a meter for a limit that the server has stated to an earlier leader. It may have stated a lower one since, which its next
// answer tells. Therefore one request at a time is permitted until the server has answered one.
func NewInheritedMeter(now time.Duration, perSecond float64) *Meter {
	return &Meter{limit: perSecond, at: now, since: now, unverified: true}
}

// Age returns how long requests have been metered.
func (m *Meter) Age(now time.Duration) time.Duration { return now - m.since }

// SetLimit changes the limit. What was saved up under a higher one is lost.
func (m *Meter) SetLimit(now time.Duration, perSecond float64) {
	m.advance(now)
	m.limit = perSecond
	m.level = min(m.level, m.burst())
}

// SetConfirmed sets whether it is confirmed that no other leader permits requests.
func (m *Meter) SetConfirmed(now time.Duration, confirmed bool) {
	m.advance(now)
	m.unconfirmed = !confirmed
	m.level = min(m.level, m.burst())
}

// Rate returns the rate at which requests are permitted, in requests a second.
func (m *Meter) Rate() float64 {
	rate := max(m.limit, minPerSecond)
	if m.unconfirmed {
		return rate * unconfirmedShare
	}
	return rate
}

func (m *Meter) burst() float64 {
	burst := min(1+m.Rate()/2, maxBurst)
	if m.unconfirmed {
		burst = unconfirmedBurst
	}
	return max(burst, m.Rate()*burstTime.Seconds())
}

func (m *Meter) advance(now time.Duration) {
	if now > m.at {
		m.level = min(m.burst(), m.level+m.Rate()*(now-m.at).Seconds())
		m.at = now
	}
}

// fullRequest is one request, less what rounding may take from it.
const fullRequest = 1 - 1e-9

// Available reports whether a request is permitted now. One that yields leaves the next request permitted as well, as far as the burst allows: it
// may be a more urgent one.
func (m *Meter) Available(now time.Duration, yields bool) bool {
	m.advance(now)
	if now < m.awaitedUntil {
		return false
	}
	if yields {
		return m.level >= fullRequest+min(1, m.burst()-1)
	}
	return m.level >= fullRequest
}

// Permitted returns how many requests are permitted now.
func (m *Meter) Permitted(now time.Duration) int {
	m.advance(now)
	if now < m.awaitedUntil {
		return 0
	}
	permitted := int(m.level + 1 - fullRequest)
	if m.unverified {
		return min(permitted, 1)
	}
	return permitted
}

// Take uses the permission for one request.
func (m *Meter) Take(now time.Duration) {
	m.advance(now)
	m.level--
	if m.unverified {
		m.awaitedUntil = now + resultTimeout
	}
}

// GiveBack returns the permission for a request that was not sent.
func (m *Meter) GiveBack(now time.Duration) {
	m.advance(now)
	m.level = min(m.burst(), m.level+1)
	m.awaitedUntil = 0
}

// Unverified reports whether the server has yet to answer a request that this meter has permitted.
func (m *Meter) Unverified() bool { return m.unverified }

// Verify records that the server has answered a request that this meter has permitted. What the answer stated must have been applied before.
func (m *Meter) Verify() { m.unverified, m.awaitedUntil = false, 0 }

// EndWithoutAnswer records that a permitted request has ended without an answer of the server.
func (m *Meter) EndWithoutAnswer() { m.awaitedUntil = 0 }

// Wait returns how long it takes until a request is permitted.
func (m *Meter) Wait(now time.Duration) time.Duration {
	m.advance(now)
	return max(0, time.Duration((1-m.level)/m.Rate()*float64(time.Second)))
}
