package limit

import (
	"math"
	"time"
)

// Each window of samples yields a measurement: at this mean concurrency, the 95th percentile was this long. The right
// bound is then near the concurrency times objective / measured (a gradient controller). Near the objective the bound
// moves part of the way, far above the objective all the way. The alternative, additive increase and multiplicative
// decrease, has to exceed the objective again and again to find it (docs/measurements/concurrency-limit.md).
//
// A change takes effect only after the requests in progress have ended, and measurements may be delayed. A controller
// that adjusts its current value by the effect of an earlier one repeats the same correction and oscillates between
// full and empty. Here a window leads to the same bound however late it arrives and however often it repeats, because
// it is compared with the concurrency at which it was taken and not with the current bound.
//
// A group that became slow may miss the objective even with a single request. Lowering the bound to the minimum would
// then lose its throughput without making any answer faster: an operator would see a slow group that does nothing. A
// decrease that did not shorten the latency enough is reverted, and the bound is held until the latency rises further
// or meets the objective.
const (
	// window is the time over which samples are collected: some thousand gaps at 100 requests in progress, and a
	// dozen with a single one.
	window = time.Second
	// minSamples is the number of samples that a window needs; a window with fewer is extended. A 95th percentile
	// needs about 20.
	minSamples = 20
	// targetQuantile is the quantile that the objectives apply to.
	targetQuantile = 0.95
	// smoothing is the part of the way that the bound moves per window while the measurement is near or below the
	// objective.
	smoothing = 0.4
	// maxFactor limits objective / measured from above, so that a new group, which is far below the objective, grows
	// by 0.6 of its concurrency per window; minFactor limits it from below.
	maxFactor = 2.5
	minFactor = 0.5
	// fullStepBelow is the value of objective / measured below which the bound moves all the way. Part of a step's
	// cost is fixed, so that this does not overshoot.
	fullStepBelow = 0.9
	// judgeBelow is the part of the baseline concurrency at or below which the effect of a decrease is judged.
	judgeBelow = 0.75
	// slowdownFactor is the growth of the measured latency, relative to the baseline, above which the group itself
	// got slower, so that the decrease can't be judged.
	slowdownFactor = 1.05
	// minGainRatio is how much the latency must drop, relative to the drop in concurrency, for a decrease to pay off.
	// The latency of an engine whose batch costs nothing would not drop at all (0); that of one whose cost is all
	// batch would drop in proportion (1).
	minGainRatio = 0.25
	// holdMargin is how much the latency must grow above that of a held bound before the bound is lowered again.
	holdMargin = 1.2
)

// bound is one adaptive concurrency limit.
type bound struct {
	objective time.Duration
	value     float64
	min       float64
	max       float64
	// revertsDecreases enables reverting a decrease that did not pay off.
	revertsDecreases bool
	// baseline is the window above the objective that decreases are judged against; holdUpTo is the latency up to
	// which the bound is not lowered. Both are zero unless the last window was above the objective.
	baseline point
	holdUpTo float64

	// The current window: when it was opened, its samples, and the sum of their concurrency.
	opened         time.Duration
	samples        histogram
	sumConcurrency float64
}

// point is the result of a window: the mean concurrency, and the latency quantile as a multiple of the objective.
type point struct{ concurrency, latency float64 }

// observation is a sample for one bound: count samples with the given latency at the given concurrency.
type observation struct {
	latency     time.Duration
	count       int
	concurrency int
}

func newBound(objective time.Duration, value, lowest, highest int) bound {
	return bound{objective: objective, value: float64(value), min: float64(lowest), max: float64(highest)}
}

func (b *bound) current() int { return int(b.value) }

// overObjective reports whether the last window was above the objective.
func (b *bound) overObjective() bool { return b.baseline.concurrency > 0 }

func (b *bound) atMin() bool { return b.value <= b.min }

// observe adds an observation. When that completes a window, it adjusts the bound and returns the measured quantile
// as a multiple of the objective, else 0.
func (b *bound) observe(now time.Duration, o observation) float64 {
	if b.samples.count == 0 {
		b.opened = now
	}
	b.samples.add(o.latency.Seconds()/b.objective.Seconds(), o.count)
	b.sumConcurrency += float64(o.concurrency) * float64(o.count)
	if now-b.opened < window || b.samples.count < minSamples {
		return 0
	}
	measured := point{concurrency: b.sumConcurrency / b.samples.count, latency: b.samples.quantile(targetQuantile)}
	b.samples, b.sumConcurrency = histogram{}, 0
	if measured.latency > 1 {
		b.decrease(measured)
	} else {
		b.increase(measured)
	}
	return measured.latency
}

// decrease lowers the bound, or reverts a decrease that did not pay off.
func (b *bound) decrease(measured point) {
	if b.holdUpTo > 0 && measured.latency <= b.holdUpTo {
		return
	}
	b.holdUpTo = 0
	if b.baseline.concurrency == 0 || measured.latency > slowdownFactor*b.baseline.latency {
		b.baseline = measured
	}
	if measured.concurrency <= judgeBelow*b.baseline.concurrency {
		if b.revertsDecreases && !paidOff(b.baseline, measured) {
			b.value = max(b.value, min(b.max, b.baseline.concurrency))
			b.holdUpTo = holdMargin * b.baseline.latency
			return
		}
		b.baseline = measured
	}
	factor := max(minFactor, 1/measured.latency)
	if factor > fullStepBelow {
		factor = 1 - smoothing*(1-factor)
	}
	b.lower(measured.concurrency * factor)
}

// paidOff reports whether the latency dropped enough between two points to be worth the drop in concurrency.
func paidOff(from, to point) bool {
	cut := (from.concurrency - to.concurrency) / from.concurrency
	gain := (from.latency - to.latency) / from.latency
	return gain >= minGainRatio*cut
}

func (b *bound) lower(value float64) { b.value = max(b.min, min(b.value, value)) }

// increase raises the bound to what the window is evidence for. A bound that is not fully used stays: the measured
// concurrency proves nothing about a higher one.
func (b *bound) increase(measured point) {
	b.baseline, b.holdUpTo = point{}, 0
	factor := min(maxFactor, 1/measured.latency)
	target := max(measured.concurrency+1, measured.concurrency*(1+smoothing*(factor-1)))
	b.value = max(b.value, min(b.max, target))
}

// histogram counts ratios from 0.1 to 10 in logarithmic buckets that are one fortieth wide.
type histogram struct {
	buckets [bucketCount]float32
	count   float64
}

const (
	bucketCount = 188
	bucketMin   = 0.1
)

var bucketWidth = math.Log(10/bucketMin) / bucketCount

func (h *histogram) add(ratio float64, count int) {
	i := 0
	if ratio > bucketMin {
		i = min(bucketCount-1, int(math.Log(ratio/bucketMin)/bucketWidth))
	}
	h.buckets[i] += float32(count)
	h.count += float64(count)
}

// quantile returns the ratio below which the fraction q of the samples lies.
func (h *histogram) quantile(q float64) float64 {
	left := q * h.count
	for i, count := range h.buckets {
		if left <= float64(count) && count > 0 {
			return bucketMin * math.Exp(bucketWidth*(float64(i)+left/float64(count)))
		}
		left -= float64(count)
	}
	return 1 / bucketMin
}
