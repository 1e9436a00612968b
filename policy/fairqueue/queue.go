package fairqueue

import "time"

// Queue is admission and the fair queue before one group. After each Offer that queued, and after
// SetLimit, Started, Done, Remove and Expire, its owner calls Next until it reports false.
type Queue struct {
	cfg   Config
	slots slots
	// entries holds the queued and running items, free the unused places, index the place of each ID.
	entries []entry
	free    []int32
	index   map[string]int32
	teams   map[string]*team
	heaps   [classes]teamHeap
	// virtual is the queue's virtual time, in tokens for a share of 1. It never goes back.
	virtual float64
	// items counts what is queued; shares sums over the teams that have something queued or at work.
	items     int
	shares    float64
	drains    [classes]drain
	pressures [classes]pressure
	pace      pace
	seq       uint64
	// firstLatest is no later than the earliest time by which a queued item has to be sent.
	firstLatest time.Duration
	late        []Item
	forgetAt    int
}

// New returns an empty queue with no slots: SetLimit gives it some. Config must have passed Check.
func New(config Config) *Queue {
	config = config.WithDefaults()
	q := &Queue{
		cfg:         config,
		slots:       slots{reserve: config.ShortReserve},
		index:       make(map[string]int32),
		teams:       make(map[string]*team),
		firstLatest: foreverWait,
		forgetAt:    firstForget,
	}
	for c := range classes {
		q.heaps[c] = teamHeap{class: c, entries: &q.entries}
	}
	return q
}

// SetLimit sets how many items may be at work at once. Those already at work go on.
func (q *Queue) SetLimit(limit int) { q.slots.limit = max(0, limit) }

// SetStartLimit sets how many items may be at work without a first token; 0 is no bound. An owner that
// sets it calls Started.
func (q *Queue) SetStartLimit(limit int) { q.slots.startLimit = max(0, limit) }

// Started says that the first token of an item came.
func (q *Queue) Started(id string) {
	if i, ok := q.index[id]; ok {
		q.started(&q.entries[i])
	}
}

func (q *Queue) started(e *entry) {
	if e.starting {
		e.starting = false
		q.slots.starting--
	}
}

// Len returns how many items are queued.
func (q *Queue) Len() int { return q.items }

// Running returns how many items are at work.
func (q *Queue) Running() int { return q.slots.running[short] + q.slots.running[long] }

// Starting returns how many items hold a slot and have no first token yet.
func (q *Queue) Starting() int { return q.slots.starting }

// Offer decides on an item.
func (q *Queue) Offer(now time.Duration, item Item) Verdict {
	item.Work = max(1, item.Work)
	if _, ok := q.index[item.ID]; ok {
		return Verdict{Decision: Refused, Code: CodeDuplicate}
	}
	q.forgetIdle(now)
	t := q.team(&item)
	t.seen = now
	c := q.cfg.classOf(item.Work)
	if c == short {
		q.slots.sawShort(now)
	}
	q.slots.advance(now)
	q.activate(t)
	service := q.service(now, item.least())
	if now+service > item.Deadline {
		return q.tooLong(now, t, c, &item)
	}
	if q.slots.free(c) && q.pick() == nil {
		q.send(now, q.add(now, t, c, item))
		return Verdict{Decision: Admitted}
	}
	wait := q.expect(now, t, c)
	if code, excess := q.over(now, t, c, &item, wait, service); code != "" {
		return Verdict{Decision: Refused, Wait: wait, Code: code, RetryAfter: q.retryAfter(now, t, c, &item, excess)}
	}
	i := q.add(now, t, c, item)
	q.entries[i].latest = min(now+q.cfg.MaxWait, item.Deadline-service)
	q.firstLatest = min(q.firstLatest, q.entries[i].latest)
	q.link(now, i)
	return Verdict{Decision: Queued, Wait: wait}
}

// tooLong refuses an item that would not be whole before its deadline if it were sent now. Coming back
// helps only if the group is slower now than it should be.
func (q *Queue) tooLong(now time.Duration, t *team, c class, item *Item) Verdict {
	v := Verdict{Decision: Refused, Code: CodeDeadline}
	if now+seconds(serviceMargin*float64(item.Work)*q.cfg.TimePerToken.Seconds()) <= item.Deadline {
		v.RetryAfter = q.retryAfter(now, t, c, item, 0)
	}
	return v
}

// over returns why an item that would wait so long is refused, and by how much the wait is too long, or
// no code.
func (q *Queue) over(now time.Duration, t *team, c class, item *Item, wait, service time.Duration) (Code, time.Duration) {
	if q.items >= q.cfg.MaxItems || t.queued[c].items > q.cfg.MaxItems-q.items {
		return CodeOverloaded, wait
	}
	if slack := item.Deadline - service - now; wait > slack {
		return CodeDeadline, wait - slack
	}
	if allowed := q.allowed(now, t, c); wait > allowed {
		return CodeOverloaded, wait - allowed
	}
	return "", 0
}

// allowed returns how long a new item of the team may be expected to wait: MaxWait in a burst, and
// StandingWait once the class has been backlogged for about StandingAfter. A team that has nothing queued
// is not what makes the queue stand.
func (q *Queue) allowed(now time.Duration, t *team, c class) time.Duration {
	if t.queued[c].items > 0 && q.pressures[c].high(now, q.cfg.StandingAfter) {
		return q.cfg.StandingWait
	}
	return q.cfg.MaxWait
}

// Next returns the item to send next, if there is one and a slot is free for it. It holds the slot
// until Done.
func (q *Queue) Next(now time.Duration) (Item, bool) {
	q.slots.advance(now)
	for {
		t := q.pick()
		if t == nil {
			return Item{}, false
		}
		c := q.turn(now, t)
		i := t.queued[c].head
		q.unlink(now, i)
		if q.entries[i].latest < now {
			q.late = append(q.late, q.entries[i].item)
			q.release(i)
			continue
		}
		q.drains[c].sent(now, t.key())
		q.send(now, i)
		return q.entries[i].item, true
	}
}

// pick returns the team whose turn it is, or nil if nothing that is queued may be sent.
func (q *Queue) pick() *team {
	var s, l *team
	if q.slots.free(short) {
		s = q.heaps[short].top()
	}
	if q.slots.free(long) {
		l = q.heaps[long].top()
	}
	if s == nil || (l != nil && l.key() < s.key()) {
		return l
	}
	return s
}

// turn returns the class of the item that a team sends at its turn: short ones first, so that they do
// not wait behind the team's own long ones, unless a long one has aged.
func (q *Queue) turn(now time.Duration, t *team) class {
	if t.queued[long].items == 0 || !q.slots.free(long) {
		return short
	}
	if t.queued[short].items == 0 || now-q.entries[t.queued[long].head].arrived > q.cfg.LongAge {
		return long
	}
	return short
}

// Done says that an item which was sent is over, and how much work it took in tokens (0 if it turned out
// not to have been sent). The team is charged for what was used, so that a wrong estimate gains nothing.
func (q *Queue) Done(now time.Duration, id string, work int) {
	i, ok := q.index[id]
	if !ok || !q.entries[i].running {
		return
	}
	e := &q.entries[i]
	q.slots.running[e.class]--
	q.started(e)
	q.correct(e.team, float64(work-e.item.Work))
	if work > 0 {
		q.pace.add(now, now-e.sent, float64(e.item.Work))
	}
	q.release(i)
}

// Remove takes an item out of the queue, because its caller is gone. It reports whether it was queued; one
// that was sent stays until Done.
func (q *Queue) Remove(now time.Duration, id string) bool {
	i, ok := q.index[id]
	if !ok || q.entries[i].running {
		return false
	}
	q.unlink(now, i)
	q.release(i)
	return true
}

// Expire takes out and returns the items that have waited too long to be sent. The slice is valid until
// the next call of Next or Expire.
func (q *Queue) Expire(now time.Duration) []Item {
	expired := q.late
	if now > q.firstLatest {
		q.firstLatest = foreverWait
		for i := range q.entries {
			e := &q.entries[i]
			if e.team == nil || e.running {
				continue
			}
			if e.latest >= now {
				q.firstLatest = min(q.firstLatest, e.latest)
				continue
			}
			expired = append(expired, e.item)
			q.unlink(now, int32(i))
			q.release(int32(i))
		}
	}
	q.late = expired[:0]
	return expired
}

func (q *Queue) send(now time.Duration, i int32) {
	e := &q.entries[i]
	e.running = true
	e.starting = true
	q.slots.starting++
	e.sent = now
	q.slots.running[e.class]++
	q.charge(e.team, float64(e.item.Work))
}
