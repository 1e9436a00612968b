package member

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// maxQueued bounds the items queued for gossip. Above it, the item of the lowest class that was sent
// most often is evicted, as the one most likely to be known already.
const maxQueued = 4096

// queue holds items that are still being gossiped. Each is sent a limited number of times, which grows
// with the logarithm of the number of entries. That many rounds reach nearly all entries; the exchange
// of digests repairs the rest.
type queue struct {
	items map[string]*queuedItem
	order uint64
}

type queuedItem struct {
	key   string
	item  item
	size  int
	class class
	order uint64
	sent  int
	// duplicates counts the pings whose target already knew the item.
	duplicates int
	// knownBy holds the entries known to have the item.
	knownBy map[string]bool
}

func newQueue() *queue { return &queue{items: make(map[string]*queuedItem)} }

// class ranks items. Messages are bounded in size; when more is queued than fits, the lower classes
// wait.
type class uint8

const (
	// liveness comes first: a burst of rumours must not delay a refutation.
	liveness class = iota
	// persistent rumours, such as settings, are broadcast once.
	persistent
	// transient rumours, those with a TTL, are broadcast again and again.
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

// put adds an item, replacing an older one with the same key.
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
	var victim *queuedItem
	for _, p := range q.items {
		if victim == nil || cmp.Or(cmp.Compare(p.class, victim.class), cmp.Compare(p.sent, victim.sent), cmp.Compare(victim.order, p.order)) > 0 {
			victim = p
		}
	}
	delete(q.items, victim.key)
}

func (q *queue) remove(key string) { delete(q.items, key) }

// pick selects items for a message to an entry, within budget bytes: by class, then those sent least
// often, then the newest. It also returns their keys.
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

// markKnown records that an entry has the items.
func (q *queue) markKnown(to string, keys []string) {
	for _, key := range keys {
		if p := q.items[key]; p != nil {
			p.knownBy[to] = true
		}
	}
}

// countDuplicates counts the items that their receiver already knew. An item that was known
// maxDuplicates times has most likely reached nearly all entries, and sending it on would take the space
// of new items.
func (q *queue) countDuplicates(sent []item, known []byte) {
	for _, i := range known {
		if int(i) >= len(sent) {
			return
		}
		p := q.items[sent[i].key()]
		if p == nil || !p.item.sameVersion(sent[i]) {
			continue // replaced by a newer version meanwhile
		}
		p.duplicates++
		if p.duplicates >= maxDuplicates {
			delete(q.items, p.key)
		}
	}
}

const maxDuplicates = 2

// sendLimit is how often each of n entries sends an item.
func sendLimit(n int) int { return bits.Len(uint(n)) + 2 }
