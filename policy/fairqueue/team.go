package fairqueue

import (
	"container/heap"
	"time"
)

// A few teams send most of the work. Served by arrival, they get what they send and the others get what
// is left; an operator notices small teams being slow whenever a large one runs a batch. Served in turns
// by count, a team with requests forty times as long takes forty times its part.
//
// Start-time fair queueing over work prevents both: a team's virtual time grows by work divided by share
// with each item that is sent, and the team that is furthest behind goes next. A team that becomes
// backlogged starts at the queue's virtual time, so that nothing is saved up while idle and nothing
// that was used while nobody else wanted it is held against it.
//
// Priority is a head start (as in borrowed virtual time scheduling): a team goes by its virtual time
// less HeadStart for each level. It gets its turn earlier, and no more of it than its share: once it has
// run ahead by its head start it waits like any other, so that low priority is delayed by a bounded
// amount of work and never starves. The default of 64 tokens a level lets the highest priority run ahead
// by about two requests of the usual size.

// team is the state of one team. It is in heaps[c] while it has queued items of class c.
type team struct {
	name     string
	share    float64
	priority int
	virtual  float64
	headed   float64 // the head start in virtual time
	queued   [classes]list
	// items counts what is queued or at work.
	items int
	index [classes]int
	// seen is when the team last offered something.
	seen time.Duration
	// returning is the work told to come back that is not expected back yet, as of returningAt.
	returning   float64
	returningAt time.Duration
}

func (t *team) key() float64 { return t.virtual - t.headed }

// teamHeap orders the teams that have queued items of a class by their virtual time; ties go to the team
// whose oldest item came first.
type teamHeap struct {
	class   class
	teams   []*team
	entries *[]entry
}

func (h *teamHeap) Len() int { return len(h.teams) }

func (h *teamHeap) Less(i, j int) bool { return h.before(h.teams[i], h.teams[j]) }

func (h *teamHeap) before(a, b *team) bool {
	if a.key() != b.key() {
		return a.key() < b.key()
	}
	entries := *h.entries
	return entries[a.queued[h.class].head].seq < entries[b.queued[h.class].head].seq
}

func (h *teamHeap) Swap(i, j int) {
	h.teams[i], h.teams[j] = h.teams[j], h.teams[i]
	h.teams[i].index[h.class] = i
	h.teams[j].index[h.class] = j
}

func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.index[h.class] = len(h.teams)
	h.teams = append(h.teams, t)
}

func (h *teamHeap) Pop() any {
	last := len(h.teams) - 1
	t := h.teams[last]
	h.teams[last] = nil
	h.teams = h.teams[:last]
	return t
}

func (h *teamHeap) top() *team {
	if len(h.teams) == 0 {
		return nil
	}
	return h.teams[0]
}

// team returns the state of the item's team, brought up to the item's share and priority.
func (q *Queue) team(item *Item) *team {
	t := q.teams[item.Team]
	if t == nil {
		t = &team{name: item.Team}
		q.teams[item.Team] = t
	}
	share := max(item.Share, MinShare)
	if t.share == share && t.priority == item.Priority {
		return t
	}
	if t.items > 0 {
		q.shares += share - t.share
	}
	t.share = share
	t.priority = item.Priority
	t.headed = float64(item.Priority) * q.cfg.HeadStart / share
	q.fix(t)
	return t
}

// fix restores the order of the heaps after a change of the team's virtual time.
func (q *Queue) fix(t *team) {
	for c := range classes {
		if t.queued[c].items > 0 {
			heap.Fix(&q.heaps[c], t.index[c])
		}
	}
}

// charge moves the team's virtual time on by the work of an item that is sent.
func (q *Queue) charge(t *team, work float64) {
	q.virtual = max(q.virtual, t.key())
	q.correct(t, work)
}

// correct moves the team's virtual time by work, which is below 0 if the team was charged too much. The
// team stays within maxCredit of the queue's virtual time, lest one that was held back by the reserve
// for short requests for long takes the whole group once it sends short ones.
func (q *Queue) correct(t *team, work float64) {
	t.virtual = max(t.virtual+work/t.share, q.virtual-maxCredit/t.share)
	q.fix(t)
}

// maxCredit is the most work, in tokens, by which a backlogged team may be behind: that of a few long
// requests.
const maxCredit = 16384

// activate brings a team without queued items up to the queue's virtual time.
func (q *Queue) activate(t *team) {
	if t.queued[short].items == 0 && t.queued[long].items == 0 {
		t.virtual = max(t.virtual, q.virtual)
	}
}

// forgetIdle drops the state of teams that have sent nothing for a while: it bounds the memory when names of
// teams come and go. What such a team was ahead of its share is forgotten too, as is what it was told
// of coming back.
func (q *Queue) forgetIdle(now time.Duration) {
	if len(q.teams) < q.forgetAt {
		return
	}
	for name, t := range q.teams {
		if t.items == 0 && now-t.seen > q.cfg.MaxRetryAfter {
			delete(q.teams, name)
		}
	}
	q.forgetAt = max(firstForget, 2*len(q.teams))
}

// firstForget is the number of teams from which idle ones are looked for; it doubles with those found in
// use, so that the search costs little per offer.
const firstForget = 1024
