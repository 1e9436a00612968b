// Package presence decides which registered entries count as down, and which registrations are removed.
//
// Load pattern: VMs are lost for good, one by one over days or many at a time, and other VMs take their place. Nothing that belongs to the system
// expires on the platform by itself, so the registrations of the lost ones stay.
//
// Without this policy, callers are sent to lost entries. The leader's list of linked entries is the evidence of which ones run. It is short for two
// reasons: most entries are lost, or the leader itself is cut off from them for a moment. Compared with all that were ever registered, it is short for
// ever once more were lost than run.
package presence

import "time"

const (
	// shortListGrace is how long a short list must stand until it is believed: as long as entries may take to connect to the leader again after
	// their links were cut.
	shortListGrace = 1500 * time.Millisecond
	// removeAfter is how long an entry must have been missing until its registration is removed. It exceeds the time that a VM takes to start again.
	removeAfter = time.Minute
)

// List judges the list of the entries that are linked to the leader. The zero value is a new leader's.
type List struct {
	short bool
	since time.Duration
}

// Believable reports whether the registered entries that are not on the list are down. linked and registered are numbers of entries; now is counted
// from any fixed moment.
func (l *List) Believable(linked, registered int, now time.Duration) bool {
	short := 2*linked < registered
	if short && !l.short {
		l.since = now
	}
	l.short = short
	return !short || now-l.since >= shortListGrace
}

// Absences holds since when registered entries have been missing, by name. The zero value holds none. It is not safe for concurrent use.
type Absences struct {
	since map[string]time.Duration
}

// Removable returns the registered entries that have been missing for removeAfter. Times are counted from any fixed moment.
func (a *Absences) Removable(registered []string, linked func(name string) bool, now time.Duration) []string {
	missing := make(map[string]time.Duration)
	var removable []string
	for _, name := range registered {
		if linked(name) {
			continue
		}
		since, known := a.since[name]
		if !known {
			since = now
		}
		missing[name] = since
		if now-since >= removeAfter {
			removable = append(removable, name)
		}
	}
	a.since = missing
	return removable
}

// Reset forgets all absences, as those that another leader has seen are not known.
func (a *Absences) Reset() { a.since = nil }
