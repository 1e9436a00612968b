// Package lease elects the leader, the entry that holds the lease and coordinates all entries, and that manages the
// groups of VMs, by conditional writes of one object of the platform. An entry is one proxy process that callers
// connect to.
//
// The holder rewrites the object every 600 ms. Another entry acquires the lease when it has seen the same version for
// longer than the holder may act on it, by its own monotonic clock. No safety property depends on the lease alone: two
// entries that both believe they are the leader can't harm each other's groups (package grouping explains why). The
// lease avoids conflicting orders from two leaders, and lets one entry pace the loading of models.
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

// Kind and Name identify the object.
const (
	Kind platform.Kind = "leases"
	Name string        = "grouping"
)

const (
	// renewInterval is how often the holder writes the object.
	renewInterval = 600 * time.Millisecond
	// Validity is how long the holder may act on the lease, from when it sent its last confirmed write.
	Validity = 1300 * time.Millisecond
	// expiry is how long the object must be unchanged before another entry acquires the lease. It exceeds Validity by
	// the time that a write may take.
	expiry = 1700 * time.Millisecond
	// readOwnTimeout bounds the read after a conflict. Until it has ended, a holder whose successor has written the object counts as the leader. The
	// platform has just answered, so that the read takes milliseconds unless the answer is lost.
	readOwnTimeout = 400 * time.Millisecond
	// pollInterval is the mean interval between reads of the object by an entry that knows no holder.
	pollInterval = 300 * time.Millisecond
	// checkInterval is how often an entry checks whether a read is due.
	checkInterval = 50 * time.Millisecond
)

// Holder is the value of the object. It identifies the leader.
type Holder struct {
	Entry string `json:"entry"`
	// Address is where other entries reach the holder, as IP:port.
	Address string `json:"address"`
	// Fingerprint is the fingerprint of the holder's certificate.
	Fingerprint string `json:"fingerprint"`
	// Token authenticates other entries to the holder. Anyone who may read the platform's objects knows it.
	Token string `json:"token"`
	Nonce string `json:"nonce"`
	// Attachment is what the holder knows that has to outlast all entries.
	Attachment json.RawMessage `json:"attachment,omitempty"`
}

// Deps holds the dependencies of a Lease.
type Deps struct {
	Store platform.Store
	Self  Holder
	// Linked reports whether this entry hears from the holder, so that it need not read the object.
	Linked func() bool
	// Attachment returns the attachment of this entry's next write. It must be valid JSON or empty.
	Attachment func() json.RawMessage
	// AttachmentRead is called with the attachment of each object that this entry reads, unless it is empty.
	AttachmentRead func(attachment json.RawMessage)
	// Stalled reports whether the work stands still that the holder has to do. An entry whose work does neither renews nor acquires the lease.
	Stalled func() bool
	// Capacity is the capacity of this entry's VM. Entries with little capacity wait longer before they acquire the
	// lease.
	Capacity takeover.Capacity
	// Renewed is called after each confirmed write of this entry.
	Renewed func()
	// HolderChanged is called when this entry reads a new holder, with held false, and when it acquires or loses the
	// lease, with itself as the holder.
	HolderChanged func(holder Holder, held bool)
	// WriteConflict is called when a write failed because another entry had written the object first, or because the
	// object was removed.
	WriteConflict func()
}

// Lease is this entry's view of the lease. It is safe for concurrent use.
type Lease struct {
	deps Deps

	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// holder is the last known holder. version is the last known version of the object, and unchangedSince when this
	// version was first seen.
	holder         Holder
	version        platform.Version
	unchangedSince time.Time
	held           bool
	// confirmedAt is when the last confirmed write was sent.
	confirmedAt time.Time
	// acquireDelay is how long after the expiry this entry reads the object to acquire the lease. It is chosen anew for
	// each version.
	acquireDelay time.Duration
	// pollFailures counts consecutive reads without an answer, and nextPoll is the earliest time of the next read.
	pollFailures int
	nextPoll     time.Time
	// stale is set when the holder can't be reached at the address in the object, or another entry has written the
	// object since it was read.
	stale bool
}

// New returns a Lease with no known holder.
func New(deps Deps) *Lease { return &Lease{deps: deps} }

// Held reports whether this entry holds the lease and may act on it now.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && time.Since(l.confirmedAt) < Validity
}

// IsLeader reports whether this entry acquired the lease and knows of no other holder. The lease may be past its
// Validity if renewals fail: the entry may then continue what is safe under an unconfirmed lease, but not what requires
// the lease to be valid.
func (l *Lease) IsLeader() bool { return l.owns() }

// Version returns the last known version of the object. While this entry holds the lease, that is the version of its
// last write, which is higher than any version written by an earlier holder.
func (l *Lease) Version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(l.version)
}

// Holder returns the last known holder.
func (l *Lease) Holder() (Holder, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder, l.holder.Entry != ""
}

// Run acquires and renews the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.owns() {
			if l.deps.Stalled() {
				l.giveUp()
				continue
			}
			l.renew(ctx)
			wait.Pause(ctx, renewInterval)
			continue
		}
		if !l.deps.Linked() && l.pollDue() {
			l.poll(ctx)
		}
		wait.Pause(ctx, checkInterval)
	}
}

// pollDue reports whether to read the object: immediately while no holder is known, and otherwise when the lease can be
// acquired. An earlier read yields nothing that the link to the holder would not.
func (l *Lease) pollDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.nextPoll) {
		return false
	}
	return l.stale || l.holder.Entry == "" || now.Sub(l.unchangedSince) >= expiry+l.acquireDelay
}

// HolderUnreachable records that the holder can't be reached at the address in the object. Its process may have
// restarted with another certificate: after all entries were killed, most of them have read the object before the
// holder rewrote it, and would otherwise read it again only when the lease can be acquired.
func (l *Lease) HolderUnreachable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = true
}

// recordPoll records whether a read got an answer, and schedules the next one. It reports whether the answer ends an outage of the
// platform as this entry saw it. The lease may have expired during the outage for all entries; the next read is then due after the
// delay that depends on this entry's capacity, as if the lease expired now.
func (l *Lease) recordPoll(ok bool) (regained bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = false
	if !ok {
		l.pollFailures++
		l.nextPoll = time.Now().Add(outage.Backoff(l.pollFailures, rand.Float64()))
		return false
	}
	regained = l.pollFailures >= minOutageFailures
	l.pollFailures = 0
	pause := pollInterval/2 + rand.N(pollInterval)
	if regained {
		pause = takeover.DelayAfterOutage(l.deps.Capacity, rand.Float64())
	}
	l.nextPoll = time.Now().Add(pause)
	return regained
}

// minOutageFailures is the number of consecutive reads without an answer that count as an outage of the platform. Single answers
// are also lost while the platform is available.
const minOutageFailures = 2

// setVersion records that the object has a new version. It must be called with l.mu held.
func (l *Lease) setVersion(version platform.Version) {
	l.version = version
	l.unchangedSince = time.Now()
	l.acquireDelay = takeover.Delay(l.deps.Capacity, rand.Float64())
}

func (l *Lease) owns() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// giveUp ends this entry's leadership without a write: another entry acquires the lease once it has expired.
func (l *Lease) giveUp() {
	l.mu.Lock()
	l.held = false
	holder := l.holder
	l.mu.Unlock()
	l.deps.HolderChanged(holder, false)
}

// poll reads the object, and acquires the lease if it has expired or the object does not exist.
func (l *Lease) poll(ctx context.Context) {
	object, err := l.deps.Store.Get(ctx, Kind, Name)
	regained := l.recordPoll(err == nil || eris.Is(err, platform.ErrNotFound))
	if eris.Is(err, platform.ErrNotFound) {
		l.acquire(ctx, 0)
		return
	}
	if err != nil {
		return // the holder is unknown while the platform can't be reached; the next poll retries
	}
	var holder Holder
	if err := json.Unmarshal(object.Value, &holder); err != nil {
		holder = Holder{} // an invalid object is replaced once it has expired
	}
	if len(holder.Attachment) > 0 {
		l.deps.AttachmentRead(holder.Attachment)
	}
	if expired := l.observe(holder, object.Version); expired && (!regained || l.isPreviousProcess(holder)) {
		l.acquire(ctx, object.Version)
	}
}

func (l *Lease) acquire(ctx context.Context, version platform.Version) {
	if !l.deps.Stalled() {
		l.write(ctx, version)
	}
}

// observe records the object as read, and reports whether the lease may be acquired.
func (l *Lease) observe(holder Holder, version platform.Version) bool {
	l.mu.Lock()
	other := holder.Entry != l.holder.Entry || holder.Token != l.holder.Token
	if version != l.version {
		l.setVersion(version)
	}
	l.holder = holder
	expired := time.Since(l.unchangedSince) > expiry || l.isPreviousProcess(holder)
	l.mu.Unlock()
	if other {
		l.deps.HolderChanged(holder, false)
	}
	return expired
}

// isPreviousProcess reports whether the holder is an earlier process of this entry. That process has ended, because
// this one uses its addresses, so the lease need not expire: when all entries were killed at once, groups are repaired
// and turns granted 1.7 s sooner.
func (l *Lease) isPreviousProcess(holder Holder) bool {
	return holder.Entry == l.deps.Self.Entry && holder.Token != l.deps.Self.Token
}

// ObserveRenewal records that the holder has written the object at version, as reported over the link.
func (l *Lease) ObserveRenewal(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if platform.Version(version) > l.version {
		l.setVersion(platform.Version(version))
	}
}

func (l *Lease) renew(ctx context.Context) {
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	l.write(ctx, version)
}

// write replaces the object at version with one that names this entry. A holder that meets a conflict reads the object before it steps down: an
// earlier write that it has given up on may have taken effect, and the lease is then still its own.
func (l *Lease) write(ctx context.Context, version platform.Version) {
	if !isConflict(l.writeOnce(ctx, version)) {
		return
	}
	if l.owns() {
		if current, own := l.readOwn(ctx); own && !isConflict(l.writeOnce(ctx, current)) {
			return
		}
	}
	l.stepDown()
}

// readOwn returns the version of the object if it names this process.
func (l *Lease) readOwn(ctx context.Context) (platform.Version, bool) {
	bounded, cancel := context.WithTimeout(ctx, readOwnTimeout)
	defer cancel()
	object, err := l.deps.Store.Get(bounded, Kind, Name)
	if err != nil {
		return 0, false // it can't be told who has written the object
	}
	var holder Holder
	if err := json.Unmarshal(object.Value, &holder); err != nil {
		return 0, false // another entry has written an object that can't be read
	}
	own := holder.Entry == l.deps.Self.Entry && holder.Token == l.deps.Self.Token
	return object.Version, own
}

// isConflict reports whether a write has failed because the object was not at the expected version.
func isConflict(err error) bool {
	return eris.Is(err, platform.ErrConflict) || eris.Is(err, platform.ErrSuperseded) || eris.Is(err, platform.ErrNotFound)
}

func (l *Lease) writeOnce(ctx context.Context, version platform.Version) error {
	value := l.deps.Self
	value.Nonce = uuid.NewString()
	value.Attachment = l.deps.Attachment()
	body, err := json.Marshal(value)
	if err != nil {
		return err // can't happen: the value has only strings and valid JSON
	}
	sent := time.Now()
	bounded, cancel := context.WithTimeout(ctx, Validity)
	defer cancel()
	written, err := platform.PutConfirmed(bounded, l.deps.Store, Kind, Name, version, body, value.Nonce)
	if err == nil {
		l.recordWritten(value, written, sent)
	}
	return err
}

// recordWritten records a confirmed write.
func (l *Lease) recordWritten(value Holder, written platform.Version, sent time.Time) {
	l.mu.Lock()
	wasHeld := l.held
	l.held, l.holder, l.version, l.confirmedAt = true, value, written, sent
	l.unchangedSince = time.Now()
	l.mu.Unlock()
	if !wasHeld {
		l.deps.HolderChanged(value, true)
	}
	l.deps.Renewed()
}

// stepDown records that another entry has acquired the lease. After any failure of a write but a conflict the outcome is unknown, and the next
// write determines it.
func (l *Lease) stepDown() {
	l.mu.Lock()
	wasHeld := l.held
	l.held = false
	l.unchangedSince = time.Now()
	l.stale, l.nextPoll = true, time.Time{} // the known holder was replaced; the next poll finds its successor
	l.mu.Unlock()
	l.deps.WriteConflict()
	if wasHeld {
		l.deps.HolderChanged(l.deps.Self, false)
	}
}
