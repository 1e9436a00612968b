package forming

import "time"

// This file answers the fault pattern of short pauses and of VMs that fail again and again. A View shows
// one moment; whether a silence is a pause or a death, and whether a slow group stays slow, shows only
// over time. A Tracker remembers since when. After a takeover it starts anew, so that a new controller
// waits the full grace before it judges: it errs on the side of not reloading a replica.

// RestartMemory is how long a restart counts against a VM when members are chosen: a VM in a restart loop
// comes back within minutes, and an hour without one shows that it is over.
const RestartMemory = time.Hour

// Tracker fills in how long what a View shows has been so. It is not safe for concurrent use.
type Tracker struct {
	vms    map[string]*vmTrack
	groups map[string]*groupTrack
}

type vmTrack struct {
	answered time.Duration
	listed   time.Duration
	boot     string
	restarts []time.Duration
	seen     bool
}

type groupTrack struct {
	state State
	since time.Duration
	fast  time.Duration
	seen  bool
}

// NewTracker returns a tracker that has seen nothing.
func NewTracker() *Tracker {
	return &Tracker{vms: map[string]*vmTrack{}, groups: map[string]*groupTrack{}}
}

// Observe takes in a view of now and fills in its durations. What is no longer in the view is forgotten.
func (t *Tracker) Observe(now time.Duration, v *View) {
	for i := range v.VMs {
		t.observeVM(now, &v.VMs[i])
	}
	slow := slowGroups(v)
	for i := range v.Groups {
		t.observeGroup(now, &v.Groups[i], slow[v.Groups[i].ID])
	}
	t.forget()
}

func (t *Tracker) observeVM(now time.Duration, v *VM) {
	track := t.vms[v.Name]
	if track == nil {
		track = &vmTrack{answered: now, listed: now}
		t.vms[v.Name] = track
	}
	track.seen = true
	if v.Listed {
		track.listed = now
	}
	if v.Present {
		track.answered = now
		track.noteBoot(now, v.Boot)
	}
	track.dropOld(now)
	v.SilentFor = now - track.answered
	v.UnlistedFor = now - track.listed
	v.Restarts = len(track.restarts)
}

func (t *vmTrack) noteBoot(now time.Duration, boot string) {
	if t.boot != "" && boot != t.boot {
		t.restarts = append(t.restarts, now)
	}
	t.boot = boot
}

func (t *vmTrack) dropOld(now time.Duration) {
	for len(t.restarts) > 0 && now-t.restarts[0] > RestartMemory {
		t.restarts = t.restarts[1:]
	}
}

func (t *Tracker) observeGroup(now time.Duration, g *Group, slow bool) {
	track := t.groups[g.ID]
	if track == nil {
		track = &groupTrack{state: g.State, since: now, fast: now}
		t.groups[g.ID] = track
	}
	track.seen = true
	if track.state != g.State {
		track.state = g.State
		track.since = now
	}
	if !slow {
		track.fast = now
	}
	g.InState = now - track.since
	g.SlowFor = now - track.fast
}

func (t *Tracker) forget() {
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
