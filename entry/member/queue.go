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
	items map[string]*queuedItem
	order  uint64
}

type queuedItem struct {
	key   string
	item  item
	size  int
	class class
	order uint64
	sent  int
	// duplicates counts the pings whose target knew it already.
	duplicates int
	// knownBy lists entries that are known to have it.
	knownBy map[string]bool
}

func newQueue() *queue { return &queue{items: make(map[string]*queuedItem)} }

// class ranks pieces. Messages are bounded: when more is told than fits, the lower classes wait.
type class uint8

const (
	// liveness first: a burst of rumours must not delay a refutation.
	liveness class = iota
	// persistent rumours, such as settings, are told once.
	persistent
	// transient rumours, those with a TTL, are told again and again.
	transient
)

func classOf(it item) class {
	switch {
	case it.Rumour == nil:
		return liveness
	case it.Rumour.TTL == 0:
		return persistent
	default:
		return transient
	}
}

// put adds a piece, in place of an older one under the same key.
func (q *queue) put(key string, it item) {
	encoded, err := cbor.Marshal(it)
	if err != nil {
		return
	}
	q.order++
	q.items[key] = &queuedItem{
		key: key, item: it, size: len(encoded), class: classOf(it), order: q.order, knownBy: make(map[string]bool),
	}
	if len(q.items) > maxQueued {
		q.evictMostSent()
	}
}

func (q *queue) evictMostSent() {
	var most *queuedItem
	for _, p := range q.items {
		if most == nil || cmp.Or(cmp.Compare(p.class, most.class), cmp.Compare(p.sent, most.sent), cmp.Compare(most.order, p.order)) > 0 {
			most = p
		}
	}
	delete(q.items, most.key)
}

func (q *queue) remove(key string) { delete(q.items, key) }

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
			delete(q.items, p.key)
		}
	}
	return items, keys
}

func (q *queue) candidates(to string) []*queuedItem {
	found := make([]*queuedItem, 0, len(q.items))
	for _, p := range q.items {
		if !p.knownBy[to] {
			found = append(found, p)
		}
	}
	slices.SortFunc(found, func(a, b *queuedItem) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
	})
	return found
}

// markKnown notes that an entry has the pieces.
func (q *queue) markKnown(to string, keys []string) {
	for _, key := range keys {
		if p := q.items[key]; p != nil {
			p.knownBy[to] = true
		}
	}
}

// countDuplicates counts the items that their receiver knew already. A piece that was known maxKnown times has
// most likely reached nearly all, and to send it on would take the place of news.
func (q *queue) countDuplicates(sent []item, known []byte) {
	for _, i := range known {
		if int(i) >= len(sent) {
			return
		}
		p := q.items[sent[i].key()]
		if p == nil || !p.item.sameVersion(sent[i]) {
			continue // replaced by newer news meanwhile
		}
		p.duplicates++
		if p.duplicates >= maxDuplicates {
			delete(q.items, p.key)
		}
	}
}

const maxDuplicates = 2

// sendLimit is how often a piece is sent by each of n entries.
func sendLimit(n int) int { return bits.Len(uint(n)) + 2 }
