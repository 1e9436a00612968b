// Package intake decides which requests' bodies a process holds in its memory, and which callers pay when there is not enough of it.
//
// Load pattern: any number of callers send bodies at the same time, whole, slowly, or never to their end. Each body is held until its request has
// ended. A body that stalls costs as much as a useful one, and nothing tells beforehand which of the two it is.
//
// Small bodies always find room beside large ones. A large body of a known length gets all of its room at once or none, so that callers are refused
// before they have sent most of it. If there is too little room, the bodies that have arrived slowly are given up first, the largest of them before
// the others. While there is room, a body may take any time.
package intake

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SmallBytes is the size up to which a body is small.
	SmallBytes = 64 << 10
	// reservedPart is the part of the capacity that is left to small bodies: one in so many bytes.
	reservedPart = 8
)

const (
	// patience is how long a body may pause before it is slow, slowRate the bytes a second that it must reach otherwise.
	patience = time.Second
	slowRate = 64 << 10
)

// capacityPart is the part of a process's memory that bodies may take.
const capacityPart = 0.3

// Capacity returns the room of all bodies in a process that may take an amount of memory, both in bytes.
func Capacity(memory int64) int64 { return int64(capacityPart * float64(memory)) }

// RetryAfter is when a caller whose body found no room should return. Bodies that stall are slow by then.
const RetryAfter = patience

// Reason is why a body is given up.
type Reason string

// The reasons.
const (
	// NoRoom: the other bodies take all of the memory.
	NoRoom Reason = "no-room"
	// TooSlow: the body arrived slowly while others needed its room.
	TooSlow Reason = "too-slow"
	// Newest: it was the last of the large bodies that had begun when small ones needed its room.
	Newest Reason = "newest"
)

// Body is one request's body in an Account.
type Body struct {
	// size is the room that it has, in bytes.
	size int64
	// began orders the bodies by their beginning. due is when it becomes slow unless more of it arrives.
	began uint64
	due   time.Time
	// complete is set once all of it has arrived; gone once it has no room any more.
	complete, gone bool
}

// Size returns the room that the body has, in bytes.
func (b *Body) Size() int64 { return b.size }

// Received records that a number of bytes have arrived.
func (b *Body) Received(bytes int, now time.Time) {
	if b.due.Before(now) {
		b.due = now
	}
	b.due = b.due.Add(time.Duration(bytes) * time.Second / slowRate)
	if latest := now.Add(patience); b.due.After(latest) {
		b.due = latest
	}
}

// Complete records that all of the body has arrived. It is not given up any more.
func (b *Body) Complete() { b.complete = true }

// Loss is a body that is given up in favour of others.
type Loss struct {
	Body   *Body
	Reason Reason
	// Size is the room that it had, in bytes.
	Size int64
}

// Account counts the room of all bodies. It is not safe for concurrent use.
type Account struct {
	capacity int64
	bodies   map[*Body]struct{}
	begun    uint64
	room     room
}

// room is the room of bodies, in bytes.
type room struct {
	small, large int64
	countLarge   int
}

func (r *room) add(size int64) {
	if size <= SmallBytes {
		r.small += size
		return
	}
	r.large += size
	r.countLarge++
}

func (r *room) remove(size int64) {
	if size <= SmallBytes {
		r.small -= size
		return
	}
	r.large -= size
	r.countLarge--
}

// NewAccount returns an Account for a capacity in bytes.
func NewAccount(capacity int64) *Account {
	return &Account{capacity: capacity, bodies: make(map[*Body]struct{})}
}

// Held returns the room of all bodies in bytes, and their number.
func (a *Account) Held() (bytes int64, bodies int) { return a.room.small + a.room.large, len(a.bodies) }

// Open adds a body without room.
func (a *Account) Open(now time.Time) *Body {
	a.begun++
	b := &Body{began: a.begun, due: now.Add(patience)}
	a.bodies[b] = struct{}{}
	return b
}

// Grow gives a body the room of a size in bytes. It returns the other bodies that are given up for it, and false if there is no room: then the body
// itself is to be given up. A body that was given up gets no more room.
func (a *Account) Grow(b *Body, size int64, now time.Time) (lost []Loss, ok bool) {
	switch {
	case b.gone:
		return nil, false
	case size <= b.size:
		return nil, true
	}
	if lost, ok = a.makeRoom(b, size, now); !ok {
		return nil, false
	}
	for _, loss := range lost {
		a.Close(loss.Body)
	}
	a.resize(b, size)
	return lost, true
}

// makeRoom returns the bodies to give up so that a body can grow to a size.
func (a *Account) makeRoom(b *Body, size int64, now time.Time) (lost []Loss, ok bool) {
	grown := a.room
	grown.remove(b.size)
	if size > SmallBytes && grown.countLarge == 0 {
		return nil, true // the only large one always finds room
	}
	grown.add(size)
	if a.fits(grown, size) {
		return nil, true
	}
	for _, loss := range a.candidates(b, size, now) {
		lost = append(lost, loss)
		grown.remove(loss.Size)
		if a.fits(grown, size) {
			return lost, true
		}
	}
	return nil, false
}

// fits reports whether a body of a size may be a part of what is held. Beside small ones, large ones count for no more than they may take together.
func (a *Account) fits(held room, size int64) bool {
	mostLarge := a.capacity - a.capacity/reservedPart
	if size > SmallBytes {
		return held.large <= mostLarge && held.small+held.large <= a.capacity
	}
	return held.small+min(held.large, mostLarge) <= a.capacity
}

// candidates returns the bodies that may be given up for another one, in order: the slow ones, and for a small one the large ones that have not
// arrived.
func (a *Account) candidates(b *Body, size int64, now time.Time) []Loss {
	var slow, newest []Loss
	for other := range a.bodies {
		switch {
		case other == b || other.complete || other.size == 0:
		case other.due.Before(now):
			slow = append(slow, Loss{other, TooSlow, other.size})
		case size <= SmallBytes && other.size > SmallBytes:
			newest = append(newest, Loss{other, Newest, other.size})
		}
	}
	slices.SortFunc(slow, func(x, y Loss) int {
		return cmp.Or(cmp.Compare(y.Size, x.Size), cmp.Compare(x.Body.began, y.Body.began))
	})
	slices.SortFunc(newest, func(x, y Loss) int { return cmp.Compare(y.Body.began, x.Body.began) })
	return append(slow, newest...)
}

// GiveUpSlowest gives up the body that is the longest overdue, if any is slow.
func (a *Account) GiveUpSlowest(now time.Time) (lost Loss, found bool) {
	var slowest *Body
	for b := range a.bodies {
		if !b.complete && b.due.Before(now) && (slowest == nil || b.due.Before(slowest.due)) {
			slowest = b
		}
	}
	if slowest == nil {
		return Loss{}, false
	}
	lost = Loss{slowest, TooSlow, slowest.size}
	a.Close(slowest)
	return lost, true
}

// Close takes a body's room back.
func (a *Account) Close(b *Body) {
	if b.gone {
		return
	}
	a.resize(b, 0)
	b.gone = true
	delete(a.bodies, b)
}

func (a *Account) resize(b *Body, size int64) {
	a.room.remove(b.size)
	b.size = size
	a.room.add(size)
}
