// Package connections decides how many connections of callers a process accepts, and which it closes to make room for others.
//
// Load pattern: clients open any number of connections, send nothing or a part of a header on them, and connect again when they are closed. The
// process needs descriptors for its own connections, and each connection costs memory, also for what lies unread in its receive buffer.
//
// Connections that have not brought a request are closed first, those of callers between two requests next. Requests in progress are never closed.
package connections

import (
	"cmp"
	"slices"
	"time"
)

const (
	// CallersBuffer is the receive buffer of a connection on which requests with bodies come, OtherBuffer that of one on which requests have none, in
	// bytes. The kernel holds up to half as much again.
	CallersBuffer = 16 << 10
	OtherBuffer   = 4 << 10
	// cost is the memory that one connection may take, in bytes: its buffers, a part of a header, and what lies unread.
	cost = 34<<10 + CallersBuffer*3/2
	// memoryPart is the part of the process's memory that connections may take.
	memoryPart = 0.4
)

const (
	// filesPart is the part of the descriptors that is left for files, ownPart the part that is kept for the process's own connections: one in so
	// many. ownSpare is what own connections may grow by, a part of those that are open and some more.
	filesPart = 10
	ownPart   = 4
	ownSpare  = 32
	// fewest is how many connections of callers are accepted in any case.
	fewest = 16
)

// Limits holds what a process may take. A limit of 0 is none.
type Limits struct {
	// Memory is in bytes.
	Memory      int64
	Descriptors int
}

// Most returns the most connections of callers that may be open while the process has a number of its own.
func (l Limits) Most(own int) int {
	most := 1 << 30
	if l.Memory > 0 {
		most = int(memoryPart * float64(l.Memory) / cost)
	}
	if l.Descriptors > 0 {
		reserved := max(l.Descriptors/ownPart, own+own/ownPart+ownSpare)
		most = min(most, l.Descriptors-l.Descriptors/filesPart-reserved)
	}
	return max(most, fewest)
}

// Connection is what is known of one connection of a caller.
type Connection struct {
	// Served is set once a request on it has been answered.
	Served bool
	// Waiting is set while no whole header of a request has been read; Since is when that began, or when the last answer ended.
	Waiting bool
	Since   time.Time
}

// patience is how long a connection is left open without a request, however few are left.
const patience = time.Second

// batchPart is the part of the connections that is closed together, so that closing one for each new one does not become the rule: one in so many.
const batchPart = 32

// Victims returns the indices of the connections to close so that others find room, none if all of them are in use. Of connections that have been
// waiting for a second at least, those without any answered request come first, and the older before the newer.
func Victims(open []Connection, now time.Time) []int {
	var victims []int
	for i, c := range open {
		if c.Waiting && now.Sub(c.Since) >= patience {
			victims = append(victims, i)
		}
	}
	slices.SortFunc(victims, func(i, j int) int {
		return cmp.Or(cmp.Compare(rank(open[i]), rank(open[j])), open[i].Since.Compare(open[j].Since))
	})
	return victims[:min(len(victims), max(1, len(open)/batchPart))]
}

func rank(c Connection) int {
	if c.Served {
		return 1
	}
	return 0
}
