package fairqueue

import "time"

// Some requests are forty times as long as the others. Each holds its slot forty times as long, so
// that soon all slots are held by long requests and short ones wait for a long one to end: an operator
// notices short questions taking as long as reports, at a load that the group carries easily.
//
// A reserved part of the slots is not given to long requests while short ones come. It is a bound on the
// long ones, not a place for the short: short requests may use any slot. The default of a half costs
// nothing up to nine tenths of the capacity, and at 1.3 times the capacity lets nearly all short requests
// through where they are a third of the work; less than 0.4 hardly helps, and from 0.6 on slots stay unused
// (docs/measurements/fair-queue.md). When no short request has come for a while, long ones may use
// every slot.
//
// A second bound, on the requests that have not had their first token, keeps a burst from becoming a line
// of prompts inside the engine, where neither shares nor deadlines count: an operator notices first tokens
// that take seconds while the gap between tokens is good. The concurrency limit works it out.

// shortMemory is how long the reserve is kept after the last short request. At one short request a
// second, the rate of a small service, the reserve stays.
const shortMemory = 10 * time.Second

// slots counts what is at work against the limit.
type slots struct {
	limit   int
	reserve float64
	running [classes]int
	// starting counts the running items without a first token; startLimit bounds them, 0 does not.
	starting   int
	startLimit int
	// seenShort says that a short request came at lastShort, less than shortMemory ago.
	lastShort time.Duration
	seenShort bool
}

// most returns how many slots items of a class may hold in all.
func (s *slots) most(c class) int {
	if c == short || !s.seenShort {
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
	return c == short || s.running[long] < s.most(long)
}

func (s *slots) sawShort(now time.Duration) {
	s.lastShort = now
	s.seenShort = true
}

func (s *slots) advance(now time.Duration) {
	if s.seenShort && now-s.lastShort > shortMemory {
		s.seenShort = false
	}
}
