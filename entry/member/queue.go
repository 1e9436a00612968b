package member

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// maxQueued bounds the gossip that waits to be carried on. Above it the piece of the lowest class that was
// sent most often goes; it has the best chance to be known already.
const maxQueued = 4096

// queue holds gossip that is still being carried on. Each piece is sent a limited number of times, which
// grows with the logarithm of the number of entries: that many rounds reach nearly all of them, and
// the exchange of digests heals the rest.
type queue struct {
	pieces map[string]*piece
	order  uint64
}

type piece struct {
	key   string
	item  item
	size  int
	class class
	order uint64
	sent  int
	// known counts the pings whose target knew it already.
	known int
	// told lists entries that are known to have it.
	told map[string]bool
}

func newQueue() *queue { return &queue{pieces: make(map[string]*piece)} }

// class ranks pieces. Messages are bounded: when more is told than fits, the lower classes wait.
type class uint8

const (
	// liveness first: a burst of rumours must not delay a refutation.
	liveness class = iota
	// lasting rumours, such as settings, are told once.
	lasting
	// passing rumours, those with a TTL, are told again and again.
	passing
)

func classOf(it item) class {
	switch {
	case it.Rumour == nil:
		return liveness
	case it.Rumour.TTL == 0:
		return lasting
	default:
		return passing
	}
}

// put adds a piece, in place of an older one under the same key.
func (q *queue) put(key string, it item) {
	encoded, err := cbor.Marshal(it)
	if err != nil {
		return
	}
	q.order++
	q.pieces[key] = &piece{
		key: key, item: it, size: len(encoded), class: classOf(it), order: q.order, told: make(map[string]bool),
	}
	if len(q.pieces) > maxQueued {
		q.dropMostSent()
	}
}

func (q *queue) dropMostSent() {
	var most *piece
	for _, p := range q.pieces {
		if most == nil || cmp.Or(cmp.Compare(p.class, most.class), cmp.Compare(p.sent, most.sent), cmp.Compare(most.order, p.order)) > 0 {
			most = p
		}
	}
	delete(q.pieces, most.key)
}

func (q *queue) drop(key string) { delete(q.pieces, key) }

// pick takes pieces for a message to an entry, within budget bytes: by class, then those sent least
// often, then the newest. It returns their keys too.
func (q *queue) pick(to string, budget, limit int) ([]item, []string) {
	var items []item
	var keys []string
	for _, p := range q.candidates(to) {
		if p.size > budget {
			continue
		}
		budget -= p.size
		items = append(items, p.item)
		keys = append(keys, p.key)
		p.sent++
		if p.sent >= limit {
			delete(q.pieces, p.key)
		}
	}
	return items, keys
}

func (q *queue) candidates(to string) []*piece {
	found := make([]*piece, 0, len(q.pieces))
	for _, p := range q.pieces {
		if !p.told[to] {
			found = append(found, p)
		}
	}
	slices.SortFunc(found, func(a, b *piece) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
	})
	return found
}

// tell notes that an entry has the pieces.
func (q *queue) tell(to string, keys []string) {
	for _, key := range keys {
		if p := q.pieces[key]; p != nil {
			p.told[to] = true
		}
	}
}

// boring counts the items that their receiver knew already. A piece that was known maxKnown times has
// most likely reached nearly all, and to send it on would take the place of news.
func (q *queue) boring(sent []item, known []byte) {
	for _, i := range known {
		if int(i) >= len(sent) {
			return
		}
		p := q.pieces[sent[i].key()]
		if p == nil || !p.item.sameNews(sent[i]) {
			continue // replaced by newer news meanwhile
		}
		p.known++
		if p.known >= maxKnown {
			delete(q.pieces, p.key)
		}
	}
}

const maxKnown = 2

// sendLimit is how often a piece is sent by each of n entries.
func sendLimit(n int) int { return bits.Len(uint(n)) + 2 }
