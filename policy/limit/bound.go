package limit

import "time"

// The bound moves once a window: up by a small part near the objective and by more the further the mean is
// below it, so that a new group and one that is fast again get to work within seconds; down by a
// factor, at most by half, that follows how far the mean is over the objective.
//
// Between a decrease and its effect lie the requests that are still at work. A controller that keeps lowering
// the bound meanwhile ends far too low, and an operator notices a saw-tooth: full, empty, full. So late
// samples count only if they were taken under the bound; and a window of good samples raises it at once
// to what was at work then.
//
// A group that became slow may miss the objective with a single request. Lowering the bound to the floor
// then throws its work away and makes no answer faster: an operator notices a slow group that does
// nothing. A decrease that did not pay is taken back, and the bound is held until something changes.

const (
	// window is the time over which samples are judged: at 100 requests at work some thousand gaps, and
	// with one still a dozen.
	window = time.Second
	// fewest is the number of samples that a window needs; below it goes on.
	fewest = 10
	// latePart is the part of samples that may be over the objective: it is set for 95 in 100.
	latePart = 0.05
	// easyPart is the part of late samples below which the bound may grow.
	easyPart = 0.02
	// usedPart is the part of the bound that must be in use for it to grow: an unused bound proves nothing.
	usedPart = 0.8
	// step is the part of the bound by which it grows in a window, at least 1.
	step = 0.02
	// nearPart is the part of the objective from which on the bound grows by step only; below it the bound
	// grows by half of the headroom, and at most doubles.
	nearPart = 0.7
	// mildest and hardest bound the factor of a decrease.
	mildest = 0.95
	hardest = 0.5
	// settle is the longest time that is waited for the requests at work to get down to the bound.
	settle = 10 * time.Second
	// paysPart is how much less the mean must get, as a part of how much less is at work, for a decrease
	// to pay. With a batch that costs nothing it would be 0, with one that is all cost 1.
	paysPart = 0.25
	// worsePart is how much the mean must grow over that of a held bound before it is lowered again.
	worsePart = 1.2
)

// bound is one adaptive bound.
type bound struct {
	objective time.Duration
	value     float64
	least     float64
	most      float64
	// triedUsed and triedMean are what was at work and the mean before the last decrease, 0 after a good
	// window. heldMean is the mean above which a bound that is held is lowered again, 0 if it is not held.
	triedUsed, triedMean float64
	heldMean             float64
	// lowered is when the bound was last lowered.
	lowered time.Duration

	// The window since opened: samples, the late ones, the sum of all, and the range of what was in use.
	opened      time.Duration
	count, late float64
	sum         float64
	lowestUsed  int
	highestUsed int
}

// evidence is a sample as a bound sees it: count samples of took, which show the effect of what was in use
// at from.
type evidence struct {
	took  time.Duration
	count int
	from  time.Duration
	used  int
}

func newBound(objective time.Duration, value, least, most int) bound {
	return bound{
		objective: objective, value: float64(value), least: float64(least), most: float64(most),
	}
}

func (b *bound) current() int { return int(b.value) }

func (b *bound) atFloor() bool { return b.value <= b.least }

// verdict is what a window showed.
type verdict int

const (
	open verdict = iota // the window goes on
	easy
	fair
	late
)

func (b *bound) observe(now time.Duration, e evidence) verdict {
	if b.stale(now, e) {
		return open
	}
	if b.count == 0 {
		b.opened = now
		b.lowestUsed, b.highestUsed = e.used, e.used
	}
	b.count += float64(e.count)
	b.sum += float64(e.count) * e.took.Seconds()
	if e.took > b.objective {
		b.late += float64(e.count)
	}
	b.lowestUsed = min(b.lowestUsed, e.used)
	b.highestUsed = max(b.highestUsed, e.used)
	if now-b.opened < window || b.count < fewest {
		return open
	}
	return b.judge(now)
}

// stale reports whether the evidence says nothing about the bound: it was taken before the bound was
// lowered, or it is late while more is at work than the bound allows.
func (b *bound) stale(now time.Duration, e evidence) bool {
	if e.from < b.lowered {
		return true
	}
	return e.took > b.objective && b.draining(now, e.used)
}

// draining reports whether more is in use than the bound allows because it was lowered a while ago.
func (b *bound) draining(now time.Duration, used int) bool {
	return float64(used) > b.value+1 && now-b.lowered < settle
}

// judge moves the bound by what the window showed.
func (b *bound) judge(now time.Duration) verdict {
	part := b.late / b.count
	mean := b.sum / b.count
	v := fair
	switch {
	case part > latePart:
		b.strain(now, mean)
		v = late
	case part <= easyPart:
		b.triedUsed, b.triedMean, b.heldMean = 0, 0, 0
		b.raise(mean)
		v = easy
	}
	b.reset()
	return v
}

// strain lowers the bound, unless that did not pay the last time.
func (b *bound) strain(now time.Duration, mean float64) {
	used := float64(b.highestUsed)
	switch {
	case b.heldMean > 0 && mean <= b.heldMean:
		return
	case b.heldMean == 0 && b.triedMean > 0 && !b.paid(used, mean):
		b.value = max(b.value, b.triedUsed)
		b.heldMean = worsePart * b.triedMean
		return
	}
	b.heldMean = 0
	b.triedUsed, b.triedMean = used, mean
	b.lower(now, b.objective.Seconds()/mean)
}

// paid reports whether the last decrease made the mean better by enough for what it cost.
func (b *bound) paid(used, mean float64) bool {
	cut := (b.triedUsed - used) / b.triedUsed
	gain := (b.triedMean - mean) / b.triedMean
	return cut <= 0 || gain >= paysPart*cut
}

func (b *bound) lower(now time.Duration, factor float64) {
	b.value = max(b.least, b.value*min(mildest, max(hardest, factor)))
	b.lowered = now
	b.reset()
}

func (b *bound) raise(mean float64) {
	b.value = max(b.value, min(b.most, float64(b.lowestUsed)))
	if float64(b.highestUsed) < usedPart*b.value {
		return
	}
	growth := step
	if near := nearPart * b.objective.Seconds(); mean < near {
		growth = min(1, max(step, (b.objective.Seconds()/mean-1)/2))
	}
	b.value = min(b.most, b.value+max(1, growth*b.value))
}

func (b *bound) reset() { b.count, b.late, b.sum = 0, 0, 0 }
