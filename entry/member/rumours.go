package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxInlineBytes is the largest body that is pushed with pings. Pushed, a larger one would be sent many
// times over by each entry; it is announced instead, and each entry fetches it once.
const maxInlineBytes = 200

// storedRumour is a rumour and its expiry.
type storedRumour struct {
	rumour  Rumour
	expires time.Time // zero: never
}

type rumourKey struct{ topic, name string }

func (k rumourKey) String() string { return "r/" + k.topic + "/" + k.name }

func keyOf(r Rumour) rumourKey { return rumourKey{r.Topic, r.Name} }

// bodyFetch tracks the fetch of an announced body.
type bodyFetch struct {
	version  uint64
	sources  []string
	inFlight bool
}

const maxSources = 3

// Broadcast gossips a rumour to all entries, eventually. It is ignored unless it is newer than the known
// version of its Topic and Name.
func (m *Members) Broadcast(r Rumour) {
	m.mu.Lock()
	defer m.unlock()
	now := m.clock()
	r.Announced = 0
	m.storeRumour(now, r, true)
}

// Handle registers the handler of a topic; it must be called before Run. The handler is called for each
// rumour from another entry that is newer than the known version, one at a time and without a lock held.
// A rumour that is replaced before its handler runs is skipped.
func (m *Members) Handle(topic string, handler func(Rumour)) {
	m.mu.Lock()
	defer m.unlock()
	m.handlers[topic] = handler
}

// storeRumour stores r if it is newer and reports whether it was. Called with mu held.
func (m *Members) storeRumour(now time.Time, r Rumour, spread bool) bool {
	key := keyOf(r)
	if old, ok := m.rumours[key]; ok && old.rumour.Version >= r.Version {
		return false
	}
	stored := storedRumour{rumour: r}
	if r.TTL > 0 {
		stored.expires = now.Add(r.TTL)
	}
	m.rumours[key] = stored
	if w := m.bodyFetches[key]; w != nil && w.version <= r.Version {
		delete(m.bodyFetches, key)
	}
	if spread {
		m.queue.put(key.String(), item{Rumour: inlineOrAnnounced(r)})
	}
	return true
}

// inlineOrAnnounced returns r in the form in which it is pushed: without its body if that exceeds
// maxInlineBytes.
func inlineOrAnnounced(r Rumour) *Rumour {
	if len(r.Body) > maxInlineBytes {
		r.Announced = len(r.Body)
		r.Body = nil
	}
	return &r
}

// receiveRumour processes a rumour from another entry and reports whether it was new. Called with mu
// held.
func (m *Members) receiveRumour(now time.Time, from string, r Rumour, spread bool) bool {
	if r.Announced > 0 {
		return m.scheduleFetch(from, r)
	}
	if !m.storeRumour(now, r, spread) {
		return false
	}
	m.deliver(r)
	return true
}

// scheduleFetch records a source for the body of an announced rumour and reports whether the body is
// needed. Called with mu held.
func (m *Members) scheduleFetch(from string, r Rumour) bool {
	key := keyOf(r)
	if m.rumours[key].rumour.Version >= r.Version {
		return false
	}
	w := m.bodyFetches[key]
	if w == nil || w.version < r.Version {
		w = &bodyFetch{version: r.Version}
		m.bodyFetches[key] = w
	}
	if len(w.sources) < maxSources {
		w.sources = append(w.sources, from)
	}
	return true
}

// fetchCalls returns the calls that fetch missing bodies, one per rumour. Called with mu held.
func (m *Members) fetchCalls() []call {
	var calls []call
	for _, key := range sortedKeys(m.bodyFetches) {
		w := m.bodyFetches[key]
		if w.inFlight {
			continue
		}
		if len(w.sources) == 0 {
			delete(m.bodyFetches, key) // the exchange of digests will find it again
			continue
		}
		source := w.sources[0]
		w.sources = w.sources[1:]
		p := m.peers[source]
		if p == nil {
			continue
		}
		w.inFlight = true
		request := Exchange{WantRumours: []rumourVersion{{Topic: key.topic, Name: key.name, Version: w.version}}}
		calls = append(calls, call{kind: callExchange, to: source, address: p.entry.PeerAddress, exchange: request, fetch: key})
	}
	return calls
}

// expireRumours removes rumours whose TTL has passed. Called with mu held.
func (m *Members) expireRumours(now time.Time) {
	for key, h := range m.rumours {
		if !h.expires.IsZero() && !now.Before(h.expires) {
			delete(m.rumours, key)
			m.queue.remove(key.String())
		}
	}
}

// sortedKeys returns the keys in a fixed order, so that simulations are reproducible.
func sortedKeys[V any](table map[rumourKey]V) []rumourKey {
	return slices.SortedFunc(maps.Keys(table), func(a, b rumourKey) int {
		return cmp.Or(cmp.Compare(a.topic, b.topic), cmp.Compare(a.name, b.name))
	})
}

// deliver queues r for its handler. Only the newest version of a topic and name is queued. Called with
// mu held.
func (m *Members) deliver(r Rumour) {
	if m.handlers[r.Topic] == nil {
		return
	}
	m.inbox[keyOf(r)] = r
	signal(m.inboxReady)
}

// dispatch calls the handlers of all queued rumours.
func (m *Members) dispatch() {
	m.mu.Lock()
	waiting := m.inbox
	handlers := maps.Clone(m.handlers)
	m.inbox = make(map[rumourKey]Rumour)
	m.mu.Unlock()
	for _, key := range sortedKeys(waiting) {
		handlers[key.topic](waiting[key])
	}
}

// signal wakes the receiver of a channel of capacity 1, without blocking.
func signal(ready chan struct{}) {
	select {
	case ready <- struct{}{}:
	default:
	}
}
