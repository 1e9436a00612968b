package fairqueue

import "time"

// Queue is the admission control and fair queue in front of one group. After each Offer that queued an
// item, and after SetLimit, Started, Done, Remove and Expire, its owner calls Next until it reports false.
type Queue struct {
	cfg   Config
	slots slots
	// entries holds the queued and running items, free lists its unused places, and index maps an ID to
	// its place.
	entries []entry
	free    []int32
	index   map[string]int32
	teams   map[string]*team
	heaps   [numClasses]teamHeap
	// virtual is the queue's virtual time, in tokens for a share of 1. It never decreases.
	virtual float64
	// queuedItems counts the queued items. activeShares is the sum of the shares of teams that have queued
	// or running items.
	queuedItems  int
	activeShares float64
	drains       [numClasses]drainEstimator
	pressures    [numClasses]pressure
	tokenTime    tokenTimeEstimator
	seq          uint64
	// earliestSendBy is a lower bound on the sendBy of all queued items.
	earliestSendBy time.Duration
	// expired holds items that Next dropped, until Expire returns them; its array is reused.
	expired         []Item
	forgetThreshold int
}

// New returns an empty queue without slots; SetLimit provides them. The configuration must have passed
// Check.
func New(config Config) *Queue {
	config = config.WithDefaults()
	q := &Queue{
		cfg:             config,
		slots:           slots{reserve: config.ShortReserve},
		index:           make(map[string]int32),
		teams:           make(map[string]*team),
		earliestSendBy:  maxWaitEstimate,
		forgetThreshold: minForgetThreshold,
	}
	for c := range numClasses {
		q.heaps[c] = teamHeap{class: c, entries: &q.entries}
	}
	return q
}

// SetLimit sets how many items may run at once. Items that are already running are not affected.
func (q *Queue) SetLimit(limit int) { q.slots.limit = max(0, limit) }

// SetStartLimit sets how many items may run without having received their first token; 0 means no limit.
// An owner that sets it must call Started.
func (q *Queue) SetStartLimit(limit int) { q.slots.startLimit = max(0, limit) }

// Started records that the first token of an item arrived.
func (q *Queue) Started(id string) {
	if i, ok := q.index[id]; ok {
		q.markStarted(&q.entries[i])
	}
}

func (q *Queue) markStarted(e *entry) {
	if e.starting {
		e.starting = false
		q.slots.starting--
	}
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return q.queuedItems }

// Running returns the number of items that hold a slot.
func (q *Queue) Running() int { return q.slots.running[short] + q.slots.running[long] }

// Starting returns the number of running items without a first token.
func (q *Queue) Starting() int { return q.slots.starting }

// Offer admits, queues or refuses an item.
func (q *Queue) Offer(now time.Duration, item Item) Verdict {
	item.Work = max(1, item.Work)
	if _, ok := q.index[item.ID]; ok {
		return Verdict{Decision: Refused, Code: CodeDuplicate}
	}
	q.forgetIdle(now)
	t := q.team(&item)
	t.lastOffer = now
	c := q.cfg.classOf(item.Work)
	if c == short {
		q.slots.recordShort(now)
	}
	q.slots.expireReserve(now)
	q.activate(t)
	service := q.minServiceTime(now, item.deadlineWork())
	if now+service > item.Deadline {
		return q.refuseDeadline(now, t, c, &item)
	}
	if q.slots.free(c) && q.nextTeam() == nil {
		q.send(now, q.allocate(now, t, c, item))
		return Verdict{Decision: Admitted}
	}
	wait := q.expectedWait(now, t, c)
	if code, excess := q.checkWait(now, t, c, &item, wait, service); code != "" {
		return Verdict{Decision: Refused, Wait: wait, Code: code, RetryAfter: q.retryAfter(now, t, c, &item, excess)}
	}
	i := q.allocate(now, t, c, item)
	q.entries[i].sendBy = min(now+q.cfg.MaxWait, item.Deadline-service)
	q.earliestSendBy = min(q.earliestSendBy, q.entries[i].sendBy)
	q.link(now, i)
	return Verdict{Decision: Queued, Wait: wait}
}

// refuseDeadline refuses an item whose answer would not be complete before its deadline even if it were
// sent now. Retrying later helps only if the group is currently slower than its configured TimePerToken,
// and only then is RetryAfter set.
func (q *Queue) refuseDeadline(now time.Duration, t *team, c class, item *Item) Verdict {
	v := Verdict{Decision: Refused, Code: CodeDeadline}
	if now+durationOf(minServiceFraction*float64(item.Work)*q.cfg.TimePerToken.Seconds()) <= item.Deadline {
		v.RetryAfter = q.retryAfter(now, t, c, item, 0)
	}
	return v
}

// checkWait returns why an item with the given expected wait is refused and by how much the wait is too
// long, or an empty code. The queue's length is checked so that one team leaves room for others: the
// backlog of a team in the class may not exceed the free places.
func (q *Queue) checkWait(now time.Duration, t *team, c class, item *Item, wait, service time.Duration) (Code, time.Duration) {
	if q.queuedItems >= q.cfg.MaxItems || t.queued[c].items > q.cfg.MaxItems-q.queuedItems {
		return CodeOverloaded, wait
	}
	if slack := item.Deadline - service - now; wait > slack {
		return CodeDeadline, wait - slack
	}
	if allowed := q.allowedWait(now, t, c); wait > allowed {
		return CodeOverloaded, wait - allowed
	}
	return "", 0
}

// allowedWait returns the longest expected wait with which a new item of the team is accepted: MaxWait
// during a burst, and StandingWait once the class has been backlogged for about StandingAfter. A team with
// nothing queued does not contribute to the standing backlog and keeps MaxWait.
func (q *Queue) allowedWait(now time.Duration, t *team, c class) time.Duration {
	if t.queued[c].items > 0 && q.pressures[c].isHigh(now, q.cfg.StandingAfter) {
		return q.cfg.StandingWait
	}
	return q.cfg.MaxWait
}

// Next returns the next item to send, if there is one and a slot is free for it. The item holds the slot
// until Done.
func (q *Queue) Next(now time.Duration) (Item, bool) {
	q.slots.expireReserve(now)
	for {
		t := q.nextTeam()
		if t == nil {
			return Item{}, false
		}
		c := q.nextClass(now, t)
		i := t.queued[c].head
		q.unlink(now, i)
		if q.entries[i].sendBy < now {
			q.expired = append(q.expired, q.entries[i].item)
			q.release(i)
			continue
		}
		q.drains[c].recordSend(now, t.key())
		q.send(now, i)
		return q.entries[i].item, true
	}
}

// nextTeam returns the team that sends next, or nil if no queued item may be sent.
func (q *Queue) nextTeam() *team {
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

// nextClass returns the class of the item that the team sends next. Short items go first, so that they do
// not wait behind the team's own long items, unless the oldest long item has waited for more than LongAge.
func (q *Queue) nextClass(now time.Duration, t *team) class {
	if t.queued[long].items == 0 || !q.slots.free(long) {
		return short
	}
	if t.queued[short].items == 0 || now-q.entries[t.queued[long].head].arrived > q.cfg.LongAge {
		return long
	}
	return short
}

// Done releases the slot of an item that was sent. work is the work that it took in tokens, or 0 if it was
// not sent after all. The team is charged for the actual work, so that a wrong estimate gains nothing.
func (q *Queue) Done(now time.Duration, id string, work int) {
	i, ok := q.index[id]
	if !ok || !q.entries[i].running {
		return
	}
	e := &q.entries[i]
	q.slots.running[e.class]--
	q.markStarted(e)
	q.adjust(e.team, float64(work-e.item.Work))
	if work > 0 {
		q.tokenTime.record(now, now-e.sent, float64(e.item.Work))
	}
	q.release(i)
}

// Remove takes an item out of the queue because its caller has gone. It reports whether the item was
// queued; an item that was sent stays until Done.
func (q *Queue) Remove(now time.Duration, id string) bool {
	i, ok := q.index[id]
	if !ok || q.entries[i].running {
		return false
	}
	q.unlink(now, i)
	q.release(i)
	return true
}

// Expire removes and returns the items that have waited too long to be sent. The slice is valid until the
// next call of Next or Expire.
func (q *Queue) Expire(now time.Duration) []Item {
	expired := q.expired
	if now > q.earliestSendBy {
		q.earliestSendBy = maxWaitEstimate
		for i := range q.entries {
			e := &q.entries[i]
			if e.team == nil || e.running {
				continue
			}
			if e.sendBy >= now {
				q.earliestSendBy = min(q.earliestSendBy, e.sendBy)
				continue
			}
			expired = append(expired, e.item)
			q.unlink(now, int32(i))
			q.release(int32(i))
		}
	}
	q.expired = expired[:0]
	return expired
}

// send moves an entry to the running items and charges its team for the estimated work.
func (q *Queue) send(now time.Duration, i int32) {
	e := &q.entries[i]
	e.running = true
	e.starting = true
	q.slots.starting++
	e.sent = now
	q.slots.running[e.class]++
	q.charge(e.team, float64(e.item.Work))
}
