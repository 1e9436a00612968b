package platform

import (
	"cmp"
	"slices"
	"sync"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// Verb names a call.
type Verb string

// The verbs.
const (
	VerbGet    Verb = "get"
	VerbList   Verb = "list"
	VerbPut    Verb = "put"
	VerbDelete Verb = "delete"
	VerbWatch  Verb = "watch"
)

// Call identifies what calls are counted by.
type Call struct {
	Kind platform.Kind `json:"kind"`
	Verb Verb          `json:"verb"`
}

// CallCount is how often a call came, the refused ones included. A waiting watch is one call.
type CallCount struct {
	Call
	Count int `json:"count"`
}

type calls struct {
	mu     sync.Mutex // guards counts; a leaf lock
	counts map[Call]int
}

func newCalls() *calls { return &calls{counts: make(map[Call]int)} }

func (c *calls) count(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[call]++
}

func (c *calls) list() []CallCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]CallCount, 0, len(c.counts))
	for call, count := range c.counts {
		list = append(list, CallCount{Call: call, Count: count})
	}
	slices.SortFunc(list, func(a, b CallCount) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Verb, b.Verb))
	})
	return list
}
