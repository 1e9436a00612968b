package platform

import (
	"slices"
	"strings"
	"sync"
)

// Hold blocks matching calls until it is released, so that a test can inject a fault at a step that otherwise
// lasts microseconds. A released call continues even if its caller has disconnected, and is subject to the
// outage in force at that time.
type Hold struct {
	Prefix
	Verb Verb `json:"verb"`
	// After holds a write after it took effect and before it is answered; otherwise a call is held before it is
	// processed.
	After bool `json:"after,omitempty"`
	// Skip is the number of matching calls to let pass first; Count is the number to hold after them, 0 for all.
	Skip  int `json:"skip,omitempty"`
	Count int `json:"count,omitempty"`
	// Drop closes the connection of a released call: after its effect if After is set, else without executing it.
	Drop bool `json:"drop,omitempty"`
}

// HeldCall is a call that waits at a Hold.
type HeldCall struct {
	Call
	Name  string `json:"name"`
	After bool   `json:"after,omitempty"`
}

// holds is the set of active holds and the calls that wait at them.
type holds struct {
	mu  sync.Mutex // guards all and the holds in it; no other lock is taken while it is held
	all []*hold
}

// hold is an active Hold; released is closed when it ends.
type hold struct {
	Hold
	released chan struct{}
	waiting  []HeldCall
}

func (h *holds) add(spec Hold) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, &hold{Hold: spec, released: make(chan struct{})})
}

// release ends the holds whose kind matches (empty: any kind) and whose name prefix starts with prefix.Name.
func (h *holds) release(prefix Prefix) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = slices.DeleteFunc(h.all, func(held *hold) bool {
		matches := (prefix.Kind == "" || prefix.Kind == held.Kind) && strings.HasPrefix(held.Name, prefix.Name)
		if matches {
			close(held.released)
		}
		return matches
	})
}

// wait blocks while a hold applies to the call. It reports whether one did and whether the connection is to be
// dropped.
func (h *holds) wait(call HeldCall) (held, drop bool) {
	blocking := h.enqueue(call)
	if blocking == nil {
		return false, false
	}
	<-blocking.released
	return true, blocking.Drop
}

// enqueue adds the call to the first hold that applies to it and returns that hold, or nil if none does.
func (h *holds) enqueue(call HeldCall) *hold {
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
