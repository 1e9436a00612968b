package platform

import (
	"slices"
	"strings"
	"sync"
)

// Hold keeps calls waiting until it is released, so that a test can bring about a fault at a step that
// otherwise lasts microseconds. A held call goes on when it is released, whether or not its caller is
// still there, and meets the outage that there is by then.
type Hold struct {
	Prefix
	Verb Verb `json:"verb"`
	// After holds a write behind its effect, in front of its answer; else a call is held before all.
	After bool `json:"after,omitempty"`
	// Skip lets this many calls pass first; Count is how many are held then, 0: all.
	Skip  int `json:"skip,omitempty"`
	Count int `json:"count,omitempty"`
	// Drop drops the connection of a released call, behind the effect if After is set.
	Drop bool `json:"drop,omitempty"`
}

// HeldCall is a call that waits.
type HeldCall struct {
	Call
	Name  string `json:"name"`
	After bool   `json:"after,omitempty"`
}

// holds is the set of Holds and what waits at them.
type holds struct {
	mu  sync.Mutex // guards all; a leaf lock
	all []*hold
}

type hold struct {
	Hold
	released chan struct{}
	waiting  []HeldCall
}

func (h *holds) add(wanted Hold) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, &hold{Hold: wanted, released: make(chan struct{})})
}

// release ends the holds of a kind (empty: any) on names that start with the given one.
func (h *holds) release(which Prefix) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = slices.DeleteFunc(h.all, func(held *hold) bool {
		ends := (which.Kind == "" || which.Kind == held.Kind) && strings.HasPrefix(held.Name, which.Name)
		if ends {
			close(held.released)
		}
		return ends
	})
}

// wait returns once no hold keeps the call, and says whether one did, and whether its connection is to be
// dropped.
func (h *holds) wait(call HeldCall) (held, drop bool) {
	at := h.join(call)
	if at == nil {
		return false, false
	}
	<-at.released
	return true, at.Drop
}

func (h *holds) join(call HeldCall) *hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, held := range h.all {
		if held.Verb != call.Verb || held.After != call.After || !held.matches(call.Kind, call.Name) {
			continue
		}
		if held.Skip > 0 {
			held.Skip--
			continue
		}
		if held.Count > 0 && len(held.waiting) == held.Count {
			continue
		}
		held.waiting = append(held.waiting, call)
		return held
	}
	return nil
}

func (h *holds) list() []HeldCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]HeldCall, 0)
	for _, held := range h.all {
		list = append(list, held.waiting...)
	}
	return list
}
