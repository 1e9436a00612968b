package shift

import (
	"slices"
	"time"
)

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

// Entries that were cut off from each other, or stood still, learn at different moments that they are back. Until an
// entry has heard from one of the others it computes no home at all, so that asking a further entry does not help, while
// all of them agree a moment later.
const (
	// MaxAgreement is how long a request waits in all for the entries to agree on a home. It is longer than news takes to
	// reach all entries.
	MaxAgreement = 800 * time.Millisecond
	// firstAgreementPause is the first pause between two rounds of questions. Each further pause doubles the time waited.
	firstAgreementPause = 50 * time.Millisecond
	// settledAge is how long an entry's view has to be unchanged to count as settled.
	settledAge = time.Second
)

// AwaitAgreement returns the pause after which a front asks again for the home of a group, after all entries that it may
// ask have refused a request and it has waited for the given time. ok is false if it should give up. It waits only while
// the views are changing: its own, which has been unchanged for viewAge, or that of an entry asked, if one
// knew no home.
func AwaitAgreement(viewAge time.Duration, noHomeKnown bool, waited time.Duration) (pause time.Duration, ok bool) {
	pause = max(firstAgreementPause, waited)
	if viewAge >= settledAge && !noHomeKnown || waited+pause > MaxAgreement {
		return 0, false
	}
	return pause, true
}
