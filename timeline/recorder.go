package timeline

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// RecentEvents is how many events a Recorder keeps for an operator's request. At some 300 bytes an
// event this bounds its memory to about 3 MB.
const RecentEvents = 10_000

// Recorder writes the events of one process. It is safe for concurrent use.
type Recorder struct {
	process string
	clock   func() time.Time

	mu   sync.Mutex // guards what follows; a leaf lock: nothing is locked while it is held
	out  io.Writer
	last int64
	// lead is how far the fastest clock heard of is ahead of the own one, and leadAt when it was heard.
	lead   time.Duration
	leadAt time.Time
	seq    uint64
	recent []Event
	next   int
}

// NewRecorder returns a recorder that names its events after process and writes them to out, which may
// be nil to only keep the recent ones.
func NewRecorder(process string, out io.Writer, clock func() time.Time) *Recorder {
	return &Recorder{process: process, clock: clock, out: out}
}

// Record stamps and writes one event. A failed write is dropped: the time line must never hold up the
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

// Now returns a time to stamp on an outgoing message.
func (r *Recorder) Now() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance()
}

// Observe takes in the time of a received message, so that later events sort after it. A time more
// than maxSkew ahead of the own clock is ignored: one wrong clock must not drag all others along.
//
// It also sets the own clock on by what the sender's is ahead. Causes travel on ways that carry no time
// too, as by an object in the platform; without this a process with a slow clock would stamp their effects
// seconds too early, until the next message.
func (r *Recorder) Observe(at int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	ahead := time.Duration(at - now.UnixNano())
	if ahead > maxSkew {
		return
	}
	r.last = max(r.last, at)
	if ahead >= r.lead || now.Sub(r.leadAt) > leadLifetime {
		r.lead = max(ahead, 0)
		r.leadAt = now
	}
}

const (
	maxSkew = time.Minute
	// leadLifetime is how long a clock that is ahead is followed after it was last heard: it may have
	// been set right, or its process have gone.
	leadLifetime = time.Minute
)

// Recent returns the kept events, oldest first.
func (r *Recorder) Recent() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.recent))
	events = append(events, r.recent[r.next:]...)
	return append(events, r.recent[:r.next]...)
}

// advance must be called with mu held.
func (r *Recorder) advance() int64 {
	r.last = max(r.last+1, r.clock().Add(r.lead).UnixNano())
	return r.last
}

// keep must be called with mu held.
func (r *Recorder) keep(e Event) {
	if len(r.recent) < RecentEvents {
		r.recent = append(r.recent, e)
		return
	}
	r.recent[r.next] = e
	r.next = (r.next + 1) % RecentEvents
}
