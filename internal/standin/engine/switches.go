package engine

import (
	"net/netip"
	"time"
)

// MangleKind is a way to corrupt one event of a stream.
type MangleKind string

// The kinds of corruption.
const (
	// MangleDrop omits the event.
	MangleDrop MangleKind = "drop"
	// MangleDuplicate sends the event twice.
	MangleDuplicate MangleKind = "duplicate"
	// MangleCross replaces the event with one of another request.
	MangleCross MangleKind = "cross"
)

// Mangle corrupts event Seq in each of the next Count streams, or in all streams if Count is negative.
type Mangle struct {
	Kind  MangleKind `json:"kind"`
	Seq   uint64     `json:"seq"`
	Count int        `json:"count"`
}

// Cut breaks the connection of each of the next Count streams after After events, or of all streams if Count
// is negative.
type Cut struct {
	After uint64 `json:"after"`
	Count int    `json:"count"`
}

// Switches changes the injected faults and the settings of a VM. Absent fields leave theirs unchanged.
type Switches struct {
	// Die breaks all connections and refuses new ones, until Restart or RestartAfterMillis.
	Die bool `json:"die,omitempty"`
	// Restart boots the VM again at once. All state is lost unless Remembers is set.
	Restart bool `json:"restart,omitempty"`
	// Remembers makes a boot start with the order and the readiness of the previous one, so that only the boot
	// ID shows that the VM restarted.
	Remembers *bool `json:"remembers,omitempty"`
	// RestartAfterMillis is the time after which a VM that was stopped by Die boots again. It has no effect
	// without Die.
	RestartAfterMillis int64 `json:"restart_after_ms,omitempty"`
	// Freeze makes the VM accept connections but answer nothing. False thaws it; it then continues with the
	// requests that it held, even if their clients have disconnected.
	Freeze *bool `json:"freeze,omitempty"`
	// Slow multiplies all token times of the VM's group, the step time that the VM itself reports, and the
	// duration of its plain calls; 1 is normal speed.
	Slow *float64 `json:"slow,omitempty"`
	// CrashMarker crashes the VM when it starts a request whose body contains this text; "" disables this.
	CrashMarker *string `json:"crash_marker,omitempty"`
	Leaving     *bool   `json:"leaving,omitempty"`
	// ChecksFence makes the VM refuse orders with an old fencing number; if false, it applies them.
	ChecksFence *bool `json:"checks_fence,omitempty"`
	// ChecksEpoch makes the VM refuse requests for a group or epoch other than its own.
	ChecksEpoch *bool   `json:"checks_epoch,omitempty"`
	CanResume   *bool   `json:"can_resume,omitempty"`
	Cut         *Cut    `json:"cut,omitempty"`
	Mangle      *Mangle `json:"mangle,omitempty"`
	// LoadLagMillis, LoadingMillis, PlainMillis and TokenGapMillis override the host's Options for this VM.
	LoadLagMillis  *int64 `json:"load_lag_ms,omitempty"`
	LoadingMillis  *int64 `json:"loading_ms,omitempty"`
	PlainMillis    *int64 `json:"plain_ms,omitempty"`
	TokenGapMillis *int64 `json:"token_gap_ms,omitempty"`
	// CutFrom makes the VM ignore requests from these source IPs, as if the network path from them were cut.
	CutFrom *[]netip.Addr `json:"cut_from,omitempty"`
	// PlainBytes is the size of the padding in the answers of a plain service, which are thus at least this
	// long.
	PlainBytes *int `json:"plain_bytes,omitempty"`
}

// settings holds the switches of a VM that persist across boots.
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

// consume decrements a positive count, and returns whether the fault applies: a negative count always does.
func consume(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}
