// Package lease keeps one entry in charge of the groups, by conditional writes of one object.
//
// The holder writes the object anew every 600 ms. Another entry takes over when it has seen the same version for longer
// than the holder may act on it, by its own monotonic clock. Nothing that must hold rests on this alone: two entries that
// both believe they are in charge can't harm each other's groups (package grouping says why). The lease keeps the
// orders of two from crossing, and the pace of loads in one hand.
package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/outage"
	"github.com/skylarkpond/skylarkpond/policy/takeover"
)

// Kind and Name are those of the object.
const (
	Kind platform.Kind = "leases"
	Name string        = "grouping"
)

const (
	// renewEvery is how often the holder writes.
	renewEvery = 600 * time.Millisecond
	// ActWithin is how long the holder may act after it sent the last confirmed write.
	ActWithin = 1300 * time.Millisecond
	// takeAfter is how long the object must stand still before another entry takes it. It is above ActWithin by
	// the time that a write may take.
	takeAfter = 1700 * time.Millisecond
	// lookEvery is the mean pause between two looks of an entry that knows no holder yet.
	lookEvery = 300 * time.Millisecond
	// dueEvery is how often an entry sees whether it has to look.
	dueEvery = 50 * time.Millisecond
)

// Holder is the value of the object.
type Holder struct {
	Entry string `json:"entry"`
	// Address is where the other entries reach the holder, IP:port.
	Address string `json:"address"`
	// Fingerprint is that of the holder's certificate.
	Fingerprint string `json:"fingerprint"`
	// Token is what the other entries show to the holder. Whoever may read the platform knows it.
	Token string `json:"token"`
	Nonce string `json:"nonce"`
}

// Deps is what a Lease works with.
type Deps struct {
	Store platform.Store
	Self  Holder
	// Linked says whether this entry hears from the holder, so that it need not ask the platform.
	Linked func() bool
	// Capacity is that of this entry's VM.
	Capacity takeover.Capacity
	// Renewed tells of each confirmed write of this entry.
	Renewed func()
	// Changed tells of another holder.
	Changed func(holder Holder, held bool)
	// Refused tells that another entry has written the object before this one.
	Refused func()
}

// Lease is safe for concurrent use.
type Lease struct {
	deps Deps

	mu sync.Mutex // guards what follows; a leaf lock
	// holder is the last one seen, at version, which was first seen at since.
	holder  Holder
	version platform.Version
	since   time.Time
	held    bool
	// confirmed is when the last confirmed write was sent.
	confirmed time.Time
	// delay is how long after the object may be taken this entry looks; it is drawn anew with each version.
	delay time.Duration
	// failures counts the looks that got no answer, in a row; again is when the next one may be.
	failures int
	again    time.Time
	// doubted says that the holder could not be reached where the object says, or that another entry has written the object since.
	doubted bool
}

// New returns a lease that nobody is known to hold.
func New(deps Deps) *Lease { return &Lease{deps: deps} }

// Held says whether this entry is in charge and may act now.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && time.Since(l.confirmed) < ActWithin
}

// InOffice says whether this entry took the lease and has not heard of another holder. It may be unable to confirm that: then it may
// go on with what is safe without, and not with what must be known to be current.
func (l *Lease) InOffice() bool { return l.owns() }

// Version returns the version of the last write of this entry: a number that no earlier holder had.
func (l *Lease) Version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(l.version)
}

// Holder returns the last holder seen.
func (l *Lease) Holder() (Holder, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder, l.holder.Entry != ""
}

// Run takes and renews the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.owns() {
			l.renew(ctx)
			wait.Pause(ctx, renewEvery)
			continue
		}
		if !l.deps.Linked() && l.due() {
			l.look(ctx)
		}
		wait.Pause(ctx, dueEvery)
	}
}

// due says whether it is time to look: at once while no holder is known, and else when the lease can be taken. Whoever looks sooner learns
// nothing that its link would not tell.
func (l *Lease) due() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.again) {
		return false
	}
	return l.doubted || l.holder.Entry == "" || now.Sub(l.since) >= takeAfter+l.delay
}

// Doubt notes that the holder can't be reached where the object says. Its process may have started again, with another certificate: after all
// entries were killed, most have read the object before the holder wrote it anew, and would find it only once the lease can be taken.
func (l *Lease) Doubt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubted = true
}

// answered notes whether a look got an answer, and when the next one may be.
func (l *Lease) answered(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubted = false
	if ok {
		l.failures = 0
		l.again = time.Now().Add(lookEvery/2 + rand.N(lookEvery))
		return
	}
	l.failures++
	l.again = time.Now().Add(outage.Backoff(l.failures, rand.Float64()))
}

// changed notes that the object was seen at another version. It is called under the lock.
func (l *Lease) changed(version platform.Version) {
	l.version = version
	l.since = time.Now()
	l.delay = takeover.Delay(l.deps.Capacity, rand.Float64())
}

func (l *Lease) owns() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// look reads the object, and takes it where it has stood still for long or does not exist.
func (l *Lease) look(ctx context.Context) {
	object, err := l.deps.Store.Get(ctx, Kind, Name)
	l.answered(err == nil || eris.Is(err, platform.ErrNotFound))
	if eris.Is(err, platform.ErrNotFound) {
		l.write(ctx, 0)
		return
	}
	if err != nil {
		return // an unreachable platform names no holder; the next look asks again
	}
	var holder Holder
	if err := json.Unmarshal(object.Value, &holder); err != nil {
		holder = Holder{} // an unreadable object is taken over like one that stands still
	}
	if l.saw(holder, object.Version) {
		l.write(ctx, object.Version)
	}
}

// saw notes the object and says whether it may be taken.
func (l *Lease) saw(holder Holder, version platform.Version) bool {
	l.mu.Lock()
	other := holder.Entry != l.holder.Entry || holder.Token != l.holder.Token
	if version != l.version {
		l.changed(version)
	}
	l.holder = holder
	ripe := time.Since(l.since) > takeAfter || l.formerSelf(holder)
	l.mu.Unlock()
	if other {
		l.deps.Changed(holder, false)
	}
	return ripe
}

// formerSelf says whether the holder is an earlier process of this entry. It has ended, since this one has its addresses, so that nobody needs
// to wait for it: when all entries were killed at once, groups are mended and turns are given 1.7 s sooner.
func (l *Lease) formerSelf(holder Holder) bool {
	return holder.Entry == l.deps.Self.Entry && holder.Token != l.deps.Self.Token
}

// Heard notes that the holder has written the object at version, as its link tells.
func (l *Lease) Heard(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if platform.Version(version) > l.version {
		l.changed(platform.Version(version))
	}
}

func (l *Lease) renew(ctx context.Context) {
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	l.write(ctx, version)
}

// write replaces the object at version by one that names this entry.
func (l *Lease) write(ctx context.Context, version platform.Version) {
	value := l.deps.Self
	value.Nonce = uuid.NewString()
	body, err := json.Marshal(value)
	if err != nil {
		return // text always encodes
	}
	sent := time.Now()
	bounded, cancel := context.WithTimeout(ctx, ActWithin)
	defer cancel()
	written, err := platform.PutConfirmed(bounded, l.deps.Store, Kind, Name, version, body, value.Nonce)
	l.settle(value, written, sent, err)
}

// settle notes the outcome of a write. A conflict means that another entry has the lease; after any other failure the next
// write tells.
func (l *Lease) settle(value Holder, written platform.Version, sent time.Time, err error) {
	conflict := eris.Is(err, platform.ErrConflict) || eris.Is(err, platform.ErrSuperseded) || eris.Is(err, platform.ErrNotFound)
	l.mu.Lock()
	was := l.held
	switch {
	case err == nil:
		l.held, l.holder, l.version, l.confirmed = true, value, written, sent
		l.since = time.Now()
	case conflict:
		l.held = false
		l.since = time.Now()
		l.doubted, l.again = true, time.Time{} // the holder that this entry knows of has been replaced; the next look tells by whom
	}
	held := l.held
	l.mu.Unlock()
	if conflict {
		l.deps.Refused()
	}
	if held != was {
		l.deps.Changed(value, held)
	}
	if err == nil {
		l.deps.Renewed()
	}
}
