package platform

import (
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// Outage is the way in which the platform fails to answer calls.
type Outage string

// Outage values.
const (
	// OutageNone answers calls normally.
	OutageNone Outage = "none"
	// OutageRefuse answers 503 without executing the call.
	OutageRefuse Outage = "refuse"
	// OutageDrop closes the connection without executing the call, so a writer can't tell whether its write took
	// effect.
	OutageDrop Outage = "drop"
	// OutageHang leaves the call unanswered until the caller gives up.
	OutageHang Outage = "hang"
)

// Prefix selects calls on objects of Kind (empty: any kind) whose names start with Name.
type Prefix struct {
	Kind platform.Kind `json:"kind,omitempty"`
	Name string        `json:"name,omitempty"`
}

// LoseAnswers drops the connection after a write has taken effect.
type LoseAnswers struct {
	Prefix
	// Count is how many writes it applies to; 0 switches it off, below 0 it stays on.
	Count int `json:"count"`
}

// LateEffects applies a write DelayMillis after it would otherwise take effect, even if its caller has
// disconnected, and then drops the connection.
type LateEffects struct {
	Prefix
	Count       int   `json:"count"`
	DelayMillis int64 `json:"delay_ms"`
}

// StaleReads answers reads and lists with the state at an old revision, as a lagging platform replica does.
type StaleReads struct {
	Prefix
	Revision platform.Version `json:"revision"`
	// Count is how many calls it applies to; 0 switches it off, below 0 it stays on.
	Count int `json:"count"`
}

// Switches is an update of the simulated faults. Fields that are absent leave the current setting unchanged.
type Switches struct {
	Outage *Outage `json:"outage,omitempty"`
	// DelayMillis is added to the duration of each call.
	DelayMillis *int64 `json:"delay_ms,omitempty"`
	// CallsPerSecond limits the rate of calls; 0 removes the limit.
	CallsPerSecond *float64     `json:"calls_per_second,omitempty"`
	LoseAnswers    *LoseAnswers `json:"lose_answers,omitempty"`
	LateEffects    *LateEffects `json:"late_effects,omitempty"`
	StaleReads     *StaleReads  `json:"stale_reads,omitempty"`
	// DropWatches closes the connections of waiting watches without an answer.
	DropWatches bool `json:"drop_watches,omitempty"`
	// RepeatChanges is the number of watch answers that also repeat the retained history of the kind, so the
	// watcher receives old changes twice.
	RepeatChanges *int `json:"repeat_changes,omitempty"`
	// VMsLagMillis is how far reads, lists and watches of kind vms lag behind the current state.
	VMsLagMillis *int64 `json:"vms_lag_ms,omitempty"`
	// Hold adds a hold; Release ends the holds whose kind and name prefix match.
	Hold    *Hold   `json:"hold,omitempty"`
	Release *Prefix `json:"release,omitempty"`
	// Compact discards the history, so a watch from an earlier revision first receives every object of the kind.
	Compact bool `json:"compact,omitempty"`
}

// faults holds the current fault settings.
type faults struct {
	mu          sync.Mutex // guards the fields below; no other lock is taken while it is held
	outage      Outage
	delay       time.Duration
	throttle    *rate.Limiter
	loseAnswers LoseAnswers
	lateEffects LateEffects
	staleReads  StaleReads
	repeats     int
	vmListLag   time.Duration
	dropWatches chan struct{} // closed and replaced to drop waiting watches
}

func newFaults() *faults {
	return &faults{outage: OutageNone, dropWatches: make(chan struct{})}
}

func (f *faults) update(s Switches) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Outage != nil {
		f.outage = *s.Outage
	}
	if s.DelayMillis != nil {
		f.delay = millis(*s.DelayMillis)
	}
	if s.CallsPerSecond != nil {
		f.throttle = newThrottle(*s.CallsPerSecond)
	}
	if s.LoseAnswers != nil {
		f.loseAnswers = *s.LoseAnswers
	}
	if s.LateEffects != nil {
		f.lateEffects = *s.LateEffects
	}
	if s.StaleReads != nil {
		f.staleReads = *s.StaleReads
	}
	if s.RepeatChanges != nil {
		f.repeats = *s.RepeatChanges
	}
	if s.VMsLagMillis != nil {
		f.vmListLag = millis(*s.VMsLagMillis)
	}
	if s.DropWatches || f.outage != OutageNone {
		close(f.dropWatches)
		f.dropWatches = make(chan struct{})
	}
}

func newThrottle(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// callFaults holds the faults that apply to one incoming call.
type callFaults struct {
	outage    Outage
	delay     time.Duration
	throttled bool
}

func (f *faults) forCall() callFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return callFaults{
		outage:    f.outage,
		delay:     f.delay,
		throttled: f.throttle != nil && !f.throttle.Allow(),
	}
}

func (f *faults) currentOutage() Outage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

// takeLostAnswer reports whether the answer to a write is to be lost, and uses up one count if so.
func (f *faults) takeLostAnswer(kind platform.Kind, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loseAnswers.matches(kind, name) && takeOne(&f.loseAnswers.Count)
}

// takeWriteDelay returns the delay before a write takes effect, 0 for none, and uses up one count if it matches.
func (f *faults) takeWriteDelay(kind platform.Kind, name string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lateEffects.matches(kind, name) || !takeOne(&f.lateEffects.Count) {
		return 0
	}
	return millis(f.lateEffects.DelayMillis)
}

// takeStaleRevision returns the revision at which to answer a read, 0 for the current one, and uses up one count
// if it matches.
func (f *faults) takeStaleRevision(kind platform.Kind, name string) platform.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.staleReads.matches(kind, name) || !takeOne(&f.staleReads.Count) {
		return 0
	}
	return f.staleReads.Revision
}

// takeRepeat reports whether a watch answer is to repeat old changes, and uses up one count if so.
func (f *faults) takeRepeat() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return takeOne(&f.repeats)
}

func (f *faults) vmsLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vmListLag
}

func (f *faults) watchesDropped() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropWatches
}

func (p Prefix) matches(kind platform.Kind, name string) bool {
	return (p.Kind == "" || p.Kind == kind) && strings.HasPrefix(name, p.Name)
}

// takeOne decrements a positive count and reports whether it was nonzero. A negative count is unlimited.
func takeOne(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
