package limit

import (
	"math"
	"time"
)

// A window of samples says: with so many at work, 95 in 100 took at most so long. So the right bound is near
// what was at work, times objective over measured: the gradient. Near the objective the bound goes a part
// of the way, far over it the whole way. The alternative that was weighed, additive increase and
// multiplicative decrease, has to go over the objective time and again to find it (docs/measurements/
// concurrency-limit.md).
//
// Between a change and its effect lie the requests that are still at work, and measurements may come late.
// A controller that changes its present value by what an earlier one caused does the same thing again and
// again, and an operator notices a saw-tooth: full, empty, full. Here a window leads to the same bound
// however late it comes and however often it repeats, because it is held against what was at work when
// it was taken and not against the present bound.
//
// A group that became slow may miss the objective with a single request. Lowering the bound to the floor
// then throws its work away and makes no answer faster: an operator notices a slow group that does
// nothing. A decrease that did not pay is taken back, and the bound is held until something changes.

const (
	// window is the time over which samples are judged: at 100 requests at work some thousand gaps, and
	// with one still a dozen.
	window = time.Second
	// fewest is the number of samples that a window needs; below it goes on. A quantile of 95 in 100 needs
	// about 20.
	fewest = 20
	// quantile is the quantile that the objectives are set for.
	quantile = 0.95
	// smoothing is the part of the way that the bound goes in a window while it is near the objective or
	// below it.
	smoothing = 0.4
	// easiest bounds objective over measured, so that a new group, which is far below the objective, grows
	// by 0.6 of what is at work in a window; hardest bounds it the other way.
	easiest = 2.5
	hardest = 0.5
	// far is objective over measured below which the bound goes the whole way. Its cost is partly fixed, so
	// that the whole way is not too far.
	far = 0.9
	// tried is the part of what was at work below which a decrease is judged.
	tried = 0.75
	// slower is the growth of the measured time, with less at work, from which the group itself got slower,
	// so that the decrease can't be judged.
	slower = 1.05
	// paysPart is how much shorter the measured time must get, as a part of how much less is at work, for a
	// decrease to pay. With a batch that costs nothing it would be 0, with one that is all cost 1.
	paysPart = 0.25
	// worse is how much the measured time must grow over that of a held bound before it is lowered again.
	worse = 1.2
)

// bound is one adaptive bound.
type bound struct {
	objective time.Duration
	value     float64
	least     float64
	most      float64
	// takesBack says that a decrease which did not pay is taken back.
	takesBack bool
	// anchor is the late window that decreases are judged by; held is the measured time up to
	// which the bound is not lowered. Both are zero unless the bound is strained.
	anchor point
	held   float64

	// The window since opened: its samples, and the sum of what was at work over them.
	opened  time.Duration
	samples histogram
	used    float64
}

// point is what a window showed: with used at work, the quantile was took times the objective.
type point struct{ used, took float64 }

// evidence is a sample as a bound sees it: count samples of took while used were at work.
type evidence struct {
	took  time.Duration
	count int
	used  int
}

func newBound(objective time.Duration, value, least, most int) bound {
	return bound{objective: objective, value: float64(value), least: float64(least), most: float64(most)}
}

func (b *bound) current() int { return int(b.value) }

// strained reports whether the last window was late.
func (b *bound) strained() bool { return b.anchor.used > 0 }

func (b *bound) atFloor() bool { return b.value <= b.least }

// observe takes evidence in. When that closes a window, it moves the bound and returns the measured
// quantile as a multiple of the objective, else 0.
func (b *bound) observe(now time.Duration, e evidence) float64 {
	if b.samples.count == 0 {
		b.opened = now
	}
	b.samples.add(e.took.Seconds()/b.objective.Seconds(), e.count)
	b.used += float64(e.used) * float64(e.count)
	if now-b.opened < window || b.samples.count < fewest {
		return 0
	}
	seen := point{used: b.used / b.samples.count, took: b.samples.quantile(quantile)}
	b.samples, b.used = histogram{}, 0
	if seen.took > 1 {
		b.strain(seen)
	} else {
		b.ease(seen)
	}
	return seen.took
}

// strain lowers the bound, unless that did not pay.
func (b *bound) strain(seen point) {
	if b.held > 0 && seen.took <= b.held {
		return
	}
	b.held = 0
	if b.anchor.used == 0 || seen.took > slower*b.anchor.took {
		b.anchor = seen
	}
	if seen.used <= tried*b.anchor.used {
		if b.takesBack && !paid(b.anchor, seen) {
			b.value = max(b.value, min(b.most, b.anchor.used))
			b.held = worse * b.anchor.took
			return
		}
		b.anchor = seen
	}
	factor := max(hardest, 1/seen.took)
	if factor > far {
		factor = 1 - smoothing*(1-factor)
	}
	b.lower(seen.used * factor)
}

// paid reports whether the way from one point to the other made the time shorter by enough for what it cost.
func paid(from, to point) bool {
	cut := (from.used - to.used) / from.used
	gain := (from.took - to.took) / from.took
	return gain >= paysPart*cut
}

func (b *bound) lower(value float64) { b.value = max(b.least, min(b.value, value)) }

// ease raises the bound to what the window is evidence for. A bound that is not in use stays: what was at work
// proves nothing about more.
func (b *bound) ease(seen point) {
	b.anchor, b.held = point{}, 0
	factor := min(easiest, 1/seen.took)
	target := max(seen.used+1, seen.used*(1+smoothing*(factor-1)))
	b.value = max(b.value, min(b.most, target))
}

// histogram counts ratios in buckets that are a fortieth wide, from a tenth to ten.
type histogram struct {
	buckets [buckets]float32
	count   float64
}

const (
	buckets     = 188
	bucketsFrom = 0.1
)

var bucketWidth = math.Log(10/bucketsFrom) / buckets

func (h *histogram) add(ratio float64, count int) {
	i := 0
	if ratio > bucketsFrom {
		i = min(buckets-1, int(math.Log(ratio/bucketsFrom)/bucketWidth))
	}
	h.buckets[i] += float32(count)
	h.count += float64(count)
}

// quantile returns the ratio below which the part q of the samples lies.
func (h *histogram) quantile(q float64) float64 {
	left := q * h.count
	for i, count := range h.buckets {
		if left <= float64(count) && count > 0 {
			return bucketsFrom * math.Exp(bucketWidth*(float64(i)+left/float64(count)))
		}
		left -= float64(count)
	}
	return 1 / bucketsFrom
}
