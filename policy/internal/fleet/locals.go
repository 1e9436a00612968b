package fleet

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// localLimits dispatches requests directly from the fronts to the groups. Each front has a limit for each
// of its groups, and one fair queue for all of them.
type localLimits struct {
	fleet  *Fleet
	fronts []*localFront
	// activeLinks lists, for each group, the links of the fronts with requests running on it.
	activeLinks [][]*groupLink
}

// localFront is a front with limits of its own.
type localFront struct {
	parent *localLimits
	queue  *playback.FairQueue
	links  []*groupLink
	limit  int
}

// groupLink is the state that a front holds for one group.
type groupLink struct {
	front             *localFront
	group             int
	limiter           playback.Limiter
	limit             int
	running, starting int
	// sentSinceReport counts the requests sent since the last load report.
	sentSinceReport int
}

// LocalLimits returns the factory of a dispatcher with local limits. Each front uses subset groups, or all
// groups if subset is 0. The limiter of a front for a group is made for the share of the group that the
// front would get if all fronts that use it had equal shares.
func LocalLimits(newLimiter LimiterFactory, subset int) DispatcherFactory {
	return func(f *Fleet) dispatcher {
		if subset == 0 {
			subset = f.cfg.Groups
		}
		share := float64(f.cfg.Groups) / float64(f.cfg.Fronts*subset)
		l := &localLimits{fleet: f, activeLinks: make([][]*groupLink, f.cfg.Groups)}
		for i := range f.cfg.Fronts {
			l.fronts = append(l.fronts, l.newFront(i, subset, share, newLimiter))
		}
		for group, engine := range f.engines {
			engine.OnStep = func(gap time.Duration, _ int) { l.observeGap(group, gap) }
			f.observe(engine)
		}
		f.loop.Every(expireInterval, l.expire)
		f.loop.Every(f.cfg.LoadReportInterval, l.resetSent)
		return l
	}
}

const expireInterval = 50 * time.Millisecond

func (l *localLimits) newFront(i, subset int, share float64, newLimiter LimiterFactory) *localFront {
	front := &localFront{parent: l, queue: playback.NewFairQueue(fairqueue.Config{})}
	for k := range subset {
		// Consecutive fronts use consecutive groups, so that the fronts are spread evenly over the groups.
		group := (i*subset + k) % len(l.activeLinks)
		front.links = append(front.links, &groupLink{front: front, group: group, limiter: newLimiter(share)})
	}
	for _, link := range front.links {
		front.applyLimit(link)
	}
	return front
}

func (l *localLimits) loadOf(group int) int { return l.fleet.engines[group].Running() }

func (l *localLimits) responseLatency() time.Duration { return 0 }

func (l *localLimits) resetSent() {
	for _, front := range l.fronts {
		for _, link := range front.links {
			link.sentSinceReport = 0
		}
	}
}

func (l *localLimits) expire() {
	for _, front := range l.fronts {
		for _, r := range front.queue.Expire(l.fleet.loop.Now()) {
			front.refuse(r)
		}
		front.drain()
	}
}

func (l *localLimits) accept(r *playback.Request) {
	front := l.fronts[r.Front]
	r.Tries = 1
	switch decision, _ := front.queue.Offer(l.fleet.loop.Now(), r); decision {
	case playback.Admit:
		front.send(r)
	case playback.Enqueue:
		front.drain()
	case playback.Refuse:
		front.refuse(r)
	}
}

func (f *localFront) refuse(r *playback.Request) {
	r.Outcome = playback.Refused
	r.Ended = f.parent.fleet.loop.Now()
}

func (f *localFront) drain() {
	for r := f.queue.Next(f.parent.fleet.loop.Now()); r != nil; r = f.queue.Next(f.parent.fleet.loop.Now()) {
		f.send(r)
	}
}

// applyLimit updates the limit of the front's queue with the current limit of a link.
func (f *localFront) applyLimit(l *groupLink) {
	f.limit += l.limiter.Current() - l.limit
	l.limit = l.limiter.Current()
	f.queue.SetLimit(f.limit)
}

// chooseLink returns the less loaded of two links with a free slot. The queue releases requests only while
// a link has a free slot, or when limits have just fallen below the number of running requests; in that
// case any link is as good as another.
func (f *localFront) chooseLink() *groupLink {
	fleet := f.parent.fleet
	start := fleet.random.IntN(len(f.links))
	var found *groupLink
	for k := range f.links {
		l := f.links[(start+k*probeStride)%len(f.links)]
		if l.running >= l.limit || (l.limiter.Starting() > 0 && l.starting >= l.limiter.Starting()) {
			continue
		}
		if found == nil {
			found = l
			continue
		}
		if fleet.reportedLoad[l.group]+l.sentSinceReport < fleet.reportedLoad[found.group]+found.sentSinceReport {
			found = l
		}
		return found
	}
	if found == nil {
		return f.links[start]
	}
	return found
}

// probeStride is a prime of which no number of groups here is a multiple. It makes the second candidate
// differ from the direct neighbor of the first.
const probeStride = 37

func (f *localFront) send(r *playback.Request) {
	l := f.chooseLink()
	if l.running == 0 {
		f.parent.activeLinks[l.group] = append(f.parent.activeLinks[l.group], l)
	}
	l.running++
	l.starting++
	l.sentSinceReport++
	loop, engine := f.parent.fleet.loop, f.parent.fleet.engines[l.group]
	r.Started = loop.Now()
	engine.Submit(r, func(r *playback.Request) { l.onFirstToken(r) }, func(r *playback.Request) { l.finish(r, playback.Answered) })
	loop.At(r.Deadline(), func() {
		if r.Outcome == playback.Pending {
			engine.Cancel(r)
			l.finish(r, playback.Late)
		}
	})
}

func (l *groupLink) onFirstToken(r *playback.Request) {
	now := l.front.parent.fleet.loop.Now()
	l.limiter.Observe(now, limit.Sample{Running: l.running, FirstToken: now - r.Started, Starting: l.starting})
	l.starting--
	l.front.queue.Started(r)
	l.front.applyLimit(l)
	l.front.drain()
}

func (l *groupLink) finish(r *playback.Request, outcome playback.Outcome) {
	parent := l.front.parent
	now := parent.fleet.loop.Now()
	r.Outcome, r.Ended = outcome, now
	if r.FirstToken == 0 {
		l.starting--
	}
	l.running--
	if l.running == 0 {
		parent.activeLinks[l.group] = removeLink(parent.activeLinks[l.group], l)
	}
	l.front.queue.Done(now, r, r.Work())
	l.front.drain()
}

// observeGap reports a gap between tokens of a group to the limiter of each front with requests running on
// it.
func (l *localLimits) observeGap(group int, gap time.Duration) {
	now := l.fleet.loop.Now()
	for _, link := range l.activeLinks[group] {
		link.limiter.Observe(now, limit.Sample{Running: link.running, Gap: gap, GapCount: link.running})
		if link.limiter.Current() != link.limit {
			link.front.applyLimit(link)
		}
	}
}

func removeLink(links []*groupLink, l *groupLink) []*groupLink {
	for i, other := range links {
		if other == l {
			links[i] = links[len(links)-1]
			return links[:len(links)-1]
		}
	}
	return links
}
