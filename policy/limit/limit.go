package limit

import "time"

// A group has two resources to exhaust. Each request in the batch delays every token of all others, so the gap
// between tokens bounds how many requests may be in progress. Prompts are prefilled one after the other, so the time
// to the first token bounds how many requests may wait for theirs inside the engine. With a single limit for both, a
// burst fills all free slots at once and its prompts queue inside the engine, where neither shares nor deadlines
// apply: first tokens take seconds while the gap is good. Lowering the single limit for that reason would waste slots
// in the batch.
//
// So there are two limits, Current and Starting, each adjusted by its own objective.
const (
	// engineShare is the part of the first token objective that the engine may use; the rest is for the queue at the
	// home and the transport between the processes.
	engineShare = 0.6
	// minStarting is the lowest limit on requests without a first token: enough prompts to fill the steps of an
	// engine, so that a low limit costs no throughput.
	minStarting = 4
	// initialStarting is the initial limit on requests without a first token.
	initialStarting = 16
)

// Sample is one measurement at the home.
type Sample struct {
	// Running is how many requests were in progress on the group when the measurement was taken, which may be long
	// before it is observed.
	Running int
	// Gap is the mean time between tokens over GapCount gaps (0 counts as 1), or 0 if the sample holds no gap.
	Gap      time.Duration
	GapCount int
	// FirstToken is the time from sending a request to its first token or, with Config.NonStreaming, to its end; 0 if
	// the sample holds none.
	FirstToken time.Duration
	// Starting is how many requests had no first token when the measurement was taken.
	Starting int
}

// Limit adapts the concurrency limits of one group.
type Limit struct {
	cfg      Config
	running  bound
	starting bound
	// loweredAt is when backOff last lowered the limit; lowered is set once it has.
	loweredAt time.Duration
	lowered   bool
}

// New returns a Limit in slow start. The configuration must have passed Check.
func New(config Config) *Limit {
	config = config.WithDefaults()
	l := &Limit{cfg: config}
	objective := config.TokenGap
	if config.NonStreaming {
		objective = config.FirstToken
	}
	l.running = newBound(objective, config.Start, config.Min, config.Max)
	l.running.revertsDecreases = true
	floor := min(minStarting, config.Max)
	target := time.Duration(engineShare * float64(config.FirstToken))
	l.starting = newBound(target, min(initialStarting, config.Max), floor, config.Max)
	return l
}

// Current returns how many requests may be in progress on the group.
func (l *Limit) Current() int { return l.running.current() }

// Starting returns how many of these may be without a first token, or 0 for no limit.
func (l *Limit) Starting() int {
	if l.cfg.NonStreaming {
		return 0
	}
	return l.starting.current()
}

// Observe adds a sample and adjusts the limits.
func (l *Limit) Observe(now time.Duration, s Sample) {
	if s.Gap > 0 && !l.cfg.NonStreaming && !l.holding(now) {
		l.running.observe(now, observation{latency: s.Gap, count: max(1, s.GapCount), concurrency: s.Running})
	}
	if s.FirstToken <= 0 {
		return
	}
	o := observation{latency: s.FirstToken, count: 1, concurrency: s.Starting}
	if l.cfg.NonStreaming {
		o.concurrency = s.Running
		l.running.observe(now, o)
		return
	}
	if l.starting.observe(now, o) > noCapacityRatio && l.starting.atMin() && !l.running.overObjective() {
		l.backOff(now, s.Running)
	}
}

// backOff lowers the limit when first tokens stay very late although Starting is at its minimum. The engine then has
// no capacity for the requests it was sent, for example because its cache is full, and the token gap does not show
// it. (On a group that is slow as a whole, the gap is late as well.) It does not lower the limit again until the
// requests in progress are down to it.
func (l *Limit) backOff(now time.Duration, running int) {
	if l.holding(now) && running > l.Current() {
		return
	}
	l.running.lower(backOffFactor * min(l.running.value, float64(running)))
	l.loweredAt, l.lowered = now, true
}

// holding reports whether the limit was lowered by backOff within holdFor, so that a good gap must not raise
// it.
func (l *Limit) holding(now time.Duration) bool { return l.lowered && now-l.loweredAt < holdFor }

const (
	// noCapacityRatio is the measured time to the first token, as a multiple of the engine's part of the objective,
	// that a queue of a few prompts does not explain: more than the whole objective.
	noCapacityRatio = 2
	// backOffFactor is the factor by which backOff lowers the limit.
	backOffFactor = 0.9
	// holdFor is how long the limit then stays: requests take some ten seconds and free their slots one by one.
	holdFor = 10 * time.Second
)
