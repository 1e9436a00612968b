package fairqueue

import "time"

// Some requests are forty times as long as others and hold a slot forty times as long. Without a reserve,
// long requests soon hold all slots and short requests wait for one of them to end: operators would see
// short questions take as long as reports, at a load that the group serves easily.
//
// A fraction of the slots is therefore not given to long requests while short requests arrive. It limits
// the long requests and is not a partition: short requests may use any slot. The default of one half costs
// nothing up to nine tenths of the capacity. At 1.3 times the capacity it lets nearly all short requests
// through where they are a third of the work. Less than 0.4 hardly helps, and from 0.6 on slots stay
// unused (docs/measurements/fair-queue.md). If no short request has arrived for a while, long requests may
// use every slot.
//
// A second limit, on requests that have not received their first token, prevents a burst from queueing
// prompts inside the engine, where neither shares nor deadlines apply. Without it operators would see
// first tokens take seconds while the gap between tokens is good. The concurrency limit (package limit)
// computes its value.

// reserveHold is how long the reserve is kept after the last short request. At one short request per
// second, the rate of a small service, it is always in effect.
const reserveHold = 10 * time.Second

// slots counts running items against the limits.
type slots struct {
	limit   int
	reserve float64
	running [numClasses]int
	// starting counts the running items without a first token. startLimit bounds them; 0 means no limit.
	starting   int
	startLimit int
	// lastShort is the time of the last short request; shortRecent is set until reserveHold has passed
	// since then.
	lastShort   time.Duration
	shortRecent bool
}

// maxRunning returns how many slots the items of a class may hold in total.
func (s *slots) maxRunning(c class) int {
	if c == short || !s.shortRecent {
		return max(s.limit, 1)
	}
	return max(1, s.limit-int(float64(s.limit)*s.reserve))
}

// free reports whether an item of the class may be sent.
func (s *slots) free(c class) bool {
	if s.running[short]+s.running[long] >= s.limit {
		return false
	}
	if s.startLimit > 0 && s.starting >= s.startLimit {
		return false
	}
	return c == short || s.running[long] < s.maxRunning(long)
}

// recordShort starts or extends the reserve for short requests.
func (s *slots) recordShort(now time.Duration) {
	s.lastShort = now
	s.shortRecent = true
}

// expireReserve ends the reserve once no short request has arrived for reserveHold.
func (s *slots) expireReserve(now time.Duration) {
	if s.shortRecent && now-s.lastShort > reserveHold {
		s.shortRecent = false
	}
}
