package fairqueue

import "time"

// Some requests are forty times as long as the others. Each holds its slot forty times as long, so
// that soon all slots are held by long requests and short ones wait for a long one to end: an operator
// notices short questions taking as long as reports, at a load that the group carries easily.
//
// A reserved part of the slots is not given to long requests while short ones come. It is a bound on the
// long ones, not a place for the short: short requests may use any slot. A quarter lets short requests
// through where they make a third of the work, and costs long ones little, because a batch that is
// smaller by a quarter answers each of its requests faster. When no short request has come for a while,
// long ones may use every slot.

// shortMemory is how long the reserve is kept after the last short request. At one short request a
// second, the rate of a small service, the reserve stays.
const shortMemory = 10 * time.Second

// slots counts what is at work against the limit.
type slots struct {
	limit   int
	reserve float64
	running [classes]int
	// kept says that a short request came within shortMemory before keptAt.
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
