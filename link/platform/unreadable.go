package platform

import (
	"sync"
	"time"
)

const (
	// relistInterval is the shortest time between two lists of a kind on account of changes without a name. Whoever writes such objects again and
	// again must not cause a list for each.
	relistInterval = 2 * time.Second
	// maxReported bounds how many objects are remembered as reported.
	maxReported = 4096
)

// WithUnreadable calls report with each object of a list or a watch that can't be decoded, once until it can be decoded again. Objects without a name
// that can be read are reported once per kind, with an empty name. report must be safe for concurrent use.
func WithUnreadable(report func(object Object, reason error)) Option {
	return func(c *Client) { c.unreadables.report = report }
}

// unreadables keeps track of the objects that can't be decoded.
type unreadables struct {
	report func(object Object, reason error)

	mu       sync.Mutex // guards the fields below; not held during calls of report
	reported map[objectKey]bool
	relists  map[Kind]relist
}

type objectKey struct {
	kind Kind
	name string
}

// relist is the state of the lists of a kind on account of changes without a name.
type relist struct {
	// due is set while a change is not known that a watch has returned without a name.
	due  bool
	last time.Time
}

// note reports the objects of a page that can't be decoded.
func (u *unreadables) note(kind Kind, page Page) {
	for _, object := range page.Objects {
		u.noteObject(object)
	}
	if page.Nameless != nil {
		u.noteObject(Object{Kind: kind, Invalid: page.Nameless})
	}
}

func (u *unreadables) noteObject(object Object) {
	key := objectKey{object.Kind, object.Name}
	u.mu.Lock()
	known := u.reported[key]
	switch {
	case object.Invalid == nil && known:
		delete(u.reported, key)
	case object.Invalid != nil && !known:
		if u.reported == nil || len(u.reported) >= maxReported {
			u.reported = make(map[objectKey]bool)
		}
		u.reported[key] = true
	}
	u.mu.Unlock()
	if object.Invalid != nil && !known && u.report != nil {
		u.report(object, object.Invalid)
	}
}

// mustList reports whether to list a kind after a watch: an event whose object has no name may have changed or deleted any of them. The caller then
// lists, and calls listed if that succeeds.
func (u *unreadables) mustList(kind Kind, nameless bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	state := u.relists[kind]
	state.due = state.due || nameless
	list := state.due && time.Since(state.last) >= relistInterval
	if list {
		state.last = time.Now()
	}
	if u.relists == nil {
		u.relists = make(map[Kind]relist)
	}
	u.relists[kind] = state
	return list
}

func (u *unreadables) listed(kind Kind) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state, ok := u.relists[kind]; ok {
		state.due = false
		u.relists[kind] = state
	}
}
