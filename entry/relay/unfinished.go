package relay

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Stage is what a request in progress waits for.
type Stage int32

// The stages.
const (
	// ReadingBody: the request's body has not been read whole.
	ReadingBody Stage = iota
	// Waiting: no attempt is under way; the request waits for a turn.
	Waiting
	// AtServer: it was sent, and nothing has been written to the caller.
	AtServer
	// Answering: a part of the answer has been written.
	Answering
)

// String returns the name of the stage.
func (s Stage) String() string {
	return [...]string{"reading-body", "waiting", "at-server", "answering"}[s]
}

// Unfinished describes a request in progress.
type Unfinished struct {
	ID    string
	Stage Stage
	// Age is the time since the request's header was read.
	Age time.Duration
}

// inProgress is the set of the requests in progress. It is safe for concurrent use.
type inProgress struct {
	mu        sync.Mutex // guards exchanges; a leaf lock
	exchanges map[*exchange]struct{}
}

func (p *inProgress) add(e *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exchanges == nil {
		p.exchanges = make(map[*exchange]struct{})
	}
	p.exchanges[e] = struct{}{}
}

func (p *inProgress) remove(e *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.exchanges, e)
}

// Unfinished returns the requests in progress, the oldest first.
func (r *Relay) Unfinished() []Unfinished {
	r.running.mu.Lock()
	defer r.running.mu.Unlock()
	list := make([]Unfinished, 0, len(r.running.exchanges))
	for e := range r.running.exchanges {
		list = append(list, Unfinished{ID: e.call.ID, Stage: Stage(e.stage.Load()), Age: time.Since(e.arrived)})
	}
	slices.SortFunc(list, func(a, b Unfinished) int { return cmp.Compare(b.Age, a.Age) })
	return list
}

// stage is the current Stage of an exchange.
type stage struct{ atomic.Int32 }

func (s *stage) enter(next Stage) { s.Store(int32(next)) }
