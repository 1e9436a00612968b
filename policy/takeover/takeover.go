// Package takeover decides when an entry that no longer hears from the leader, the entry that holds the lease and
// grants turns to all entries, tries to acquire the lease.
//
// Load pattern: the leader dies, and hundreds of entries notice within the same tenth of a second.
//
// Without coordination, each of them asks the platform several times a second until there is a successor, and all but
// one of the writes that follow fail. Moreover, any entry may become the successor: an entry with a link of 14 Mbit/s
// and an eighth of a core answers the turn requests of all others late.
//
// Therefore no entry asks before the lease has expired, the entries spread their attempts by a random delay, and
// entries with little capacity wait longer than those with much.
package takeover

import "time"

// Capacity describes the VM of an entry. A value of 0 is unknown.
type Capacity struct {
	// LinkMbps is the bandwidth of its link in Mbit/s.
	LinkMbps float64
	// Cores is the number of processor cores it may use, possibly a fraction.
	Cores float64
}

const (
	// jitter is the interval over which entries of equal capacity spread their attempts. A write takes some 10 ms, so
	// that about five of 142 entries try in vain.
	jitter = 300 * time.Millisecond
	// weakPenalty is the additional delay of an entry with almost no capacity: long enough for any entry with
	// sufficient capacity to go first.
	weakPenalty = 400 * time.Millisecond
	// sufficientLinkMbps and sufficientCores are what the leader of some three hundred entries needs, with headroom:
	// measured with 142 entries, it sends up to 2 Mbit/s and uses up to 0.07 of a core.
	sufficientLinkMbps = 50.0
	sufficientCores    = 0.25
)

// Delay returns how long after the lease has expired an entry tries to acquire it. random is from 0 to 1. An entry
// with unknown capacity counts as one with sufficient capacity.
func Delay(c Capacity, random float64) time.Duration {
	return time.Duration(random*float64(jitter) + (1-c.score())*float64(weakPenalty))
}

// outagePenalty is the further delay of an entry with almost no capacity after an outage of the platform. Entries then read the lease at
// times that are spread over two seconds, because they waited for answers and paused between their reads; a strong one may be the last.
const outagePenalty = 2 * time.Second

// DelayAfterOutage returns how long after the platform answers again an entry tries to acquire a lease that expired during the outage.
func DelayAfterOutage(c Capacity, random float64) time.Duration {
	return Delay(c, random) + time.Duration((1-c.score())*float64(outagePenalty))
}

// Sufficient reports whether the entry has the capacity to be the leader of some three hundred entries.
func (c Capacity) Sufficient() bool { return c.score() == 1 }

// score rates the capacity from 0 (none) to 1 (sufficient).
func (c Capacity) score() float64 {
	score := 1.0
	if c.LinkMbps > 0 {
		score = min(score, c.LinkMbps/sufficientLinkMbps)
	}
	if c.Cores > 0 {
		score = min(score, c.Cores/sufficientCores)
	}
	return score
}
