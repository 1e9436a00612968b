package outcome

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"slices"

	"pgregory.net/rapid"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// simulation runs many fronts and homes, one platform and one engine, one step at a time. An actor runs until it
// needs something from outside and then waits until the schedule continues it. The schedule and the result of each
// call are drawn at random.
type simulation struct {
	t      *rapid.T
	actors []*actor
	// noFaults is set at the end of a schedule: no further faults are drawn, and everything in progress completes.
	noFaults bool
	outage   bool
	objects  map[string]platform.Object
	version  platform.Version
	// pending holds writes whose response was lost and which may still take effect.
	pending []func()
	// givenUp holds the nonces of claims that their homes have given up.
	givenUp     map[string]bool
	runs        []engineRun
	connections []*connection
	lastID      int
	// steps counts the steps executed so far.
	steps int64
}

// engineRun is one line of the engine's log, against which all outcomes are checked.
type engineRun struct {
	requestID, key, fingerprint string
	attempt                     int
	answer                      []string
	step                        int64
}

// actor is the work of one front or home on one request.
type actor struct {
	name     string
	next     func() (step, bool)
	stop     func()
	step     step
	finished bool
	frozen   bool
	killed   bool
}

// step is what an actor waits for: ready reports whether it can happen, and do makes it happen.
type step struct {
	ready func() bool
	do    func()
}

// killSignal unwinds an actor whose process was killed.
type killSignal struct{}

// yieldFunc suspends its actor until the step has been executed.
type yieldFunc func(step)

func (sim *simulation) spawn(name string, body func(yield yieldFunc)) *actor {
	a := &actor{name: name}
	a.next, a.stop = iter.Pull(func(yield func(step) bool) {
		defer func() {
			if r := recover(); r != nil {
				if _, ok := r.(killSignal); !ok {
					panic(r)
				}
			}
		}()
		body(func(s step) {
			if !yield(s) {
				panic(killSignal{})
			}
		})
	})
	sim.actors = append(sim.actors, a)
	sim.advance(a)
	return a
}

func (sim *simulation) advance(a *actor) {
	s, ok := a.next()
	a.step = s
	a.finished = !ok
}

func (sim *simulation) kill(a *actor) {
	a.killed = true
	a.finished = true
	a.stop()
}

func (sim *simulation) runnable() []*actor {
	var ready []*actor
	for _, a := range sim.actors {
		if !a.finished && !a.frozen && (a.step.ready == nil || a.step.ready()) {
			ready = append(ready, a)
		}
	}
	return ready
}

// chance returns true with the given probability in percent, and never once faults are disabled. It is true for the
// largest draws, because rapid prefers and shrinks to small ones.
func (sim *simulation) chance(percent int, what string) bool {
	return !sim.noFaults && sim.pick(100, what) >= 100-percent
}

func (sim *simulation) pick(n int, what string) int { return rapid.IntRange(0, n-1).Draw(sim.t, what) }

func (sim *simulation) run(steps int, arrive func()) {
	for range steps {
		switch draw := sim.pick(100, "event"); {
		case draw >= 90 || len(sim.actors) == 0:
			arrive()
		case draw >= 87:
			sim.outage = !sim.outage
		case draw >= 82 && len(sim.pending) > 0:
			sim.applyPending(sim.pick(len(sim.pending), "write"))
		case draw >= 72:
			a := sim.actors[sim.pick(len(sim.actors), "actor")]
			a.frozen = !a.frozen
		case draw >= 70:
			if a := sim.actors[sim.pick(len(sim.actors), "actor")]; !a.finished {
				sim.kill(a)
			}
		default:
			if ready := sim.runnable(); len(ready) > 0 {
				sim.executeStep(ready[sim.pick(len(ready), "runnable")])
			}
		}
	}
	sim.settle()
}

func (sim *simulation) executeStep(a *actor) {
	sim.steps++
	a.step.do()
	sim.advance(a)
}

// settle resumes frozen actors, lets pending writes take effect and runs everything to its end without further
// faults.
func (sim *simulation) settle() {
	sim.noFaults = true
	sim.outage = false
	for {
		for _, a := range sim.actors {
			a.frozen = false
		}
		if len(sim.pending) > 0 {
			sim.applyPending(0)
			continue
		}
		ready := sim.runnable()
		if len(ready) == 0 {
			return
		}
		sim.executeStep(ready[sim.pick(len(ready), "runnable")])
	}
}

func (sim *simulation) applyPending(i int) {
	apply := sim.pending[i]
	sim.pending = slices.Delete(sim.pending, i, i+1)
	apply()
}

func (sim *simulation) close() {
	for _, a := range sim.actors {
		if !a.finished {
			sim.kill(a)
		}
	}
}

// store is the platform as seen by one actor.
type store struct {
	platform.Store
	sim   *simulation
	yield yieldFunc
}

func (s store) Get(_ context.Context, _ platform.Kind, name string) (object platform.Object, err error) {
	s.yield(step{do: func() {
		var ok bool
		if object, ok = s.sim.objects[name]; !ok {
			err = platform.ErrNotFound
		}
		if s.sim.outage && s.sim.chance(90, "outage") || s.sim.chance(5, "read lost") {
			err = platform.ErrUnavailable
		}
	}})
	return object, err
}

func (s store) Put(_ context.Context, _ platform.Kind, name string, version platform.Version, value json.RawMessage) (written platform.Version, err error) {
	s.yield(step{do: func() { written, err = s.sim.put(name, version, value) }})
	if err == nil {
		// The response is in transit: other actors can run before the writer receives it.
		s.yield(step{do: func() {}})
	}
	return written, err
}

func (sim *simulation) put(name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	if sim.outage && sim.chance(70, "outage") {
		return 0, platform.ErrUnavailable
	}
	if sim.chance(20, "write fault") {
		switch sim.pick(4, "kind of fault") {
		case 0:
			return 0, platform.ErrThrottled
		case 1:
			_, _ = sim.apply(name, version, value)
		case 2:
			sim.pending = append(sim.pending, func() { _, _ = sim.apply(name, version, value) })
		}
		return 0, platform.ErrUnconfirmed
	}
	return sim.apply(name, version, value)
}

func (sim *simulation) apply(name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	if sim.objects[name].Version != version {
		return 0, platform.ErrConflict
	}
	sim.version++
	sim.objects[name] = platform.Object{Kind: platform.KindAttempt, Name: name, Version: sim.version, Value: value}
	return sim.version, nil
}

// link carries the frames of one dispatch.
type link struct {
	frames    []contract.Frame
	home      *actor
	received  bool
	closed    bool
	delivered []contract.Frame
}

// receive draws what the front receives next: the next frame, a duplicate, a frame of another request, the frame
// after a dropped one, or the loss of the link.
func (sim *simulation) receive(l *link) (f contract.Frame, lost bool) {
	if sim.chance(4, "cut") {
		l.closed = true
		return f, true
	}
	if len(l.delivered) > 0 && sim.chance(8, "copy") {
		return l.delivered[sim.pick(len(l.delivered), "which")], false
	}
	if sim.chance(5, "frame of another request") {
		return contract.Frame{Kind: contract.FrameEvent, RequestID: "another", Text: "?"}, false
	}
	if len(l.frames) > 1 && sim.chance(8, "dropped") {
		l.frames = l.frames[1:]
	}
	if len(l.frames) == 0 {
		return f, true
	}
	f = l.frames[0]
	l.frames = l.frames[1:]
	l.delivered = append(l.delivered, f)
	return f, false
}

func (sim *simulation) newID(prefix string) string {
	sim.lastID++
	return fmt.Sprintf("%s%d", prefix, sim.lastID)
}
