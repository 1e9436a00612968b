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

// world plays many fronts and homes, one platform and one engine, one step at a time. An actor runs until
// it needs something from outside, then waits for the schedule to go on with it. The schedule, and what
// becomes of each call, are drawn.
type world struct {
	t      *rapid.T
	actors []*actor
	// calm: no more faults are drawn; what is under way comes to its end.
	calm    bool
	outage  bool
	objects map[string]platform.Object
	version platform.Version
	// pending are writes whose answer was lost and which may still take effect.
	pending []func()
	// givenUp are the nonces of claims that their homes have given up.
	givenUp map[string]bool
	runs    []runLog
	tellers []*teller
	serial  int
	// clock counts steps.
	clock int64
}

// runLog is one line of the engine's log: the judge of all outcomes.
type runLog struct {
	requestID, key, fingerprint string
	attempt                     int
	answer                      []string
	at                          int64
}

// actor is one front's or home's work on one request.
type actor struct {
	name   string
	next   func() (step, bool)
	stop   func()
	step   step
	over   bool
	frozen bool
	dead   bool
}

// step is what an actor waits for: ready says whether it can happen, do makes it happen.
type step struct {
	ready func() bool
	do    func()
}

// killed unwinds an actor whose process died.
type killed struct{}

// yielder suspends its actor until the step was done.
type yielder func(step)

func (w *world) spawn(name string, body func(y yielder)) *actor {
	a := &actor{name: name}
	a.next, a.stop = iter.Pull(func(yield func(step) bool) {
		defer func() {
			if r := recover(); r != nil {
				if _, ok := r.(killed); !ok {
					panic(r)
				}
			}
		}()
		body(func(s step) {
			if !yield(s) {
				panic(killed{})
			}
		})
	})
	w.actors = append(w.actors, a)
	w.advance(a)
	return a
}

func (w *world) advance(a *actor) {
	s, ok := a.next()
	a.step = s
	a.over = !ok
}

func (w *world) kill(a *actor) {
	a.dead = true
	a.over = true
	a.stop()
}

func (w *world) runnable() []*actor {
	var ready []*actor
	for _, a := range w.actors {
		if !a.over && !a.frozen && (a.step.ready == nil || a.step.ready()) {
			ready = append(ready, a)
		}
	}
	return ready
}

// chance draws true in some percent of cases, and never once all is calm. Small draws, which rapid
// prefers and shrinks to, are the harmless ones.
func (w *world) chance(percent int, what string) bool {
	return !w.calm && w.pick(100, what) >= 100-percent
}

func (w *world) pick(n int, what string) int { return rapid.IntRange(0, n-1).Draw(w.t, what) }

func (w *world) run(steps int, arrive func()) {
	for range steps {
		switch draw := w.pick(100, "event"); {
		case draw >= 90 || len(w.actors) == 0:
			arrive()
		case draw >= 87:
			w.outage = !w.outage
		case draw >= 82 && len(w.pending) > 0:
			w.land(w.pick(len(w.pending), "write"))
		case draw >= 72:
			a := w.actors[w.pick(len(w.actors), "actor")]
			a.frozen = !a.frozen
		case draw >= 70:
			if a := w.actors[w.pick(len(w.actors), "actor")]; !a.over {
				w.kill(a)
			}
		default:
			if ready := w.runnable(); len(ready) > 0 {
				w.go1(ready[w.pick(len(ready), "runnable")])
			}
		}
	}
	w.settle()
}

func (w *world) go1(a *actor) {
	w.clock++
	a.step.do()
	w.advance(a)
}

// settle wakes whatever is frozen, lets late writes land, and lets all end, without further faults.
func (w *world) settle() {
	w.calm = true
	w.outage = false
	for {
		for _, a := range w.actors {
			a.frozen = false
		}
		if len(w.pending) > 0 {
			w.land(0)
			continue
		}
		ready := w.runnable()
		if len(ready) == 0 {
			return
		}
		w.go1(ready[w.pick(len(ready), "runnable")])
	}
}

func (w *world) land(i int) {
	apply := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	apply()
}

func (w *world) close() {
	for _, a := range w.actors {
		if !a.over {
			w.kill(a)
		}
	}
}

// store is the platform as one actor sees it.
type store struct {
	platform.Store
	w *world
	y yielder
}

func (s store) Get(_ context.Context, _ platform.Kind, name string) (object platform.Object, err error) {
	s.y(step{do: func() {
		var ok bool
		if object, ok = s.w.objects[name]; !ok {
			err = platform.ErrNotFound
		}
		if s.w.outage && s.w.chance(90, "outage") || s.w.chance(5, "read lost") {
			err = platform.ErrUnavailable
		}
	}})
	return object, err
}

func (s store) Put(_ context.Context, _ platform.Kind, name string, version platform.Version, value json.RawMessage) (written platform.Version, err error) {
	s.y(step{do: func() { written, err = s.w.put(name, version, value) }})
	if err == nil {
		// The answer is under way: much may happen before its writer sees it.
		s.y(step{do: func() {}})
	}
	return written, err
}

func (w *world) put(name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	if w.outage && w.chance(70, "outage") {
		return 0, platform.ErrUnavailable
	}
	if w.chance(20, "write fault") {
		switch w.pick(4, "kind of fault") {
		case 0:
			return 0, platform.ErrThrottled
		case 1:
			_, _ = w.apply(name, version, value)
		case 2:
			w.pending = append(w.pending, func() { _, _ = w.apply(name, version, value) })
		}
		return 0, platform.ErrUnconfirmed
	}
	return w.apply(name, version, value)
}

func (w *world) apply(name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	if w.objects[name].Version != version {
		return 0, platform.ErrConflict
	}
	w.version++
	w.objects[name] = platform.Object{Kind: platform.KindAttempt, Name: name, Version: w.version, Value: value}
	return w.version, nil
}

// link carries the frames of one dispatch.
type link struct {
	frames []contract.Frame
	home   *actor
	taken  bool
	closed bool
	old    []contract.Frame
}

// receive draws what the front gets next: the next frame, one twice, another's, one too few, or a cut.
func (w *world) receive(l *link) (f contract.Frame, lost bool) {
	if w.chance(4, "cut") {
		l.closed = true
		return f, true
	}
	if len(l.old) > 0 && w.chance(8, "copy") {
		return l.old[w.pick(len(l.old), "which")], false
	}
	if w.chance(5, "another's") {
		return contract.Frame{Kind: contract.FrameEvent, RequestID: "another", Text: "?"}, false
	}
	if len(l.frames) > 1 && w.chance(8, "dropped") {
		l.frames = l.frames[1:]
	}
	if len(l.frames) == 0 {
		return f, true
	}
	f = l.frames[0]
	l.frames = l.frames[1:]
	l.old = append(l.old, f)
	return f, false
}

func (w *world) newID(prefix string) string {
	w.serial++
	return fmt.Sprintf("%s%d", prefix, w.serial)
}
