package fairqueue

import (
	"container/heap"
	"time"
)

// A home accepts thousands of requests per second, and a caller that disconnects leaves from the middle of
// a list. An allocation per request would cause garbage collection pauses under exactly the load that the
// queue exists for. Entries are therefore kept in one slice that is reused, with lists as links inside it:
// adding, removing and sending do not allocate once the slice has grown to the longest backlog.

// entry is a queued or running item.
type entry struct {
	item    Item
	team    *team
	class   class
	running bool
	// starting is set while the item is running and its first token has not arrived.
	starting bool
	seq      uint64
	arrived  time.Duration
	sent     time.Duration
	// sendBy is the time by which the item has to be sent; after it, Expire returns the item.
	sendBy     time.Duration
	prev, next int32
}

// noEntry is the null link.
const noEntry int32 = -1

// list is a doubly linked list of entries in order of arrival.
type list struct {
	head, tail int32
	items      int
	work       float64
}

// allocate stores an item in a free entry and returns its place. The item is neither queued nor running
// yet.
func (q *Queue) allocate(now time.Duration, t *team, c class, item Item) int32 {
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
		q.activeShares += t.share
	}
	t.items++
	q.entries[i] = entry{item: item, team: t, class: c, seq: q.seq, arrived: now, prev: noEntry, next: noEntry}
	q.index[item.ID] = i
	return i
}

// release frees an entry that is no longer queued or running.
func (q *Queue) release(i int32) {
	t := q.entries[i].team
	t.items--
	if t.items == 0 {
		q.activeShares -= t.share
	}
	delete(q.index, q.entries[i].item.ID)
	q.entries[i] = entry{}
	q.free = append(q.free, i)
}

// link appends an entry to its team's list of queued items.
func (q *Queue) link(now time.Duration, i int32) {
	e := &q.entries[i]
	l := &e.team.queued[e.class]
	q.queuedItems++
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
		q.drains[e.class].startBacklog(now, e.team.key())
		q.pressures[e.class].set(now, q.cfg.StandingAfter, true)
	}
	heap.Push(&q.heaps[e.class], e.team)
}

// unlink removes an entry from its team's list of queued items.
func (q *Queue) unlink(now time.Duration, i int32) {
	e := &q.entries[i]
	l := &e.team.queued[e.class]
	if e.prev != noEntry {
		q.entries[e.prev].next = e.next
	}
	if e.next != noEntry {
		q.entries[e.next].prev = e.prev
	}
	if l.head == i {
		l.head = e.next
	}
	if l.tail == i {
		l.tail = e.prev
	}
	e.prev, e.next = noEntry, noEntry
	q.queuedItems--
	l.work -= float64(e.item.Work)
	l.items--
	if l.items > 0 {
		heap.Fix(&q.heaps[e.class], e.team.index[e.class])
		return
	}
	heap.Remove(&q.heaps[e.class], e.team.index[e.class])
	if q.heaps[e.class].Len() == 0 {
		q.drains[e.class].endBacklog(now)
		q.pressures[e.class].set(now, q.cfg.StandingAfter, false)
	}
}
