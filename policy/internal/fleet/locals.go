package fleet

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
	"github.com/skylarkpond/skylarkpond/policy/limit"
)

// locals is fronts that send to groups themselves. Each front has a limit for each of its groups and one fair
// queue before all of them.
type locals struct {
	fleet  *Fleet
	fronts []*localFront
	// at lists, for each group, the links of the fronts that have something at work on it.
	at [][]*link
}

// localFront is a front with its own limits.
type localFront struct {
	locals *locals
	queue  *playback.Fair
	links  []*link
	limit  int
}

// link is what a front knows of a group.
type link struct {
	front             *localFront
	group             int
	limits            playback.Limiter
	limit             int
	running, starting int
	// sent counts what was sent since the load was last heard of.
	sent int
}

// LocalLimits returns the dispatcher with local limits. Each front uses subset groups, 0 for all; its limit for a
// group is that of the given part of it.
func LocalLimits(limits LimiterFactory, subset int) DispatcherFactory {
	return func(f *Fleet) dispatcher {
		if subset == 0 {
			subset = f.cfg.Groups
		}
		part := float64(f.cfg.Groups) / float64(f.cfg.Fronts*subset)
		l := &locals{fleet: f, at: make([][]*link, f.cfg.Groups)}
		for i := range f.cfg.Fronts {
			l.fronts = append(l.fronts, l.newFront(i, subset, part, limits))
		}
		for group, engine := range f.engines {
			engine.OnStep = func(gap time.Duration, _ int) { l.observeGap(group, gap) }
			f.observe(engine)
		}
		f.loop.Every(expireEvery, l.expire)
		f.loop.Every(f.cfg.LoadReportAge, l.forget)
		return l
	}
}

const expireEvery = 50 * time.Millisecond

func (l *locals) newFront(i, subset int, part float64, limits LimiterFactory) *localFront {
	front := &localFront{locals: l, queue: playback.NewFair(fairqueue.Config{})}
	for k := range subset {
		// Consecutive fronts take consecutive groups, so that each group has as many fronts as any other.
		group := (i*subset + k) % len(l.at)
		front.links = append(front.links, &link{front: front, group: group, limits: limits(part)})
	}
	for _, link := range front.links {
		front.apply(link)
	}
	return front
}

func (l *locals) load(group int) int { return l.fleet.engines[group].Running() }

func (l *locals) wayBack() time.Duration { return 0 }

func (l *locals) forget() {
	for _, front := range l.fronts {
		for _, link := range front.links {
			link.sent = 0
		}
	}
}

func (l *locals) expire() {
	for _, front := range l.fronts {
		for _, r := range front.queue.Expire(l.fleet.loop.Now()) {
			front.refuse(r)
		}
		front.drain()
	}
}

func (l *locals) arrive(r *playback.Request) {
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
	r.Ended = f.locals.fleet.loop.Now()
}

func (f *localFront) drain() {
	for r := f.queue.Next(f.locals.fleet.loop.Now()); r != nil; r = f.queue.Next(f.locals.fleet.loop.Now()) {
		f.send(r)
	}
}

// apply takes over a link's limit into that of the front's queue.
func (f *localFront) apply(l *link) {
	f.limit += l.limits.Current() - l.limit
	l.limit = l.limits.Current()
	f.queue.SetLimit(f.limit)
}

// choose returns the less loaded of two links that have a free slot. The queue sends only when one has, or
// when limits have just been lowered below what is at work: then any link is as good as another.
func (f *localFront) choose() *link {
	fleet := f.locals.fleet
	start := fleet.random.IntN(len(f.links))
	var found *link
	for k := range f.links {
		l := f.links[(start+k*chooseStep)%len(f.links)]
		if l.running >= l.limit || (l.limits.Starting() > 0 && l.starting >= l.limits.Starting()) {
			continue
		}
		if found == nil {
			found = l
			continue
		}
		if fleet.known[l.group]+l.sent < fleet.known[found.group]+found.sent {
			found = l
		}
		return found
	}
	if found == nil {
		return f.links[start]
	}
	return found
}

// chooseStep is a prime that no number of groups here is a multiple of: it makes the second link unlike a
// neighbour of the first.
const chooseStep = 37

func (f *localFront) send(r *playback.Request) {
	l := f.choose()
	if l.running == 0 {
		f.locals.at[l.group] = append(f.locals.at[l.group], l)
	}
	l.running++
	l.starting++
	l.sent++
	loop, engine := f.locals.fleet.loop, f.locals.fleet.engines[l.group]
	r.Started = loop.Now()
	engine.Submit(r, func(r *playback.Request) { l.firstToken(r) }, func(r *playback.Request) { l.end(r, playback.Answered) })
	loop.At(r.Deadline(), func() {
		if r.Outcome == playback.Pending {
			engine.Cancel(r)
			l.end(r, playback.Late)
		}
	})
}

func (l *link) firstToken(r *playback.Request) {
	now := l.front.locals.fleet.loop.Now()
	l.limits.Observe(now, limit.Sample{Running: l.running, FirstToken: now - r.Started, Starting: l.starting})
	l.starting--
	l.front.queue.Started(r)
	l.front.apply(l)
	l.front.drain()
}

func (l *link) end(r *playback.Request, outcome playback.Outcome) {
	locals := l.front.locals
	now := locals.fleet.loop.Now()
	r.Outcome, r.Ended = outcome, now
	if r.FirstToken == 0 {
		l.starting--
	}
	l.running--
	if l.running == 0 {
		locals.at[l.group] = without(locals.at[l.group], l)
	}
	l.front.queue.Done(now, r, r.Work())
	l.front.drain()
}

// observeGap tells each front with something at work on a group of a gap between tokens.
func (l *locals) observeGap(group int, gap time.Duration) {
	now := l.fleet.loop.Now()
	for _, link := range l.at[group] {
		link.limits.Observe(now, limit.Sample{Running: link.running, Gap: gap, Gaps: link.running})
		if link.limits.Current() != link.limit {
			link.front.apply(link)
		}
	}
}

func without(links []*link, l *link) []*link {
	for i, other := range links {
		if other == l {
			links[i] = links[len(links)-1]
			return links[:len(links)-1]
		}
	}
	return links
}
