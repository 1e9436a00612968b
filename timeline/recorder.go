package timeline

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// RecentEvents is the number of events that a Recorder keeps in memory for operators to query. At about
// 300 bytes an event, this bounds the memory to about 3 MB.
const RecentEvents = 10_000

// Recorder timestamps and writes the events of one process. It is safe for concurrent use.
type Recorder struct {
	process string
	clock   func() time.Time

	mu   sync.Mutex // guards the fields below; a leaf lock: no other lock is acquired while it is held
	out  io.Writer
	last int64
	// clockOffset is how far the fastest known clock of another process is ahead of the local clock, and
	// clockOffsetAt is when it was last observed.
	clockOffset   time.Duration
	clockOffsetAt time.Time
	seq           uint64
	recent        []Event
	next          int
}

// NewRecorder returns a recorder for the events of the named process. It writes them to out; if out is
// nil, it only keeps the recent ones in memory.
func NewRecorder(process string, out io.Writer, clock func() time.Time) *Recorder {
	return &Recorder{process: process, clock: clock, out: out}
}

// Record timestamps and writes one event. A write error is ignored: the timeline must never delay the
// work that it describes.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e.Time = r.advance()
	e.Process = r.process
	e.Seq = r.seq
	r.keep(e)
	if r.out == nil {
		return
	}
	line, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = r.out.Write(append(line, '\n'))
}

// Now returns the timestamp for an outgoing message.
func (r *Recorder) Now() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance()
}

// Observe processes the timestamp of a received message, so that later events sort after it. A timestamp
// more than maxSkew ahead of the local clock is ignored: one wrong clock must not advance all others.
//
// It also advances the local time by the amount that the sender's clock is ahead. Some causes arrive
// without a timestamp, for example through an object in the platform. Without the adjustment, a process
// with a slow clock would timestamp their effects seconds too early until it received the next message.
func (r *Recorder) Observe(at int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	ahead := time.Duration(at - now.UnixNano())
	if ahead > maxSkew {
		return
	}
	r.last = max(r.last, at)
	if ahead >= r.clockOffset || now.Sub(r.clockOffsetAt) > clockOffsetLifetime {
		r.clockOffset = max(ahead, 0)
		r.clockOffsetAt = now
	}
}

const (
	maxSkew = time.Minute
	// clockOffsetLifetime is how long the offset of a faster clock is applied after it was last observed:
	// that clock may have been corrected since, or its process may have ended.
	clockOffsetLifetime = time.Minute
)

// Recent returns the events kept in memory, oldest first.
func (r *Recorder) Recent() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.recent))
	events = append(events, r.recent[r.next:]...)
	return append(events, r.recent[:r.next]...)
}

// advance returns the next hybrid logical timestamp. It must be called with mu held.
func (r *Recorder) advance() int64 {
	r.last = max(r.last+1, r.clock().Add(r.clockOffset).UnixNano())
	return r.last
}

// keep stores an event in the ring buffer of recent events. It must be called with mu held.
func (r *Recorder) keep(e Event) {
	if len(r.recent) < RecentEvents {
		r.recent = append(r.recent, e)
		return
	}
	r.recent[r.next] = e
	r.next = (r.next + 1) % RecentEvents
}
