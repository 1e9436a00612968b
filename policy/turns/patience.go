package turns

import "time"

const (
	// usualFirst stands for what a group needs from the turn to the first part of the answer, until it is known.
	usualFirst = 100 * time.Millisecond
	// callerWay is what the way from the caller to the entry and back takes; no entry can measure it.
	callerWay = 15 * time.Millisecond
	// leastPatience lets a request wait for the next place even where its objective leaves no time.
	leastPatience = 25 * time.Millisecond
	// MaxRetryWait is that of a caller that comes again, whose answer is late in any case; turned away once more, it would get none.
	MaxRetryWait = 600 * time.Millisecond
)

// WaitBounds returns when the first part of an answer is due, and how long the request may wait for its turn at most. returning says that the
// request was sent before: then nothing is due any more, and due is 0.
func WaitBounds(objective, elapsed time.Duration, returning bool) (due, patience time.Duration) {
	if returning {
		return 0, MaxRetryWait
	}
	due = max(leastPatience, objective-elapsed-callerWay)
	return due, due
}

// patience is how long a request may wait for its turn: until its first part would come too late. Groups that are nearly full take several
// times as long for a first part as others; requests that wait without regard to that are all served, and all late.
func (m *model) patience(r Request) time.Duration {
	if r.FirstTokenBudget == 0 {
		return r.MaxWait
	}
	return min(r.MaxWait, max(leastPatience, r.FirstTokenBudget-m.first.bound()))
}

// estimate is what is known of a time that varies.
type estimate struct {
	mean, deviation time.Duration
}

// bound is what most times stay below.
func (e estimate) bound() time.Duration { return e.mean + e.deviation }

// mostNews is how many times the bound a single time may count as: one that stood still says nothing of the others.
const mostNews = 3

func (e *estimate) learn(took time.Duration) {
	off := min(took, mostNews*e.bound()) - e.mean
	e.deviation = learned(e.deviation, max(off, -off))
	e.mean = learned(e.mean, e.mean+off)
}
