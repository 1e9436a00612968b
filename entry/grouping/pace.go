package grouping

import (
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/contract/route"
)

// Limits of loads from the weight store.
const (
	// loadRateShare is the fraction of the store's rate that is used. The rest is reserved for delayed orders, which may add a
	// load that was accounted for elsewhere.
	loadRateShare = 0.9
	// minLoadBurst and loadBurstTime bound the loads that may start together: as many as the rate allows within that time.
	// Reconciliations may be further apart than loads are allowed to be. In combination with the rate, the burst stays below the
	// store's limit over any window.
	minLoadBurst  = 3
	loadBurstTime = 250 * time.Millisecond
	// extraLoadsBeforeTraffic is the number of loads that may run concurrently before the first request arrives, in addition
	// to those that the store executes at full speed. It corresponds to one more group, so that the store is never idle.
	extraLoadsBeforeTraffic = 21
)

// loadLimiter limits the rate and concurrency of the ordered loads. It is guarded by Controller.mu.
type loadLimiter struct {
	tokens     float64
	refilledAt time.Time
	// expectedEnds are the expected end times of the running loads.
	expectedEnds []time.Time
}

func newLoadLimiter() *loadLimiter { return &loadLimiter{} }

// reset starts with no capacity available, because an earlier leader may just have used it.
func (l *loadLimiter) reset(now time.Time) {
	l.tokens = 0
	l.refilledAt = now
	l.expectedEnds = nil
}

// available returns the number of loads that may start now. More concurrent loads than the store executes at full speed would
// not finish sooner as a whole, and the first would finish later.
func (l *loadLimiter) available(engine *route.Engine, now time.Time) int {
	l.refill(engine, now)
	return max(0, min(int(l.tokens), engine.LoadsAtOnce-l.inProgress(now)))
}

// availableBeforeTraffic is like available, but for the time before the first request, when the rate limit does not apply.
func (l *loadLimiter) availableBeforeTraffic(engine *route.Engine, now time.Time) int {
	return max(0, engine.LoadsAtOnce+extraLoadsBeforeTraffic-l.inProgress(now))
}

func (l *loadLimiter) refill(engine *route.Engine, now time.Time) {
	rate := engine.LoadsPerSecond * loadRateShare
	burst := max(minLoadBurst, rate*loadBurstTime.Seconds())
	l.tokens = min(burst, l.tokens+now.Sub(l.refilledAt).Seconds()*rate)
	l.refilledAt = now
}

// reserve records n loads that end at the given time. Loads before the first request do not count towards the rate.
func (l *loadLimiter) reserve(n int, end time.Time, beforeTraffic bool) {
	if !beforeTraffic {
		l.tokens -= float64(n)
	}
	for range n {
		l.expectedEnds = append(l.expectedEnds, end)
	}
}

// release removes a load that has ended, or did not start.
func (l *loadLimiter) release(end time.Time) {
	if i := slices.Index(l.expectedEnds, end); i >= 0 {
		l.expectedEnds = slices.Delete(l.expectedEnds, i, i+1)
	}
}

func (l *loadLimiter) inProgress(now time.Time) int {
	running := l.expectedEnds[:0]
	for _, end := range l.expectedEnds {
		if end.After(now) {
			running = append(running, end)
		}
	}
	l.expectedEnds = running
	return len(running)
}
