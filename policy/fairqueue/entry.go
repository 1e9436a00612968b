package fairqueue

import (
	"container/heap"
	"time"
)

// A home takes in thousands of requests a second, and a caller that hangs up is in the middle of a list. An
// allocation for each would show as pauses under exactly the load that the queue is for. Entries therefore
// lie in one slice that is reused, and lists are links within it: adding, removing and sending allocate
// nothing once the slice has grown to the longest backlog.

// entry is a queued or running item.
type entry struct {
	item    Item
	team    *team
	class   class
	running bool
	// starting says that it is running and its first token has not come.
	starting bool
	seq      uint64
	arrived  time.Duration
	sent     time.Duration
	// latest is when it has to be sent; afterwards Expire returns it.
	latest     time.Duration
	prev, next int32
}

const none int32 = -1

// list is a doubly linked list of entries, by arrival.
type list struct {
	head, tail int32
	items      int
	work       float64
}

// add stores an item; it is neither queued nor running yet.
func (q *Queue) add(now time.Duration, t *team, c class, item Item) int32 {
	var i int32
	if last := len(q.free) - 1; last >= 0 {
		i = q.free[last]
		q.free = q.free[:last]
	} else {
		i = int32(len(q.entries))
		q.entries = append(q.entries, entry{})
	}
	q.seq++
	if t.items == 0 {
		q.shares += t.share
	}
	t.items++
	q.entries[i] = entry{item: item, team: t, class: c, seq: q.seq, arrived: now, prev: none, next: none}
	q.index[item.ID] = i
	return i
}

func (q *Queue) release(i int32) {
	t := q.entries[i].team
	t.items--
	if t.items == 0 {
		q.shares -= t.share
	}
	delete(q.index, q.entries[i].item.ID)
	q.entries[i] = entry{}
	q.free = append(q.free, i)
}

// link appends an entry to its team's list.
func (q *Queue) link(now time.Duration, i int32) {
	e := &q.entries[i]
	l := &e.team.queued[e.class]
	q.items++
	l.work += float64(e.item.Work)
	l.items++
	if l.items > 1 {
		e.prev = l.tail
		q.entries[l.tail].next = i
		l.tail = i
		return
	}
	l.head, l.tail = i, i
	if q.heaps[e.class].Len() == 0 {
		q.drains[e.class].begin(now, e.team.key())
		q.pressures[e.class].set(now, q.cfg.StandingAfter, true)
	}
	heap.Push(&q.heaps[e.class], e.team)
}

// unlink takes an entry out of its team's list.
func (q *Queue) unlink(now time.Duration, i int32) {
	e := &q.entries[i]
	l := &e.team.queued[e.class]
	if e.prev != none {
		q.entries[e.prev].next = e.next
	}
	if e.next != none {
		q.entries[e.next].prev = e.prev
	}
	if l.head == i {
		l.head = e.next
	}
	if l.tail == i {
		l.tail = e.prev
	}
	e.prev, e.next = none, none
	q.items--
	l.work -= float64(e.item.Work)
	l.items--
	if l.items > 0 {
		heap.Fix(&q.heaps[e.class], e.team.index[e.class])
		return
	}
	heap.Remove(&q.heaps[e.class], e.team.index[e.class])
	if q.heaps[e.class].Len() == 0 {
		q.drains[e.class].end(now)
		q.pressures[e.class].set(now, q.cfg.StandingAfter, false)
	}
}
