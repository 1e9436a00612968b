package platform

import (
	"cmp"
	"slices"
	"sync"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// Verb is the operation of an API call.
type Verb string

// Verbs of the object API.
const (
	VerbGet    Verb = "get"
	VerbList   Verb = "list"
	VerbPut    Verb = "put"
	VerbDelete Verb = "delete"
	VerbWatch  Verb = "watch"
)

// Call is the key by which calls are counted.
type Call struct {
	Kind platform.Kind `json:"kind"`
	Verb Verb          `json:"verb"`
}

// CallCount is the number of times a call was received, including refused ones. A watch counts as one call
// however long it waits.
type CallCount struct {
	Call
	Count int `json:"count"`
}

// callCounter counts received calls by kind and verb.
type callCounter struct {
	mu     sync.Mutex // guards counts; no other lock is taken while it is held
	counts map[Call]int
}

func newCallCounter() *callCounter { return &callCounter{counts: make(map[Call]int)} }

func (c *callCounter) count(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[call]++
}

// list returns the counts sorted by kind and verb.
func (c *callCounter) list() []CallCount {
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
