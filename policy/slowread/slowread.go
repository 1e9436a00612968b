// Package slowread decides which callers an entry cuts off because they do not read their answers, and when it refuses requests because its memory
// is short. An entry is one proxy process that callers connect to.
//
// Load pattern: thousands of callers stop reading in the middle of their answers, or read slowly, while others go on as usual. What the entry has
// read from servers for them stays in its memory and in the kernel's socket buffers, until the process is killed with the requests of all callers.
//
// Each caller slows its own server down: an entry reads no more from a server than one bounded buffer holds. This package bounds the sum. A caller
// without progress for longer than its route allows is cut. If the sum passes a share of the machine's memory, those without progress for longest
// are cut first. A request that does not fit is refused before it runs. Nothing else is cut: a caller that reads, however slowly, makes progress.
package slowread

import (
	"cmp"
	"slices"
	"time"
)

const (
	// memoryShare is the part of the machine's memory that may be held: a quarter. The garbage collector aims at half, of which a process without
	// requests takes less than a quarter.
	memoryShare = 4
	// RequestBytes is what a request in progress takes beside its body and its answer: stacks, buffers and headers of two connections. 2,000
	// streams brought a process from 17 MB to 113 MB, which is 48 KB each.
	RequestBytes = 48 << 10
	// SocketBytes is an estimate of what the kernel holds of a server's answer whose caller does not read: the window of a connection that has received
	// little.
	SocketBytes = 64 << 10
	// cutAbove is the part of the share above which the slowest callers are cut. What lies above it is room for requests until that has taken effect.
	cutAboveNumerator, cutAboveDenominator = 3, 4
	// minSilence is how long a caller must have made no progress to be cut for its memory. With 0.3 s, callers that read a part every half second were
	// cut whenever many others had just stopped; the time until they are told apart is bridged by refusals.
	minSilence = time.Second
)

// The time without progress after which a caller is cut in any case. Servers cut off an answer that nobody reads after 4 s at the earliest, and a cut
// by the server looks like a failure of the server.
const (
	maxPause = 3 * time.Second
	// minPause is above the time of several repeated packets in a row (0.2 s, 0.4 s and 0.8 s).
	minPause = 1500 * time.Millisecond
	// pausesAllowed is how many of the longest pauses of a route's streams a caller may miss.
	pausesAllowed = 10
)

// PauseLimit returns how long a caller may make no progress. longestPause is the objective for the time between two parts of the answer; 0 if there is
// none.
func PauseLimit(longestPause time.Duration) time.Duration {
	if longestPause <= 0 {
		return maxPause
	}
	return min(max(pausesAllowed*longestPause, minPause), maxPause)
}

// Bounds bounds what an entry holds for requests in progress.
type Bounds struct{ bytes int64 }

// ForMachine returns the bounds of an entry on a machine with a memory in bytes.
func ForMachine(memory int64) Bounds { return Bounds{bytes: memory / memoryShare} }

// Admits reports whether a number of bytes more may be held. It is asked before a request runs, never for an answer that is ready.
func (b Bounds) Admits(held, more int64) bool { return held+more <= b.bytes }

// Reason says why a caller is cut.
type Reason string

// Reasons.
const (
	NotReading  Reason = "the caller does not read"
	MemoryShort Reason = "memory is short, and other callers have read later"
)

// Caller is a caller to which a write is pending.
type Caller struct {
	// Silence is how long it has read nothing, and Limit how long it may.
	Silence, Limit time.Duration
	// Bytes is what is held for it.
	Bytes int64
}

// Cut is a caller that is to be cut.
type Cut struct {
	// Index is its place among the callers.
	Index  int
	Reason Reason
}

// Cuts returns the callers to be cut, those without progress for longest first. held is what is held for all requests together.
func (b Bounds) Cuts(held int64, callers []Caller) []Cut {
	order := make([]int, 0, len(callers))
	for i, caller := range callers {
		if caller.Silence >= minSilence {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(callers[j].Silence, callers[i].Silence) })
	var cuts []Cut
	for _, i := range order {
		if callers[i].Silence > callers[i].Limit {
			cuts = append(cuts, Cut{Index: i, Reason: NotReading})
			held -= callers[i].Bytes
		}
	}
	for _, i := range order {
		if held <= b.bytes/cutAboveDenominator*cutAboveNumerator {
			break
		}
		if callers[i].Silence <= callers[i].Limit {
			cuts = append(cuts, Cut{Index: i, Reason: MemoryShort})
			held -= callers[i].Bytes
		}
	}
	return cuts
}

// Progress measures how long a caller has read nothing. The zero value has seen nothing. It is not safe for concurrent use.
type Progress struct {
	writes, windowEnd uint64
	silence           time.Duration
}

// Observe records that a write is pending. writes counts the writes that have begun or ended, windowEnd up to which byte the caller's
// machine accepts them, and elapsed is the time since the last observation in which this process was running. It returns how long the caller has read
// nothing. A caller that reads opens its receive window at once, while the next acknowledgement may wait seconds for a segment to be repeated. What an
// entry that stood still could not see does not count.
func (p *Progress) Observe(writes, windowEnd uint64, elapsed time.Duration) time.Duration {
	if writes != p.writes || windowEnd != p.windowEnd {
		*p = Progress{writes: writes, windowEnd: windowEnd}
		return 0
	}
	p.silence += elapsed
	return p.silence
}
