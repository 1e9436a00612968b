// Package drain performs the planned stop of an entry (gateway process) without cutting requests.
//
// It guards against three faults of an abrupt stop: callers keep an entry's address for a while and would connect to an entry that is
// gone; other entries would dispatch requests to a home, the entry that owns a group of servers, that is gone; and answers in progress
// would break off. Callers would see refused connections and truncated answers although nothing failed.
package drain

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Phase is a phase of the stop. The phases follow each other in the order of the constants, each entered once.
type Phase uint8

// The phases.
const (
	// Serving: no stop was requested.
	Serving Phase = iota
	// Leaving: the other entries learn of the stop by gossip and from the platform; requests are still accepted, since callers may
	// keep the address.
	Leaving
	// Closing: no caller may still use the address; new requests are no longer accepted.
	Closing
	// Finishing: the entry waits for the requests in progress.
	Finishing
	// Stopped: nothing is in progress, or what was has been ended.
	Stopped
)

// String names the phase.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "closing", "finishing", "stopped"}[p]
}

// ErrCut is returned when requests were still in progress at the end.
var ErrCut = eris.New("stopped with requests in progress")

// Steps are the actions of a stop. Each returns without waiting for its effect, except Publish.
type Steps struct {
	// Leave removes the entry from what callers are told, by gossip. The groups whose home it is move to other entries as the news
	// spreads, and from now on it refuses dispatches to them as not run, so that none has to be abandoned at the end.
	Leave func()
	// Publish writes the same to the platform. It retries through an outage; the stop does not wait for it.
	Publish func(ctx context.Context) error
	// AddressHeldUntil returns the time until which a caller that has asked by now may keep the address.
	AddressHeldUntil func() time.Time
	// Close stops accepting connections and requests from callers; those in progress continue.
	Close func()
	// End ends the requests in progress. Those of callers are answered soon after.
	End func()
	// InProgress returns the number of requests in progress, from callers and from other entries' fronts.
	InProgress func() int
	// OnPhase is called on entering each phase; it may be nil.
	OnPhase func(Phase)
}

// Config holds the time limits of a stop.
type Config struct {
	// Margin is added to the time for which callers may keep the address. It covers the time that the news takes to reach all entries,
	// which hand out the address until then, and the skew of callers' clocks.
	Margin time.Duration
	// FinishTimeout bounds the wait for requests in progress; it must exceed the longest time that a request may take.
	FinishTimeout time.Duration
	// EndTimeout bounds the wait for the answers to requests that were ended.
	EndTimeout time.Duration
}

// pollPeriod is how often the requests in progress are counted.
const pollPeriod = 50 * time.Millisecond

// Clock provides the time, so that tests can replace it.
type Clock interface {
	Now() time.Time
	// Sleep returns after d or when ctx ends.
	Sleep(ctx context.Context, d time.Duration)
}

// Drain is the planned stop of one entry.
type Drain struct {
	cfg   Config
	steps Steps
	clock Clock

	mu    sync.Mutex // guards phase; a leaf lock
	phase Phase
}

// New returns a Drain in the phase Serving.
func New(cfg Config, steps Steps, clock Clock) *Drain {
	return &Drain{cfg: cfg, steps: steps, clock: clock}
}

// Phase returns the current phase.
func (d *Drain) Phase() Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase
}

// Run goes through the phases. Requests that are still in progress after FinishTimeout, or when ctx ends, with which an operator calls off the
// waiting, are ended. It returns ErrCut if some are left after that, and nil otherwise.
func (d *Drain) Run(ctx context.Context) error {
	publishing, stopPublishing := context.WithCancel(ctx)
	published := make(chan struct{})
	d.leave(publishing, published)
	d.waitForAddressExpiry(ctx)
	d.enter(Closing)
	d.steps.Close()
	d.enter(Finishing)
	cut := d.finish(ctx, d.cfg.FinishTimeout)
	if cut > 0 {
		d.steps.End()
		cut = d.finish(context.WithoutCancel(ctx), d.cfg.EndTimeout)
	}
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

// waitForAddressExpiry waits until no caller may still use the address.
func (d *Drain) waitForAddressExpiry(ctx context.Context) {
	until := d.steps.AddressHeldUntil().Add(d.cfg.Margin)
	for ctx.Err() == nil {
		left := until.Sub(d.clock.Now())
		if left <= 0 {
			return
		}
		d.clock.Sleep(ctx, left)
	}
}

// finish waits for the requests in progress, for at most timeout, and returns how many are left.
func (d *Drain) finish(ctx context.Context, timeout time.Duration) int {
	end := d.clock.Now().Add(timeout)
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
	if d.steps.OnPhase != nil {
		d.steps.OnPhase(phase)
	}
}

// SystemClock is the system's clock.
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
