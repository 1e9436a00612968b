package forming

import "time"

// A View shows a single moment, but only the sequence of views shows whether a silence is a pause or a
// death, whether a slow group stays slow, and whether a VM restarts again and again. A Tracker keeps that
// history. After a takeover the new controller starts with an empty Tracker and waits for the full grace
// periods before it acts: it errs on the side of not reloading a replica.

// RestartWindow is how long a restart counts against a VM when members are chosen. A VM in a restart loop
// restarts again within minutes; an hour without a restart shows that the loop is over.
const RestartWindow = time.Hour

// MaxObservedGap limits how much time between two views is added to the durations. A controller that was
// paused for a minute has not observed a minute of silence, and the first probes after the pause may fail
// because of the pause itself.
const MaxObservedGap = 3 * time.Second

// Tracker fills in for how long the conditions in a View have lasted. It is not safe for concurrent use.
type Tracker struct {
	vms     map[string]*vmTrack
	groups  map[string]*groupTrack
	last    time.Duration
	started bool
}

type vmTrack struct {
	silent   time.Duration
	unlisted time.Duration
	boot     string
	restarts []time.Duration
	seen     bool
}

type groupTrack struct {
	state      State
	inState    time.Duration
	slow       time.Duration
	homeCutOff time.Duration
	seen       bool
}

// NewTracker returns a tracker without history.
func NewTracker() *Tracker {
	return &Tracker{vms: map[string]*vmTrack{}, groups: map[string]*groupTrack{}}
}

// Observe records a view taken at now and fills in its durations. VMs and groups that are no longer in the
// view are forgotten.
func (t *Tracker) Observe(now time.Duration, v *View) {
	gap := time.Duration(0)
	if t.started {
		gap = min(now-t.last, MaxObservedGap)
	}
	t.last, t.started = now, true
	for i := range v.VMs {
		t.observeVM(now, gap, &v.VMs[i])
	}
	slow := slowGroups(v)
	for i := range v.Groups {
		g := &v.Groups[i]
		homeCutOff := g.State == Serving && g.HomeNotWhole && isWhole(v.VMs, g)
		t.observeGroup(gap, g, slow[g.ID], homeCutOff)
	}
	t.dropUnseen()
}

func (t *Tracker) observeVM(now, gap time.Duration, v *VM) {
	track := t.vms[v.Name]
	if track == nil {
		track = &vmTrack{}
		t.vms[v.Name] = track
	}
	track.seen = true
	track.silent = elapsed(track.silent, gap, !v.Responding)
	track.unlisted = elapsed(track.unlisted, gap, !v.Listed)
	if v.Responding {
		track.recordBoot(now, v.BootID)
	}
	track.pruneRestarts(now)
	v.SilentFor = track.silent
	v.UnlistedFor = track.unlisted
	v.Restarts = len(track.restarts)
}

// elapsed returns how long a condition has lasted: gap longer than before if it still holds, otherwise 0.
func elapsed(lasted, gap time.Duration, still bool) time.Duration {
	if !still {
		return 0
	}
	return lasted + gap
}

func (t *vmTrack) recordBoot(now time.Duration, boot string) {
	if t.boot != "" && boot != t.boot {
		t.restarts = append(t.restarts, now)
	}
	t.boot = boot
}

func (t *vmTrack) pruneRestarts(now time.Duration) {
	for len(t.restarts) > 0 && now-t.restarts[0] > RestartWindow {
		t.restarts = t.restarts[1:]
	}
}

func (t *Tracker) observeGroup(gap time.Duration, g *Group, slow, homeCutOff bool) {
	track := t.groups[g.ID]
	if track == nil {
		track = &groupTrack{state: g.State}
		t.groups[g.ID] = track
		gap = 0
	}
	track.seen = true
	track.inState = elapsed(track.inState, gap, track.state == g.State)
	track.state = g.State
	track.slow = elapsed(track.slow, gap, slow)
	track.homeCutOff = elapsed(track.homeCutOff, gap, homeCutOff)
	g.InState = track.inState
	g.SlowFor = track.slow
	g.HomeCutOffFor = track.homeCutOff
}

func (t *Tracker) dropUnseen() {
	for name, track := range t.vms {
		if !track.seen {
			delete(t.vms, name)
		}
		track.seen = false
	}
	for id, track := range t.groups {
		if !track.seen {
			delete(t.groups, id)
		}
		track.seen = false
	}
}
