// Package intake reads the bodies of requests into memory, within the room that all of them have together (policy/intake).
package intake

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	policy "github.com/skylarkpond/skylarkpond/policy/intake"
)

var (
	// ErrNoRoom means that a body was given up because others need the memory. The request has not been read whole.
	ErrNoRoom = eris.New("the bodies of other requests take all of the memory for bodies")
	// ErrTooSlow means that a body was given up because it arrived slowly while others needed the memory.
	ErrTooSlow = eris.New("the body arrived slowly while others needed its memory")
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge = eris.New("body over the limit")
)

// RetryAfter is when the caller of a body that was given up should return.
const RetryAfter = policy.RetryAfter

// IsRefusal reports whether an error means that a body was given up in favour of others.
func IsRefusal(err error) bool { return eris.Is(err, ErrNoRoom) || eris.Is(err, ErrTooSlow) }

// Refusals describes bodies that were given up, for logs.
type Refusals struct {
	Reason policy.Reason
	// Size is the room that the last of them asked for or had, Held that of all bodies, in bytes; Bodies is their number.
	Size, Held int64
	Bodies     int
	// Count is the number of bodies that were given up for the reason since its last call.
	Count int64
}

// Fields returns the fields of a log line.
func (r Refusals) Fields() logrus.Fields {
	return logrus.Fields{"reason": r.Reason, "count": r.Count, "bytes": r.Size, "held_bytes": r.Held, "held_bodies": r.Bodies}
}

// Deps holds the dependencies of Bodies.
type Deps struct {
	// Capacity is the memory for all bodies, in bytes.
	Capacity int64
	Metrics  metrics.Registry
	// Refused is called when bodies were given up, at most once a second for each reason, with a lock held. It must not block or call back. It may be
	// nil.
	Refused func(Refusals)
}

// Bodies is the memory of a process for bodies. It is safe for concurrent use.
type Bodies struct {
	deps Deps

	mu       sync.Mutex // guards what follows and the policy's bodies; a leaf lock
	account  *policy.Account
	open     map[*policy.Body]*Body
	refusals map[policy.Reason]*refusalCount
}

// refusalCount counts the bodies that were given up for a reason since the last call of Deps.Refused.
type refusalCount struct {
	calls *rate.Limiter
	count int64
}

// New returns the memory for bodies, and registers its gauges.
func New(deps Deps) *Bodies {
	b := &Bodies{
		deps: deps, account: policy.NewAccount(deps.Capacity), open: make(map[*policy.Body]*Body),
		refusals: make(map[policy.Reason]*refusalCount),
	}
	for name, value := range map[string]func() int64{
		"bodies.held.bytes": func() int64 { held, _ := b.Held(); return held },
		"bodies.open":       func() int64 { _, open := b.Held(); return int64(open) },
	} {
		_ = deps.Metrics.Register(name, metrics.NewFunctionalGauge(value)) // fails only for a duplicate name
	}
	return b
}

// Held returns the memory that bodies hold, in bytes, and their number.
func (b *Bodies) Held() (bytes int64, bodies int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account.Held()
}

// Body is the memory of one body. Read must not be called concurrently with itself; Close may be called from any goroutine.
type Body struct {
	bodies *Bodies
	entry  *policy.Body
	// ctx ends with the cause once the body is given up.
	ctx    context.Context
	giveUp context.CancelCauseFunc
}

// Open adds a body. The returned context ends with ErrNoRoom or ErrTooSlow if the body is given up before it has been read, which must interrupt
// Read. Close must be called once the body is not used any more.
func (b *Bodies) Open(ctx context.Context) (*Body, context.Context) {
	ctx, giveUp := context.WithCancelCause(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	body := &Body{bodies: b, entry: b.account.Open(time.Now()), ctx: ctx, giveUp: giveUp}
	b.open[body.entry] = body
	return body, ctx
}

// Close releases the memory of the body.
func (b *Body) Close() {
	b.bodies.mu.Lock()
	b.bodies.account.Close(b.entry)
	delete(b.bodies.open, b.entry)
	b.bodies.mu.Unlock()
	b.giveUp(nil)
}

// Read reads a body to its end. length is its announced length, or -1; limit is the most that it may have, in bytes. Errors are ErrTooLarge, ErrNoRoom,
// ErrTooSlow and those of the reader.
func (b *Body) Read(from io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	read := []byte{}
	for {
		if len(read) == cap(read) {
			size := policy.NextSize(int64(cap(read)), length, limit)
			if size <= int64(cap(read)) {
				return read, b.expectEnd(from)
			}
			if err := b.grow(size); err != nil {
				return nil, err
			}
			read = append(make([]byte, 0, size), read...)
		}
		n, err := from.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if end := b.received(n, err); end != nil || err != nil {
			return read, end
		}
	}
}

// ReadBody opens a body and reads it to its end as Read does. interrupt is called if it is given up meanwhile. release closes it; after an error it is
// closed already.
func (b *Bodies) ReadBody(ctx context.Context, from io.Reader, length, limit int64, interrupt func()) (read []byte, release func(), err error) {
	body, ctx := b.Open(ctx)
	unregister := context.AfterFunc(ctx, interrupt)
	read, err = body.Read(from, length, limit)
	unregister()
	if err != nil {
		body.Close()
	}
	return read, body.Close, err
}

// expectEnd reads the end of a body that has as many bytes as it may.
func (b *Body) expectEnd(from io.Reader) error {
	n, err := io.ReadFull(from, make([]byte, 1))
	if n > 0 {
		return ErrTooLarge
	}
	return b.received(0, err)
}

// received records that bytes have arrived, and the end of the body. It returns the error of the body if it ends otherwise.
func (b *Body) received(bytes int, err error) error {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	cause := context.Cause(b.ctx)
	switch {
	case cause != nil && IsRefusal(cause):
		return cause
	case err == io.EOF:
		b.entry.Complete()
		return nil
	case bytes > 0:
		b.entry.Received(bytes, time.Now())
	}
	return err
}

// grow takes the room of a size in bytes, and gives up other bodies for it.
func (b *Body) grow(size int64) error {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	lost, ok := b.bodies.account.Grow(b.entry, size, time.Now())
	for _, loss := range lost {
		b.bodies.giveUp(loss)
	}
	if ok {
		return nil
	}
	if cause := context.Cause(b.ctx); cause != nil && IsRefusal(cause) {
		return cause
	}
	b.bodies.note(policy.Loss{Body: b.entry, Reason: policy.NoRoom, Size: size})
	return ErrNoRoom
}

// GiveUpSlowest gives up the body that has been slow for the longest, and reports whether there was one.
func (b *Bodies) GiveUpSlowest() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	loss, found := b.account.GiveUpSlowest(time.Now())
	if found {
		b.giveUp(loss)
	}
	return found
}

// giveUp ends the reading of a body whose room was taken back. The caller holds mu.
func (b *Bodies) giveUp(loss policy.Loss) {
	cause := ErrNoRoom
	if loss.Reason == policy.TooSlow {
		cause = ErrTooSlow
	}
	if body := b.open[loss.Body]; body != nil {
		body.giveUp(cause)
	}
	b.note(loss)
}

// note counts and reports a body that was given up. The caller holds mu.
func (b *Bodies) note(loss policy.Loss) {
	metrics.GetOrRegisterCounter("bodies.given_up."+string(loss.Reason), b.deps.Metrics).Inc(1)
	refusal := b.refusals[loss.Reason]
	if refusal == nil {
		refusal = &refusalCount{calls: rate.NewLimiter(1, 1)}
		b.refusals[loss.Reason] = refusal
	}
	refusal.count++
	if b.deps.Refused == nil || !refusal.calls.Allow() {
		return
	}
	held, bodies := b.account.Held()
	b.deps.Refused(Refusals{Reason: loss.Reason, Size: loss.Size, Held: held, Bodies: bodies, Count: refusal.count})
	refusal.count = 0
}
