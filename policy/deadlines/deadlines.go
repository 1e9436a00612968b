// Package deadlines learns how much of its deadline a caller's first attempt at a request usually has left, and recognizes by that the requests of
// callers that return after a failed attempt.
//
// Load pattern: while no entry runs, the attempts of all callers fail, and nobody remembers them. When the entries run again, these callers return
// within a second, three times as many as the new ones. Their answers are late in any case; those of new requests are not yet.
//
// A request is taken for a returning caller's if it has less left than a bound, which is learned for each model and priority from requests that
// are not known to be retries. The bound is a low quantile for each team, and a low one of these over the teams, in which the weight of each team is
// limited, so that no single team moves it. A team whose deadlines are shorter than those of others has a bound of its own.
//
// An error must not last: if a considerable part of a team's requests stays below its bound for longer than a deadline lasts, they are no returning
// callers, and the bound follows.
//
// Times are durations since an arbitrary fixed moment. A Learner is not safe for concurrent use.
package deadlines

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// sampleCount and sampleInterval make the samples of a team span at least 16 s: callers that return after a loss of all entries and are not
	// recognized come within two or three seconds, too few to move a low quantile far.
	sampleCount    = 64
	sampleInterval = 250 * time.Millisecond
	// updateInterval is the interval at which bounds are computed.
	updateInterval = time.Second
	// quantileDivisor selects the quantile of a team's samples, 1/12.
	quantileDivisor = 12
	// A kind's bound takes minSamples over its teams. A team's restored bound is kept until it has minTeamSamples. Otherwise, its own bound is taken
	// from the first sample on: too low a bound takes returning callers for new ones, which is as if nothing was known.
	minTeamSamples = 16
	minSamples     = 32
	// teamQuantile selects the team whose value becomes the bound of a kind, by weight, and maxTeamWeight limits the weight of one team below it.
	teamQuantile  = 0.25
	maxTeamWeight = 0.2
	// margin is the share by which a bound lies below what was learned.
	margin = 0.05
	// Nothing is learned from requests below the bound while they are at least followShare of a team's, until that has lasted for followFactor times
	// the bound. The longest deadlines of a route are about 1.35 times the shortest.
	followShare  = 0.25
	followFactor = 1.5
	// rateWeight is the weight of the latest interval in the average number of a team's requests.
	rateWeight = 0.2
	// forgetAfter is how long a team without requests is remembered.
	forgetAfter = time.Minute
	// maxKinds and maxTeams bound the memory: requests of further kinds are not learned from, those of further teams count as one team's.
	maxKinds = 128
	maxTeams = 64
	// minBound and maxBound are the limits of a plausible bound.
	minBound = 50 * time.Millisecond
	maxBound = 10 * time.Minute
)

// Kind identifies requests with similar deadlines.
type Kind struct {
	Model    string
	Priority int
}

// Learner holds what was learned.
type Learner struct{ kinds map[Kind]*kind }

type kind struct {
	// bound is the remaining deadline below which a request is a returning caller's; 0 if unknown.
	bound time.Duration
	// restored is set until the first request after the bound was restored, and quietUntil is when learning starts after that: callers return
	// after the loss of all entries for as long as their deadlines last.
	restored   bool
	quietUntil time.Duration
	teams      map[string]*team
	updatedAt  time.Duration
}

type team struct {
	// samples is a ring; count is the number of those set, and next the one to replace.
	samples     [sampleCount]time.Duration
	count, next int
	sampledAt   time.Duration
	// bound is lower than that of the kind; 0 for none. restored is set if it was restored.
	bound    time.Duration
	restored bool
	// requests and below are counted since the last update: all, and those below the bound. perInterval is the average of requests.
	requests, below int
	perInterval     float64
	// Since belowSince, at least followShare of the requests were below the bound, if isBelow is set. follows is set once that has lasted.
	isBelow    bool
	belowSince time.Duration
	follows    bool
	seenAt     time.Duration
}

// New returns a Learner that knows nothing.
func New() *Learner { return &Learner{kinds: make(map[Kind]*kind)} }

// Observe learns from a request that is not known to be a retry, and reports whether it is a returning caller's. remaining is what is left of the
// caller's deadline; 0 if unknown.
func (l *Learner) Observe(now time.Duration, of Kind, teamName string, remaining time.Duration) (returning bool) {
	if remaining <= 0 {
		return false
	}
	k := l.kinds[of]
	if k == nil {
		if len(l.kinds) >= maxKinds {
			return false
		}
		k = &kind{teams: make(map[string]*team), updatedAt: now}
		l.kinds[of] = k
	}
	if k.restored {
		k.begin(now)
	}
	if now-k.updatedAt >= updateInterval {
		k.update(now)
	}
	t := k.team(now, teamName)
	t.seenAt = now
	t.requests++
	if returning = remaining < k.boundFor(t); returning {
		t.below++
	}
	// Requests below the bound are left out only while there are many: if they always were, a bound within the range of usual deadlines would rise on
	// and on.
	if (!returning || !t.isBelow || t.follows) && now >= k.quietUntil && now-t.sampledAt >= sampleInterval {
		t.add(now, remaining)
	}
	return returning
}

// Recognize is Observe without learning.
func (l *Learner) Recognize(of Kind, teamName string, remaining time.Duration) bool {
	k := l.kinds[of]
	if k == nil || remaining <= 0 {
		return false
	}
	return remaining < k.boundFor(k.teams[teamName])
}

// Bound returns the remaining deadline below which a request of a kind is a returning caller's; 0 if unknown.
func (l *Learner) Bound(of Kind) time.Duration {
	if k := l.kinds[of]; k != nil {
		return k.bound
	}
	return 0
}

// Lowest returns the lowest bound of a model's kinds; 0 if none is known.
func (l *Learner) Lowest(model string) (lowest time.Duration) {
	for of, k := range l.kinds {
		if of.Model == model && k.bound > 0 && (lowest == 0 || k.bound < lowest) {
			lowest = k.bound
		}
	}
	return lowest
}

// Len returns the number of kinds with a bound.
func (l *Learner) Len() int {
	n := 0
	for _, k := range l.kinds {
		if k.bound > 0 {
			n++
		}
	}
	return n
}

// begin starts learning with a restored bound.
func (k *kind) begin(now time.Duration) {
	k.restored, k.quietUntil, k.updatedAt = false, now+time.Duration(followFactor*float64(k.bound)), now
	for _, t := range k.teams {
		t.seenAt = now
	}
}

func (k *kind) team(now time.Duration, name string) *team {
	t := k.teams[name]
	if t == nil && len(k.teams) >= maxTeams {
		name = ""
		t = k.teams[name]
	}
	if t == nil {
		t = &team{sampledAt: now - sampleInterval}
		k.teams[name] = t
	}
	return t
}

// boundFor returns the bound for a team's requests. t is nil for an unknown team.
func (k *kind) boundFor(t *team) time.Duration {
	if t != nil && t.bound > 0 && t.bound < k.bound {
		return t.bound
	}
	return k.bound
}

func (k *kind) update(now time.Duration) {
	k.updatedAt = now
	samples := 0
	for name, t := range k.teams {
		if now-t.seenAt > forgetAfter {
			delete(k.teams, name)
			continue
		}
		t.endInterval(now, k.boundFor(t))
		samples += t.count
	}
	if samples >= minSamples {
		k.bound = withMargin(k.lowOverTeams())
	}
	for _, t := range k.teams {
		if t.count == 0 || t.restored && t.count < minTeamSamples {
			continue
		}
		t.bound = 0
		if own := withMargin(t.low()); own < k.bound {
			t.bound = own
		}
	}
}

func withMargin(low time.Duration) time.Duration {
	return max(minBound, time.Duration((1-margin)*float64(low)))
}

// lowOverTeams returns the low quantile of the teams' low quantiles.
func (k *kind) lowOverTeams() time.Duration {
	type weighted struct {
		low    time.Duration
		weight float64
	}
	total, sum := 0.0, 0.0
	names := slices.Sorted(maps.Keys(k.teams)) // so that sums don't depend on the order of a map
	for _, name := range names {
		total += k.teams[name].perInterval
	}
	var lows []weighted
	for _, name := range names {
		if t := k.teams[name]; t.count > 0 {
			w := weighted{t.low(), min(t.perInterval, maxTeamWeight*total)}
			lows = append(lows, w)
			sum += w.weight
		}
	}
	slices.SortFunc(lows, func(a, b weighted) int { return cmp.Compare(a.low, b.low) })
	reached := 0.0
	for _, w := range lows {
		if reached += w.weight; reached >= teamQuantile*sum {
			return w.low
		}
	}
	return k.bound
}

// endInterval evaluates the requests since the last call.
func (t *team) endInterval(now, bound time.Duration) {
	t.perInterval += rateWeight * (float64(t.requests) - t.perInterval)
	if t.requests > 0 {
		isBelow := float64(t.below) >= followShare*float64(t.requests)
		if isBelow && !t.isBelow {
			t.belowSince = now
		}
		t.isBelow = isBelow
	}
	t.follows = t.isBelow && now-t.belowSince > time.Duration(followFactor*float64(bound))
	t.requests, t.below = 0, 0
}

func (t *team) add(now, remaining time.Duration) {
	t.sampledAt = now
	t.samples[t.next] = remaining
	t.next = (t.next + 1) % sampleCount
	t.count = min(t.count+1, sampleCount)
}

// low returns the low quantile of the samples, of which there must be at least one.
func (t *team) low() time.Duration {
	sorted := slices.Clone(t.samples[:t.count])
	slices.Sort(sorted)
	return sorted[t.count/quantileDivisor]
}
