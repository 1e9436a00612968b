package controller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/skylarkpond/skylarkpond/entry/controller"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// move is one decision of the schedule. Its effect on a call or a VM depends on the current state.
type move struct {
	Action, Target, Outcome uint8
}

// minMoves keeps schedules long: rapid draws slices that are little longer than their minimum length. Shrinking
// turns single moves into no-ops instead.
const minMoves = 120

// noMove is above the actions that schedule.perform knows.
const noMove = 11

// Outcomes of a call.
const (
	outcomeDone    = iota
	outcomeLost    // takes effect, but the reply is lost
	outcomeLate    // takes effect when a later move applies it; the reply is lost
	outcomeDropped // takes no effect, and no reply arrives
	outcomeRefused // takes no effect, and the reply says so
	outcomeCount
)

// blockedCall is a call that waits until the schedule decides its outcome.
type blockedCall struct {
	name    string
	outcome chan uint8
}

// schedule interleaves several controllers that all consider themselves owners of the fabric domain.
type schedule struct {
	*world
	actors []*actor

	callsMu     sync.Mutex // guards blocked, lateEffects and violations
	blocked     []*blockedCall
	lateEffects []func()
	// violations holds the invariants that were found violated.
	violations []string
}

// actor is one controller with its links. Each call over a link blocks until the schedule decides its outcome;
// a call that stays blocked for long stands for a paused process.
type actor struct {
	*schedule
	name       string
	controller *controller.Controller
	idle       bool
	mirrorLag  int // versions by which the mirror lags
	// confirmedAt is when the last successful read or write of the placement was started.
	confirmedAt time.Time
}

func newSchedule(controllers, vms, replicas int, checksFence bool) *schedule {
	s := &schedule{world: newWorld(vms)}
	s.clock = time.Now
	s.loadTime = 3 * time.Second
	chat := s.services["chat"]
	chat.Replicas = replicas
	s.services["chat"] = chat
	for _, e := range s.engines {
		e.checksFence = checksFence
	}
	for i := range controllers {
		s.add(fmt.Sprintf("entry-%d", i+1))
	}
	return s
}

func (s *schedule) add(name string) *actor {
	a := &actor{schedule: s, name: name, idle: true}
	deps := s.deps(name)
	deps.Store, deps.Engines, deps.Placements, deps.Now = a, a, a, time.Now
	a.controller = controller.New(deps)
	s.actors = append(s.actors, a)
	return a
}

func (s *schedule) reportViolation(format string, args ...any) {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// awaitOutcome blocks the caller until the schedule decides the call's outcome.
func (a *actor) awaitOutcome(operation string) uint8 {
	call := &blockedCall{name: a.name + " " + operation, outcome: make(chan uint8)}
	a.callsMu.Lock()
	a.blocked = append(a.blocked, call)
	slices.SortFunc(a.blocked, func(x, y *blockedCall) int { return strings.Compare(x.name, y.name) })
	a.callsMu.Unlock()
	return <-call.outcome
}

// applyOutcome carries out effect as the outcome says. It returns nil only if the reply arrives.
func (a *actor) applyOutcome(outcome uint8, effect func(), lost, refused error) error {
	switch outcome {
	case outcomeLost:
		effect()
		return lost
	case outcomeLate:
		a.callsMu.Lock()
		a.lateEffects = append(a.lateEffects, effect)
		a.callsMu.Unlock()
		return lost
	case outcomeDropped:
		return lost
	case outcomeRefused:
		return refused
	}
	effect()
	return nil
}

// Get reads an object. With outcomeLost or outcomeLate, a read of the placement returns the previous version.
func (a *actor) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if kind != platform.KindPlacement {
		return a.world.Get(ctx, kind, name)
	}
	begun := time.Now()
	switch a.awaitOutcome("get") {
	case outcomeDropped, outcomeRefused:
		return platform.Object{}, platform.ErrUnavailable
	case outcomeDone:
		a.confirmedAt = begun
		return a.world.Get(ctx, kind, name)
	default:
		a.confirmedAt = begun
		return a.oldPlacement(1), nil
	}
}

// oldPlacement returns the placement as it was the given number of versions ago.
func (a *actor) oldPlacement(versions int) platform.Object {
	history := a.placements()
	return history[max(0, len(history)-1-versions)]
}

func (s *schedule) placements() []platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platform.Object
	for _, object := range s.history {
		if object.Kind == platform.KindPlacement {
			found = append(found, object)
		}
	}
	return found
}

// Put makes a conditional write.
func (a *actor) Put(ctx context.Context, kind platform.Kind, name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	begun := time.Now()
	var written platform.Version
	var err error
	effect := func() { written, err = a.world.Put(context.WithoutCancel(ctx), kind, name, version, value) }
	if lostErr := a.applyOutcome(a.awaitOutcome("put"), effect, platform.ErrUnconfirmed, platform.ErrUnavailable); lostErr != nil {
		return 0, lostErr
	}
	if err == nil {
		a.confirmedAt = begun
	}
	return written, err
}

// Placements returns an entry's mirror, which may lag.
func (a *actor) Placements() []platform.Object { return []platform.Object{a.oldPlacement(a.mirrorLag)} }

// Order sends an order to an engine. The order is checked when the controller decides to send it: a delay of the
// process between that moment and the network is what fencing numbers and the next probe protect against.
func (a *actor) Order(_ context.Context, address string, order engine.Order) (engine.State, error) {
	a.checkOrder(vm.Name(strings.TrimPrefix(address, "addr-")), order)
	var state engine.State
	var err error
	effect := func() { state, err = a.world.Order(context.Background(), address, order) }
	if lostErr := a.applyOutcome(a.awaitOutcome("order "+address), effect, engine.ErrInterrupted, engine.ErrNotSent); lostErr != nil {
		return engine.State{}, lostErr
	}
	return state, err
}

func (a *actor) checkOrder(to vm.Name, order engine.Order) {
	if age := time.Since(a.confirmedAt); age > controller.MaxPlacementAge {
		a.reportViolation("%s sends an order %v after its last confirmed read or write", a.name, age)
	}
	a.checkDrained(to, order)
	for _, object := range a.placements() {
		if callsFor(decode[vm.Placement](object), to, order) {
			return
		}
	}
	a.reportViolation("%s sends %s to %s with fence %d, which no placement in the history calls for", a.name, order.Kind, to, order.Fence)
}

// allBootsRunning returns whether every member still runs the boot that was ordered into the group.
func (a *actor) allBootsRunning(g vm.Group) bool {
	return !slices.ContainsFunc(g.Members, func(m vm.Member) bool {
		return a.engine(string(m.VM)).state.BootID != m.BootID
	})
}

// checkDrained checks that no member of a draining group is released while requests are in progress. A group with
// a restarted member has none: they broke off when the member's previous boot ended.
func (a *actor) checkDrained(to vm.Name, order engine.Order) {
	for _, g := range a.placement().Groups {
		member := slices.ContainsFunc(g.Members, func(m vm.Member) bool { return m.VM == to })
		if order.Kind != engine.OrderRelease || !member || g.State != vm.Draining {
			continue
		}
		drained := time.Since(time.UnixMilli(g.Since)) >= a.services["chat"].DrainTimeout
		if !drained && a.inProgress[g.ID] > 0 && a.allBootsRunning(g) {
			a.reportViolation("%s releases %s, on which a request is in progress", a.name, to)
		}
	}
}

// callsFor returns whether the placement calls for the order.
func callsFor(p vm.Placement, to vm.Name, order engine.Order) bool {
	var holder *vm.Group
	for i := range p.Groups {
		if slices.ContainsFunc(p.Groups[i].Members, func(m vm.Member) bool { return m.VM == to }) {
			holder = &p.Groups[i]
		}
	}
	if order.Kind == engine.OrderRelease {
		if holder == nil {
			return p.Fence == order.Fence
		}
		return holder.State == vm.Draining && holder.Fence == order.Fence
	}
	return holder != nil && holder.ID == order.Group && holder.State == vm.Loading &&
		holder.Fence == order.Fence && holder.Epoch == order.Epoch
}

// run performs the moves. Then it ends all faults and checks that a new controller makes the domain converge.
// Finally the calls that are still blocked and the late effects take place, and the domain must converge again.
func (s *schedule) run(moves []move) {
	for _, m := range moves {
		synctest.Wait()
		s.perform(m)
	}
	synctest.Wait()
	s.endFaults()
	last := s.add("entry-last")
	s.checkConvergence(last)
	for _, a := range s.actors {
		if !a.idle {
			s.runRound(a)
		}
	}
	for _, effect := range s.lateEffects {
		effect()
	}
	s.checkConvergence(last)
}

func (s *schedule) perform(m move) {
	a := s.actors[int(m.Target)%len(s.actors)]
	switch m.Action {
	case 0:
		s.startRound(a)
	case 1, 2, 3:
		s.unblock(s.blockedCalls(""), int(m.Target), m.Outcome)
	case 4, 5, 6:
		s.runRound(a)
		time.Sleep(controller.RoundInterval)
	case 7:
		s.applyLateEffect(int(m.Target))
	case 8:
		pauses := []time.Duration{100 * time.Millisecond, controller.MaxPlacementAge, 15 * time.Second, time.Hour}
		time.Sleep(pauses[int(m.Target)%len(pauses)])
	case 9, 10:
		s.injectFault(int(m.Target), m.Outcome)
	}
}

// runRound lets a controller complete a round without faults.
func (s *schedule) runRound(a *actor) {
	s.startRound(a)
	for {
		synctest.Wait()
		s.callsMu.Lock()
		idle := a.idle
		s.callsMu.Unlock()
		if idle {
			return
		}
		if waiting := s.blockedCalls(a.name + " "); len(waiting) > 0 {
			s.unblock(waiting, 0, outcomeDone)
			continue
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *schedule) startRound(a *actor) {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	if !a.idle {
		return
	}
	a.idle = false
	go func() {
		_ = a.controller.Reconcile(context.Background(), fabric)
		s.callsMu.Lock()
		defer s.callsMu.Unlock()
		a.idle = true
	}()
}

// blockedCalls returns the blocked calls whose name has the prefix.
func (s *schedule) blockedCalls(prefix string) []*blockedCall {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	var found []*blockedCall
	for _, g := range s.blocked {
		if strings.HasPrefix(g.name, prefix) {
			found = append(found, g)
		}
	}
	return found
}

// unblock decides the outcome of one of the waiting calls. Drawn outcomes of outcomeCount and above, which are half
// of them, count as outcomeDone.
func (s *schedule) unblock(waiting []*blockedCall, target int, outcome uint8) {
	if len(waiting) == 0 {
		return
	}
	call := waiting[target%len(waiting)]
	s.callsMu.Lock()
	s.blocked = slices.DeleteFunc(s.blocked, func(other *blockedCall) bool { return other == call })
	s.callsMu.Unlock()
	if outcome >= outcomeCount {
		outcome = outcomeDone
	}
	call.outcome <- outcome
}

func (s *schedule) applyLateEffect(target int) {
	if len(s.lateEffects) == 0 {
		return
	}
	i := target % len(s.lateEffects)
	effect := s.lateEffects[i]
	s.lateEffects = slices.Delete(s.lateEffects, i, i+1)
	effect()
}

// injectFault changes the state of a VM, of a mirror, or of the homes.
func (s *schedule) injectFault(target int, kind uint8) {
	name := fmt.Sprintf("v%d", target%len(s.engines)+1)
	e := s.engine(name)
	switch kind % 6 {
	case 0:
		e.silent = !e.silent
	case 1:
		e.restart()
	case 2:
		s.changeVMs(func(v *vm.VM) {
			if string(v.Name) == name {
				v.Leaving = !v.Leaving
			}
		})
	case 3:
		a := s.actors[target%len(s.actors)]
		a.mirrorLag = (a.mirrorLag + 1) % 3
	case 4:
		s.changeLoad(target)
	case 5:
		s.homesSilent = !s.homesSilent
	}
}

// changeLoad ends the requests of all groups and may start one on each serving group.
func (s *schedule) changeLoad(target int) {
	for _, g := range s.placement().Groups {
		s.inProgress[g.ID] = 0
		if g.State == vm.Serving {
			s.inProgress[g.ID] = target % 2
		}
	}
}

func (e *fakeEngine) restart() {
	boots := strings.Count(string(e.state.BootID), "+")
	e.state = engine.State{VM: e.state.VM, BootID: vm.BootID(fmt.Sprintf("boot-%s%s", e.state.VM, strings.Repeat("+", boots+1)))}
}

func (s *schedule) endFaults() {
	for _, e := range s.engines {
		e.silent = false
	}
	s.changeVMs(func(v *vm.VM) { v.Leaving = false })
	clear(s.inProgress)
	s.homesSilent = false
	for _, a := range s.actors {
		a.mirrorLag = 0
	}
}

// checkConvergence lets one controller run alone for 40 rounds and checks the result.
func (s *schedule) checkConvergence(last *actor) {
	for range 40 {
		s.runRound(last)
		time.Sleep(controller.RoundInterval)
	}
	s.checkConverged()
}

// Several entries consider themselves owners of a fabric domain because membership has not settled. They pause at
// any call and resume much later. The platform loses replies, applies writes late, and answers reads with an old
// version. Orders are lost or arrive late, while VMs die, restart and leave. The failure to prevent is a VM
// that is claimed by two groups: each of them loads its part, and neither ever answers.
func TestInterleavedControllers(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines check fences %v", checks), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				moves := rapid.SliceOfN(rapid.Custom(drawMove), minMoves, 2*minMoves).Draw(rt, "moves")
				replicas := rapid.IntRange(1, 2).Draw(rt, "replicas")
				controllers := rapid.IntRange(1, 3).Draw(rt, "controllers")
				vms := rapid.IntRange(2, 5).Draw(rt, "VMs")
				var s *schedule
				synctest.Test(t, func(*testing.T) {
					s = newSchedule(controllers, vms, replicas, checks)
					s.run(moves)
				})
				s.checkHistory()
				s.checkOrders()
				if len(s.violations) > 0 {
					rt.Fatalf("%s", strings.Join(s.violations, "\n"))
				}
			})
		})
	}
}

// drawMove spreads the values that rapid draws, which are mostly small numbers, evenly over the moves. A drawn 0,
// towards which rapid shrinks, is a move without effect.
func drawMove(rt *rapid.T) move {
	drawn := rapid.Uint64().Draw(rt, "move")
	if drawn == 0 {
		return move{Action: noMove}
	}
	random := rand.New(rand.NewPCG(drawn, 0))
	return move{
		Action:  uint8(random.IntN(noMove)),
		Target:  uint8(random.IntN(20)),
		Outcome: uint8(random.IntN(2 * outcomeCount)),
	}
}
