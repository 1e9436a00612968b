package quota

import "time"

// Limit is what a server has stated that it takes.
type Limit struct {
	// Process identifies the process of the server that stated it; a later process has a higher number. It is 0 if unknown.
	Process int64
	// PerSecond is in requests a second.
	PerSecond float64
}

// Known is the limit of a server as the ledger has it.
type Known struct {
	Limit
	// Version identifies this limit among all that the ledger has had.
	Version uint64
	// Source is the entry that reported it, and At when.
	Source string
	At     time.Duration

	// unlistedSince is when the server was first seen to be not listed; 0 if it is.
	unlistedSince time.Duration
}

// Statement is what an answer of a server states.
type Statement struct {
	Process int64
	// PerSecond is the limit; nil if the answer states none.
	PerSecond *float64
	// Basis is the version of the server's limit that the sender of the request knew when it sent it; 0 for none.
	Basis uint64
	// Source is the entry that got the answer.
	Source string
}

// Ledger knows the limits of all servers.
//
// Answers reach it out of order: one to a request that was sent before the limit was stated may end long after it. So a lower limit applies at
// once, and a higher one, or none, only if it was stated in the answer to a request that was sent with the present limit known.
type Ledger struct {
	limits  map[string]*Known
	version uint64
}

// NewLedger returns a ledger without limits, whose versions begin after first. They must differ from those of any other leader's ledger.
func NewLedger(first uint64) *Ledger { return &Ledger{limits: make(map[string]*Known), version: first} }

// Limit returns the limit of a server, or false if it has none.
func (l *Ledger) Limit(server string) (Known, bool) {
	known := l.limits[server]
	if known == nil {
		return Known{}, false
	}
	return *known, true
}

// Servers returns the number of servers with a limit.
func (l *Ledger) Servers() int { return len(l.limits) }

// All calls visit for every server with a limit, in no order.
func (l *Ledger) All(visit func(server string, known Known)) {
	for server, known := range l.limits {
		visit(server, *known)
	}
}

// Hear applies a statement, and reports whether the limit of the server has changed.
func (l *Ledger) Hear(now time.Duration, server string, s Statement) bool {
	known := l.limits[server]
	switch {
	case known == nil:
		return s.PerSecond != nil && l.set(now, server, s)
	case s.Process < known.Process && s.Process != 0:
		return false
	case s.Process > known.Process && known.Process != 0:
		return l.set(now, server, s)
	case s.PerSecond != nil && *s.PerSecond == known.PerSecond:
		return false
	case s.PerSecond != nil && *s.PerSecond < known.PerSecond, s.Basis == known.Version:
		return l.set(now, server, s)
	}
	return false
}

func (l *Ledger) set(now time.Duration, server string, s Statement) bool {
	if s.PerSecond == nil {
		delete(l.limits, server)
		return true
	}
	l.version++
	l.limits[server] = &Known{Limit: Limit{Process: s.Process, PerSecond: *s.PerSecond}, Version: l.version, Source: s.Source, At: now}
	return true
}

// forgetAfter is how long the limit of a server that is not listed is kept: heads between two groups and servers that the platform has lost sight of
// are back sooner.
const forgetAfter = 60 * time.Second

// Sweep removes the limits of processes that have ended, and returns the servers concerned. process returns that of a listed server.
func (l *Ledger) Sweep(now time.Duration, process func(server string) (process int64, listed bool)) (removed []string) {
	for server, known := range l.limits {
		current, listed := process(server)
		switch {
		case listed && current > known.Process && known.Process != 0:
			removed = append(removed, server)
		case listed:
			known.unlistedSince = 0
		case known.unlistedSince == 0:
			known.unlistedSince = max(1, now)
		case now-known.unlistedSince > forgetAfter:
			removed = append(removed, server)
		}
	}
	for _, server := range removed {
		delete(l.limits, server)
	}
	return removed
}
