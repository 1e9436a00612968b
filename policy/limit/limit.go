package limit

import "time"

// A group has two things to run out of. Each request in the batch makes every token of all others later:
// the gap between tokens bounds how many may be at work. Prompts are read one after the other: the time
// to the first token bounds how many may wait for theirs inside the engine. With one bound for both, a
// burst fills all free places at once and its prompts form a line inside the engine, where neither
// shares nor deadlines count (an operator notices first tokens that take seconds with a good gap); and
// lowering that one bound for it throws away places in the batch.
//
// So there are two bounds, each moved by its own objective: Current and Starting.

const (
	// startPart is the part of the first token objective that the engine may use; the rest is for the
	// queue at the home and the way between the processes.
	startPart = 0.6
	// startFloor is the least bound on requests without a first token: enough prompts to fill the steps of
	// an engine, so that a low bound costs no throughput.
	startFloor = 4
	// startFirst is the first bound on requests without a first token.
	startFirst = 16
)

// Sample is one measurement at the home.
type Sample struct {
	// Running is how many requests were at work on the group when it was measured, which may be long before
	// it is observed.
	Running int
	// Gap is a time between two tokens, the mean of GapCount of them (0 counts as 1); 0 if this is not about gaps.
	Gap      time.Duration
	GapCount int
	// FirstToken is the time from sending a request to its first token, or, with Config.NonStreaming, to its end;
	// 0 if this is not about one.
	FirstToken time.Duration
	// Starting is how many requests had no first token then.
	Starting int
}

// Limit adapts the bounds of one group.
type Limit struct {
	cfg     Config
	running bound
	start   bound
	// heldBack is when the limit was last lowered by holdBack, if hold says that it was.
	heldBack time.Duration
	hold     bool
}

// New returns a Limit in slow start. Config must have passed Check.
func New(config Config) *Limit {
	config = config.WithDefaults()
	l := &Limit{cfg: config}
	objective := config.TokenGap
	if config.NonStreaming {
		objective = config.FirstToken
	}
	l.running = newBound(objective, config.Start, config.Min, config.Max)
	l.running.takesBack = true
	floor := min(startFloor, config.Max)
	target := time.Duration(startPart * float64(config.FirstToken))
	l.start = newBound(target, min(startFirst, config.Max), floor, config.Max)
	return l
}

// Current returns how many requests may be at work on the group.
func (l *Limit) Current() int { return l.running.current() }

// Starting returns how many of them may be without a first token, 0 for no bound.
func (l *Limit) Starting() int {
	if l.cfg.NonStreaming {
		return 0
	}
	return l.start.current()
}

// Observe takes a sample in.
func (l *Limit) Observe(now time.Duration, s Sample) {
	if s.Gap > 0 && !l.cfg.NonStreaming && !l.holding(now) {
		l.running.observe(now, evidence{took: s.Gap, count: max(1, s.GapCount), used: s.Running})
	}
	if s.FirstToken <= 0 {
		return
	}
	e := evidence{took: s.FirstToken, count: 1, used: s.Starting}
	if l.cfg.NonStreaming {
		e.used = s.Running
		l.running.observe(now, e)
		return
	}
	if l.start.observe(now, e) > noRoom && l.start.atFloor() && !l.running.strained() {
		l.holdBack(now, s.Running)
	}
}

// holdBack lowers the limit when first tokens stay very late with the fewest starting requests: then the
// engine has no room for the requests that it was sent, as when its cache is full, and the gap does not
// show it: on a group that is slow as a whole the gap is late as well. It waits until the requests at work are down to the limit.
func (l *Limit) holdBack(now time.Duration, running int) {
	if l.holding(now) && running > l.Current() {
		return
	}
	l.running.lower(holdBackFactor * min(l.running.value, float64(running)))
	l.heldBack, l.hold = now, true
}

// holding reports whether the limit was held back lately, so that a good gap must not raise it.
func (l *Limit) holding(now time.Duration) bool { return l.hold && now-l.heldBack < holdFor }

const (
	// noRoom is the measured first token time, as a multiple of what the engine may use, from which a line
	// of a few prompts does not explain it: more than the whole objective.
	noRoom = 2
	// holdBackFactor is the factor by which holdBack lowers the limit.
	holdBackFactor = 0.9
	// holdFor is how long it then stays: requests take some ten seconds, and leave room one by one.
	holdFor = 10 * time.Second
)
