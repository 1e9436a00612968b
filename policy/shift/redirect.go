package shift

import "slices"

// MaxAsked is the number of entries that a front asks as the home of one group before it refuses the request. It bounds
// what a front with an outdated view can cost the others.
const MaxAsked = 4

// HomeQuery is what a front knows about the home of a group when it decides which entry to ask.
//
// Entries learn of a membership change some time apart, and compute different homes meanwhile. The entry that a front
// takes for the home then refuses the request, although another entry would serve it at once. If the front passed that
// on, all callers of the groups concerned would be refused until its view is corrected, each time an entry joins.
type HomeQuery struct {
	// Computed is the home that the front computes, or "" if it knows no eligible entry.
	Computed string
	// Named is the live entry that the last refusal named as the home, or "".
	Named string
	// Ranked lists the other live entries, the one that becomes home first at the front.
	Ranked []string
	// Asked lists the entries that refused the request because they are not the home.
	Asked []string
}

// Next returns the entry to ask next, and false if there is none.
func (q HomeQuery) Next() (string, bool) {
	if len(q.Asked) >= MaxAsked {
		return "", false
	}
	for _, name := range append([]string{q.Named, q.Computed}, q.Ranked...) {
		if name != "" && !slices.Contains(q.Asked, name) {
			return name, true
		}
	}
	return "", false
}
