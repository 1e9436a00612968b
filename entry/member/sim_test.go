package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// sim simulates entries in virtual time, with one event heap, no goroutines and one seed. Messages are
// encoded in CBOR, so that entries share no memory by accident and bytes are counted as sent.
type sim struct {
	now    time.Time
	rand   *rand.Rand
	events eventHeap
	order  int
	nodes  []*node
	loss   float64
	// cut reports whether messages from one entry to another are dropped.
	cut      func(from, to int) bool
	messages int
	bytes    int
	largest  int
}

type node struct {
	id         int
	entry      platform.Entry
	generation uint64
	*Members
	dead    bool
	frozen  bool
	backlog []func() // work held back while the process is frozen, as the kernel would keep it
	heard   map[string]uint64
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

var errTimeout = eris.New("no answer in time")

func newSim(seed uint64, n int) *sim {
	s := &sim{
		now:  time.Unix(1_700_000_000, 0),
		rand: rand.New(rand.NewPCG(seed, 1)),
		cut:  func(int, int) bool { return false },
	}
	for i := range n {
		s.nodes = append(s.nodes, s.newNode(i))
	}
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			a.Upsert(b.entry, b.generation)
		}
		s.start(a)
	}
	return s
}

func (s *sim) newNode(id int) *node {
	name := fmt.Sprintf("entry-%03d", id)
	incarnation := fmt.Sprintf("%016x", s.rand.Uint64())
	s.order++
	e := platform.Entry{
		Name: name, Incarnation: incarnation, Fingerprint: fmt.Sprintf("%064s", incarnation),
		PublicAddress: fmt.Sprintf("10.0.%d.%d:8080", id/256, id%256), PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", id/256, id%256),
		AdminAddress: fmt.Sprintf("10.0.%d.%d:9000", id/256, id%256), Place: "pampa", FailureDomain: fmt.Sprintf("fd-%d", id%3),
	}
	n := &node{id: id, entry: e, generation: uint64(s.order), heard: map[string]uint64{}}
	n.Members = New(Config{
		Self: e, Generation: n.generation, Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)),
		Clock: func() time.Time { return s.now },
	})
	n.Handle("test", func(r Rumour) {
		Expect(r.Version).To(BeNumerically(">", n.heard[r.Name]), "a version decreased")
		n.heard[r.Name] = r.Version
	})
	return n
}

func (s *sim) start(n *node) {
	s.after(time.Duration(s.rand.Int64N(int64(tickPeriod))), func() { s.tickLoop(n) })
}

func (s *sim) tickLoop(n *node) {
	s.runOn(n, func() {
		for _, c := range n.tick(s.now) {
			s.perform(n, c, timeoutOf(c.kind), func(r result) { s.finish(n, c, r) })
		}
		s.after(tickPeriod, func() { s.tickLoop(n) })
	})
}

func (s *sim) finish(n *node, c call, r result) {
	for _, next := range n.finish(s.now, c, r) {
		s.perform(n, next, timeoutOf(next.kind), func(r result) { s.finish(n, next, r) })
	}
	n.dispatch()
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(d), order: s.order, run: run})
}

// runOn runs a function on a node: never if the node is dead, and after its wake if it is frozen.
func (s *sim) runOn(n *node, run func()) {
	switch {
	case n.dead:
	case n.frozen:
		n.backlog = append(n.backlog, run)
	default:
		run()
	}
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil advances the simulation until ok returns true or limit has passed, and returns the time
// taken.
func (s *sim) runUntil(limit time.Duration, ok func() bool) time.Duration {
	start := s.now
	for !ok() && s.now.Sub(start) < limit {
		s.run(tickPeriod)
	}
	return s.now.Sub(start)
}

func (s *sim) byAddress(address string) *node {
	for i := len(s.nodes) - 1; i >= 0; i-- {
		if s.nodes[i].entry.PeerAddress == address {
			return s.nodes[i]
		}
	}
	return nil
}

// send delivers a message from one entry to another, or loses it.
func send[T any](s *sim, from, to *node, message T, arrive func(T)) {
	encoded, err := cbor.Marshal(message)
	Expect(err).NotTo(HaveOccurred())
	s.messages++
	s.bytes += len(encoded)
	s.largest = max(s.largest, len(encoded))
	if to == nil || s.cut(from.id, to.id) || s.rand.Float64() < s.loss {
		return
	}
	latency := time.Millisecond + time.Duration(s.rand.Int64N(int64(4*time.Millisecond)))
	s.after(latency, func() {
		s.runOn(to, func() {
			var decoded T
			Expect(cbor.Unmarshal(encoded, &decoded)).To(Succeed())
			arrive(decoded)
			to.dispatch()
		})
	})
}

// perform makes a call and passes on its result, or errTimeout at the timeout, exactly once.
func (s *sim) perform(from *node, c call, timeout time.Duration, done func(result)) {
	if c.kind == callDisconnect {
		return
	}
	to := s.byAddress(c.address)
	over := false
	complete := func(r result) {
		if !over {
			over = true
			s.runOn(from, func() { done(r) })
		}
	}
	s.after(timeout, func() { complete(result{err: errTimeout}) })
	name := from.entry.Name
	switch c.kind {
	case callPing:
		send(s, from, to, c.ping, func(m Ping) {
			ack, err := to.handlePing(s.now, name, m)
			send(s, to, from, ack, func(ack Ack) { complete(result{ack: ack, err: err}) })
		})
	case callRelay:
		send(s, from, to, c.relay, func(m Relay) {
			ping, err := to.prepareRelay(s.now, m)
			if err != nil {
				return
			}
			s.perform(to, ping, relayedPingTimeout, func(r result) {
				send(s, to, from, to.completeRelay(s.now, ping, r), func(m RelayReply) { complete(result{relayReply: m}) })
			})
		})
	case callDigest:
		send(s, from, to, c.digest, func(m Digest) {
			reply, err := to.handleDigest(s.now, name, m)
			send(s, to, from, reply, func(l DigestReply) { complete(result{digestReply: l, err: err}) })
		})
	case callExchange:
		send(s, from, to, c.exchange, func(m Exchange) {
			answer, err := to.handleExchange(s.now, name, m)
			send(s, to, from, answer, func(e ExchangeReply) { complete(result{exchangeReply: e, err: err}) })
		})
	}
}

func (s *sim) kill(n *node) { n.dead = true }

func (s *sim) freeze(n *node) { n.frozen = true }

func (s *sim) wake(n *node) {
	n.frozen = false
	waiting := n.backlog
	n.backlog = nil
	for _, run := range waiting {
		s.runOn(n, run)
	}
}

// restart replaces an entry's process with a new one, killing the old. At most a third of the other
// entries learn of it from the platform.
func (s *sim) restart(id int) *node {
	s.kill(s.nodes[id])
	n := s.newNode(id)
	s.nodes[id] = n
	for i, other := range s.nodes {
		n.Upsert(other.entry, other.generation)
		if other != n && i%3 == id%3 && !other.dead && !other.frozen {
			other.Upsert(n.entry, n.generation)
		}
	}
	s.start(n)
	return n
}

// running returns the names of the entries of side that are running and not leaving.
func (s *sim) running(side func(id int) bool) []string {
	var names []string
	for _, n := range s.nodes {
		if !n.dead && !n.frozen && side(n.id) && !n.self.Leaving {
			names = append(names, n.entry.Name)
		}
	}
	return names
}

func allNodes(int) bool { return true }

// viewsAgree reports whether the live entries of every running entry of side are exactly the running
// entries of side.
func (s *sim) viewsAgree(side func(id int) bool) bool {
	expected := s.running(side)
	for _, n := range s.nodes {
		if n.dead || n.frozen || !side(n.id) {
			continue
		}
		if !slices.Equal(liveNames(n), expected) {
			return false
		}
	}
	return true
}

func liveNames(n *node) []string {
	var names []string
	for _, p := range n.Live() {
		names = append(names, p.Name)
	}
	return names
}

// liveViewsOf counts the running entries whose Live includes name.
func (s *sim) liveViewsOf(name string) int {
	count := 0
	for _, n := range s.nodes {
		if !n.dead && !n.frozen && slices.Contains(liveNames(n), name) {
			count++
		}
	}
	return count
}
