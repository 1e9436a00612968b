// Package drain is the planned stop of an entry, so that it cuts no request.
//
// What goes wrong without it: callers keep the address they were told for a while, and connect to an entry
// that is gone; fronts send to a home that is gone; answers in progress break off. A caller sees refused
// connections and half answers on a day when nothing failed.
package drain

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Phase is a phase of the stop. They come in this order, each once.
type Phase uint8

// The phases.
const (
	// Serving: no stop was asked for.
	Serving Phase = iota
	// Leaving: the others are told, by rumour and by the platform; requests are still taken in, since
	// callers may keep the address.
	Leaving
	// Closing: nobody may hold the address any more; no request is taken in.
	Closing
	// Finishing: requests in progress are waited for.
	Finishing
	// Stopped: nothing is in progress, or the time was over.
	Stopped
)

// String names the phase.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "closing", "finishing", "stopped"}[p]
}

// ErrCut is returned when requests were still in progress at the end.
var ErrCut = eris.New("stopped with requests in progress")

// Steps is what a stop does. Each step returns without waiting for its effect, but for Publish.
type Steps struct {
	// Leave takes the entry out of what callers are told, by rumour. Its homes move as the news spread,
	// and from now on it refuses dispatches to them as not run: so none is left to give up at the end.
	Leave func()
	// Publish writes the same into the platform. It waits out an outage; the stop does not wait for it.
	Publish func(ctx context.Context) error
	// KeptUntil returns until when a caller that asked by now may keep the address.
	KeptUntil func() time.Time
	// Close stops taking in connections and requests of callers; those in progress go on.
	Close func()
	// InProgress counts the requests in progress, of callers and of other entries' fronts.
	InProgress func() int
	// Entered is told of each phase, and may be nil.
	Entered func(Phase)
}

// Config holds the times of a stop.
type Config struct {
	// Margin is added to the time that callers may keep the address. It covers the time that the news
	// takes to reach all entries, which give the address out until then, and the callers' clocks.
	Margin time.Duration
	// FinishTimeout bounds the wait for requests in progress; it is longer than any request may last.
	FinishTimeout time.Duration
}

// pollPeriod is how often requests in progress are counted.
const pollPeriod = 50 * time.Millisecond

// Clock is the time as the stop sees it.
type Clock interface {
	Now() time.Time
	// Sleep returns after d, or when ctx ends.
	Sleep(ctx context.Context, d time.Duration)
}

// Drain is one stop of one entry.
type Drain struct {
	cfg   Config
	steps Steps
	clock Clock

	mu    sync.Mutex // guards phase; a leaf lock
	phase Phase
}

// New returns a Drain that has not begun.
func New(cfg Config, steps Steps, clock Clock) *Drain {
	return &Drain{cfg: cfg, steps: steps, clock: clock}
}

// Phase returns the present phase.
func (d *Drain) Phase() Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase
}

// Run goes through the phases. It returns nil when nothing was cut, else ErrCut: after FinishTimeout, or
// when ctx ended, by which an operator who can't wait says so.
func (d *Drain) Run(ctx context.Context) error {
	publishing, stopPublishing := context.WithCancel(ctx)
	published := make(chan struct{})
	d.leave(publishing, published)
	d.linger(ctx)
	d.enter(Closing)
	d.steps.Close()
	d.enter(Finishing)
	cut := d.finish(ctx)
	stopPublishing()
	<-published
	d.enter(Stopped)
	if cut > 0 {
		return eris.Wrapf(ErrCut, "%d left", cut)
	}
	return nil
}

func (d *Drain) leave(ctx context.Context, published chan<- struct{}) {
	d.enter(Leaving)
	d.steps.Leave()
	go func() {
		defer close(published)
		_ = d.steps.Publish(ctx)
	}()
}

// linger waits until no caller may hold the address.
func (d *Drain) linger(ctx context.Context) {
	until := d.steps.KeptUntil().Add(d.cfg.Margin)
	for ctx.Err() == nil {
		left := until.Sub(d.clock.Now())
		if left <= 0 {
			return
		}
		d.clock.Sleep(ctx, left)
	}
}

// finish waits for the requests in progress and returns how many are left.
func (d *Drain) finish(ctx context.Context) int {
	end := d.clock.Now().Add(d.cfg.FinishTimeout)
	for {
		left := d.steps.InProgress()
		if left == 0 || ctx.Err() != nil || !d.clock.Now().Before(end) {
			return left
		}
		d.clock.Sleep(ctx, pollPeriod)
	}
}

func (d *Drain) enter(phase Phase) {
	d.mu.Lock()
	d.phase = phase
	d.mu.Unlock()
	if d.steps.Entered != nil {
		d.steps.Entered(phase)
	}
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (SystemClock) Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
