// Package takeover decides when an entry that no longer hears from the one in charge asks whether to take its place.
//
// Load pattern: the entry in charge dies, and hundreds of others notice within the same tenth of a second.
//
// What goes wrong without it: each asks the platform several times a second until there is a successor, and all but one of the writes that
// follow are in vain. And the successor is any entry: one whose link carries 14 Mbit/s and whose processor is an eighth of a core
// answers the requests for turns of all others late.
//
// So nobody asks before the lease can be taken; the entries spread their question, and those with little to give come after those
// with much.
package takeover

import "time"

// Capacity is what the VM of an entry has.
type Capacity struct {
	// LinkMbps is its link, in Mbit/s.
	LinkMbps float64
	// Cores is its share of processors.
	Cores float64
}

const (
	// spread is the time over which equal entries ask. A write takes some 10 ms, so that of 142 entries some five try in vain.
	spread = 300 * time.Millisecond
	// weakLast is how much later an entry asks that has next to nothing: long enough for any that has enough to go first.
	weakLast = 400 * time.Millisecond
	// enoughLink and enoughCores are what the entry in charge of some three hundred others needs, with room to spare: measured with 142, it
	// sends up to 2 Mbit/s and uses up to 0.07 of a core.
	enoughLink  = 50.0
	enoughCores = 0.25
)

// Delay is how long after the lease can be taken an entry asks. random is from 0 to 1. An entry that does not know its capacity counts
// as one that has enough.
func Delay(c Capacity, random float64) time.Duration {
	return time.Duration(random*float64(spread) + (1-c.strength())*float64(weakLast))
}

// strength is from 0 to 1.
func (c Capacity) strength() float64 {
	strength := 1.0
	if c.LinkMbps > 0 {
		strength = min(strength, c.LinkMbps/enoughLink)
	}
	if c.Cores > 0 {
		strength = min(strength, c.Cores/enoughCores)
	}
	return strength
}
