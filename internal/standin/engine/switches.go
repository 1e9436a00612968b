package engine

import (
	"net/netip"
	"time"
)

// MangleKind is a way to spoil one event of a stream.
type MangleKind string

// The manglings.
const (
	// MangleDrop leaves the event out.
	MangleDrop MangleKind = "drop"
	// MangleDuplicate sends it twice.
	MangleDuplicate MangleKind = "duplicate"
	// MangleCross sends in its place an event of another request.
	MangleCross MangleKind = "cross"
)

// Mangle spoils the event Seq of the next Count streams; Count below 0: of all.
type Mangle struct {
	Kind  MangleKind `json:"kind"`
	Seq   uint64   `json:"seq"`
	Count int      `json:"count"`
}

// Cut breaks the connection of the next Count streams after After events; Count below 0: of all.
type Cut struct {
	After uint64 `json:"after"`
	Count int    `json:"count"`
}

// Switches is a change of the faults of a VM. What is absent stays as it is.
type Switches struct {
	// Die breaks all connections and refuses new ones, until Restart or RestartAfterMillis.
	Die bool `json:"die,omitempty"`
	// Restart is a new boot at once; all state is lost, unless the VM remembers.
	Restart bool `json:"restart,omitempty"`
	// Remembers lets a boot begin with the order and the readiness of the last one, as if nothing had
	// happened: only the boot id tells.
	Remembers *bool `json:"remembers,omitempty"`
	// RestartAfterMillis goes with Die.
	RestartAfterMillis int64 `json:"restart_after_ms,omitempty"`
	// Freeze accepts connections but answers nothing; false thaws, and what was held goes on, whether or not
	// its caller is still there.
	Freeze *bool `json:"freeze,omitempty"`
	// Slow is a factor on all token times of the VM's group, and on the step time that the VM itself reports;
	// 1 is the usual speed.
	Slow *float64 `json:"slow,omitempty"`
	// CrashMarker kills the VM when it begins a request whose body holds this text; "" for none.
	CrashMarker *string `json:"crash_marker,omitempty"`
	Leaving     *bool   `json:"leaving,omitempty"`
	// ChecksFence refuses orders with an old fencing number; else they are carried out.
	ChecksFence *bool `json:"checks_fence,omitempty"`
	// ChecksEpoch refuses requests of another group or epoch than the engine's own.
	ChecksEpoch *bool   `json:"checks_epoch,omitempty"`
	CanResume   *bool   `json:"can_resume,omitempty"`
	Cut         *Cut    `json:"cut,omitempty"`
	Mangle      *Mangle `json:"mangle,omitempty"`
	// LoadLagMillis, LoadingMillis, PlainMillis and TokenGapMillis replace the host's options for this VM.
	LoadLagMillis  *int64 `json:"load_lag_ms,omitempty"`
	LoadingMillis  *int64 `json:"loading_ms,omitempty"`
	PlainMillis    *int64 `json:"plain_ms,omitempty"`
	TokenGapMillis *int64 `json:"token_gap_ms,omitempty"`
	// CutFrom lets the VM not hear what these source IPs ask, as if the way from there were cut.
	CutFrom *[]netip.Addr `json:"cut_from,omitempty"`
	// PlainBytes pads the answers of a plain service to at least this size.
	PlainBytes *int `json:"plain_bytes,omitempty"`
}

// settings is the state of the switches that a VM keeps over its boots.
type settings struct {
	slow        float64
	crashMarker string
	leaving     bool
	checksFence bool
	checksEpoch bool
	canResume   bool
	cut         Cut
	mangle      Mangle
	loadLag     time.Duration
	loading     time.Duration
	plainTime   time.Duration
	plainBytes  int
	tokenGap    time.Duration
	cutFrom     []netip.Addr
	remembers   bool
}

func newSettings(o Options, plain bool) settings {
	s := settings{
		slow:        1,
		checksFence: true,
		checksEpoch: true,
		canResume:   true,
		loadLag:     o.LoadLag,
		loading:     o.Loading,
		plainTime:   o.PlainTime,
		tokenGap:    o.TokenGap,
	}
	if plain {
		s.loading = o.PlainLoading
	}
	return s
}

func (s *settings) change(c Switches) {
	set(&s.slow, c.Slow)
	set(&s.crashMarker, c.CrashMarker)
	set(&s.leaving, c.Leaving)
	set(&s.checksFence, c.ChecksFence)
	set(&s.checksEpoch, c.ChecksEpoch)
	set(&s.canResume, c.CanResume)
	set(&s.cut, c.Cut)
	set(&s.mangle, c.Mangle)
	set(&s.plainBytes, c.PlainBytes)
	set(&s.cutFrom, c.CutFrom)
	set(&s.remembers, c.Remembers)
	setMillis(&s.loadLag, c.LoadLagMillis)
	setMillis(&s.loading, c.LoadingMillis)
	setMillis(&s.plainTime, c.PlainMillis)
	setMillis(&s.tokenGap, c.TokenGapMillis)
}

func set[T any](value *T, change *T) {
	if change != nil {
		*value = *change
	}
}

func setMillis(value *time.Duration, change *int64) {
	if change != nil {
		*value = time.Duration(*change) * time.Millisecond
	}
}

// take uses up one of count and returns whether there was one; below 0 there always is.
func take(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}
