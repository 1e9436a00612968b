package platform

import (
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// Outage says how the platform fails to answer.
type Outage string

// The outages.
const (
	// OutageNone: it answers.
	OutageNone Outage = "none"
	// OutageRefuse: it answers 503 and does nothing.
	OutageRefuse Outage = "refuse"
	// OutageDrop: it closes the connection and does nothing, so that a writer can't tell.
	OutageDrop Outage = "drop"
	// OutageHang: it does not answer until the caller gives up.
	OutageHang Outage = "hang"
)

// Prefix selects the writes of a kind (empty: any) whose names start with Name.
type Prefix struct {
	Kind platform.Kind `json:"kind,omitempty"`
	Name string        `json:"name,omitempty"`
}

// LoseAnswers drops the connection after a write took effect.
type LoseAnswers struct {
	Prefix
	// Count is how many writes it applies to; 0 switches it off, below 0 it stays on.
	Count int `json:"count"`
}

// LateEffects lets a write take effect only DelayMillis after it came, also if its caller is gone.
type LateEffects struct {
	Prefix
	Count       int   `json:"count"`
	DelayMillis int64 `json:"delay_ms"`
}

// StaleReads answers reads and lists with the state at an old revision, as a replica of the platform that
// lags does.
type StaleReads struct {
	Prefix
	Revision platform.Version `json:"revision"`
	// Count is how many calls it applies to; 0 switches it off, below 0 it stays on.
	Count int `json:"count"`
}

// Switches is a change of the faults. What is absent stays as it is.
type Switches struct {
	Outage *Outage `json:"outage,omitempty"`
	// DelayMillis slows down each call.
	DelayMillis *int64 `json:"delay_ms,omitempty"`
	// CallsPerSecond throttles; 0 switches it off.
	CallsPerSecond *float64     `json:"calls_per_second,omitempty"`
	LoseAnswers    *LoseAnswers `json:"lose_answers,omitempty"`
	LateEffects    *LateEffects `json:"late_effects,omitempty"`
	StaleReads     *StaleReads  `json:"stale_reads,omitempty"`
	// DropWatches closes the connections of the watches that wait, without an answer.
	DropWatches bool `json:"drop_watches,omitempty"`
	// RepeatChanges lets this many answers of watches begin from revision 0 again: old changes come twice.
	RepeatChanges *int `json:"repeat_changes,omitempty"`
	// VMsLagMillis is by how much reads of kind vms lag.
	VMsLagMillis *int64 `json:"vms_lag_ms,omitempty"`
	// Hold adds a hold; Release ends those of a kind and a beginning of names.
	Hold    *Hold   `json:"hold,omitempty"`
	Release *Prefix `json:"release,omitempty"`
	// Compact forgets the history, so that each watch from before starts with the whole kind.
	Compact bool `json:"compact,omitempty"`
}

// faults is the state of the switches.
type faults struct {
	mu       sync.Mutex // guards what follows; a leaf lock
	outage   Outage
	delay    time.Duration
	throttle *rate.Limiter
	lose     LoseAnswers
	late     LateEffects
	stale    StaleReads
	repeats  int
	lag      time.Duration
	drop     chan struct{} // closed and replaced to drop the waiting watches
}

func newFaults() *faults {
	return &faults{outage: OutageNone, drop: make(chan struct{})}
}

func (f *faults) set(s Switches) {
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
		f.lose = *s.LoseAnswers
	}
	if s.LateEffects != nil {
		f.late = *s.LateEffects
	}
	if s.StaleReads != nil {
		f.stale = *s.StaleReads
	}
	if s.RepeatChanges != nil {
		f.repeats = *s.RepeatChanges
	}
	if s.VMsLagMillis != nil {
		f.lag = millis(*s.VMsLagMillis)
	}
	if s.DropWatches || f.outage != OutageNone {
		close(f.drop)
		f.drop = make(chan struct{})
	}
}

func newThrottle(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// arrival is what befalls a call when it comes.
type arrival struct {
	outage    Outage
	delay     time.Duration
	throttled bool
}

func (f *faults) arrive() arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return arrival{
		outage:    f.outage,
		delay:     f.delay,
		throttled: f.throttle != nil && !f.throttle.Allow(),
	}
}

func (f *faults) outageNow() Outage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

// losesAnswer says whether the answer of a write is lost, and counts it.
func (f *faults) losesAnswer(kind platform.Kind, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lose.matches(kind, name) && take(&f.lose.Count)
}

// lateness returns how much later a write takes effect, and counts it.
func (f *faults) lateness(kind platform.Kind, name string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.late.matches(kind, name) || !take(&f.late.Count) {
		return 0
	}
	return millis(f.late.DelayMillis)
}

// staleness returns the revision that a read is answered at, 0 for the present one, and counts it.
func (f *faults) staleness(kind platform.Kind, name string) platform.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.stale.matches(kind, name) || !take(&f.stale.Count) {
		return 0
	}
	return f.stale.Revision
}

// repeatsChanges says whether this answer of a watch repeats old changes, and counts it.
func (f *faults) repeatsChanges() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return take(&f.repeats)
}

func (f *faults) vmsLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag
}

func (f *faults) dropped() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drop
}

func (p Prefix) matches(kind platform.Kind, name string) bool {
	return (p.Kind == "" || p.Kind == kind) && strings.HasPrefix(name, p.Name)
}

// take uses up one of count and returns whether there was one; below 0 there always is.
func take(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
