package turns

import "time"

const (
	// initialFirstToken is the assumed time from the grant of a turn to the first token until it has been measured.
	initialFirstToken = 100 * time.Millisecond
	// callerRTT is the assumed round-trip time between caller and entry, which an entry can't measure.
	callerRTT = 15 * time.Millisecond
	// minWait is how long a request may wait for the next free slot even if its objective leaves no time.
	minWait = 25 * time.Millisecond
	// MaxRetryWait is the longest wait of a retried request. Its answer is late in any case; rejected once more, it
	// would get none.
	MaxRetryWait = 600 * time.Millisecond
)

// WaitBounds returns the time left until the first token is due, and the longest time that the request may wait for
// its turn. A request that was sent before (retry) has missed its objective already: its firstTokenBudget is 0, which
// means none.
func WaitBounds(objective, elapsed time.Duration, retry bool) (firstTokenBudget, maxWait time.Duration) {
	if retry {
		return 0, MaxRetryWait
	}
	firstTokenBudget = max(minWait, objective-elapsed-callerRTT)
	return firstTokenBudget, firstTokenBudget
}

// maxWait returns how long a request may wait for its turn before its first token would miss the objective. Nearly
// full groups take several times as long to the first token as others; if the wait ignored that, all waiting requests
// would be served, and all of them late.
func (m *modelQueue) maxWait(r Request) time.Duration {
	if r.FirstTokenBudget == 0 {
		return r.MaxWait
	}
	return min(r.MaxWait, max(minWait, r.FirstTokenBudget-m.firstToken.upperBound()))
}

// estimate tracks the moving average and the mean absolute deviation of a duration.
type estimate struct {
	mean, deviation time.Duration
}

// upperBound returns a value that most durations stay below.
func (e estimate) upperBound() time.Duration { return e.mean + e.deviation }

// outlierFactor caps a single measurement at this multiple of upperBound: one stalled request says nothing about the
// others.
const outlierFactor = 3

// update adds a measurement.
func (e *estimate) update(value time.Duration) {
	diff := min(value, outlierFactor*e.upperBound()) - e.mean
	e.deviation = ewma(e.deviation, max(diff, -diff))
	e.mean = ewma(e.mean, e.mean+diff)
}
