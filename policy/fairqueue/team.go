package fairqueue

import (
	"container/heap"
	"time"
)

// A few teams send most of the work. In order of arrival they get what they send, and the others get what
// is left: operators would see small teams slow down whenever a large one runs a batch. Round robin by
// request count gives a team whose requests are forty times as long forty times its share.
//
// Start-time fair queueing over work prevents both. With each item sent, a team's virtual time advances by
// the item's work divided by the team's share, and the team that is furthest behind sends next. A team
// that becomes backlogged starts at the queue's virtual time: it neither accumulates credit while idle nor
// pays for capacity that it used while no other team wanted it.
//
// Priority is a head start, as in borrowed virtual time scheduling: a team is ordered by its virtual time
// minus HeadStart for each priority level. It is served earlier but gets no more than its share, because
// once it has run ahead by its head start it waits like any other team. Low priority is therefore delayed
// by a bounded amount of work and never starves. The default of 64 tokens per level lets the highest
// priority run ahead by about two requests of the usual size.

// team is the state of one team. It is in heaps[c] while it has queued items of class c.
type team struct {
	name      string
	share     float64
	priority  int
	virtual   float64
	headStart float64 // in virtual time
	queued    [numClasses]list
	// items counts the queued and running items.
	items int
	// index is the team's position in each heap.
	index [numClasses]int
	// lastOffer is the time of the team's last offered item.
	lastOffer time.Duration
	// returningWork is the refused work, as of returningAt, whose callers were told to retry and are not
	// expected back yet.
	returningWork float64
	returningAt   time.Duration
}

// key is the virtual time that orders the teams.
func (t *team) key() float64 { return t.virtual - t.headStart }

// teamHeap orders the teams that have queued items of a class by their key. Ties go to the team with the
// oldest item.
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

// team returns the state of the item's team, created if needed and updated to the item's share and
// priority.
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
		q.activeShares += share - t.share
	}
	t.share = share
	t.priority = item.Priority
	t.headStart = float64(item.Priority) * q.cfg.HeadStart / share
	q.fixHeaps(t)
	return t
}

// fixHeaps restores the heap order after a change of the team's virtual time.
func (q *Queue) fixHeaps(t *team) {
	for c := range numClasses {
		if t.queued[c].items > 0 {
			heap.Fix(&q.heaps[c], t.index[c])
		}
	}
}

// charge advances the queue's virtual time to the team's key, and the team's by the work of an item that
// is sent.
func (q *Queue) charge(t *team, work float64) {
	q.virtual = max(q.virtual, t.key())
	q.adjust(t, work)
}

// adjust advances the team's virtual time by work, which is negative if the team was charged too much. The
// result is at most maxCredit behind the queue's virtual time. Otherwise a team whose long requests were
// held back by the reserve for a long time could take the whole group once it sends short requests.
func (q *Queue) adjust(t *team, work float64) {
	t.virtual = max(t.virtual+work/t.share, q.virtual-maxCredit/t.share)
	q.fixHeaps(t)
}

// maxCredit is the largest credit, in tokens, of a backlogged team: the work of a few long requests.
const maxCredit = 16384

// activate moves a team without queued items forward to the queue's virtual time.
func (q *Queue) activate(t *team) {
	if t.queued[short].items == 0 && t.queued[long].items == 0 {
		t.virtual = max(t.virtual, q.virtual)
	}
}

// forgetIdle deletes teams that have been idle for MaxRetryAfter, which bounds the memory when team names
// come and go. Work that such a team received ahead of its share and its expected retries are forgotten
// too.
func (q *Queue) forgetIdle(now time.Duration) {
	if len(q.teams) < q.forgetThreshold {
		return
	}
	for name, t := range q.teams {
		if t.items == 0 && now-t.lastOffer > q.cfg.MaxRetryAfter {
			delete(q.teams, name)
		}
	}
	q.forgetThreshold = max(minForgetThreshold, 2*len(q.teams))
}

// minForgetThreshold is the number of teams at which idle teams are first searched for. The threshold then
// is twice the number of teams still in use, which keeps the cost of the search per offer small.
const minForgetThreshold = 1024
